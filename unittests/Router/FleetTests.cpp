#include "FleetHarness.h"

#include <algorithm>
#include <optional>

#include <doctest/doctest.h>

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

const shard_id portalShard("portal#0");

/// Commits `smallDocument` and creates a fake of each of its servers.
void configure(fleet_harness& fleet, std::size_t dataCentres = 4, std::size_t workspaces = 4)
{
    const auto values = smallDocument(dataCentres, workspaces);
    for (const document_value& value : values) {
        if (const auto* server = std::get_if<backend_server>(&value))
            fleet.servers[server->id] = fake_server();
    }
    fleet.change(0, values);
}

/// Sends portal reads at a steady rate over all routers that are up.
void sendReads(fleet_harness& fleet, duration length, duration interval)
{
    const time_point end = fleet.now() + length;
    for (std::size_t i = 0; fleet.now() < end; ++i) {
        fleet.send(i % fleet.size(), "ws-" + std::to_string(i % 4), "GET", "/portal/index");
        fleet.run(interval);
    }
}

std::size_t countAnswered(const fleet_harness& fleet, std::size_t from = 0)
{
    return static_cast<std::size_t>(std::count_if(fleet.requests.begin() + static_cast<std::ptrdiff_t>(from), fleet.requests.end(), [](const auto& seen) { return seen.isAnswered; }));
}

/// Returns the time of the latest execution in a data centre, which is given by
/// the suffix of its servers' names.
time_point lastExecutionIn(const fleet_harness& fleet, const std::string& dataCentre)
{
    time_point last;
    for (const observed_execution& seen : fleet.executions) {
        if (seen.server.value().ends_with(dataCentre))
            last = std::max(last, seen.at);
    }
    return last;
}

void checkLimits(const fleet_harness& fleet)
{
    for (const auto& [id, server] : fleet.servers) {
        CAPTURE(id.value());
        CHECK(server.mostInFlightCold <= server.coldLimit);
        CHECK(server.mostInFlight <= server.warmLimit);
    }
}

void checkNotRunRefusals(const fleet_harness& fleet)
{
    for (const observed_request& seen : fleet.requests) {
        if (seen.refused && refusalOf(*seen.refused).ran == run_state::notRun)
            CHECK(seen.executions == 0);
    }
}

}

// Guards against routers that do not join the fleet, and against a message or
// request path that is not wired up.
TEST_CASE("a fleet starts and serves requests on every router")
{
    fleet_harness fleet(4, 1);
    fleet.startAll();
    configure(fleet);
    fleet.run(6s);
    for (std::size_t router = 0; router < fleet.size(); ++router) {
        CHECK(fleet.core(router).fleet().isFresh(fleet.now()));
        CHECK(fleet.core(router).fleet().current().members.size() == 4);
        CHECK(fleet.core(router).fleet().current().at == fleet.table.at);
    }
    sendReads(fleet, 2s, 10ms);
    fleet.run(1s);
    CHECK(countAnswered(fleet) == fleet.requests.size());
    checkLimits(fleet);
}

// Guards against histories in which an execution cannot be checked, because the
// limit under which it started was not reported or was reported too late (P3).
TEST_CASE("the owner reports each limit before requests start under it")
{
    constexpr duration grantDeliveryBound = 1100ms; // Lifetime of a grant plus its delivery to the server.
    fleet_harness fleet(4, 1);
    fleet.startAll();
    configure(fleet);
    fleet.run(6s);
    sendReads(fleet, 2s, 2ms);
    fleet.kill(fleet.ownerOf(0, portalShard));
    sendReads(fleet, 10s, 5ms);
    CHECK(fleet.reportedLimits.size() > 2 * fleet.servers.size());
    for (const observed_execution& execution : fleet.executions) {
        std::uint32_t highest = 0;
        std::optional<std::uint32_t> before;
        for (const observed_limit& stated : fleet.reportedLimits) {
            if (stated.server != execution.server || stated.at > execution.at)
                continue;
            if (stated.at < execution.at - grantDeliveryBound)
                before = stated.limit;
            else
                highest = std::max(highest, stated.limit);
        }
        highest = std::max(highest, before.value_or(0));
        REQUIRE(execution.inFlight <= highest);
    }
}

