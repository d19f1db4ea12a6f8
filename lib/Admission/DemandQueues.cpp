#include "pimentoladder/Admission/DemandQueues.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pimentoladder {

demand_queues::demand_queues(shard_id shard, const service_order& order, service_ledger& ledger)
    : m_shard(std::move(shard))
    , m_order(order)
    , m_ledger(ledger)
{
}

std::uint64_t demand_queues::model_queue::oldestArrival() const
{
    std::uint64_t oldest = UINT64_MAX;
    if (!plain.empty())
        oldest = plain.begin()->first;
    if (!suspects.empty())
        oldest = std::min(oldest, suspects.begin()->first);
    return oldest;
}

std::uint64_t demand_queues::queue::oldestArrival() const
{
    std::uint64_t oldest = UINT64_MAX;
    for (const auto& [model, waiting] : modelQueues)
        oldest = std::min(oldest, waiting.oldestArrival());
    return oldest;
}

server_mask demand_queues::serversWithModel(const model_id& model) const
{
    if (model.isEmpty())
        return ~server_mask { 0 };
    const auto found = m_loaded.find(model);
    return found == m_loaded.end() ? 0 : found->second;
}

server_mask demand_queues::usableServers(const queue& asked) const
{
    server_mask servers = 0;
    for (const auto& [model, waiting] : asked.modelQueues)
        servers |= asked.eligible & serversWithModel(model);
    return servers;
}

void demand_queues::setLoaded(std::map<model_id, server_mask> loaded)
{
    if (loaded == m_loaded)
        return;
    std::vector<queue*> blocked;
    for (const ranked_queue& entry : m_ranked) {
        if (usableServers(*entry.ranked) == 0)
            blocked.push_back(entry.ranked);
    }
    m_loaded = std::move(loaded);
    for (queue* each : blocked) {
        if (usableServers(*each) == 0)
            continue;
        liftAfterIdle(*each);
        rank(*each);
    }
}

void demand_queues::addModelDemands(std::map<model_id, model_demand>& demands) const
{
    for (const ranked_queue& entry : m_ranked) {
        const queue& asking = *entry.ranked;
        for (const auto& [model, waiting] : asking.modelQueues) {
            if (model.isEmpty())
                continue;
            model_demand& demand = demands[model];
            demand.model = model;
            demand.reachable |= asking.eligible;
            if ((asking.eligible & serversWithModel(model)) == 0)
                demand.unservedReachable |= asking.eligible;
            for (const auto& [arrival, each] : waiting.plain)
                demand.waiting += each.entry.costHint;
            for (const auto& [arrival, each] : waiting.suspects)
                demand.waiting += each.entry.costHint;
        }
    }
}

void demand_queues::reloadView(const shard_view& view)
{
    m_servers.clear();
    for (const shard_server& server : view.servers())
        m_servers.push_back(server.id);
    assert(m_servers.size() <= maxShardServers && "a shard has at most 64 servers");
    for (auto& [workspace, kept] : m_queues)
        kept.isEligibleKnown = false;
    for (const ranked_queue& entry : m_ranked)
        computeEligible(*entry.ranked, view);
    rerankAll();
}

void demand_queues::computeEligible(queue& reread, const shard_view& view)
{
    reread.eligible = 0;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        if (view.mayUse(reread.workspace, m_servers[i]))
            reread.eligible |= maskOf(i);
    }
    reread.isEligibleKnown = true;
    m_ledger.setWeight(reread.workspace, view.weight(reread.workspace));
}

demand_queues::queue& demand_queues::queueOf(const workspace_id& workspace, const shard_view& view)
{
    queue& found = m_queues[workspace];
    if (found.isEligibleKnown)
        return found;
    found.workspace = workspace;
    computeEligible(found, view);
    return found;
}

server_mask demand_queues::eligible(const workspace_id& workspace, const shard_view& view)
{
    return queueOf(workspace, view).eligible;
}

void demand_queues::add(const vm_id& router, const demand_entry& entry, const shard_view& view)
{
    if (contains({ router, entry.request }))
        return;
    queue& into = queueOf(entry.workspace, view);
    if (into.isEmpty())
        liftAfterIdle(into);
    insert(into, { router, entry, m_nextArrival++ });
}

void demand_queues::requeue(const waiting_demand& demand, const shard_view& view)
{
    if (contains({ demand.router, demand.entry.request }))
        return;
    insert(queueOf(demand.entry.workspace, view), demand);
}

