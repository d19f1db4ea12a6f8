/// \file
/// Runs a core's actions and calls it at its deadlines.

#pragma once

#include <algorithm>
#include <cassert>
#include <functional>
#include <vector>

#include "pimentoladder/Dispatch/Dispatcher.h"
#include "pimentoladder/Net/EventLoop.h"
#include "pimentoladder/Router/RouterCore.h"

namespace pimentoladder {

/// Carries out one action of a core.
template <typename Action>
class basic_action_handler {
public:
    virtual ~basic_action_handler() = default;
    virtual void handle(const Action& action) = 0;
};

/// Passes events to a core, its actions to a handler, and calls the core's
/// `onTick` when its next deadline is due.
///
/// Actions are carried out in order, after the event that caused them. An event
/// posted by a handler is passed to the core at once, and its actions are
/// carried out before the remaining ones of the outer event.
/// Not thread-safe; call on the loop's thread.
template <typename Core, typename Action>
class basic_core_driver {
public:
    using actions = std::vector<Action>;

    /// The references outlive the driver.
    basic_core_driver(event_loop& loop, Core& core)
        : m_loop(loop)
        , m_core(core)
        , m_timer(loop, [this] { m_tick.schedule(); })
        , m_tick(loop, [this] { tick(); })
        , m_reschedule(loop, [this] { scheduleTick(); })
    {
        m_reschedule.schedule();
    }

    /// Sets the handler of actions. Precondition: called before any event.
    void setHandler(basic_action_handler<Action>& handler) { m_handler = &handler; }

    /// Calls \p event with the core and the current time, and carries out the
    /// actions that it returns.
    void post(const std::function<actions(Core&, time_point)>& event)
    {
        run(event(m_core, m_loop.now()));
        m_reschedule.schedule();
    }

    Core& core() { return m_core; }
    event_loop& loop() { return m_loop; }

    /// Returns by how much the last tick was later than its deadline.
    duration loopLag() const { return m_loopLag; }

private:
    void run(const actions& due)
    {
        assert(m_handler && "events need a handler for their actions");
        for (const Action& action : due)
            m_handler->handle(action);
    }

    void scheduleTick()
    {
        const time_point now = m_loop.now();
        m_wakeAt = m_core.nextDeadline(now);
        m_timer.arm(std::max(m_wakeAt - now, duration::zero()));
    }

    void tick()
    {
        m_loopLag = m_loop.now() - m_wakeAt;
        post([](Core& core, time_point now) { return core.onTick(now); });
    }

    event_loop& m_loop;
    Core& m_core;
    basic_action_handler<Action>* m_handler = nullptr;
    loop_timer m_timer;
    deferred_call m_tick; ///< Runs after the calls that input of the same iteration has deferred, so that a deadline is not judged before them.
    deferred_call m_reschedule;
    time_point m_wakeAt;
    duration m_loopLag {};
};

using action_handler = basic_action_handler<router_action>;
using core_driver = basic_core_driver<router_core, router_action>;
using dispatch_driver = basic_core_driver<dispatcher, dispatch_action>;

}
