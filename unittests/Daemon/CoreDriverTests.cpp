#include "pimentoladder/Daemon/CoreDriver.h"

#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

/// A core with one deadline, which records its events.
struct recording_core {
    std::vector<int> onTick(time_point)
    {
        events.push_back("tick");
        due = time_point::max();
        return {};
    }
    time_point nextDeadline(time_point now) const { return std::min(due, now + 1h); }

    time_point due = time_point::max();
    std::vector<std::string> events;
};

struct no_actions final : basic_action_handler<int> {
    void handle(const int&) override { }
};

}

// Guards against deadlines that cut a response whose end has arrived: the HTTP client
// reports it by a deferred call.
TEST_CASE("a deadline is judged after the calls that input of the same iteration has deferred")
{
    event_loop loop;
    recording_core core;
    basic_core_driver<recording_core, int> driver(loop, core);
    no_actions handler;
    driver.setHandler(handler);
    deferred_call end(loop, [&] { core.events.emplace_back("end"); });
    loop_timer input(loop, [&] { end.schedule(); });
    input.arm(10ms);
    driver.post([](recording_core& each, time_point now) {
        each.due = now + 20ms;
        return std::vector<int> {};
    });
    loop.runFor(1ms);
    std::this_thread::sleep_for(40ms);
    loop.runFor(20ms);
    CHECK(core.events == std::vector<std::string> { "end", "tick" });
}
