/// \file
/// Runs the core's actions and wakes it when it is due.

#pragma once

#include <functional>

#include "pimentoladder/Net/EventLoop.h"
#include "pimentoladder/Router/RouterCore.h"

namespace pimentoladder {

/// Carries out one action of the core.
class action_handler {
public:
    virtual ~action_handler() = default;
    virtual void handle(const router_action& action) = 0;
};

/// Hands events to the core, its actions to a handler, and time to the core.
///
/// Actions are carried out in order, after the event that caused them. An event
/// that arrives while actions are carried out is handed to the core at once,
/// and its actions follow those that are waiting.
/// Not thread-safe; call on the loop's thread.
class core_driver {
public:
    /// The references outlive the driver.
    core_driver(event_loop& loop, router_core& core);

    /// Sets who carries out actions. Precondition: called before any event.
    void setHandler(action_handler& handler) { m_handler = &handler; }

    /// Calls \p event with the core and the present time, and carries out the
    /// actions that it returns.
    void post(const std::function<router_actions(router_core&, time_point)>& event);

    router_core& core() { return m_core; }
    event_loop& loop() { return m_loop; }

    /// Returns how late the core was last woken.
    duration loopLag() const { return m_loopLag; }

private:
    void run(const router_actions& actions);
    void scheduleTick();
    void tick();

    event_loop& m_loop;
    router_core& m_core;
    action_handler* m_handler = nullptr;
    loop_timer m_timer;
    deferred_call m_reschedule;
    time_point m_wakeAt;
    duration m_loopLag {};
};

}
