#include "pimentoladder/Placement/PlacementPlanner.h"

#include <algorithm>
#include <tuple>

namespace pimentoladder {

std::string_view placementReasonName(placement_reason reason)
{
    switch (reason) {
    case placement_reason::notLoaded:
        return "not_loaded";
    case placement_reason::demandAboveCapacity:
        return "demand_above_capacity";
    case placement_reason::roomForOther:
        return "room_for_other";
    }
    return "unknown";
}

placement_planner::placement_planner(placement_settings settings)
    : m_settings(settings)
{
}

server_mask placement_planner::serversWithModel(const snapshot& seen, const model_id& model) const
{
    server_mask found = 0;
    for (std::size_t i = 0; i < seen.servers.size(); ++i) {
        const server_id& server = seen.servers[i].id;
        const bool isHolder = seen.orders.isLoading(server, model) || seen.orders.usableModels(server).contains(model);
        if (seen.servers[i].isOrderable && isHolder)
            found |= maskOf(i);
    }
    return found;
}

std::optional<placement_planner::unmet_demand> placement_planner::unmetDemandOf(
    const snapshot& seen, const model_id& model, const metered_demand& demand)
{
    const server_mask held = serversWithModel(seen, model);
    unmet_demand wanted { model, demand.smoothed, 0, demand.reachable & ~held, false, false };
    for (std::size_t i = 0; i < seen.servers.size(); ++i) {
        if ((held & maskOf(i)) != 0)
            wanted.capacity += seen.servers[i].capacity;
    }
    model_state& state = m_models[model];
    // A workspace may not be allowed to use any server that has the model,
    // although other workspaces are. The model is then loaded on a server that
    // this workspace may use.
    if (demand.unservedReachable != 0 && (demand.unservedReachable & held) == 0) {
        wanted.allowedServers = demand.unservedReachable;
        wanted.isUnserved = true;
        wanted.mayUseBusyServer = demand.unservedSince && seen.now >= *demand.unservedSince + m_settings.busyServerDelay;
        return wanted;
    }
    if (held == 0 || wanted.demand <= m_settings.scaleOutRatio * wanted.capacity) {
        state.aboveSince.reset();
        return std::nullopt;
    }
    if (!state.aboveSince)
        state.aboveSince = seen.now;
    const bool isPersistent = seen.now >= *state.aboveSince + m_settings.scaleOutDelay;
    const bool isCooldownOver = !state.orderedAt || seen.now >= *state.orderedAt + m_settings.scaleOutCooldown;
    return isPersistent && isCooldownOver ? std::optional(wanted) : std::nullopt;
}

std::vector<placement_planner::unmet_demand> placement_planner::unmetDemands(const snapshot& seen)
{
    std::vector<unmet_demand> found;
    for (const auto& [model, demand] : seen.meter.demands()) {
        if (auto wanted = unmetDemandOf(seen, model, demand))
            found.push_back(std::move(*wanted));
    }
    std::ranges::sort(found, [](const unmet_demand& left, const unmet_demand& right) {
        return std::tuple(!left.isUnserved, -left.demand) < std::tuple(!right.isUnserved, -right.demand);
    });
    std::erase_if(m_models, [&](const auto& entry) { return !seen.meter.demands().contains(entry.first); });
    return found;
}

std::optional<model_id> placement_planner::victimAt(const snapshot& seen, std::size_t server) const
{
    std::optional<model_id> victim;
    for (const model_id& model : seen.orders.usableModels(seen.servers[server].id)) {
        const bool isUsed = seen.meter.isInSteadyUse(model, seen.now);
        const auto since = seen.orders.loadedSince(seen.servers[server].id, model);
        const bool isRecentlyLoaded = since && seen.now < *since + m_settings.minResidence;
        const bool isLastCopy = (serversWithModel(seen, model) & ~maskOf(server)) == 0;
        if (isUsed && (isRecentlyLoaded || isLastCopy))
            continue;
        if (!victim || seen.meter.smoothed(model) < seen.meter.smoothed(*victim))
            victim = model;
    }
    return victim;
}

std::optional<placement_planner::candidate> placement_planner::evaluateServer(
    const snapshot& seen, const unmet_demand& wanted, std::size_t server) const
{
    const placement_server& offered = seen.servers[server];
    const std::set<model_id>* loaded = seen.orders.loaded(offered.id);
    const bool isFree = offered.isIdle || wanted.mayUseBusyServer;
    if ((wanted.allowedServers & maskOf(server)) == 0 || !offered.isOrderable || !isFree || !loaded || !seen.orders.mayOrder(offered.id, seen.now))
        return std::nullopt;
    if (loaded->size() < m_settings.modelsPerServer)
        return candidate { server, std::nullopt, 0 };
    const std::optional<model_id> victim = victimAt(seen, server);
    if (!victim)
        return std::nullopt;
    // Replacing a model in similar demand would only move the shortage. The
    // demand must be more than twice the demand for the victim.
    const cost_units loss = seen.meter.smoothed(*victim);
    if (!wanted.isUnserved && 2 * loss >= wanted.demand)
        return std::nullopt;
    return candidate { server, victim, loss };
}

std::optional<placement_planner::candidate> placement_planner::choose(const snapshot& seen, const unmet_demand& wanted) const
{
    std::optional<candidate> best;
    const auto rank = [&](const candidate& each) {
        const placement_server& server = seen.servers[each.server];
        return std::tuple(!server.isIdle, each.victim.has_value(), each.loss, server.inUse, seen.orders.loaded(server.id)->size());
    };
    for (std::size_t i = 0; i < seen.servers.size(); ++i) {
        const auto evaluated = evaluateServer(seen, wanted, i);
        if (evaluated && (!best || rank(*evaluated) < rank(*best)))
            best = evaluated;
    }
    return best;
}

std::optional<placement_choice> placement_planner::plan(const std::vector<placement_server>& servers,
    const demand_meter& meter, const order_tracker& orders, bool mayLoad, time_point now)
{
    const snapshot seen { servers, meter, orders, now };
    for (const unmet_demand& wanted : unmetDemands(seen)) {
        const auto chosen = choose(seen, wanted);
        if (!chosen || (!chosen->victim && !mayLoad))
            continue;
        placement_choice choice { servers[chosen->server].id, placement_action::load, wanted.model, wanted.demand,
            wanted.capacity, wanted.isUnserved ? placement_reason::notLoaded : placement_reason::demandAboveCapacity };
        if (chosen->victim) {
            choice.action = placement_action::unload;
            choice.model = *chosen->victim;
            choice.reason = placement_reason::roomForOther;
            return choice;
        }
        m_models[wanted.model].orderedAt = now;
        m_models[wanted.model].aboveSince.reset();
        return choice;
    }
    return std::nullopt;
}

}
