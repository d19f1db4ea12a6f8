#include "pimentoladder/Config/Selector.h"

#include <random>

#include <doctest/doctest.h>

using namespace pimentoladder;

namespace {

selector parsed(std::string_view text)
{
    auto result = selector::parse(text);
    REQUIRE_MESSAGE(result.has_value(), text);
    return *result;
}

}

// Guards against selectors that match other objects than operators expect.
TEST_CASE("selectors match labels")
{
    const label_map labels { { "tier", "gold" }, { "region", "eu" }, { "empty", "" } };
    for (const char* text : { "", " ", "tier=gold", "tier==gold", "tier = gold", "tier!=silver", "region in (us, eu)",
             "region notin (us)", "region", "!legacy", "legacy!=x", "legacy notin (x)", "empty=",
             "tier=gold,region in (eu),!legacy" })
        CHECK_MESSAGE(parsed(text).matches(labels), text);
    for (const char* text : { "tier=silver", "tier!=gold", "region in (us)", "region notin (eu,us)", "legacy",
             "!region", "legacy=x", "tier=gold,legacy", "inside", "in" })
        CHECK_FALSE_MESSAGE(parsed(text).matches(labels), text);
}

// Guards against malformed selectors that are accepted with an unintended
// meaning.
TEST_CASE("malformed selectors are rejected with the position")
{
    for (const char* text : { ",", "a,", ",a", "a b", "=x", "!", "!=x", "a in", "a in ()", "a in (x", "a in (x,)",
             "a in x", "a notin(", "a===b", "a=b=c", "!a=b", "a\n", "a=\"x\"", "a,,b", "\xff" }) {
        const auto result = selector::parse(text);
        REQUIRE_MESSAGE(!result, text);
        CHECK(result.error().kind == error_kind::invalidArgument);
        CHECK(result.error().message.find("position") != std::string::npos);
    }
    CHECK(selector::parse("a==").value().text() == "a=");
    CHECK(selector::parse("a in (x,)").error().message == "selector is invalid at position 9: expected a label value");
    CHECK_FALSE(selector::parse(std::string(5000, 'a')));
}

// Guards against text forms that do not round-trip, and against out-of-bounds
// reads on arbitrary input.
TEST_CASE("random and mutated selectors round-trip or are rejected")
{
    std::mt19937_64 engine(20261204);
    const std::string alphabet = "ab=!,() \tin.n/-o_t\x01\xff";
    const std::string base = "tier=gold,region in (eu,us),!legacy,zone notin (a),x!=y";
    for (int round = 0; round < 20000; ++round) {
        std::string text = round % 2 ? base : std::string();
        const std::size_t edits = 1 + engine() % 12;
        for (std::size_t i = 0; i < edits; ++i) {
            const std::size_t at = text.empty() ? 0 : engine() % text.size();
            if (engine() % 3 == 0 && !text.empty())
                text.erase(at, 1 + engine() % 3);
            else
                text.insert(at, 1, alphabet[engine() % alphabet.size()]);
        }
        const auto first = selector::parse(text);
        if (!first)
            continue;
        const auto second = selector::parse(first->text());
        REQUIRE_MESSAGE(second.has_value(), text << " became " << first->text());
        CHECK_MESSAGE(*second == *first, text);
    }
}
