#include "pimentoladder/Dispatch/UsageMonitor.h"

namespace pimentoladder {

std::string_view usageStateName(usage_state state)
{
    switch (state) {
    case usage_state::missing:
        return "missing";
    case usage_state::partial:
        return "partial";
    case usage_state::current:
        return "current";
    }
    return "unknown";
}

void usage_monitor::onTotals(time_point now, const vm_id& from, const usage_totals& totals)
{
    m_receivedAt = now;
    m_last.source = from;
    m_last.routers = totals.routers;
    m_last.workspaces = totals.entries.size();
}

std::optional<usage_change> usage_monitor::check(time_point now, std::size_t members)
{
    m_last.state = usage_state::missing;
    m_last.age = m_receivedAt ? std::optional(now - *m_receivedAt) : std::nullopt;
    if (m_last.age && *m_last.age <= lifetime)
        m_last.state = std::size_t { m_last.routers } * 2 < members ? usage_state::partial : usage_state::current;
    if (m_last.state == m_reportedState && m_last.source == m_reportedSource)
        return std::nullopt;
    m_reportedState = m_last.state;
    m_reportedSource = m_last.source;
    return m_last;
}

}