// Guards against a change that reaches the other routers only after the timeout
// of a fetch, because its writer announced it before it had read the rows itself.
TEST_CASE("a change is in force on every router well before a fetch times out")
{
    fleet_harness fleet(4, 7);
    fleet.startAll();
    configure(fleet);
    fleet.run(6s);
    const revision changed = fleet.change(1, { service_rule { rule_id("out"), *selector::parse("site=dc-2") } });
    fleet.run(100ms);
    for (std::size_t router = 0; router < fleet.size(); ++router)
        CHECK(fleet.core(router).fleet().current().at >= changed);
}

// Guards against requests sent to a data centre after operators took it out of
// service (P4).
TEST_CASE("a data centre out of service receives no new requests three seconds after acceptance")
{
    fleet_harness fleet(4, 2);
    fleet.startAll();
    configure(fleet);
    fleet.run(6s);
    sendReads(fleet, 2s, 5ms);
    const time_point acceptedBy = fleet.now() + 1s;
    fleet.change(1, { service_rule { rule_id("out"), *selector::parse("site=dc-2") } });
    const std::size_t before = fleet.requests.size();
    sendReads(fleet, 8s, 5ms);
    fleet.run(1s);
    CHECK(lastExecutionIn(fleet, "-2") < acceptedBy + 3s);
    CHECK(countAnswered(fleet, before) == fleet.requests.size() - before);
}

// Guards against a router that continues under an old configuration while it is
// partitioned from the table and from its peers (P4, P10).
TEST_CASE("a router that is cut off refuses requests and recovers without reverting its document")
{
    fleet_harness fleet(4, 3);
    fleet.startAll();
    configure(fleet);
    fleet.run(6s);
    for (std::size_t other = 0; other < 3; ++other)
        fleet.cut(3, other, true);
    fleet.cutFromTable(3, true);
    fleet.change(0, { service_rule { rule_id("out"), *selector::parse("site=dc-1") } });
    fleet.run(4s);
    CHECK_FALSE(fleet.core(3).fleet().isFresh(fleet.now()));
    const std::size_t refused = fleet.send(3, "ws-0", "GET", "/portal/index");
    CHECK(fleet.requests[refused].refused == refusal_kind::notFresh);
    for (std::size_t other = 0; other < 3; ++other)
        fleet.cut(3, other, false);
    fleet.cutFromTable(3, false);
    fleet.run(10s);
    CHECK(fleet.core(3).fleet().isFresh(fleet.now()));
    CHECK(fleet.core(3).fleet().current().at == fleet.table.at);
    const std::size_t served = fleet.send(3, "ws-0", "GET", "/portal/index");
    fleet.run(1s);
    CHECK(fleet.requests[served].isAnswered);
    checkNotRunRefusals(fleet);
}

// Guards against servers for which no grants are issued any more because the owner
// of their shard failed.
TEST_CASE("the shards of a killed router are granted again by another")
{
    fleet_harness fleet(4, 4);
    fleet.startAll();
    configure(fleet);
    fleet.run(6s);
    sendReads(fleet, 1s, 5ms);
    const std::size_t owner = fleet.ownerOf(0, portalShard);
    fleet.kill(owner);
    const std::size_t alive = owner == 0 ? 1 : 0;
    fleet.run(9s);
    CHECK(fleet.ownerOf(alive, portalShard) != owner);
    const std::size_t before = fleet.requests.size();
    for (int i = 0; i < 100; ++i) {
        fleet.send(alive, "ws-0", "GET", "/portal/index");
        fleet.run(10ms);
    }
    fleet.run(1s);
    CHECK(countAnswered(fleet, before) == 100);
    checkLimits(fleet);
}

