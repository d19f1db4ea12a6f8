#include "pimentoladder/Placement/OrderTracker.h"

#include <algorithm>
#include <cassert>

namespace pimentoladder {

std::string_view placementActionName(placement_action action)
{
    return action == placement_action::load ? "load" : "unload";
}

order_tracker::order_tracker(order_book_settings settings)
    : m_settings(settings)
{
}

void order_tracker::setServers(const std::set<server_id>& servers)
{
    const auto hasLeft = [&](const auto& entry) { return !servers.contains(entry.first); };
    std::erase_if(m_engines, hasLeft);
    std::erase_if(m_pending, hasLeft);
    for (const server_id& server : servers)
        m_engines.try_emplace(server);
}

void order_tracker::begin(const placement_order& order, time_point now)
{
    assert(mayOrder(order.server, now) && "one order at a time for each engine");
    m_pending[order.server] = { order, now, progress::sent };
    ++m_counters.sent;
}

void order_tracker::onAnswer(const server_id& server, order_number number, order_outcome outcome, time_point now)
{
    const auto found = m_pending.find(server);
    if (found == m_pending.end() || found->second.order.number != number)
        return;
    switch (outcome) {
    case order_outcome::accepted:
        found->second.state = progress::accepted;
        return;
    case order_outcome::unknown:
        found->second.state = progress::unresolved;
        return;
    case order_outcome::refusedOldToken:
        ++m_counters.refused;
        m_stoppedAt = now;
        break;
    case order_outcome::failed:
        break;
    }
    drop(server, now);
}

void order_tracker::drop(const server_id& server, time_point now)
{
    ++m_counters.lost;
    m_engines.at(server).retryAt = now + m_settings.retryAfter;
    m_pending.erase(server);
}

void order_tracker::onState(const engine_state& state, time_point now)
{
    const auto engine = m_engines.find(state.server);
    if (engine == m_engines.end())
        return;
    known_engine& known = engine->second;
    if (known.isStated && state.takenAt < known.takenAt)
        return;
    known.isStated = true;
    known.takenAt = state.takenAt;
    known.loaded = state.loaded;
    if (state.loading)
        known.loading = state.loading;
    for (const model_id& model : state.loaded) {
        if (known.loading)
            known.loading->erase(model);
    }
    for (const model_id& model : state.loaded)
        known.since.try_emplace(model, now);
    std::erase_if(known.since, [&](const auto& entry) { return !state.loaded.contains(entry.first); });

    const auto found = m_pending.find(state.server);
    // A state taken before the order was sent says nothing about its effect.
    if (found == m_pending.end() || state.takenAt <= found->second.sentAt)
        return;
    const placement_order& order = found->second.order;
    const bool isLoaded = state.loaded.contains(order.model);
    if (isLoaded == (order.action == placement_action::load)) {
        ++m_counters.confirmed;
        m_pending.erase(found);
        return;
    }
    const bool isUnderWay = state.loading && order.action == placement_action::load && state.loading->contains(order.model);
    if (isUnderWay)
        found->second.state = progress::accepted;
    if (state.loading && !isUnderWay && state.takenAt >= found->second.sentAt + m_settings.resolveAfter)
        drop(state.server, now);
}

void order_tracker::onOwnershipConfirmed(time_point basis)
{
    if (m_stoppedAt && basis > *m_stoppedAt)
        m_stoppedAt.reset();
}

bool order_tracker::mayOrder(const server_id& server, time_point now) const
{
    const auto known = m_engines.find(server);
    return !m_stoppedAt && !m_pending.contains(server) && known != m_engines.end() && known->second.loading
        && known->second.loading->empty() && now >= known->second.retryAt;
}

bool order_tracker::isLoading(const server_id& server, const model_id& model) const
{
    const placement_order* order = pending(server);
    if (order && order->action == placement_action::load && order->model == model)
        return true;
    const auto known = m_engines.find(server);
    return known != m_engines.end() && known->second.loading && known->second.loading->contains(model);
}

bool order_tracker::isLoadingAny(const server_id& server) const
{
    const placement_order* order = pending(server);
    if (order && order->action == placement_action::load)
        return true;
    const auto known = m_engines.find(server);
    return known != m_engines.end() && known->second.loading && !known->second.loading->empty();
}

const placement_order* order_tracker::pending(const server_id& server) const
{
    const auto found = m_pending.find(server);
    return found == m_pending.end() ? nullptr : &found->second.order;
}

const std::set<model_id>* order_tracker::loaded(const server_id& server) const
{
    const auto known = m_engines.find(server);
    return known == m_engines.end() || !known->second.isStated ? nullptr : &known->second.loaded;
}

std::set<model_id> order_tracker::usableModels(const server_id& server) const
{
    const std::set<model_id>* known = loaded(server);
    std::set<model_id> models = known ? *known : std::set<model_id>();
    if (const placement_order* order = pending(server))
        models.erase(order->model);
    return models;
}

std::optional<time_point> order_tracker::loadedSince(const server_id& server, const model_id& model) const
{
    const auto known = m_engines.find(server);
    if (known == m_engines.end())
        return std::nullopt;
    const auto since = known->second.since.find(model);
    return since == known->second.since.end() ? std::nullopt : std::optional(since->second);
}

bool order_tracker::isReadDue(const server_id& server, const known_engine& known, time_point now) const
{
    const auto pending = m_pending.find(server);
    const bool isWanted = pending != m_pending.end() || !known.loading || !known.loading->empty();
    const bool isRecent = known.readAt && now < *known.readAt + m_settings.readInterval;
    const bool isJustSent = pending != m_pending.end() && now < pending->second.sentAt + m_settings.readInterval;
    return isWanted && !isRecent && !isJustSent;
}

std::vector<server_id> order_tracker::takeReadsDue(time_point now)
{
    std::vector<server_id> due;
    for (auto& [server, known] : m_engines) {
        if (!isReadDue(server, known, now))
            continue;
        known.readAt = now;
        due.push_back(server);
    }
    return due;
}

}
