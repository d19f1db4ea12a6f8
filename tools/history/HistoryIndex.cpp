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

history_index::execution_key history_index::executionKey(const event& entry)
{
    return entry.server + "/" + std::to_string(entry.incarnation) + "/" + entry.execution;
}

void history_index::addExecutionEvent(const event& entry)
{
    if (entry.kind == event_kind::executionStarted) {
        m_executionIndexes[executionKey(entry)] = m_executions.size();
        m_executionsById[entry.id].push_back(m_executions.size());
        m_executions.push_back({ &entry, nullptr });
    }
    if (entry.kind != event_kind::executionEnded)
        return;
    const auto found = m_executionIndexes.find(executionKey(entry));
    if (found != m_executionIndexes.end())
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

router_lifetime* history_index::currentLifetime(const std::string& router)
{
    const auto last = std::ranges::find(m_routerLifetimes.rbegin(), m_routerLifetimes.rend(), router, &router_lifetime::router);
    const bool isOpen = last != m_routerLifetimes.rend() && last->until == time_point::max();
    return isOpen ? &*last : nullptr;
}

void history_index::addRouterEvent(const event& entry)
{
    const std::string& name = entry.router.empty() ? entry.source : entry.router;
    if (entry.kind == event_kind::routerAddress) {
        m_routersByAddress[entry.target] = name;
        return;
    }
    router_lifetime* lifetime = currentLifetime(name);
    if (entry.kind == event_kind::routerStarted) {
        // A start while the previous run has no recorded end means that the router
        // crashed.
        if (lifetime)
            lifetime->until = entry.at;
        m_routerLifetimes.push_back({ name, entry.at, time_point::max(), nullptr, nullptr, {}, { { entry.at, time_point::max() } } });
        return;
    }
    if (!lifetime)
        return;
    switch (entry.kind) {
    case event_kind::inForce:
        lifetime->inForce.push_back(&entry);
        return;
    case event_kind::shutdownBegun:
        lifetime->shutdownBegun = &entry;
        return;
    case event_kind::shutdownEnded:
        lifetime->shutdownEnded = &entry;
        lifetime->until = entry.at;
        return;
    case event_kind::routerKilled:
        lifetime->until = entry.at;
        return;
    case event_kind::routerUnreachable:
        lifetime->reachable.back().second = std::min(lifetime->reachable.back().second, entry.at);
        return;
    case event_kind::routerReachable:
        if (lifetime->reachable.back().second != time_point::max())
            lifetime->reachable.emplace_back(entry.at, time_point::max());
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
