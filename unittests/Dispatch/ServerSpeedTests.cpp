#include <algorithm>
#include <cmath>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "Fixture.h"
#include "pimentoladder/Dispatch/ServerSpeed.h"
#include "pimentoladder/Dispatch/WorkspaceShare.h"

using namespace pimentoladder;
using namespace pimentoladder::dispatch_test;

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

duration toDuration(double ms)
{
    return std::chrono::duration_cast<duration>(milliseconds(ms));
}

/// Engine with times of its own, in milliseconds.
struct drawn_engine {
    double base = 0;
    double perThousand = 0;
    double perRunning = 0;
    double slowness = 1;

    duration timeFor(const server_work& work) const
    {
        return toDuration(slowness * (base + perThousand * work.tokens / 1000 + perRunning * work.running));
    }
};

server_work drawWork(random_source& random)
{
    const double tokens = 100 + static_cast<double>(random.index(8000));
    return { tokens, tokens, static_cast<double>(random.index(40)), 0 };
}

/// Median distance, in milliseconds, of the expected from the actual time.
double medianError(const pool_speed& speed, const drawn_engine& engine, random_source& random)
{
    std::vector<double> errors;
    for (int i = 0; i < 101; ++i) {
        const server_work work = drawWork(random);
        errors.push_back(std::abs(milliseconds(speed.timeFor(work) - engine.timeFor(work)).count()));
    }
    std::nth_element(errors.begin(), errors.begin() + 50, errors.end());
    return errors[50];
}

/// Sends requests one after the other to a server that takes \p each for the first event.
void respond(server_condition& condition, time_point& now, int requests, duration each)
{
    static std::uint64_t last = 0;
    for (int i = 0; i < requests; ++i) {
        const attempt_number attempt(++last);
        condition.started(now, attempt, 2000);
        now += each;
        condition.responded(now, attempt);
        condition.ended(attempt);
        now += 100ms;
    }
}

}

// Guards against constants of one deployment that judge the engines of another one: the first event
// came 107 ms later than expected in the median.
TEST_CASE("after 200 responses the expected first event is within 25 ms of any engine's")
{
    const bool holds = rc::check([] {
        random_source random(*rc::gen::arbitrary<std::uint64_t>());
        const auto draw = [&random](double least, double most) { return least + (most - least) * static_cast<double>(random.index(1000)) / 1000; };
        const drawn_engine engine { draw(0, 150), draw(10, 40), draw(0.1, 0.6), draw(0.7, 1.7) };
        pool_speed speed;
        time_point now { 100s };
        for (int i = 0; i < 200; ++i) {
            now += 5ms;
            const server_work work = drawWork(random);
            const double noise = static_cast<double>(random.index(21)) - 10;
            speed.record(now, work, engine.timeFor(work) + toDuration(noise));
        }
        RC_ASSERT(medianError(speed, engine, random) < 25);
    });
    CHECK(holds);
}

// Guards against a faulty or cold server whose responses make all engines of its pool look slow.
TEST_CASE("one response in ten that takes ten seconds does not move the speed of a pool")
{
    random_source random(1);
    const drawn_engine engine { 60, 20, 0.3 };
    pool_speed speed;
    time_point now { 100s };
    for (int i = 0; i < 300; ++i) {
        now += 100ms;
        const server_work work = drawWork(random);
        speed.record(now, work, i % 10 == 9 ? duration(10s) : engine.timeFor(work));
    }
    CHECK(medianError(speed, engine, random) < 25);
}

// Guards against estimates without bounds, by which a router would refuse everything or nothing.
TEST_CASE("the coefficients of a pool stay within their bounds whatever its responses take")
{
    for (const duration taken : { duration::zero(), duration(1h), duration(-1s) }) {
        CAPTURE(taken.count());
        random_source random(2);
        pool_speed speed;
        time_point now { 100s };
        for (int i = 0; i < 2000; ++i)
            speed.record(now += 10ms, drawWork(random), taken);
        const pool_speed usual;
        for (std::size_t i = 0; i < pool_speed::coefficients; ++i) {
            const double value = speed.values()[i];
            CHECK(std::isfinite(value));
            CHECK(value >= usual.values()[i] / 4);
            CHECK(value <= std::max(usual.values()[i] * 4, 400.0));
        }
    }
}