// Guards against a fleet that stops serving while the platform's table is down
// (P10), and against shards that stay without an owner during the outage.
TEST_CASE("the fleet serves through an outage of the table, also when an owner fails during it")
{
    fleet_harness fleet(5, 5);
    fleet.startAll();
    configure(fleet);
    fleet.run(6s);
    fleet.table.isUp = false;
    fleet.run(60s);
    std::size_t before = fleet.requests.size();
    sendReads(fleet, 1s, 10ms);
    fleet.run(1s);
    CHECK(countAnswered(fleet, before) == fleet.requests.size() - before);
    const std::size_t owner = fleet.ownerOf(0, portalShard);
    fleet.kill(owner);
    const std::size_t alive = owner == 0 ? 1 : 0;
    fleet.run(12s);
    CHECK(fleet.ownerOf(alive, portalShard) != owner);
    before = fleet.requests.size();
    for (int i = 0; i < 50; ++i) {
        fleet.send(alive, "ws-1", "GET", "/portal/index");
        fleet.run(10ms);
    }
    fleet.run(1s);
    CHECK(countAnswered(fleet, before) == 50);
    checkLimits(fleet);
    // A router that restarts during the outage has no state and is not a member. It
    // obtains the document from its peers and serves requests.
    fleet.restart(owner);
    fleet.run(3s);
    const std::size_t late = fleet.send(owner, "ws-1", "GET", "/portal/index");
    fleet.run(2s);
    CHECK(fleet.requests[late].isAnswered);
}

// Guards against an owner that was paused and, on resuming, issues grants
// concurrently with its successor (P3).
TEST_CASE("a frozen owner that resumes does not grant concurrently with its successor")
{
    fleet_harness fleet(4, 6);
    fleet.startAll();
    configure(fleet);
    fleet.run(6s);
    sendReads(fleet, 1s, 2ms);
    const std::size_t owner = fleet.ownerOf(0, portalShard);
    const std::size_t alive = owner == 0 ? 1 : 0;
    for (std::size_t i = 0; i < 40; ++i)
        fleet.send(alive, "ws-0", "GET", "/portal/index");
    fleet.freeze(owner);
    for (int i = 0; i < 1000; ++i) {
        if (i % 5 == 0)
            fleet.send(alive, "ws-" + std::to_string(i % 4), "GET", "/portal/index");
        fleet.run(10ms);
    }
    fleet.thaw(owner);
    for (int i = 0; i < 500; ++i) {
        fleet.send(alive, "ws-" + std::to_string(i % 4), "GET", "/portal/index");
        fleet.run(10ms);
    }
    fleet.run(8s);
    checkLimits(fleet);
    CHECK(fleet.core(owner).fleet().isFresh(fleet.now()));
    CHECK(fleet.core(owner).fleet().current().members.size() == 4);
}

// Guards against a router that receives no more grants (P2), because it was paused
// until the owners considered it lost and then resumed on its existing links.
TEST_CASE("a router that was paused receives grants again")
{
    // Peers measure silence from the last heartbeat, sent up to 400 ms before the
    // pause.
    for (duration pause = 2500ms; pause < 3300ms; pause += 50ms) {
        CAPTURE(pause.count());
        fleet_harness fleet(4, 10);
        fleet.startAll();
        configure(fleet);
        fleet.run(6s);
        const std::size_t owner = fleet.ownerOf(0, portalShard);
        const std::size_t paused = owner == 0 ? 1 : 0;
        fleet.freeze(paused);
        fleet.run(pause);
        fleet.thaw(paused);
        fleet.run(12s);
        const std::size_t sent = fleet.send(paused, "ws-0", "GET", "/portal/index");
        fleet.run(4s);
        CHECK(fleet.requests[sent].isAnswered);
    }
}

