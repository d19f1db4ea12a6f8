#include "pimentoladder/Codec/RolloutJson.h"

#include <doctest/doctest.h>

using namespace pimentoladder;
using namespace std::chrono_literals;

// Guards against an owner that reads another state than its predecessor wrote.
TEST_CASE("the record of a roll-out round-trips through JSON")
{
    const rollout_json_codec codec;
    for (const rollout_state state : { rollout_state::inProgress, rollout_state::completed, rollout_state::reverted }) {
        const rollout_record record { pool_id("llm"), revision(7), "v2", vm_id("router-1"), incarnation(3), fencing_token(4), 5, state, 0.25, 1500ms };
        const auto decoded = codec.decode(codec.encode(record));
        REQUIRE(decoded);
        CHECK(*decoded == record);
    }
}

// Guards against a row of another writer that ends or steers a roll-out.
TEST_CASE("a record with a missing field or a value out of range is refused")
{
    const rollout_json_codec codec;
    const std::string sound = codec.encode({ pool_id("llm"), revision(7), "v2", vm_id("router-1"), incarnation(3), fencing_token(4), 5, rollout_state::inProgress, 0.25, 1500ms });
    const auto replaced = [&](const std::string& from, const std::string& to) {
        std::string text = sound;
        REQUIRE(text.find(from) != std::string::npos);
        return text.replace(text.find(from), from.size(), to);
    };
    REQUIRE(codec.decode(sound));
    CHECK_FALSE(codec.decode("?"));
    CHECK_FALSE(codec.decode("{}"));
    CHECK_FALSE(codec.decode(replaced("in_progress", "done")));
    CHECK_FALSE(codec.decode(replaced("0.25", "1.5")));
    CHECK_FALSE(codec.decode(replaced("1500", "-1")));
    CHECK_FALSE(codec.decode(replaced("router-1", "")));
    CHECK_FALSE(codec.decode(replaced("\"token\"", "\"tokens\"")));
}
