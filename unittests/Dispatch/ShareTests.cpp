#include <algorithm>

#include <doctest/doctest.h>

#include "pimentoladder/Dispatch/ServerCondition.h"
#include "pimentoladder/Dispatch/UsageMonitor.h"
#include "pimentoladder/Dispatch/WorkspaceShare.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

// Guards against sums of usage that end, or are of few routers, without a line in the log.
TEST_CASE("sums of usage that are missing or partial are reported once")
{
    usage_monitor monitor;
    time_point now { 100s };
    CHECK_FALSE(monitor.check(now, 10));
    monitor.onTotals(now, vm_id("reader"), { 4, { { workspace_id("w"), 1, 1 } }, {} });
    const auto partial = monitor.check(now, 10);
    REQUIRE(partial);
    CHECK(partial->state == usage_state::partial);
    CHECK(partial->workspaces == 1);
    CHECK_FALSE(monitor.check(now, 10));
    monitor.onTotals(now, vm_id("reader"), { 5, {}, {} });
    CHECK(monitor.check(now, 10)->state == usage_state::current);
    now += usage_monitor::lifetime;
    CHECK_FALSE(monitor.check(now, 10));
    now += 1ms;
    CHECK(monitor.check(now, 10)->state == usage_state::missing);
    monitor.onTotals(now, vm_id("other"), { 9, {}, {} });
    CHECK(monitor.check(now, 10)->source == vm_id("other"));
}

// Guards against requests that queue at an engine longer than any router expects: a router that had
// no report of its load passed on that nothing waits there, which replaced what others knew.
TEST_CASE("a router without a report of a server's load leaves the others' reports in force")
{
    const time_point now { 100s };
    const server_id engine("e");
    server_condition informed;
    informed.started(now, attempt_number(1), 0);
    informed.setLoad(now, { 16, 20, 16 });
    informed.responded(now, attempt_number(1));
    server_condition uninformed;
    uninformed.started(now, attempt_number(1), 100);
    usage_aggregator sums;
    sums.onReport(now, { vm_id("a"), incarnation(1) }, { {}, { informed.takeObservation(now, engine).value() } });
    sums.onReport(now, { vm_id("b"), incarnation(1) }, { {}, { uninformed.takeObservation(now, engine).value() } });
    server_condition third;
    third.observedByFleet(now, sums.totals(now).observed.at(0));
    CHECK(third.load().waiting == 20);
}

// Guards against an old report of a server's load that is passed on as a new one.
TEST_CASE("a report of a server's load keeps its age on its way through the fleet")
{
    time_point now { 100s };
    server_condition sender;
    sender.started(now, attempt_number(1), 100);
    sender.setLoad(now, { 16, 20, 16 });
    now += 800ms;
    usage_aggregator sums;
    sums.onReport(now, { vm_id("a"), incarnation(1) }, { {}, { sender.takeObservation(now, server_id("e")).value() } });
    const server_observation summed = sums.totals(now + 100ms).observed.at(0);
    server_condition receiver;
    receiver.observedByFleet(now + 100ms, summed);
    const duration expected = receiver.expectedFirstEvent(now + 100ms, 0);
    CHECK(expected > 500ms);
    CHECK(receiver.expectedFirstEvent(now + 500ms, 0) < expected / 2);
    // It is older than what the receiver knows itself.
    receiver.setLoad(now + 100ms, { 1, 0, 16 });
    receiver.observedByFleet(now + 100ms, summed);
    CHECK(receiver.load().waiting == 0);
}

// Guards against a share of capacity that the engines do not have: lost, slow or limited
// ones left every workspace within its share of the configured throughput.
TEST_CASE("a share of what was served does not depend on what the engines could do")
{
    const time_point now { 100s };
    workspace_share share;
    share.setFleet(now, { 2, { { workspace_id("often"), 50'000, 3'000 }, { workspace_id("rarely"), 50'000, 1'000 }, { workspace_id("small"), 200, 200 } }, {} });
    for (const double nominal : { 0.0, 1e3, 1e9 }) {
        CHECK(share.use(now, workspace_id("often"), 10, nominal, 2).ofServed == doctest::Approx(3'000.0 / 2'030));
        CHECK(share.use(now, workspace_id("rarely"), 10, nominal, 2).ofServed == doctest::Approx(1'000.0 / 2'030));
    }
}

