#include "pimentoladder/Daemon/DecisionLog.h"

#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

struct fixture {
    fixture()
        : log(
            log_level::info, [this](std::string_view line) { lines.push_back(nlohmann::json::parse(line)); return true; }, [] { return time_point(5s); })
        , decisions(log)
    {
    }

    std::vector<nlohmann::json> lines;
    logger log;
    decision_log decisions;
};

}

// Guards against a routing decision that cannot be traced from its log line.
TEST_CASE("a routing decision is one line with all of its inputs")
{
    fixture test;
    test.decisions.perform(route_decision { request_number(1), attempt_number(2), workspace_id("ws"), pool_id("portal"), server_id("portal-0"),
        shard_id("portal/0"), { vm_id("entry-1"), incarnation(9) }, fencing_token(3), grant_number(4), 1500us, revision(6), 7 });
    REQUIRE(test.lines.size() == 1);
    const nlohmann::json expected { { "time_ns", 5'000'000'000 }, { "level", "info" }, { "event", "request_routed" }, { "request", 1 }, { "attempt", 2 },
        { "workspace", "ws" }, { "pool", "portal" }, { "server", "portal-0" }, { "rule", "grant" }, { "shard", "portal/0" }, { "owner", "entry-1" },
        { "token", 3 }, { "grant", 4 }, { "candidates", 7 }, { "waited_us", 1500 }, { "revision", 6 } };
    CHECK(test.lines[0] == expected);
}

// Guards against logging the loss of a shard like its acquisition.
TEST_CASE("acquiring and releasing a shard are logged as different events")
{
    fixture test;
    test.decisions.perform(ownership_decision { shard_id("portal/0"), fencing_token(3), true, time_point(2s) });
    test.decisions.perform(ownership_decision { shard_id("portal/0"), fencing_token(3), false, {} });
    REQUIRE(test.lines.size() == 2);
    CHECK(test.lines[0]["event"] == "shard_taken");
    CHECK(test.lines[0]["grants_from_ns"] == 2'000'000'000);
    CHECK(test.lines[1]["event"] == "shard_left");
}
