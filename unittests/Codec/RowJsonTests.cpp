#include "pimentoladder/Codec/RowJson.h"

#include <random>

#include <doctest/doctest.h>

using namespace pimentoladder;

namespace {

std::vector<document_value> sampleValues()
{
    workspace tenant { workspace_id("riga"), { { "tier", "gold" } }, 0.1, std::string(64, 'a'), 7, 9 };
    pool models { pool_id("llm"), { { "a/b", "" } }, pool_kind::model, "/v1/generate", 1e-3 };
    backend_server server { server_id("s1"), pool_id("llm"), data_centre_id("dc1"), vm_id("vm1"),
        { { "gpu", "\xc4\x81" } }, { "::1", 65535 }, 2, 4294967295, true, true };
    data_centre centre { data_centre_id("dc1"), { { "out", "no" } } };
    access_rule access { rule_id("r1"), selector::parse("tier in (gold,silver)").value(), {} };
    service_rule service { rule_id("r2"), selector::parse("out!=no,!keep").value() };
    member router { vm_id("vm9"), incarnation(0xffffffffffffffff), data_centre_id("dc1"), { "127.0.0.1", 7000 } };
    witness_roster roster { { { vm_id("vm9"), incarnation(5) } }, { { vm_id("vm8"), incarnation(0) } } };
    return { tenant, models, server, centre, access, service, router, roster };
}

}

// Guards against fields that are lost between the table and the replica.
TEST_CASE("rows round-trip through JSON")
{
    for (const auto& value : sampleValues()) {
        const auto decoded = parseRowJson(rowKey(value), formatRowJson(value));
        REQUIRE_MESSAGE(decoded.has_value(), decoded.error().message);
        CHECK(*decoded == value);
    }
}

// Guards against accepting faulty rows with default values, and against error
// messages that do not name the field.
TEST_CASE("faulty rows are refused and the field is named")
{
    const auto faultOf = [](std::string_view text) {
        const auto decoded = parseRowJson("config/workspace/a", text);
        REQUIRE_FALSE(decoded);
        CHECK(decoded.error().kind == error_kind::corruptData);
        return decoded.error().message;
    };
    const std::string head = R"({"id":"a","labels":{},"keyDigest":"","connectionLimit":1,)";
    CHECK(faultOf(head + R"("queueLimit":1})").find("\"weight\" is missing") != std::string::npos);
    CHECK(faultOf(head + R"("queueLimit":1,"weight":0})").find("\"weight\" must be above 0") != std::string::npos);
    CHECK(faultOf(head + R"("queueLimit":1,"weight":1e999})").find("JSON") != std::string::npos);
    CHECK(faultOf(head + R"("queueLimit":-1,"weight":1})").find("\"queueLimit\"") != std::string::npos);
    CHECK(faultOf(head + R"("queueLimit":4294967296,"weight":1})").find("\"queueLimit\"") != std::string::npos);
    CHECK(faultOf(head + R"("queueLimit":1.5,"weight":1})").find("\"queueLimit\"") != std::string::npos);
    CHECK(faultOf(R"({"id":"b","labels":{},"keyDigest":"","connectionLimit":1,"queueLimit":1,"weight":1})").find("id")
        != std::string::npos);
    for (const char* text : { "", "[]", "{", "nul", "\"a\"", "{}", R"({"id":3})", R"({"id":"a","labels":{"x":1}})" })
        faultOf(text);
    CHECK_FALSE(parseRowJson("change/1", "{}"));
    CHECK_FALSE(parseRowJson("config/workspace/", "{}"));
    CHECK(parseRowJson("config/data-centre/d", R"({"id":"d","labels":{},"addedLater":[1]})"));
    CHECK_FALSE(parseRowJson("config/service-rule/r", R"({"id":"r","dataCentresOut":"a in ("})"));
}

// Guards against crashes and against rows that change when they are encoded again.
TEST_CASE("mutated rows decode to the same value again or are refused")
{
    std::mt19937_64 engine(20261205);
    const std::string alphabet = "\"{}[]:,0-9.eE\\ua\x80 tn";
    const auto values = sampleValues();
    for (int round = 0; round < 20000; ++round) {
        const auto& value = values[engine() % values.size()];
        const std::string key = rowKey(value);
        std::string text = formatRowJson(value);
        for (std::size_t i = 0; i <= engine() % 4; ++i) {
            const std::size_t at = engine() % text.size();
            if (engine() % 2)
                text[at] = alphabet[engine() % alphabet.size()];
            else
                text.erase(at, 1 + engine() % 8);
            if (text.empty())
                text.push_back('{');
        }
        const auto decoded = parseRowJson(key, text);
        if (decoded)
            CHECK(parseRowJson(key, formatRowJson(*decoded)).value() == *decoded);
    }
}
