/// \file
/// The event loop with its clock, timers, deferred calls and signals.

#pragma once

#include <functional>
#include <memory>

#include "pimentoladder/Base/Time.h"

struct event;
struct event_base;

namespace pimentoladder {

/// Owns the libevent base and is the only place that reads the clock.
/// Not thread-safe; every object that takes the loop lives on its thread and
/// must be destroyed before it.
class event_loop {
public:
    /// Throws `std::runtime_error` if libevent cannot create an event base.
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Returns the current time. The clock also advances while the VM is suspended.
    time_point now() const;

    /// Returns the processor time that this process has used.
    duration processorTime() const;

    /// Dispatches events until `stop` is called.
    void run();

    /// Dispatches events until `stop` is called or \p limit has passed.
    void runFor(duration limit);

    /// Makes `run` return after the current event callback.
    void stop();

    /// Returns the libevent base, which the loop owns.
    event_base* base() const { return m_base; }

private:
    event_base* m_base;
};

/// One-shot timer that can be armed again. Destroying it cancels the call, also
/// from within the callback itself.
/// Not thread-safe; call on the loop's thread.
class loop_timer {
public:
    loop_timer(event_loop& loop, std::function<void()> callback);
    ~loop_timer();
    loop_timer(const loop_timer&) = delete;
    loop_timer& operator=(const loop_timer&) = delete;

    /// Arms the timer, replacing any pending delay. A negative delay counts as zero.
    void arm(duration delay);
    void cancel();
    bool isArmed() const;

private:
    std::shared_ptr<std::function<void()>> m_callback;
    event* m_event;
};

/// Calls a function on the loop after the current callback has returned and
/// before the loop waits for input. Repeated calls of `schedule` before it runs are
/// merged into one.
/// Not thread-safe; call on the loop's thread.
class deferred_call {
public:
    deferred_call(event_loop& loop, std::function<void()> callback);
    ~deferred_call();
    deferred_call(const deferred_call&) = delete;
    deferred_call& operator=(const deferred_call&) = delete;

    void schedule();
    void cancel();

private:
    std::shared_ptr<std::function<void()>> m_callback;
    event* m_event;
};

/// Calls a function on the loop each time the process receives a signal.
/// Not thread-safe; call on the loop's thread. At most one listener for each signal.
class signal_listener {
public:
    /// \p callback gets the time at which the process received the signal, which may be
    /// well before a busy loop handles it. Throws `std::runtime_error` if no pipe can be
    /// created.
    signal_listener(event_loop& loop, int signalNumber, std::function<void(time_point receivedAt)> callback);
    ~signal_listener();
    signal_listener(const signal_listener&) = delete;
    signal_listener& operator=(const signal_listener&) = delete;

private:
    void readSignals();

    int m_signalNumber;
    int m_pipe[2] = { -1, -1 };
    std::function<void(time_point)> m_whenReceived;
    std::shared_ptr<std::function<void()>> m_callback;
    event* m_event = nullptr;
};

}
