#include "pimentoladder/Router/ShardPlacement.h"

#include <algorithm>

#include "pimentoladder/Freshness/FreshnessTracker.h"

namespace pimentoladder {

shard_placement::shard_placement(const shard_ownership& ownership, shard_scheduler& scheduler, cost_units requestCost,
    const placement_settings& settings, time_point now)
    : m_ownership(ownership)
    , m_scheduler(scheduler)
    , m_requestCost(requestCost)
    , m_settings(settings)
    , m_meter(settings.meter)
    , m_orders(settings.orders)
    , m_planner(settings)
    , m_budget(settings.loadsPerSecond, ownership.grantsFrom)
{
    for (const shard_server& server : m_scheduler.servers())
        m_servers[server.id] = { m_ownership.token, revision(), now, m_ownership.grantsFrom };
    updateOrderTrackerServers();
}

void shard_placement::updateOrderTrackerServers()
{
    std::set<server_id> ids;
    for (const auto& [id, server] : m_servers)
        ids.insert(id);
    m_orders.setServers(ids);
}

void shard_placement::onDocumentChanged(fencing_token token, revision at, time_point now)
{
    std::map<server_id, placed_server> servers;
    for (const shard_server& server : m_scheduler.servers()) {
        const auto known = m_servers.find(server.id);
        servers[server.id] = known != m_servers.end() ? known->second : placed_server { token, at, now, std::nullopt };
    }
    m_servers = std::move(servers);
    updateOrderTrackerServers();
}

void shard_placement::onState(const engine_state& state, time_point now)
{
    m_orders.onState(state, now);
    updateScheduler(state.server, now);
}

void shard_placement::onAnswer(const server_id& server, order_number number, order_outcome outcome, time_point now)
{
    m_orders.onAnswer(server, number, outcome, now);
    updateScheduler(server, now);
}

void shard_placement::updateScheduler(const server_id& server, time_point now)
{
    m_scheduler.setLoadedModels(server, m_orders.usableModels(server));
    if (m_orders.isLoadingAny(server))
        m_scheduler.setCold(server, now);
}

std::vector<placement_server> shard_placement::describeServers(time_point now) const
{
    std::vector<placement_server> described;
    for (const shard_server& server : m_scheduler.servers()) {
        const auto known = m_servers.find(server.id);
        const bool isOrderable = server.isInService && known != m_servers.end() && known->second.ordersFrom
            && now >= *known->second.ordersFrom;
        described.push_back({ server.id, isOrderable, m_scheduler.isIdle(server.id), m_scheduler.inUse(server.id),
            server.ceiling * m_requestCost });
    }
    return described;
}

std::optional<placement_step> shard_placement::onTick(time_point basis,
    const std::function<std::optional<time_point>(revision)>& acceptedAt, order_number next, time_point now)
{
    m_orders.onOwnershipConfirmed(basis);
    if (m_plannedAt && now < *m_plannedAt + m_settings.interval)
        return std::nullopt;
    m_plannedAt = now;
    for (auto& [id, server] : m_servers) {
        const auto accepted = server.ordersFrom ? std::nullopt : acceptedAt(server.since);
        if (accepted)
            server.ordersFrom = std::max(*accepted, server.learnedAt) + freshnessWindow + shard_scheduler_settings {}.grantLifetime;
    }
    m_meter.observe(m_scheduler.modelDemands(), now);
    const auto choice = m_planner.plan(describeServers(now), m_meter, m_orders, m_budget.hasLoadBudget(now), now);
    if (!choice || (choice->action == placement_action::load && !m_budget.take(now)))
        return std::nullopt;
    const placement_order order { next, choice->server, choice->action, choice->model, m_servers.at(choice->server).token };
    m_orders.begin(order, now);
    updateScheduler(order.server, now);
    return placement_step { order, *choice };
}

bool shard_placement::isOrderSendable(const server_id& server, order_number number, time_point now) const
{
    const placement_order* order = m_orders.pending(server);
    const auto known = m_servers.find(server);
    return order && order->number == number && known != m_servers.end() && known->second.ordersFrom
        && now >= *known->second.ordersFrom && !m_orders.isStopped();
}

placement_statistics shard_placement::figures() const
{
    placement_statistics listed { m_orders.counters(), m_orders.isStopped(), m_budget.rate(), {} };
    for (const auto& [model, demand] : m_meter.demands()) {
        // Some supported compilers cannot capture a structured binding.
        const model_id& wanted = model;
        const auto hasModel = [&](const auto& entry) { return m_orders.usableModels(entry.first).contains(wanted); };
        listed.models.push_back({ wanted, demand.smoothed, static_cast<std::size_t>(std::ranges::count_if(m_servers, hasModel)) });
    }
    return listed;
}

}
