#include "pimentoladder/Daemon/CoreDriver.h"

#include <algorithm>
#include <cassert>

namespace pimentoladder {

core_driver::core_driver(event_loop& loop, router_core& core)
    : m_loop(loop)
    , m_core(core)
    , m_timer(loop, [this] { tick(); })
    , m_reschedule(loop, [this] { scheduleTick(); })
{
    m_reschedule.schedule();
}

void core_driver::post(const std::function<router_actions(router_core&, time_point)>& event)
{
    run(event(m_core, m_loop.now()));
    m_reschedule.schedule();
}

void core_driver::run(const router_actions& actions)
{
    assert(m_handler && "events need a handler for their actions");
    for (const router_action& action : actions)
        m_handler->handle(action);
}

void core_driver::scheduleTick()
{
    const time_point now = m_loop.now();
    m_wakeAt = m_core.nextDeadline(now);
    m_timer.arm(std::max(m_wakeAt - now, duration::zero()));
}

void core_driver::tick()
{
    m_loopLag = m_loop.now() - m_wakeAt;
    post([](router_core& core, time_point now) { return core.onTick(now); });
}

}
