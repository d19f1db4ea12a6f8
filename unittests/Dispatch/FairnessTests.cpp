#include <doctest/doctest.h>

#include <numeric>

#include "FairFleet.h"

using namespace pimentoladder;
using namespace pimentoladder::dispatch_test;

namespace {

constexpr std::size_t routers = 91;
constexpr std::size_t engines = 30;

std::vector<std::size_t> allRouters()
{
    std::vector<std::size_t> all(routers);
    std::iota(all.begin(), all.end(), 0);
    return all;
}

/// A workspace that asks for far more than its share at all routers, backlogged ones at few
/// routers, and small ones.
std::vector<load_profile> unevenLoads()
{
    return { { "huge", allRouters(), 600 }, { "large", { 7 }, 120 }, { "medium", { 11, 12 }, 60 }, { "prompts", { 20, 21, 22 }, 25, 30'000 },
        { "small-1", { 30 }, 6 }, { "small-2", { 31, 32 }, 4 }, { "small-3", allRouters(), 6 } };
}

void checkFair(const fair_fleet& fleet)
{
    for (const std::string& each : fleet.findUnfairSpans())
        FAIL_CHECK(each);
}

}

// Guards against service in proportion to how often a workspace asks.
TEST_CASE("a backlogged workspace at one router gets what one at 91 routers gets")
{
    fair_fleet fleet(routers, engines, {}, unevenLoads());
    fleet.run(12s);
    checkFair(fleet);
    CHECK(fleet.served("huge", 4s, 12s) < 2 * fleet.served("large", 4s, 12s));
}

// Guards against a small router that refuses all requests of its only workspace once it is late.
TEST_CASE("a workspace whose callers sit at a late router gets its share")
{
    fleet_conditions late;
    late.lateRouters = { 7 };
    fair_fleet fleet(routers, engines, late, unevenLoads());
    fleet.run(12s);
    checkFair(fleet);
}

// Guards against idle engines while the only workspace waits.
TEST_CASE("a workspace that is alone uses the engines, whether it is at one router or at all")
{
    for (const std::vector<std::size_t>& at : { std::vector<std::size_t> { 7 }, allRouters() }) {
        fair_fleet fleet(routers, engines, {}, { { "alone", at, 500, 3'720, {}, 300 } });
        fleet.run(8s);
        CHECK(fleet.engineUse(2s, 8s) > 0.6);
    }
}

// Guards against shares that are kept only while no message is late or lost.
TEST_CASE("a fifth of the messages lost and a reader replaced leave no workspace without its share")
{
    fair_fleet fleet(routers, engines, { 50ms, 20, 4s, 7s }, unevenLoads());
    fleet.run(14s);
    checkFair(fleet);
}

// Guards against shares of the throughput that request limits have taken away.
TEST_CASE("with two thirds of the engines limited every backlogged workspace gets its share")
{
    fleet_conditions limited;
    limited.limitedEngines = 20;
    fair_fleet fleet(routers, engines, limited, unevenLoads());
    fleet.run(14s);
    checkFair(fleet);
}

// Guards against shares that are only kept while the engines report no load.
TEST_CASE("with engines that report their load every backlogged workspace gets its share")
{
    for (const std::size_t limitedEngines : { 0, 20 }) {
        CAPTURE(limitedEngines);
        fleet_conditions reporting;
        reporting.reportsLoad = true;
        reporting.limitedEngines = limitedEngines;
        fair_fleet fleet(routers, engines, reporting, unevenLoads());
        fleet.run(14s);
        checkFair(fleet);
    }
}

// Guards against a workspace that returns to queues which no router expects, since each knows only what it has sent itself.
TEST_CASE("a workspace that asks again behind queues of many routers gets its share in that span")
{
    std::vector<std::size_t> all(18);
    std::iota(all.begin(), all.end(), 0);
    fleet_conditions conditions;
    conditions.reportsLoad = true;
    conditions.countsBegun = true;
    conditions.slots = 16;
    conditions.answerTime = 1300ms;
    double got = 0;
    double required = 0;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        conditions.seed = seed;
        fair_fleet fleet(all.size(), 23, conditions,
            { { "first", all, 500, 3'720, {}, 60 }, { "second", all, 250, 3'720, {}, 60 }, { "returning", { 7 }, 1 }, { "returning", { 7 }, 40, 3'720, 10300ms } });
        fleet.run(11s);
        checkFair(fleet);
        const service_in_span span = fleet.serviceInSpan("returning", 5);
        got += span.got;
        required += span.required;
    }
    CHECK(got > required);
}

// Guards against a workspace that pays for the time in which it was idle, and against one that
// keeps the others out by a flood.
TEST_CASE("a workspace that returns from idle and one that floods get their shares")
{
    std::vector<load_profile> loads = unevenLoads();
    loads.push_back({ "returning", { 40 }, 150, 3'720, 5s });
    loads.push_back({ "flood", allRouters(), 600, 3'720, 8s });
    fair_fleet fleet(routers, engines, {}, loads);
    fleet.run(16s);
    checkFair(fleet);
}

TEST_SUITE_BEGIN("harmed fleet");

// Guards against shares that are only kept while the fleet's sums are new.
TEST_CASE("sums that are late by seconds leave no workspace without its share")
{
    for (const duration delay : { 500ms, 2000ms }) {
        CAPTURE(delay.count());
        fair_fleet fleet(routers, engines, { delay, 0 }, unevenLoads());
        fleet.run(14s);
        checkFair(fleet);
    }
}

TEST_SUITE_END();
