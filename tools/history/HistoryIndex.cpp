#include "history/HistoryIndex.h"

#include <algorithm>
#include <ranges>

namespace pimentoladder::history {

history_index::history_index(const event_list& events)
    : m_events(events)
    , m_end(events.empty() ? time_point() : events.back().at)
{
    for (const event& entry : events) {
        addRequestEvent(entry);
        addExecutionEvent(entry);
        addServiceEvent(entry);
        addRouterEvent(entry);
    }
}

void history_index::addRequestEvent(const event& entry)
{
    switch (entry.kind) {
    case event_kind::invoked:
        m_requests[entry.id].invoked = &entry;
        if (!entry.key.empty())
            m_idsByKey[{ entry.workspace, entry.key }].push_back(entry.id);
        return;
    case event_kind::answered:
    case event_kind::refused:
    case event_kind::broken:
        m_requests[entry.id].ended = &entry;
        return;
    default:
        return;
    }
}

history_index::execution_key history_index::keyOf(const event& entry)
{
    return entry.server + "/" + std::to_string(entry.incarnation) + "/" + entry.execution;
}

void history_index::addExecutionEvent(const event& entry)
{
    if (entry.kind == event_kind::executionStarted) {
        m_executionNumbers[keyOf(entry)] = m_executions.size();
        m_executionsById[entry.id].push_back(m_executions.size());
        m_executions.push_back({ &entry, nullptr });
    }
    if (entry.kind != event_kind::executionEnded)
        return;
    const auto found = m_executionNumbers.find(keyOf(entry));
    if (found != m_executionNumbers.end())
        m_executions[found->second].ended = &entry;
}

void history_index::addServiceEvent(const event& entry)
{
    if (entry.kind == event_kind::withdrawn)
        m_withdrawals[entry.server].push_back({ entry.reason, entry.at, time_point::max() });
    if (entry.kind != event_kind::restored)
        return;
    for (withdrawal& open : m_withdrawals[entry.server])
        open.until = std::min(open.until, entry.at);
}

router_life* history_index::openLife(const std::string& router)
{
    const auto last = std::ranges::find(m_lives.rbegin(), m_lives.rend(), router, &router_life::router);
    const bool isOpen = last != m_lives.rend() && last->until == time_point::max();
    return isOpen ? &*last : nullptr;
}

void history_index::addRouterEvent(const event& entry)
{
    const std::string& name = entry.router.empty() ? entry.source : entry.router;
    if (entry.kind == event_kind::routerAddress) {
        m_routersByAddress[entry.target] = name;
        return;
    }
    router_life* life = openLife(name);
    if (entry.kind == event_kind::routerStarted) {
        // A start without a recorded end follows a crash.
        if (life)
            life->until = entry.at;
        m_lives.push_back({ name, entry.at, time_point::max(), nullptr, nullptr, {}, { { entry.at, time_point::max() } } });
        return;
    }
    if (!life)
        return;
    switch (entry.kind) {
    case event_kind::inForce:
        life->inForce.push_back(&entry);
        return;
    case event_kind::shutdownBegun:
        life->shutdownBegun = &entry;
        return;
    case event_kind::shutdownEnded:
        life->shutdownEnded = &entry;
        life->until = entry.at;
        return;
    case event_kind::routerKilled:
        life->until = entry.at;
        return;
    case event_kind::routerUnreachable:
        life->reachable.back().second = std::min(life->reachable.back().second, entry.at);
        return;
    case event_kind::routerReachable:
        if (life->reachable.back().second != time_point::max())
            life->reachable.emplace_back(entry.at, time_point::max());
        return;
    default:
        return;
    }
}

std::vector<const execution_record*> history_index::executionsOf(const std::string& id) const
{
    std::vector<const execution_record*> found;
    const auto numbers = m_executionsById.find(id);
    if (id.empty() || numbers == m_executionsById.end())
        return found;
    for (const std::size_t number : numbers->second)
        found.push_back(&m_executions[number]);
    return found;
}

std::vector<const execution_record*> history_index::executionsOf(const std::string& workspace, const std::string& key) const
{
    std::vector<const execution_record*> found;
    const auto ids = m_idsByKey.find({ workspace, key });
    if (ids == m_idsByKey.end())
        return found;
    for (const std::string& id : ids->second)
        std::ranges::copy(executionsOf(id), std::back_inserter(found));
    return found;
}

std::vector<std::pair<std::string, std::string>> history_index::keys() const
{
    std::vector<std::pair<std::string, std::string>> names;
    names.reserve(m_idsByKey.size());
    for (const auto& [key, ids] : m_idsByKey)
        names.push_back(key);
    return names;
}

std::string history_index::routerAt(const std::string& address) const
{
    const auto found = m_routersByAddress.find(address);
    return found == m_routersByAddress.end() ? std::string() : found->second;
}

}
