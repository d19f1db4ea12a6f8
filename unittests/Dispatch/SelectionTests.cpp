#include <doctest/doctest.h>

#include "Fixture.h"
#include "pimentoladder/Dispatch/OverloadGuard.h"

using namespace pimentoladder;
using namespace pimentoladder::dispatch_test;

namespace {

prompt_work makePrompt(std::uint64_t shared, std::uint64_t own)
{
    return { { { shared, 13'000 }, { own, 3'700 } }, 16'700, 120 };
}

fleet_view makeFleet()
{
    fleet_view fleet({});
    fleet.applyPlan(makePlan());
    for (const char* id : { "e1", "e2", "e3" })
        fleet.putServer(makeServer(id, "llm"));
    return fleet;
}

}

// Guards against several engines that each read the same shared part of prompts.
TEST_CASE("requests with the same shared part go to the same engine on every router")
{
    const time_point now { 100s };
    const fleet_view fleet = makeFleet();
    std::set<server_id> used;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        server_selector selector(fleet, {}, seed);
        const prompt_work prompt = makePrompt(42, seed);
        used.insert(selector.select(now, { workspace_id("school"), pool_id("llm"), &prompt, {} })->server);
    }
    CHECK(used.size() == 1);
}

// Guards against a preferred engine that is overloaded while other engines are idle.
TEST_CASE("requests overflow from a delayed preferred engine to another one")
{
    const time_point now { 100s };
    const fleet_view fleet = makeFleet();
    server_selector selector(fleet, {}, 1);
    const prompt_work prompt = makePrompt(42, 1);
    const selection_request wanted { workspace_id("school"), pool_id("llm"), &prompt, {} };
    const server_id preferred = selector.select(now, wanted)->server;
    for (std::uint64_t i = 1; i <= 10; ++i)
        selector.condition(preferred).started(now, attempt_number(i), 3'700);
    CHECK(selector.select(now, wanted)->server != preferred);
}

// Guards against refusing a workspace because the preferred engines of its prompts are
// busy, although other engines are idle. The check FAIR found this in a random scenario.
TEST_CASE("a request within its workspace's share finds an idle engine that is not preferred")
{
    small_fleet fleet;
    serving_plan plan = makePlan(2);
    plan.tokensPerSecond = 1e6;
    fleet.core.applyPlan(plan);
    inbound_request request;
    request.host = "host";
    request.path = "/stream/1";
    request.keyDigest = keyDigest;
    request.timeLeft = 10s;
    request.prompt = makePrompt(42, 1);
    std::set<server_id> used;
    for (int i = 0; i < 40; ++i) {
        request_number number;
        const auto actions = fleet.core.onRequest(fleet.now, request, number);
        if (const auto* opened = find<open_dispatch>(actions))
            used.insert(opened->server);
    }
    CHECK(used.size() == 3);
}

// Guards against a router with a full link or a late loop that takes its own delay for lost servers:
// it held all of them as cold for seconds.
TEST_CASE("a server that goes on answering is not cold because a connection to it did not open in time")
{
    for (const bool isHeard : { true, false }) {
        CAPTURE(isHeard);
        small_fleet fleet;
        inbound_request request;
        request.host = "host";
        request.path = "/stream/1";
        request.keyDigest = keyDigest;
        request.timeLeft = 10s;
        request.prompt = makePrompt(42, 1);
        served_head head;
        head.status = 200;
        head.isAuthentic = true;
        head.isEventStream = true;
        request_number number;
        const auto first = fleet.core.onRequest(fleet.now, request, number);
        const auto* opened = find<open_dispatch>(first);
        REQUIRE(opened);
        fleet.core.mayStartSending(fleet.now, opened->attempt);
        fleet.core.onHead(fleet.now, opened->attempt, head);
        fleet.core.onBytes(fleet.now, opened->attempt, "event", { 1, 1 });
        fleet.now += 10ms;
        const auto second = fleet.core.onRequest(fleet.now, request, number);
        const auto* late = find<open_dispatch>(second);
        REQUIRE(late);
        REQUIRE(late->server == opened->server);
        fleet.now += 200ms;
        if (isHeard)
            fleet.core.onBytes(fleet.now, opened->attempt, "event", { 2, 2 });
        fleet.now += 50ms;
        fleet.core.onAttemptEnded(fleet.now, late->attempt, { attempt_end_kind::notSent, false });
        const auto third = fleet.core.onRequest(fleet.now + 10ms, request, number);
        const auto* next = find<open_dispatch>(third);
        REQUIRE(next);
        CHECK((next->server == opened->server) == isHeard);
    }
}

// Guards against requests that wait for a slot for seconds at engines with few slots.
TEST_CASE("a request that waits for a slot counts by the run time and the slots of its engine")
{
    const time_point now { 100s };
    fleet_view fleet = makeFleet();
    for (const char* id : { "e1", "e2", "e3" }) {
        registered_server engine = makeServer(id, "llm");
        engine.slots = 16;
        fleet.putServer(engine);
    }
    server_selector selector(fleet, {}, 1);
    for (const char* id : { "e1", "e2", "e3" })
        selector.condition(server_id(id)).setLoad(now, { 16, 8, 16 });
    const prompt_work prompt = makePrompt(42, 1);
    const selection_request wanted { workspace_id("school"), pool_id("llm"), &prompt, {} };
    const duration before = selector.select(now, wanted)->expectedFirstEvent;
    selector.recordRun(pool_id("llm"), 2s);
    const duration after = selector.select(now, wanted)->expectedFirstEvent;
    CHECK(after - before == 8 * (2s / 16.0 - 50ms));
}

// Guards against a workspace that was served a fifth of what it is owed and is refused because the
// requests of others have filled the engines: in FAIR on the small twins, 52 of 81 requests.
TEST_CASE("a workspace that got less than half of its share is not shut out by the queues of others")
{
    small_fleet fleet;
    usage_totals sums { 3, { { workspace_id("school"), 200'000, 40'000 }, { workspace_id("large"), 2'000'000, 500'000 }, { workspace_id("huge"), 9'000'000, 600'000 } }, {} };
    inbound_request request;
    request.host = "host";
    request.path = "/stream/1";
    request.keyDigest = keyDigest;
    request.timeLeft = 10s;
    request.prompt = makePrompt(42, 1);
    for (const char* id : { "e1", "e2", "e3" })
        sums.observed.push_back({ server_id(id), 900ms });
    fleet.core.setFleetUsage(fleet.now, sums);
    request_number number;
    CHECK(find<open_dispatch>(fleet.core.onRequest(fleet.now, request, number)));
    // With its share, it waits like the others.
    sums.entries[0].admitted = 200'000;
    fleet.core.setFleetUsage(fleet.now + 1ms, sums);
    CHECK_FALSE(find<open_dispatch>(fleet.core.onRequest(fleet.now + 1ms, request, number)));
}

// Guards against a cold server that gets more requests from all routers together than it
// can take.
TEST_CASE("a router sends a cold server only its part of the allowed rate")
{
    time_point now { 100s };
    const fleet_view fleet = makeFleet();
    selection_limits limits;
    limits.coldShares = 12;
    server_selector selector(fleet, limits, 1);
    for (const char* id : { "e1", "e2", "e3" })
        selector.condition(server_id(id)).setCold(now + 60s);
    int sent = 0;
    for (int step = 0; step < 1000; ++step, now += 10ms) {
        const auto chosen = selector.select(now, { workspace_id("school"), pool_id("llm"), nullptr, { server_id("e2"), server_id("e3") } });
        if (!chosen)
            continue;
        selector.condition(chosen->server).started(now, attempt_number(++sent), 0);
    }
    // A twelfth of the allowed 7.3 requests per second, over 10 seconds: 6.1 requests.
    CHECK(sent <= 7);
    CHECK(sent >= 5);
}

// Guards against shares that leave capacity unused or favour one workspace.
TEST_CASE("the max-min level fills the capacity")
{
    CHECK(maxMinLevel({ 10, 20, 100 }, 60) == doctest::Approx(30));
    CHECK(maxMinLevel({ 10, 20, 30 }, 100) == doctest::Approx(30));
    CHECK(maxMinLevel({ 50, 50 }, 60) == doctest::Approx(30));
}

// Guards against a large workspace that uses the share of others.
TEST_CASE("a workspace above the max-min level exceeds its share")
{
    const time_point now { 100s };
    workspace_share share;
    share.recordAsked(now, workspace_id("small"), 100);
    share.recordAsked(now, workspace_id("large"), 10'000);
    share.recordAdmitted(now, workspace_id("large"), 4'000);
    CHECK(share.use(now, workspace_id("small"), 100, 2'000, 1).ofCapacity < 1);
    CHECK(share.use(now, workspace_id("large"), 100, 2'000, 1).ofCapacity > 1);
    // What was admitted long ago does not count.
    share.recordAsked(now + 5s, workspace_id("large"), 100);
    CHECK(share.use(now + 5s, workspace_id("large"), 100, 2'000, 1).ofCapacity <= 1);
}

// Guards against a workspace that gets a full share at each router that it uses.
TEST_CASE("the fleet's sums are used as long as they are recent")
{
    const time_point now { 100s };
    usage_aggregator sums;
    const member_ref first { vm_id("r1"), incarnation(1) };
    const member_ref second { vm_id("r2"), incarnation(1) };
    for (const member_ref& each : { first, second })
        sums.onReport(now, each, usage_report {});
    for (int repeat = 0; repeat < 2; ++repeat) {
        sums.onReport(now, first, { { { workspace_id("large"), 8'000, 3'000 }, { workspace_id("small"), 50, 0 } }, {} });
        sums.onReport(now, second, { { { workspace_id("large"), 8'000, 3'000 } }, {} });
    }
    const usage_totals totals = sums.totals(now);
    CHECK(totals.routers == 2);
    REQUIRE(totals.entries.size() == 2);
    CHECK(totals.entries[0].admitted == doctest::Approx(6'000));
    workspace_share share;
    share.setFleet(now, totals);
    CHECK(share.use(now, workspace_id("large"), 100, 2'000, 2).ofCapacity > 1);
    CHECK(share.use(now, workspace_id("small"), 50, 2'000, 2).ofCapacity < 1);
    // Sums that do not arrive any more still tell more than one router's usage.
    CHECK(share.use(now + 3s, workspace_id("large"), 100, 2'000, 2).ofCapacity > 1);
    CHECK(share.use(now + 11s, workspace_id("large"), 100, 2'000, 2).ofCapacity <= 1);
}

// Guards against a cold server that gets its full allowed rate from each of many routers.
TEST_CASE("only a few routers of a large fleet send to a cold server")
{
    const fleet_view fleet = makeFleet();
    std::vector<vm_id> routers;
    for (int i = 0; i < 100; ++i)
        routers.emplace_back("router-" + std::to_string(i));
    int senders = 0;
    for (const vm_id& self : routers) {
        selection_limits limits;
        limits.self = self;
        server_selector selector(fleet, limits, 1);
        selector.setRouters(routers);
        selector.condition(server_id("e1")).setCold(time_point(200s));
        const bool mayUse = selector.select(time_point(100s), { workspace_id("school"), pool_id("llm"), nullptr, { server_id("e2"), server_id("e3") } }).has_value();
        senders += mayUse ? 1 : 0;
    }
    CHECK(senders == 8);
}

// Guards against a router on a small VM that keeps connections it cannot serve, and
// against one that reports itself unready for a single late event.
TEST_CASE("a persistent lag is an overload, a single late event is not")
{
    time_point now { 100s };
    overload_guard guard(1);
    guard.onSample(now, { 5s, 5s, {} });
    CHECK_FALSE(guard.isOverloaded());
    for (int i = 0; i < 40; ++i)
        guard.onSample(now += 50ms, { 300ms, 300ms, {} });
    CHECK(guard.isOverloaded());
    CHECK_FALSE(guard.shouldShedConnections(now));
    CHECK(guard.shouldShedConnections(now + 3s));
    // An overload lasts at least four seconds, of which more than one has passed.
    for (int i = 0; i < 60; ++i)
        guard.onSample(now += 50ms, { 1ms, 1ms, {} });
    CHECK_FALSE(guard.isOverloaded());
}

// Guards against a router that accepts the load again as soon as it has moved away.
TEST_CASE("an overload lasts at least four seconds")
{
    time_point now { 100s };
    overload_guard guard(1);
    while (!guard.isOverloaded())
        guard.onSample(now += 50ms, { 200ms, 200ms, {} });
    const time_point entered = now;
    while (now < entered + 3900ms) {
        guard.onSample(now += 50ms, { 0ms, 0ms, {} });
        CHECK(guard.isOverloaded());
    }
    for (int i = 0; i < 4; ++i)
        guard.onSample(now += 50ms, { 0ms, 0ms, {} });
    CHECK_FALSE(guard.isOverloaded());
}

// Guards against a router that does not notice its overload because the samples of a
// lagging loop are rare.
TEST_CASE("rare samples of a large lag are an overload within two seconds")
{
    time_point now { 100s };
    overload_guard guard(1);
    guard.onSample(now, { 0ms, 0ms, {} });
    for (int i = 0; i < 5; ++i)
        guard.onSample(now += 400ms, { 350ms, 400ms, {} });
    CHECK(guard.isOverloaded());
}

// Guards against a VM that was suspended or frozen again and again and takes that for its own load.
TEST_CASE("a lag without processor time is no overload")
{
    time_point now { 100s };
    overload_guard guard(0.12);
    for (int i = 0; i < 20; ++i)
        guard.onSample(now += 1s, { 950ms, 1ms, {} });
    CHECK_FALSE(guard.isOverloaded());
    CHECK(guard.lag() < load_shedder::targetLag);
}