// Guards against a pool that became slower, and is still judged by what it was an hour ago.
TEST_CASE("a pool is learnt anew within a minute")
{
    random_source random(3);
    pool_speed speed;
    time_point now { 100s };
    const drawn_engine before { 20, 15, 0.3 };
    const drawn_engine after { 120, 40, 0.3 };
    for (int i = 0; i < 36'000; ++i) {
        const server_work work = drawWork(random);
        speed.record(now += 100ms, work, before.timeFor(work));
    }
    for (int i = 0; i < 600; ++i) {
        const server_work work = drawWork(random);
        speed.record(now += 100ms, work, after.timeFor(work));
    }
    CHECK(medianError(speed, after, random) < 25);
}

// Guards against engines of one pool that are judged alike: they differ by 0.7 to 1.7.
TEST_CASE("a server's slowness is learnt, bounded, and forgotten without responses")
{
    time_point now { 100s };
    const pool_speed pool;
    const server_work work { 10'220, 10'220, 0, 0 };
    server_speed slow;
    for (int i = 0; i < 40; ++i)
        slow.record(now += 1s, work, 340ms, pool);
    CHECK(slow.slowness(now) == doctest::Approx(1.7).epsilon(0.1));
    CHECK(slow.slowness(now + 30s) == doctest::Approx(1.35).epsilon(0.1));
    CHECK(slow.slowness(now + 10min) == doctest::Approx(1));
    server_speed faulty;
    for (int i = 0; i < 1000; ++i)
        faulty.record(now += 1s, work, 1h, pool);
    CHECK(faulty.slowness(now) <= server_speed::maxSlowness);
    server_speed once;
    once.record(now, work, 1h, pool);
    CHECK(once.slowness(now) < 1.3);
    CHECK_FALSE(once.isKnown());
    CHECK(slow.isKnown());
    server_speed small;
    small.record(now, { 10, 10, 0, 0 }, 1s, pool);
    CHECK(small.slowness(now) == 1);
}

// Guards against a momentary slowness that is taken for the usual one, or a lie that counts for ever.
TEST_CASE("a reported slowness counts less as the report becomes old, and within bounds")
{
    CHECK(expectedSlowness(2, 0ms) == 2);
    CHECK(expectedSlowness(2, 300ms) == doctest::Approx(1.5));
    CHECK(expectedSlowness(2, 5s) == doctest::Approx(1));
    CHECK(expectedSlowness(0.5, 300ms) == doctest::Approx(0.75));
    CHECK(expectedSlowness(1e9, 0ms) == server_speed::maxSlowness);
    CHECK(expectedSlowness(0, 0ms) == server_speed::minSlowness);
    server_condition condition;
    const time_point now { 100s };
    const duration usual = condition.expectedFirstEvent(now, 5110);
    condition.setLoad(now, { 0, 0, 64, 2 });
    CHECK(condition.expectedFirstEvent(now, 5110) == 2 * usual);
    CHECK(condition.expectedFirstEvent(now + 5s, 5110) < usual + 1ms);
}

// Guards against the times of a slow start, of a wait for a slot or of a queue that are taken for a
// server's speed: the more a fleet is overloaded, the faster its servers would seem to have to be.
TEST_CASE("responses of a cold server or of one with a queue teach nothing")
{
    for (const char* reason : { "", "cold", "waiting", "own queue", "queue of others", "queue of others, reported later" }) {
        CAPTURE(reason);
        const std::string_view why(reason);
        server_condition condition;
        time_point now { 100s };
        const server_observation queue { server_id("e"), {}, 0, 0, 9000 };
        if (why == "cold")
            condition.setCold(now + 1h);
        if (why == "waiting")
            condition.setLoad(now, { 64, 3, 64 });
        if (why == "own queue")
            condition.started(now, attempt_number(1), 2000);
        if (why == "queue of others")
            condition.observedByFleet(now, queue);
        condition.started(now, attempt_number(2), 2000);
        now += 900ms;
        condition.responded(now, attempt_number(2));
        if (why == "queue of others, reported later")
            condition.observedByFleet(now, queue);
        CHECK(condition.takeSample(now + 200ms).has_value() == why.empty());
        CHECK_FALSE(condition.takeSample(now + 200ms));
    }
}