// Guards against a non-idempotent request with a key that runs twice, because its
// caller repeats it at another router or the table's response was lost (P7).
TEST_CASE("an order with a key runs once over routers, kills and lost answers")
{
    fleet_harness fleet(3, 7);
    fleet.startAll();
    configure(fleet);
    fleet.run(6s);
    const std::size_t first = fleet.send(0, "ws-0", "POST", "/portal/orders", "key-a", 5);
    const std::size_t second = fleet.send(1, "ws-0", "POST", "/portal/orders", "key-a", 5);
    fleet.run(2s);
    CHECK(fleet.requests[first].executions + fleet.requests[second].executions == 1);
    const std::size_t repeat = fleet.send(2, "ws-0", "POST", "/portal/orders", "key-a", 5);
    fleet.run(1s);
    CHECK(fleet.requests[repeat].isReplayed);
    CHECK(fleet.requests[repeat].executions == 0);
    const std::size_t reused = fleet.send(2, "ws-0", "POST", "/portal/orders", "key-a", 6);
    fleet.run(1s);
    CHECK(fleet.requests[reused].refused == refusal_kind::keyReused);

    fleet.table.losesAnswers = true;
    const std::size_t lost = fleet.send(0, "ws-0", "POST", "/portal/orders", "key-b", 5);
    fleet.run(100ms);
    fleet.table.losesAnswers = false;
    fleet.run(4s);
    const std::size_t again = fleet.send(1, "ws-0", "POST", "/portal/orders", "key-b", 5);
    fleet.run(3s);
    CHECK(fleet.requests[lost].executions + fleet.requests[again].executions <= 1);

    const std::size_t killed = fleet.send(0, "ws-0", "POST", "/portal/orders", "key-c", 5);
    fleet.run(12ms);
    fleet.kill(0);
    fleet.run(8s);
    const std::size_t resent = fleet.send(1, "ws-0", "POST", "/portal/orders", "key-c", 5);
    fleet.run(3s);
    CHECK(fleet.requests[killed].executions + fleet.requests[resent].executions <= 1);

    fleet.table.isUp = false;
    const std::size_t unclaimed = fleet.send(1, "ws-0", "POST", "/portal/orders", "key-d", 5);
    fleet.run(4s);
    REQUIRE(fleet.requests[unclaimed].refused);
    CHECK(refusalOf(*fleet.requests[unclaimed].refused).ran == run_state::notRun);
    checkNotRunRefusals(fleet);
}

// Guards against a request that crashes one server after another as its caller
// repeats it, and against refusing unrelated requests with it.
TEST_CASE("a request that crashes servers is refused after two of them")
{
    fleet_harness fleet(3, 8);
    fleet.startAll();
    configure(fleet);
    fleet.run(6s);
    std::set<std::size_t> crashing;
    fleet.crashesServer = [&](std::size_t record, const server_id&) { return crashing.contains(record); };
    std::uint64_t losses = 0;
    for (int i = 0; i < 20; ++i) {
        crashing.insert(fleet.requests.size());
        fleet.send(static_cast<std::size_t>(i) % 3, "ws-0", "GET", "/portal/index", {}, 666);
        for (int j = 0; j < 20; ++j) {
            fleet.send(static_cast<std::size_t>(j) % 3, "ws-1", "GET", "/portal/index", {}, 1000 + static_cast<std::uint64_t>(j));
            fleet.run(50ms);
        }
    }
    fleet.run(5s);
    for (const std::size_t record : crashing)
        losses += fleet.requests[record].executions;
    // Retries of an idempotent request may be in progress when the first crash is
    // confirmed.
    CHECK(losses <= 4);
    CHECK(fleet.requests[*crashing.rbegin()].refused == refusal_kind::quarantined);
    for (std::size_t record = 0; record < fleet.requests.size(); ++record) {
        if (!crashing.contains(record))
            CHECK(fleet.requests[record].refused != refusal_kind::quarantined);
    }
}

// Guards against a graceful shutdown that aborts requests in progress (P9).
TEST_CASE("a draining router finishes its requests and leaves")
{
    fleet_harness fleet(3, 9);
    fleet.startAll();
    configure(fleet);
    fleet.run(6s);
    for (auto& [id, server] : fleet.servers)
        server.service = 500ms;
    for (int i = 0; i < 6; ++i)
        fleet.send(0, "ws-0", "GET", "/portal/index");
    fleet.run(20ms);
    const std::size_t before = fleet.requests.size();
    fleet.drain(0);
    const std::size_t refused = fleet.send(0, "ws-0", "GET", "/portal/index");
    CHECK(fleet.requests[refused].refused == refusal_kind::draining);
    fleet.run(10s);
    for (std::size_t record = 0; record < before; ++record)
        CHECK(fleet.requests[record].isAnswered);
    CHECK(fleet.core(0).fleet().hasLeft());
    CHECK(fleet.core(1).fleet().current().members.size() == 2);
}
