#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "pimentoladder/Admin/Operators.h"
#include "pimentoladder/Daemon/FleetFollower.h"
#include "platform/FleetRows.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

constexpr const char* configuration = R"({"version":7,"routes":[
 {"name":"r1","host":"h","prefix":"/a/","route_type":"streaming","timeout_ms":10000,"latency_goal_ms":800,"priority":1,
  "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":2,"anonymous":false,"sticky":true,
  "resumable":true,"itl_target_ms":300},
 {"name":"r2","host":"h","prefix":"/b/","route_type":"non_idempotent","timeout_ms":1000.5,"service":"s2"}],
 "services":[{"name":"s1","health_path":"/healthz","max_connections":370,"cold_start_s":3.0,"cold_per_s":7.3,
  "inference_engine":{"slots":64,"kv_capacity_tokens":493270}},{"name":"s2"}],
 "limits":{"max_header_bytes":16384,"tokens_per_s":350000},"tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1}]})";

}

// Guards against a field of the configuration that is not decoded.
TEST_CASE("a configuration is decoded into routes, pools and workspaces")
{
    const platform::fleet_rows codec;
    const auto row = codec.decodeOperatorRow("config", configuration);
    REQUIRE(row);
    const auto& plan = std::get<serving_plan>(*row);
    CHECK(plan.version == revision(7));
    REQUIRE(plan.routes.size() == 2);
    CHECK(plan.routes[0].repeat == repeat_policy::resumable);
    CHECK(plan.routes[0].pools.size() == 2);
    CHECK(plan.routes[0].objective == 800ms);
    CHECK(plan.routes[0].pauseLimit == 300ms);
    CHECK(plan.routes[0].maxAttempts == 2);
    CHECK(plan.routes[1].repeat == repeat_policy::atMostOnce);
    CHECK(plan.routes[1].timeout == 1000500us);
    CHECK(plan.pools.at(pool_id("s1")).kind == pool_kind::model);
    CHECK(plan.pools.at(pool_id("s1")).coldRequestsPerSecond == doctest::Approx(7.3));
    REQUIRE(plan.workspaces);
    REQUIRE(plan.workspaces->size() == 1);
    CHECK(plan.workspaces->front().keyDigests == std::vector<std::string> { sha256Hex("k1"), sha256Hex("k2") });
    CHECK(plan.tokensPerSecond == doctest::Approx(350000));
}

// Guards against a list of workspaces without an entry that is decoded as no list, which opens
// the routes to everybody, and against one unreadable key that keeps withdrawn keys in force.
TEST_CASE("no list of workspaces, an empty one and one with unreadable entries are decoded apart")
{
    const platform::fleet_rows codec;
    const auto decode = [&](const std::string& field) {
        return codec.decodeOperatorRow("config", R"({"version":3,"services":[],"routes":[])" + field + "}");
    };
    const auto planOf = [&](const std::string& field) { return std::get<serving_plan>(decode(field).value()); };
    CHECK_FALSE(planOf("").workspaces);
    REQUIRE(planOf(R"(,"tenants":[])").workspaces);
    CHECK(planOf(R"(,"tenants":[])").workspaces->empty());
    for (const char* noList : { "null", "{}", R"({"name":"t","api_keys":["k"]})", R"("k")", "0", "false" })
        CHECK_FALSE(decode(R"(,"tenants":)" + std::string(noList)));
    for (const char* unreadable : { "null", "5", R"("k")", R"({"name":"t"})", R"({"api_keys":["k"]})", R"({"name":"t","api_keys":"k"})",
             R"({"name":"t","api_keys":null})", R"({"name":null,"api_keys":["k"]})" }) {
        CAPTURE(unreadable);
        const serving_plan plan = planOf(R"(,"tenants":[)" + std::string(unreadable) + R"(,{"name":"u","api_keys":["l"]}])");
        REQUIRE(plan.workspaces);
        REQUIRE(plan.workspaces->size() == 1);
        CHECK(plan.workspaces->front().keyDigests == std::vector<std::string> { sha256Hex("l") });
        CHECK(plan.unreadableKeys == 1);
    }
    const serving_plan mixed = planOf(R"(,"tenants":[{"name":"t","api_keys":["k",null,"",7,["m"]]},{"name":"u","api_keys":[]}])");
    REQUIRE(mixed.workspaces->size() == 2);
    CHECK(mixed.workspaces->front().keyDigests == std::vector<std::string> { sha256Hex("k") });
    CHECK(mixed.workspaces->back().keyDigests.empty());
    CHECK(mixed.unreadableKeys == 4);
}