void demand_queues::insert(queue& into, const waiting_demand& demand)
{
    model_queue& waiting = into.modelQueues[demand.entry.model];
    arrivals& entries = demand.isSuspect() ? waiting.suspects : waiting.plain;
    entries.emplace(demand.arrival, demand);
    m_positions[demand_key { demand.router, demand.entry.request }] = { &into, demand.entry.model, demand.arrival, demand.isSuspect() };
    rank(into);
}

void demand_queues::liftAfterIdle(const queue& returning)
{
    // Only workspaces that can use a server of the returning one are compared.
    // The virtual times of others may be far lower or higher, and raising to
    // them would give or take credit. A workspace that waits only for models
    // loaded nowhere counts as idle.
    const auto shares = [&](const ranked_queue& entry) {
        return entry.ranked != &returning && (usableServers(*entry.ranked) & returning.eligible) != 0;
    };
    const auto first = std::ranges::find_if(m_ranked, shares);
    const double target = first == m_ranked.end() ? m_ledger.clock(m_shard)
                                                  : m_ledger.virtualTime(m_shard, first->ranked->workspace);
    m_ledger.liftTo(m_shard, returning.workspace, target);
}

std::optional<waiting_demand> demand_queues::take(const demand_key& key)
{
    const auto found = m_positions.find(key);
    if (found == m_positions.end())
        return std::nullopt;
    queue& from = *found->second.in;
    const auto waiting = from.modelQueues.find(found->second.model);
    arrivals& entries = found->second.isSuspect ? waiting->second.suspects : waiting->second.plain;
    auto node = entries.extract(found->second.arrival);
    if (waiting->second.isEmpty())
        from.modelQueues.erase(waiting);
    m_positions.erase(found);
    rank(from);
    return std::move(node.mapped());
}

void demand_queues::removeRouter(const vm_id& router)
{
    auto entry = m_positions.lower_bound(demand_key { router, request_number() });
    while (entry != m_positions.end() && entry->first.router == router) {
        const demand_key key = entry->first;
        ++entry;
        take(key);
    }
}

void demand_queues::unrank(queue& ranked)
{
    if (!ranked.isRanked)
        return;
    m_ranked.erase({ ranked.rank, ranked.rankedArrival, &ranked });
    ranked.isRanked = false;
}

void demand_queues::rank(queue& ranked)
{
    unrank(ranked);
    if (ranked.isEmpty())
        return;
    ranked.rankedArrival = ranked.oldestArrival();
    ranked.rank = m_order.rank({ m_ledger.virtualTime(m_shard, ranked.workspace), ranked.rankedArrival });
    ranked.isRanked = true;
    m_ranked.insert({ ranked.rank, ranked.rankedArrival, &ranked });
}

void demand_queues::rerank(const workspace_id& workspace)
{
    const auto found = m_queues.find(workspace);
    if (found != m_queues.end())
        rank(found->second);
}

void demand_queues::rerankAll()
{
    const std::set<ranked_queue> before = std::exchange(m_ranked, {});
    for (const ranked_queue& entry : before) {
        entry.ranked->isRanked = false;
        rank(*entry.ranked);
    }
}

std::optional<selected_demand> demand_queues::next(server_mask free, server_mask freeForSuspects) const
{
    for (const ranked_queue& entry : m_ranked) {
        const queue& candidate = *entry.ranked;
        const waiting_demand* chosen = nullptr;
        server_mask allowed = 0;
        const auto consider = [&](const arrivals& entries, server_mask servers) {
            if (entries.empty() || servers == 0 || (chosen && chosen->arrival < entries.begin()->first))
                return;
            chosen = &entries.begin()->second;
            allowed = servers;
        };
        for (const auto& [model, waiting] : candidate.modelQueues) {
            const server_mask servers = candidate.eligible & serversWithModel(model);
            consider(waiting.plain, servers & free);
            consider(waiting.suspects, servers & freeForSuspects);
        }
        if (chosen)
            return selected_demand { { chosen->router, chosen->entry.request }, allowed };
    }
    return std::nullopt;
}

void demand_queues::addBacklogged(std::set<workspace_id>& workspaces) const
{
    for (const ranked_queue& entry : m_ranked)
        workspaces.insert(entry.ranked->workspace);
}

server_mask demand_queues::contestedServers() const
{
    server_mask servers = 0;
    for (const ranked_queue& entry : m_ranked)
        servers |= usableServers(*entry.ranked);
    return servers;
}

}
