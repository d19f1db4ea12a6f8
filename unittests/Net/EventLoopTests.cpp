#include "pimentoladder/Net/EventLoop.h"

#include <csignal>
#include <memory>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

using namespace pimentoladder;
using namespace std::chrono_literals;

// Guards against timers that fire early, after they were cancelled, or twice.
TEST_CASE("a timer fires once, not early, and not after cancel")
{
    event_loop loop;
    std::vector<duration> fired;
    const time_point start = loop.now();
    loop_timer first(loop, [&] { fired.push_back(loop.now() - start); });
    loop_timer second(loop, [&] { fired.push_back(-1s); });
    first.arm(20ms);
    second.arm(10ms);
    second.cancel();
    loop.runFor(60ms);
    REQUIRE(fired.size() == 1);
    CHECK(fired[0] >= 20ms);
    CHECK_FALSE(first.isArmed());
}

// Guards against use after free when a timer's function destroys its owner.
TEST_CASE("a timer may be destroyed by its own function")
{
    event_loop loop;
    auto owned = std::make_unique<std::unique_ptr<loop_timer>>();
    const auto kept = std::make_shared<int>(7);
    int seen = 0;
    *owned = std::make_unique<loop_timer>(loop, [&owned, &seen, kept] {
        owned.reset();
        seen = *kept;
    });
    (*owned)->arm(0ms);
    loop.runFor(10ms);
    CHECK(seen == 7);
}

// Guards against deferred calls that run inside the caller or more than once.
TEST_CASE("deferred calls run later and are merged")
{
    event_loop loop;
    int calls = 0;
    deferred_call call(loop, [&] { ++calls; });
    call.schedule();
    call.schedule();
    CHECK(calls == 0);
    loop.runFor(5ms);
    CHECK(calls == 1);
}

// Guards against a shutdown signal that terminates the process by its default action.
TEST_CASE("a watched signal reaches the loop")
{
    event_loop loop;
    int signals = 0;
    const signal_listener watch(loop, SIGUSR1, [&](time_point) { ++signals; });
    std::raise(SIGUSR1);
    loop.runFor(10ms);
    CHECK(signals == 1);
}

// Guards against a shutdown that is timed from the moment at which a late loop handles the signal.
TEST_CASE("a signal is reported with the time at which the process received it")
{
    event_loop loop;
    std::vector<time_point> received;
    const signal_listener watch(loop, SIGUSR1, [&](time_point receivedAt) { received.push_back(receivedAt); });
    const time_point before = loop.now();
    std::raise(SIGUSR1);
    const time_point after = loop.now();
    std::raise(SIGUSR1);
    std::this_thread::sleep_for(100ms);
    loop.runFor(10ms);
    REQUIRE(received.size() == 2);
    CHECK(received[0] >= before);
    CHECK(received[0] <= after);
    CHECK(received[1] >= after);
    CHECK(received[1] < after + 50ms);
}