// Guards against a burst of which every request is judged by the sums from before it.
TEST_CASE("what a workspace has just asked for counts in what it is owed")
{
    const time_point now { 100s };
    const workspace_id returning("returning");
    workspace_share share;
    share.setFleet(now, { 2, { { workspace_id("often"), 50'000, 20'000 }, { returning, 100, 100 } }, {} });
    CHECK(share.use(now, returning, 10, 0, 2).ofEntitled == 1);
    share.recordAsked(now, returning, 5'000);
    CHECK(share.use(now, returning, 10, 0, 2).ofEntitled == doctest::Approx(100.0 / 5'100));
    share.recordAdmitted(now, returning, 4'900);
    CHECK(share.use(now, returning, 10, 0, 2).ofEntitled == doctest::Approx(5'000.0 / 5'100));
    // So does one that has never asked before.
    const workspace_id first("first");
    CHECK(share.use(now, first, 10, 0, 2).ofEntitled == 1);
    share.recordAsked(now, first, 5'000);
    CHECK(share.use(now, first, 10, 0, 2).ofEntitled == 0);
}

// Guards against refusing a workspace that nobody else competes with, or that a router knows
// before the others: it was held at exactly its share, and a hair above that refused all
// of its requests with an unread shared part.
TEST_CASE("a workspace whose demand fits exceeds no share")
{
    const time_point now { 100s };
    workspace_share share;
    share.recordAsked(now, workspace_id("alone"), 50'000);
    share.recordAdmitted(now, workspace_id("alone"), 50'000);
    for (const std::size_t routers : { 1, 91 }) {
        const share_use used = share.use(now, workspace_id("alone"), 20'000, 1e9, routers);
        CHECK(used.ofCapacity < 1);
        CHECK(used.ofServed < 1);
    }
}

// Guards against a workspace that is held back for seconds because it came before the others.
TEST_CASE("usage far beyond a share is forgotten")
{
    const time_point now { 100s };
    const member_ref router { vm_id("router"), incarnation(1) };
    const usage_report first { { { workspace_id("first"), 90'000, 9'000 } }, {} };
    usage_report all = first;
    for (const char* each : { "second", "third", "fourth" })
        all.entries.push_back({ workspace_id(each), 90'000, 1'000 });
    usage_aggregator sums;
    sums.onReport(now, router, {});
    sums.onReport(now + 200ms, router, all);
    const usage_totals totals = sums.totals(now + 200ms);
    REQUIRE(totals.entries.size() == 4);
    const auto found = std::find_if(totals.entries.begin(), totals.entries.end(), [](const usage_entry& each) { return each.workspace == workspace_id("first"); });
    CHECK(found->admitted == doctest::Approx(6'000));
    // A workspace that is alone keeps its sum.
    usage_aggregator alone;
    alone.onReport(now, router, {});
    alone.onReport(now + 200ms, router, first);
    CHECK(alone.totals(now + 200ms).entries[0].admitted == doctest::Approx(9'000));
}

// Guards against a burst of all routers at the moment at which earlier usage leaves a window.
TEST_CASE("usage loses its weight little by little")
{
    usage_decay sums;
    time_point now { 100s };
    sums.add(now, workspace_id("w"), { 1'000, 1'000 });
    double last = 1'000;
    for (int i = 0; i < 100; ++i) {
        now += 100ms;
        const double present = sums.sums(now)[workspace_id("w")].admitted;
        CHECK(present < last);
        CHECK(present > 0.9 * last);
        last = present;
    }
    CHECK(sums.sums(now + 20s).empty());
}