// Guards against routers that know different speeds of the same engines: each workspace was admitted
// by what its own routers believed, and one got a third of what another one got.
TEST_CASE("routers learn a pool's and a server's speed from the responses of all of them")
{
    fleet_view view({});
    view.applyPlan(makePlan());
    view.putServer(makeServer("e1", "llm"));
    selection_limits limits;
    limits.usesServerSpeed = true;
    server_selector busy(view, limits, 1);
    server_selector idle(view, limits, 2);
    server_selector without(view, {}, 3);
    const server_id engine("e1");
    const prompt_work prompt { { { 42, 500 }, { 7, 1500 } }, 2000, 120 };
    time_point now { 100s };
    usage_aggregator reader;
    const auto exchange = [&] {
        now += 300ms;
        usage_report report;
        report.observed = busy.takeObservations(now);
        report.samples = busy.takeSamples(now);
        reader.onReport(now, { vm_id("busy"), incarnation(1) }, report);
        usage_totals totals = reader.totals(now);
        for (server_selector* each : { &busy, &idle, &without }) {
            each->select(now, { workspace_id("school"), pool_id("llm"), &prompt, {} });
            each->observedByFleet(now, totals.observed);
            each->adoptSpeeds(totals.speeds);
        }
        return totals;
    };
    // A first report, without sums of the fleet, teaches nothing.
    respond(busy.condition(engine), now, 1, 5s);
    CHECK(exchange().speeds.empty());
    for (int i = 0; i < 100; ++i) {
        respond(busy.condition(engine), now, 1, 160ms);
        exchange();
    }
    const duration known = idle.condition(engine).ownTime(now, 2000);
    CHECK(known == busy.condition(engine).ownTime(now, 2000));
    CHECK(known > 135ms);
    CHECK(known < 170ms);
    CHECK(without.condition(engine).ownTime(now, 2000) == pool_speed().timeFor({ 2000, 2000, 0, 0 }));
    CHECK(without.speeds().at(pool_id("llm")).values() == idle.speeds().at(pool_id("llm")).values());
    // What the server always takes is no delay by other requests, which would count twice.
    respond(busy.condition(engine), now, 1, 160ms);
    CHECK(busy.takeObservations(now).at(0).delay < 25ms);
    // Another incarnation is not judged by what was learnt of the former one.
    for (int i = 0; i < 40; ++i) {
        respond(busy.condition(engine), now, 1, 400ms);
        exchange();
    }
    CHECK(exchange().observed.at(0).learnt.value().slowness > 1.1);
    registered_server restarted = makeServer("e1", "llm");
    restarted.start = incarnation(2);
    view.putServer(restarted);
    for (server_selector* each : { &busy, &idle })
        each->reset(engine);
    exchange();
    CHECK(idle.condition(engine).ownTime(now, 2000) == idle.speeds().at(pool_id("llm")).timeFor({ 2000, 2000, 0, 0 }));
    for (int i = 0; i < 4; ++i) {
        respond(busy.condition(engine), now, 1, 160ms);
        exchange();
    }
    const auto learnt = exchange().observed.at(0).learnt;
    REQUIRE(learnt);
    CHECK(learnt->start == incarnation(2));
    CHECK(learnt->slowness < 1.1);
}

// Guards against a message of another version, or a damaged one, that makes estimates meaningless.
TEST_CASE("speeds of a wrong length are ignored and others are brought into their bounds")
{
    pool_speed speed;
    const pool_speed usual;
    speed.adopt(std::vector<double> { 1, 2 });
    CHECK(speed.values() == usual.values());
    speed.adopt(std::vector<double>(pool_speed::coefficients, 1e12));
    CHECK(speed.timeFor({ 1000, 1000, 10, 0 }) < 1s);
}

// Guards against reports of a deployment's servers that change its service before the estimate is
// right: with the load known and nothing else, routers refused more and served no more.
TEST_CASE("a report that states a slowness is used only together with learnt speeds")
{
    for (const bool isUsed : { false, true }) {
        CAPTURE(isUsed);
        dispatch_limits limits;
        limits.selection.usesServerSpeed = isUsed;
        small_fleet fleet(limits);
        request_number number;
        const auto actions = fleet.send("/stream/1", number);
        const auto* opened = find<open_dispatch>(actions);
        REQUIRE(opened);
        fleet.core.mayStartSending(fleet.now, opened->attempt);
        served_head head;
        head.status = 200;
        head.isAuthentic = true;
        head.isEventStream = true;
        head.load = reported_load { 16, 20, 16, 1.5 };
        fleet.core.onHead(fleet.now, opened->attempt, head);
        fleet.core.onBytes(fleet.now, opened->attempt, "event", { 1, 1 });
        const usage_report report = fleet.core.takeUsage(fleet.now);
        const auto reported = std::find_if(report.observed.begin(), report.observed.end(), [&](const server_observation& each) { return each.server == opened->server; });
        REQUIRE(reported != report.observed.end());
        CHECK(reported->loadAge.has_value() == isUsed);
    }
}
