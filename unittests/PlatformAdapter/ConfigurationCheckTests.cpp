#include "pimentoladder/Dispatch/PlanCheck.h"

#include <random>
#include <string>

#include <doctest/doctest.h>

#include "platform/FleetRows.h"

using namespace pimentoladder;

namespace {

constexpr const char* soundText = R"({"version":7,"routes":[
{"name":"bulletins","host":"example","prefix":"/a/","route_type":"streaming","timeout_ms":6000,"latency_goal_ms":600,"priority":1,"service":"llm","max_attempts":1,"anonymous":false,"sticky":true,"resumable":false,"itl_target_ms":400},
{"name":"answers","host":"example","prefix":"/b/","route_type":"streaming","timeout_ms":10000,"latency_goal_ms":800,"split":[{"service":"llm","weight":90},{"service":"portal","weight":10}],"max_attempts":2,"resumable":true,"itl_target_ms":400}],
"services":[{"name":"llm","max_connections":680,"cold_start_s":3.0,"cold_per_s":7.3,"inference_engine":{"slots":64}},{"name":"portal","cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":1800000},
"tenants":[{"name":"north","api_keys":["k1","k2"],"priority":1}]})";

std::string mutated(std::string text, std::mt19937& random)
{
    const std::string inserted = "{}[]\",:0-9.eE+ntf\\\x80\xff\0";
    const std::size_t changes = 1 + random() % 4;
    for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
        const std::size_t at = random() % text.size();
        const char with = inserted[random() % inserted.size()];
        switch (random() % 4) {
        case 0:
            text[at] = with;
            break;
        case 1:
            text.insert(at, 1 + random() % 40, with);
            break;
        case 2:
            text.erase(at, 1 + random() % 60);
            break;
        default:
            text.insert(at, text.substr(random() % text.size(), 200));
        }
    }
    return text;
}

}

// Guards against a check that calls a configuration of the users' form faulty.
TEST_CASE("a configuration as the platform writes it has no findings")
{
    const platform::fleet_rows codec;
    const auto decoded = codec.decodeOperatorRow("config", soundText);
    REQUIRE(decoded);
    CHECK(checkPlan(std::get<serving_plan>(*decoded), {}).empty());
}

// Guards against a configuration that ends the check, or a router that decodes it, in another way than with an error.
TEST_CASE("mutated configurations are refused or checked")
{
    const platform::fleet_rows codec;
    const auto sound = codec.decodeOperatorRow("config", soundText);
    REQUIRE(sound);
    std::mt19937 random(7); // NOLINT(cert-msc51-cpp): the cases must repeat.
    std::size_t decodedCount = 0;
    for (int i = 0; i < 4000; ++i) {
        const auto decoded = codec.decodeOperatorRow("config", mutated(soundText, random));
        if (!decoded || !std::holds_alternative<serving_plan>(*decoded))
            continue;
        ++decodedCount;
        const serving_plan& plan = std::get<serving_plan>(*decoded);
        checkPlan(plan, {});
        comparePlans(std::get<serving_plan>(*sound), plan);
        comparePlans(plan, std::get<serving_plan>(*sound));
    }
    CHECK(decodedCount > 100);
}

// Guards against an error message, and a log line, as long as the row.
TEST_CASE("the reason for which a configuration is refused is short")
{
    const platform::fleet_rows codec;
    const auto endless = codec.decodeOperatorRow("config", R"({"version":)" + std::string(100'000, '9') + "}");
    REQUIRE_FALSE(endless);
    CHECK(endless.error().message.size() < 300);
}
