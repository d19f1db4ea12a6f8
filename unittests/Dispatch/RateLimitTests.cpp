#include <algorithm>
#include <memory>
#include <random>

#include <doctest/doctest.h>

#include "Fixture.h"
#include "pimentoladder/Dispatch/FleetLimits.h"

using namespace pimentoladder;
using namespace pimentoladder::dispatch_test;

namespace {

constexpr time_point start { 100s };

// Routers that select servers from the same fleet, each with its own view of the members.
struct router_group {
    explicit router_group(std::size_t count, std::vector<std::string> servers)
        : fleet(freshness_limits {})
    {
        fleet.applyPlan(makePlan());
        for (const std::string& id : servers)
            fleet.putServer(makeServer(id, "llm"));
        for (std::size_t i = 0; i < count; ++i)
            members.emplace_back("router-" + std::to_string(i));
        for (std::size_t i = 0; i < count; ++i) {
            selection_limits limits;
            limits.self = members[i];
            routers.push_back(std::make_unique<server_selector>(fleet, limits, i + 1));
            routers.back()->setRouters(members);
        }
    }

    void nameLimit(time_point now, const std::string& server, double perSecond)
    {
        for (auto& router : routers)
            router->condition(server_id(server)).setLimit(now, { limit_notice::limited, perSecond }, now);
    }

    // Sends one request through a router. Returns the server, or nothing if none may be used.
    std::optional<server_id> send(time_point now, std::size_t router)
    {
        selection_request wanted { workspace_id("school"), pool_id("llm"), nullptr, {} };
        wanted.limited = routers[router]->condition(server_id("e1")).isLimited(now) ? limited_servers::only : limited_servers::excluded;
        wanted.limitTolerance = 0.5;
        const auto chosen = routers[router]->select(now, wanted);
        if (!chosen)
            return std::nullopt;
        server_condition& condition = routers[router]->condition(chosen->server);
        const attempt_number attempt(++sent);
        condition.started(now, attempt, 0);
        condition.ended(attempt);
        return chosen->server;
    }

    fleet_view fleet;
    std::vector<vm_id> members;
    std::vector<std::unique_ptr<server_selector>> routers;
    std::uint64_t sent = 0;
};

// Returns the most entries of \p times within any four seconds.
std::size_t mostInFourSeconds(const std::vector<time_point>& times)
{
    std::size_t most = 0;
    for (const time_point from : times)
        most = std::max<std::size_t>(most, static_cast<std::size_t>(std::count_if(times.begin(), times.end(), [&](time_point at) { return at >= from && at < from + 4s; })));
    return most;
}

}

TEST_CASE("all routers together exceed the request limit of a server that is the only one left")
{
    for (const std::size_t count : { 1U, 8U, 91U }) {
        for (const double limit : { 0.0, 1.2, 3.8 }) {
            router_group group(count, { "e1" });
            group.nameLimit(start, "e1", limit);
            std::vector<time_point> arrivals;
            std::mt19937_64 random(7);
            for (time_point now = start; now < start + 40s; now += 5ms) {
                group.nameLimit(now, "e1", limit);
                if (group.send(now, random() % count))
                    arrivals.push_back(now);
            }
            CHECK(static_cast<double>(mostInFourSeconds(arrivals)) <= 1.5 * limit * 4 + 5);
            const double used = static_cast<double>(arrivals.size()) / 40;
            CHECK(used >= 0.7 * limit);
            CHECK(used > 0);
        }
    }
}

TEST_CASE("a request limit is exceeded while the routers' views of the members differ")
{
    router_group group(8, { "e1" });
    std::mt19937_64 random(9);
    for (auto& router : group.routers) {
        std::vector<vm_id> seen = group.members;
        seen.erase(seen.begin() + static_cast<std::ptrdiff_t>(random() % seen.size()));
        router->setRouters(std::move(seen));
    }
    std::vector<time_point> arrivals;
    for (time_point now = start; now < start + 40s; now += 5ms) {
        group.nameLimit(now, "e1", 2);
        if (group.send(now, random() % 8))
            arrivals.push_back(now);
    }
    CHECK(mostInFourSeconds(arrivals) <= 1.5 * 2 * 4 + 5);
}

TEST_CASE("a server whose limit has ended gets all that was held back at once")
{
    router_group group(8, { "e1" });
    group.nameLimit(start, "e1", 2);
    for (auto& router : group.routers)
        router->condition(server_id("e1")).setLimit(start + 10s, {}, start + 9s + 999ms);
    for (auto& router : group.routers)
        router->condition(server_id("e1")).setLimit(start + 11s, {}, start + 10s);
    std::size_t firstHalf = 0;
    std::size_t later = 0;
    std::mt19937_64 random(3);
    for (time_point now = start + 11s; now < start + 16s; now += 5ms) {
        const bool isSent = group.send(now, random() % 8).has_value();
        (now < start + 11s + 500ms ? firstHalf : later) += isSent ? 1 : 0;
    }
    CHECK(firstHalf <= 12);
    // After the ramp every request is sent: 200 a second for the last two seconds.
    CHECK(later >= 400);
}

TEST_CASE("a limit is forgotten because of a response that was made before it was named")
{
    server_condition condition;
    CHECK(condition.setLimit(start, { limit_notice::limited, 2 }, start - 1s));
    CHECK_FALSE(condition.setLimit(start + 100ms, {}, start - 500ms));
    CHECK(condition.limitRate(start + 100ms, 8)->senders < 8);
    CHECK(condition.setLimit(start + 1s, { limit_notice::unreadable, 0, "many" }, start + 500ms));
    CHECK(condition.limitRate(start + 1s, 8)->senders < 8);
}

