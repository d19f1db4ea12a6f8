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

server_mask placement_planner::holders(const snapshot& seen, const model_id& model) const
{
    server_mask found = 0;
    for (std::size_t i = 0; i < seen.servers.size(); ++i) {
        const server_id& server = seen.servers[i].id;
        const bool isHolder = seen.orders.isLoading(server, model) || seen.orders.usable(server).contains(model);
        if (seen.servers[i].isOrderable && isHolder)
            found |= maskOf(i);
    }
    return found;
}

std::optional<placement_planner::need> placement_planner::needOf(
    const snapshot& seen, const model_id& model, const metered_demand& demand)
{
    const server_mask held = holders(seen, model);
    need wanted { model, demand.smoothed, 0, demand.reachable & ~held, false, false };
    for (std::size_t i = 0; i < seen.servers.size(); ++i) {
        if ((held & maskOf(i)) != 0)
            wanted.capacity += seen.servers[i].capacity;
    }
    model_state& state = m_models[model];
    // A workspace may reach none of the servers that have the model, although
    // others do; its servers are then the ones to load it on.
    if (demand.unservedReachable != 0 && (demand.unservedReachable & held) == 0) {
        wanted.where = demand.unservedReachable;
        wanted.isUnserved = true;
        wanted.mayTakeBusy = demand.unservedSince && seen.now >= *demand.unservedSince + m_settings.busyPatience;
        return wanted;
    }
    if (held == 0 || wanted.demand <= m_settings.growAt * wanted.capacity) {
        state.aboveSince.reset();
        return std::nullopt;
    }
    if (!state.aboveSince)
        state.aboveSince = seen.now;
    const bool isPersistent = seen.now >= *state.aboveSince + m_settings.growPatience;
    const bool isSettled = !state.orderedAt || seen.now >= *state.orderedAt + m_settings.settleTime;
    return isPersistent && isSettled ? std::optional(wanted) : std::nullopt;
}

std::vector<placement_planner::need> placement_planner::needs(const snapshot& seen)
{
    std::vector<need> found;
    for (const auto& [model, demand] : seen.meter.demands()) {
        if (auto wanted = needOf(seen, model, demand))
            found.push_back(std::move(*wanted));
    }
    std::ranges::sort(found, [](const need& left, const need& right) {
        return std::tuple(!left.isUnserved, -left.demand) < std::tuple(!right.isUnserved, -right.demand);
    });
    std::erase_if(m_models, [&](const auto& entry) { return !seen.meter.demands().contains(entry.first); });
    return found;
}

std::optional<model_id> placement_planner::victimAt(const snapshot& seen, std::size_t server) const
{
    std::optional<model_id> victim;
    for (const model_id& model : seen.orders.usable(seen.servers[server].id)) {
        const bool isUsed = seen.meter.isInSteadyUse(model, seen.now);
        const auto since = seen.orders.loadedSince(seen.servers[server].id, model);
        const bool isYoung = since && seen.now < *since + m_settings.leastResidence;
        const bool isLast = (holders(seen, model) & ~maskOf(server)) == 0;
        if (isUsed && (isYoung || isLast))
            continue;
        if (!victim || seen.meter.smoothed(model) < seen.meter.smoothed(*victim))
            victim = model;
    }
    return victim;
}

std::optional<placement_planner::candidate> placement_planner::weigh(
    const snapshot& seen, const need& wanted, std::size_t server) const
{
    const placement_server& offered = seen.servers[server];
    const std::set<model_id>* loaded = seen.orders.loaded(offered.id);
    const bool isFree = offered.isIdle || wanted.mayTakeBusy;
    if ((wanted.where & maskOf(server)) == 0 || !offered.isOrderable || !isFree || !loaded || !seen.orders.mayOrder(offered.id, seen.now))
        return std::nullopt;
    if (loaded->size() < m_settings.modelsPerServer)
        return candidate { server, std::nullopt, 0 };
    const std::optional<model_id> victim = victimAt(seen, server);
    if (!victim)
        return std::nullopt;
    // To swap equally wanted models would only move the shortage.
    const cost_units loss = seen.meter.smoothed(*victim);
    if (!wanted.isUnserved && 2 * loss >= wanted.demand)
        return std::nullopt;
    return candidate { server, victim, loss };
}

std::optional<placement_planner::candidate> placement_planner::choose(const snapshot& seen, const need& wanted) const
{
    std::optional<candidate> best;
    const auto rank = [&](const candidate& each) {
        const placement_server& server = seen.servers[each.server];
        return std::tuple(!server.isIdle, each.victim.has_value(), each.loss, server.inUse, seen.orders.loaded(server.id)->size());
    };
    for (std::size_t i = 0; i < seen.servers.size(); ++i) {
        const auto weighed = weigh(seen, wanted, i);
        if (weighed && (!best || rank(*weighed) < rank(*best)))
            best = weighed;
    }
    return best;
}

std::optional<placement_choice> placement_planner::plan(const std::vector<placement_server>& servers,
    const demand_meter& meter, const order_book& orders, bool mayLoad, time_point now)
{
    const snapshot seen { servers, meter, orders, now };
    for (const need& wanted : needs(seen)) {
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
