/// \file
/// Event loop, clock and timers of the test programs, over libevent.

#pragma once

#include <functional>
#include <map>
#include <memory>

#include <event2/event.h>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder::tools {

/// Returns the current time of `CLOCK_BOOTTIME`. Thread-safe.
time_point bootTime();

/// One event loop on one thread. Not thread-safe; call on the loop's thread.
class loop {
public:
    using callback = std::function<void()>;
    using timer_number = std::uint64_t;

    loop();
    ~loop();
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;

    event_base* base() const { return m_base.get(); }

    /// Calls \p action once after \p delay, never before this function returns.
    timer_number callAfter(duration delay, callback action);

    /// Cancels a timer. Does nothing if it has fired or is unknown.
    void cancel(timer_number number);

    /// Stops the loop when SIGINT or SIGTERM arrives.
    void stopOnSignals();

    /// Runs the loop until `stop`.
    void run();

    /// Runs the loop for \p span or until `stop`. For tests.
    void runFor(duration span);

    void stop();

private:
    struct base_deleter {
        void operator()(event_base* base) const { event_base_free(base); }
    };
    struct event_deleter {
        void operator()(event* entry) const { event_free(entry); }
    };
    struct timer {
        loop* owner = nullptr;
        timer_number number = 0;
        callback action;
        std::unique_ptr<event, event_deleter> entry;
    };

    static void onTimer(evutil_socket_t, short, void* argument);
    static void onSignal(evutil_socket_t, short, void* argument);

    std::unique_ptr<event_base, base_deleter> m_base;
    std::map<timer_number, std::unique_ptr<timer>> m_timers;
    std::vector<std::unique_ptr<event, event_deleter>> m_signals;
    timer_number m_lastTimer = 0;
};

}