// Guards against malformed rows that terminate the process or are decoded as valid.
TEST_CASE("malformed rows are errors")
{
    const platform::fleet_rows codec;
    for (const char* text : { "", "[]", "{", "null", R"({"version":1})", R"({"version":"x","routes":[],"services":[]})" })
        CHECK_FALSE(codec.decodeOperatorRow("config", text));
    for (const char* text : { "", "{}", "[1]", R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,"state":"odd"})",
             R"({"service":"s","address":"nowhere","zone":"a","slots":4,"state":"ready"})",
             R"({"service":1,"address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready"})",
             R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":"4","state":"ready"})" })
        CHECK_FALSE(codec.decodeServer("i-1", text));
}

// Guards against a server with four billion slots, or a process that ends, because of one odd row.
TEST_CASE("a registration with a number or an address out of range names no server")
{
    const platform::fleet_rows codec;
    const auto rowWith = [](const std::string& field, const std::string& value) {
        nlohmann::json row = nlohmann::json::parse(R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready","cold_left_ms":0,"born":1,"sequence":1})");
        row.erase(field);
        std::string text = row.dump();
        text.insert(1, "\"" + field + "\":" + value + ",");
        return text;
    };
    REQUIRE(codec.decodeServer("i-1", rowWith("slots", "4")));
    REQUIRE(codec.decodeServer("i-1", rowWith("other", R"("[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[")")));
    for (const char* value : { "-1", "0", "1e30", "4.7", "true", "99999999999", "null", "[]" })
        CHECK_FALSE(codec.decodeServer("i-1", rowWith("slots", value)));
    for (const char* value : { "-1", "1e15", "1e300", "true", "\"5\"" })
        CHECK_FALSE(codec.decodeServer("i-1", rowWith("cold_left_ms", value)));
    for (const char* field : { "born", "sequence" }) {
        for (const char* value : { "-1", "1e30", "0.5", "\"1\"" })
            CHECK_FALSE(codec.decodeServer("i-1", rowWith(field, value)));
    }
    for (const char* value : { "999.1.1.1:80", "nowhere:80", "10.0.0.1:99999", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:", ":80" })
        CHECK_FALSE(codec.decodeServer("i-1", rowWith("address", std::string("\"") + value + "\"")));
    const std::size_t depth = 400'000;
    CHECK_FALSE(codec.decodeServer("i-1", rowWith("other", std::string(depth, '[') + std::string(depth, ']'))));
    CHECK_FALSE(codec.decodeOperatorRow("config", std::string(depth, '[')));
}

// Guards against an odd configuration that is put in force with other values than it names.
TEST_CASE("a configuration with a number out of range is an error")
{
    const platform::fleet_rows codec;
    const auto configurationWith = [](const std::string& fields) {
        return R"({"version":3,"services":[],"routes":[{"host":"h","prefix":"/a/","route_type":"idempotent","service":"s")" + fields + "}]}";
    };
    REQUIRE(codec.decodeOperatorRow("config", configurationWith(R"(,"timeout_ms":500)")));
    for (const char* fields : { R"(,"timeout_ms":-1)", R"(,"timeout_ms":1e300)", R"(,"timeout_ms":500,"max_attempts":-1)", R"(,"timeout_ms":500,"max_attempts":0)" })
        CHECK_FALSE(codec.decodeOperatorRow("config", configurationWith(fields)));
    for (const char* version : { "-1", "1e30", "0.5" })
        CHECK_FALSE(codec.decodeOperatorRow("config", std::string(R"({"version":)") + version + R"(,"services":[],"routes":[]})"));
}

TEST_CASE("registrations and evacuations are decoded")
{
    const platform::fleet_rows codec;
    const auto server = codec.decodeServer("i-1", R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,"state":"draining","cold_left_ms":1500,"born":17,"sequence":4})");
    REQUIRE(server);
    CHECK(server->isLeaving);
    CHECK(server->location == endpoint { "10.0.0.1", 80 });
    CHECK(server->remainingColdTime == 1500ms);
    CHECK(server->start == incarnation(17));
    const auto out = codec.decodeOperatorRow("evacuate/zone-1", "{}");
    REQUIRE(out);
    CHECK(std::get<evacuated_data_centre>(*out).dataCentre == data_centre_id("zone-1"));
    CHECK(std::holds_alternative<unrelated_row>(*codec.decodeOperatorRow("other", "?")));
}

// Guards against an order that cannot be read and yet moves requests, or moves those of another pool.
TEST_CASE("orders of roll-outs are decoded, or refused as unreadable")
{
    const platform::fleet_rows codec;
    const auto row = codec.decodeOperatorRow("rollout/llm", R"({"service":"llm","to":"v2","duration_s":12.5})");
    REQUIRE(row);
    CHECK(std::get<ordered_rollout>(*row).order == rollout_order { pool_id("llm"), "v2", 12500ms });
    for (const char* value : { "?", "{}", R"({"service":"other","to":"v2","duration_s":12})", R"({"service":"llm","to":"","duration_s":12})", R"({"service":"llm","to":2,"duration_s":12})",
             R"({"service":"llm","to":"v2"})", R"({"service":"llm","to":"v2","duration_s":-1})", R"({"service":"llm","to":"v2","duration_s":1e300})", R"({"service":"llm","to":"v2","duration_s":"12"})" }) {
        CAPTURE(value);
        CHECK_FALSE(codec.decodeOperatorRow("rollout/llm", value));
    }
}

// Guards against a state that the operator cannot find or read.
TEST_CASE("the state of a roll-out is written as the operator reads it")
{
    const platform::fleet_rows codec;
    CHECK(codec.stateTable() == "status");
    CHECK(codec.rolloutStateKey(pool_id("llm")) == "rollout/llm");
    CHECK(codec.encodeRolloutState("v2", rollout_state::inProgress) == R"({"state":"in_progress","to":"v2"})");
    CHECK(codec.encodeRolloutState("v2", rollout_state::completed) == R"({"state":"completed","to":"v2"})");
    CHECK(codec.encodeRolloutState("v2", rollout_state::reverted) == R"({"state":"reverted","to":"v2"})");
}

// Guards against an operator who gives the same order again, after a roll-out was reverted, and gets no roll-out.
TEST_CASE("an order that is written again with the same text is a new order")
{
    const platform::fleet_rows codec;
    const decoded_rules rules(codec);
    const auto operators = static_cast<std::uint32_t>(followed_table::operators);
    const published_row first { "rollout/llm", R"({"service":"llm","to":"v2","duration_s":12})", { {}, revision(7) }, false };
    published_row again = first;
    CHECK_FALSE(rules.isSignificant(operators, first, again));
    again.position.at = revision(9);
    CHECK(rules.isSignificant(operators, first, again));
    const published_row plan { "config", R"({"version":1,"routes":[],"services":[]})", { {}, revision(7) }, false };
    published_row rewritten = plan;
    rewritten.position.at = revision(9);
    CHECK_FALSE(rules.isSignificant(operators, plan, rewritten));
}

namespace {

published_row makeConfiguration(int version, const std::string& tenants = "[]")
{
    return { "config", R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[],"tenants":)" + tenants + "}", {}, false };
}

published_row makeRegistration(int born, int sequence, const std::string& state, bool isDeleted = false)
{
    return { "i-1", R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":1,"state":")" + state + R"(","born":)" + std::to_string(born) + R"(,"sequence":)" + std::to_string(sequence) + "}", {}, isDeleted };
}

}

// Guards against rows of a restored store that are taken for newer than the rows in force.
TEST_CASE("rows are ordered as their writers wrote them")
{
    const platform::fleet_rows codec;
    const decoded_rules rules(codec);
    const auto operators = static_cast<std::uint32_t>(followed_table::operators);
    const auto servers = static_cast<std::uint32_t>(followed_table::servers);
    CHECK(std::is_lt(rules.order(operators, makeConfiguration(9), makeConfiguration(10))));
    CHECK(std::is_eq(rules.order(operators, makeConfiguration(9), makeConfiguration(9))));
    CHECK(rules.order(operators, makeConfiguration(9), makeConfiguration(9, R"([{"name":"t","api_keys":["k"]}])")) == std::partial_ordering::unordered);
    CHECK(rules.order(operators, makeConfiguration(9), { "config", "?", {}, false }) == std::partial_ordering::unordered);
    CHECK(std::is_gt(rules.order(servers, makeRegistration(5, 9, "draining"), makeRegistration(5, 7, "ready"))));
    CHECK(std::is_lt(rules.order(servers, makeRegistration(5, 9, "draining"), makeRegistration(6, 1, "ready"))));
    CHECK(rules.order(servers, makeRegistration(5, 3, "ready", true), makeRegistration(5, 7, "ready")) == std::partial_ordering::unordered);
    CHECK(std::is_lt(rules.order(servers, makeRegistration(5, 3, "ready", true), makeRegistration(6, 1, "ready"))));
    CHECK_FALSE(rules.isSignificant(servers, makeRegistration(5, 3, "ready"), makeRegistration(5, 4, "ready")));
}
