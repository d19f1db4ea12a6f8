#include <doctest/doctest.h>

#include "Fixture.h"
#include "pimentoladder/Dispatch/EstimateError.h"
#include "pimentoladder/Dispatch/WorkspaceShare.h"

using namespace pimentoladder;
using namespace pimentoladder::dispatch_test;

namespace {

const pool_id llm("llm");

/// Records \p count first events that come \p late, ten in a second, and returns the end.
time_point recordLate(estimate_error& error, time_point from, int count, duration late)
{
    for (int i = 0; i < count; ++i)
        error.record(from + i * 100ms, llm, late);
    return from + count * 100ms;
}

usage_report reportOf(duration late)
{
    usage_report report;
    report.lateness = { { llm, late } };
    return report;
}

}

// Guards against queues that are underestimated for as long as they last.
TEST_CASE("first events that keep coming late are expected later")
{
    estimate_error error;
    const time_point now = recordLate(error, time_point(100s), 60, 400ms);
    CHECK(error.correction(now, llm) > 300ms);
    CHECK(error.correction(now, llm) <= 400ms);
    // Few first events count for less.
    estimate_error seldom;
    for (int i = 0; i < 6; ++i)
        seldom.record(time_point(100s) + i * 1s, llm, 400ms);
    CHECK(seldom.correction(time_point(105s), llm) < error.correction(now, llm));
    CHECK(seldom.correction(time_point(105s), llm) > duration::zero());
    CHECK(error.correction(now, pool_id("other")) == duration::zero());
}

// Guards against requests that are refused long after a queue has been served.
TEST_CASE("a correction ends with the lateness and without first events")
{
    estimate_error error;
    const time_point now = recordLate(error, time_point(100s), 60, 400ms);
    CHECK(error.correction(now + 8s, llm) < 30ms);
    CHECK(error.own(now + 8s).empty());
    const time_point served = recordLate(error, now, 20, -50ms);
    CHECK(error.correction(served, llm) == duration::zero());
}

// Guards against a server that hangs and makes a whole pool look slow.
TEST_CASE("one first event moves the correction by a bounded time")
{
    estimate_error error;
    const time_point now = recordLate(error, time_point(100s), 1, 60s);
    CHECK(error.correction(now, llm) < 50ms);
    CHECK(error.own(now).at(0).late < 50ms);
}

// Guards against a router with a full link or a busy processor that makes all routers refuse.
TEST_CASE("routers with trouble of their own do not change what the others expect")
{
    const time_point now { 100s };
    usage_aggregator sums;
    int index = 0;
    for (const duration late : { 120ms, 2000ms, 130ms, 2000ms, 125ms })
        sums.onReport(now, { vm_id("router-" + std::to_string(++index)), incarnation(1) }, reportOf(late));
    const usage_totals totals = sums.totals(now);
    REQUIRE(totals.lateness.size() == 1);
    CHECK(totals.lateness[0].late == 130ms);
    // Nor does its own lateness count at such a router.
    estimate_error error;
    const time_point later = recordLate(error, now, 60, 2000ms);
    error.setFleet(later, totals.lateness);
    CHECK(error.correction(later, llm) == 130ms);
    CHECK(error.correction(later + 3s, llm) > 100ms);
}

// Guards against reports that count although their router has gone silent.
TEST_CASE("the lateness of routers that no longer report does not count")
{
    const time_point now { 100s };
    usage_aggregator sums;
    sums.onReport(now, { vm_id("gone"), incarnation(1) }, reportOf(500ms));
    sums.onReport(now + 2s, { vm_id("present"), incarnation(1) }, reportOf(10ms));
    CHECK(sums.totals(now + 2s).lateness.at(0).late == 10ms);
}

TEST_CASE("the median of an even number of values is the lower one in the middle")
{
    CHECK(lowerMedian({ 4ms }) == 4ms);
    CHECK(lowerMedian({ 4ms, 1ms }) == 1ms);
    CHECK(lowerMedian({ 4ms, 1ms, 3ms, 9ms }) == 3ms);
    CHECK(lowerMedian({ 4ms, 1ms, -3ms }) == 1ms);
}

// Guards against admission by an estimate that most routers know to be too short.
TEST_CASE("a request is refused if the fleet sees first events come later than its objective allows")
{
    const auto ask = [](duration late) {
        small_fleet fleet;
        usage_totals totals;
        totals.lateness = { { llm, late } };
        fleet.core.setFleetUsage(fleet.now, totals);
        inbound_request request;
        request.callerId = "id";
        request.host = "host";
        request.path = "/stream/1";
        request.keyDigest = keyDigest;
        request.timeLeft = 10s;
        request.prompt = prompt_work { { { 1, 100 }, { 2, 100 } }, 200, 50 };
        request_number number;
        return fleet.core.onRequest(fleet.now, request, number);
    };
    const dispatch_actions sent = ask(200ms);
    REQUIRE(find<dispatch_decision>(sent));
    CHECK(find<dispatch_decision>(sent)->expectedFirstEvent > 200ms);
    CHECK(find<dispatch_decision>(sent)->queue.correction == 200ms);
    const dispatch_actions refused = ask(1000ms);
    REQUIRE(find<refuse_inbound>(refused));
    CHECK(find<refuse_inbound>(refused)->kind == refusal_kind::queueFull);
    CHECK(find<refuse_inbound>(refused)->retryAfter > 1000ms);
}
