#include "pimentoladder/Placement/OrderBook.h"

#include <algorithm>
#include <cassert>

namespace pimentoladder {

std::string_view placementActionName(placement_action action)
{
    return action == placement_action::load ? "load" : "unload";
}

order_book::order_book(order_book_settings settings)
    : m_settings(settings)
{
}

void order_book::begin(const placement_order& order, time_point now)
{
    assert(mayOrder(order.server, now) && "one order at a time for each engine");
    m_pending[order.server] = { order, now, progress::sent, std::nullopt };
    ++m_counters.sent;
}

void order_book::onAnswer(const server_id& server, order_number number, order_outcome outcome, time_point now)
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

void order_book::drop(const server_id& server, time_point now)
{
    ++m_counters.lost;
    m_engines[server].retryAt = now + m_settings.retryAfter;
    m_pending.erase(server);
}

void order_book::onState(const engine_state& state, time_point now)
{
    known_engine& known = m_engines[state.server];
    if (known.isStated && state.takenAt < known.takenAt)
        return;
    known.isStated = true;
    known.takenAt = state.takenAt;
    known.loaded = state.loaded;
    for (const model_id& model : state.loaded)
        known.since.try_emplace(model, now);
    std::erase_if(known.since, [&](const auto& entry) { return !state.loaded.contains(entry.first); });

    const auto found = m_pending.find(state.server);
    // A state from before the order says nothing about its effect.
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

void order_book::onOwnershipConfirmed(time_point basis)
{
    if (m_stoppedAt && basis > *m_stoppedAt)
        m_stoppedAt.reset();
}

bool order_book::mayOrder(const server_id& server, time_point now) const
{
    const auto known = m_engines.find(server);
    return !m_stoppedAt && !m_pending.contains(server)
        && (known == m_engines.end() || now >= known->second.retryAt);
}

const placement_order* order_book::pending(const server_id& server) const
{
    const auto found = m_pending.find(server);
    return found == m_pending.end() ? nullptr : &found->second.order;
}

const std::set<model_id>* order_book::loaded(const server_id& server) const
{
    const auto known = m_engines.find(server);
    return known == m_engines.end() || !known->second.isStated ? nullptr : &known->second.loaded;
}

std::set<model_id> order_book::usable(const server_id& server) const
{
    const std::set<model_id>* known = loaded(server);
    std::set<model_id> models = known ? *known : std::set<model_id>();
    if (const placement_order* order = pending(server))
        models.erase(order->model);
    return models;
}

std::optional<time_point> order_book::loadedSince(const server_id& server, const model_id& model) const
{
    const auto known = m_engines.find(server);
    if (known == m_engines.end())
        return std::nullopt;
    const auto since = known->second.since.find(model);
    return since == known->second.since.end() ? std::nullopt : std::optional(since->second);
}

std::vector<server_id> order_book::takeReadsDue(time_point now)
{
    std::vector<server_id> due;
    for (auto& [server, pending] : m_pending) {
        const time_point lastStep = std::max(pending.sentAt, pending.readAt.value_or(pending.sentAt));
        if (now < lastStep + m_settings.readInterval)
            continue;
        pending.readAt = now;
        due.push_back(server);
    }
    return due;
}

}