TEST_CASE("a router that was restarted exceeds a limit that only its peers know")
{
    fleet_limits reader;
    server_condition told;
    told.setLimit(start, { limit_notice::limited, 2 }, start);
    const auto own = told.ownLimit(start + 1s, server_id("e1"));
    REQUIRE(own);
    CHECK(own->age == 1s);
    reader.merge(start + 1s, { { *own } });
    small_fleet restarted;
    restarted.now = start + 2s;
    const auto actions = restarted.core.onServerLimits(restarted.now, reader.newest(restarted.now));
    const auto* change = find<limit_change>(actions);
    REQUIRE(change);
    CHECK(change->notice == limit_notice::limited);
    CHECK_FALSE(change->isOwn);
    CHECK(change->age == 2s);
}

TEST_CASE("an older report overrides a newer one about a limit")
{
    fleet_limits reader;
    reader.merge(start, { { { server_id("e1"), false, 0, 100ms } } });
    reader.merge(start, { { { server_id("e1"), true, 2, 900ms } } });
    REQUIRE(reader.newest(start).entries.size() == 1);
    CHECK_FALSE(reader.newest(start).entries.front().isLimited);
    CHECK(reader.newest(start + 11s).entries.empty());
    server_condition condition;
    CHECK_FALSE(condition.limitSeenByFleet(start, { server_id("e1"), false, 0, 100ms }));
    CHECK_FALSE(condition.limitSeenByFleet(start, { server_id("e1"), true, 2, 900ms }));
}

TEST_CASE("a limit stays in force for a server that has given no response for a long time")
{
    server_condition condition;
    condition.setLimit(start, { limit_notice::limited, 2 }, start);
    CHECK(condition.limitRate(start + 9s, 8));
    CHECK_FALSE(condition.limitRate(start + 20s, 8));
}

TEST_CASE("a request is held or sent away without a true Retry-After while all servers are limited")
{
    small_fleet fleet;
    std::optional<refuse_inbound> refused;
    for (int i = 0; i < 20 && !refused; ++i) {
        request_number number;
        const auto actions = fleet.send("/stream/1", number);
        if (const auto* opened = find<open_dispatch>(actions)) {
            fleet.core.mayStartSending(fleet.now, opened->attempt);
            served_head head;
            head.status = 200;
            head.isAuthentic = true;
            head.limit = { limit_notice::limited, 0.5 };
            fleet.core.onHead(fleet.now, opened->attempt, head);
        }
        if (const auto* each = find<refuse_inbound>(actions))
            refused = *each;
    }
    REQUIRE(refused);
    CHECK(refused->kind == refusal_kind::noEligibleServer);
    CHECK(refused->retryAfter > 1s);
    CHECK(refused->retryAfter <= duration(10s) / 3);
}

TEST_CASE("engines that take few requests stay idle while requests are refused for want of capacity")
{
    small_fleet fleet;
    fleet.now += 10s;
    fleet.core.confirm(fleet.now);
    serving_plan plan = makePlan(2);
    plan.tokensPerSecond = 1e6;
    fleet.core.applyPlan(plan);
    inbound_request request;
    request.host = "host";
    request.path = "/stream/1";
    request.keyDigest = keyDigest;
    request.timeLeft = 10s;
    fleet.core.onServerLimits(fleet.now, { { { server_id("e1"), true, 2, 0ms } } });
    std::size_t toLimited = 0;
    std::size_t toOthers = 0;
    for (int i = 0; i < 400; ++i, fleet.now += 10ms) {
        fleet.core.confirm(fleet.now);
        request.prompt = prompt_work { { { 42, 13'000 }, { 1000U + i, 3'700 } }, 16'700, 120 };
        request_number number;
        const auto actions = fleet.core.onRequest(fleet.now, request, number);
        const auto* opened = find<open_dispatch>(actions);
        if (!opened)
            continue;
        const attempt_number attempt = opened->attempt;
        const bool isLimited = opened->server == server_id("e1");
        ++(isLimited ? toLimited : toOthers);
        fleet.core.mayStartSending(fleet.now, attempt);
        // The limited engine answers; the others stay busy.
        if (isLimited)
            fleet.core.onCallerDisconnected(fleet.now, number);
    }
    CHECK(toOthers > 0);
    CHECK(static_cast<double>(toLimited) >= 0.7 * 2 * 4);
    CHECK(static_cast<double>(toLimited) <= 1.5 * 2 * 4 + 5);
}

TEST_CASE("a fair share is computed from capacity that request limits have taken away")
{
    const fleet_view fleet = [] {
        fleet_view made { freshness_limits {} };
        made.applyPlan(makePlan());
        for (const char* id : { "e1", "e2", "e3", "e4" })
            made.putServer(makeServer(id, "llm"));
        return made;
    }();
    server_selector selector(fleet, {}, 1);
    CHECK(selector.usableThroughput(start, 4e5, 1e4) == doctest::Approx(4e5));
    for (const char* id : { "e1", "e2" })
        selector.condition(server_id(id)).setLimit(start, { limit_notice::limited, 2 }, start);
    // Two engines process 1e5 tokens each, the others two requests of 1e4 tokens each.
    CHECK(selector.usableThroughput(start, 4e5, 1e4) == doctest::Approx(2e5 + 2 * 0.95 * 2e4));
}
