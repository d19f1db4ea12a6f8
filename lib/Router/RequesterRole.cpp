#include "pimentoladder/Router/RequesterRole.h"

#include <algorithm>

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    constexpr duration tokenRequestInterval = 300ms; ///< Minimum time between requests for an owner's token.

}

requester_role::requester_role(const fleet_coordinator& fleet, const shard_directory& directory, std::uint64_t seed)
    : m_fleet(fleet)
    , m_directory(directory)
    , m_random(seed)
{
}

requester_role::~requester_role() = default;

std::vector<request_number> requester_role::onDirectoryChanged(time_point now)
{
    for (const shard& listedShard : m_directory.shards().shards()) {
        held_shard& held = m_shards[listedShard.id];
        if (!held.holder) {
            held.view = std::make_unique<directory_shard_view>(listedShard.id, m_directory);
            held.holder = std::make_unique<grant_holder>(listedShard.id, *held.view);
        }
        if (held.owner == listedShard.owner)
            continue;
        held.owner = listedShard.owner;
        held.holder->setOwnerLocal(held.owner == m_fleet.self());
        held.token = fencing_token();
        held.tokenRequestedAt.reset();
        // The owner may have announced its token before this document arrived.
        const auto announced = m_announcedOwners.find(listedShard.id);
        if (announced != m_announcedOwners.end() && announced->second.first == held.owner) {
            held.token = announced->second.second;
            held.holder->onOwner(held.token, now);
        }
    }
    std::vector<request_number> unassigned;
    for (const request_number request : m_waiting) {
        if (!m_directory.shards().find(m_shardOfRequest.at(request)))
            unassigned.push_back(request);
    }
    for (const request_number request : unassigned)
        withdraw(request);
    return unassigned;
}

requester_role::held_shard& requester_role::chooseShard(const std::vector<const shard*>& candidates)
{
    const auto loadOf = [&](const shard* candidate) {
        const grant_holder& holder = *m_shards.at(candidate->id).holder;
        return static_cast<double>(holder.waitingCount() + holder.runningCount()) / static_cast<double>(candidate->servers.size());
    };
    // The less loaded of two random choices spreads the load without every router
    // choosing the shard that appears least loaded.
    const shard* first = candidates[m_random.index(candidates.size())];
    const shard* second = candidates[m_random.index(candidates.size())];
    return m_shards.at(loadOf(second) < loadOf(first) ? second->id : first->id);
}

bool requester_role::wait(const demand_entry& demand, const pool_id& pool, time_point now)
{
    const std::vector<const shard*> candidates = m_directory.shardsFor(demand.workspace, pool);
    if (candidates.empty())
        return false;
    held_shard& chosen = chooseShard(candidates);
    m_shardOfRequest[demand.request] = chosen.holder->shard();
    m_waiting.insert(demand.request);
    chosen.holder->onRequest(demand, now);
    return true;
}

void requester_role::withdraw(request_number request)
{
    const auto assigned = m_shardOfRequest.find(request);
    if (assigned == m_shardOfRequest.end() || m_waiting.erase(request) == 0)
        return;
    m_shards.at(assigned->second).holder->onWithdrawn(request);
    m_shardOfRequest.erase(assigned);
}

void requester_role::onProgress(request_number request, cost_units cost)
{
    if (const auto assigned = m_shardOfRequest.find(request); assigned != m_shardOfRequest.end())
        m_shards.at(assigned->second).holder->onProgress(request, cost);
}

void requester_role::onEnded(request_number request, grant_event event, cost_units cost, duration firstByteLatency)
{
    const auto assigned = m_shardOfRequest.find(request);
    if (assigned == m_shardOfRequest.end())
        return;
    m_shards.at(assigned->second).holder->onEnded(request, event, cost, firstByteLatency);
    m_shardOfRequest.erase(assigned);
}

requester_role::held_shard* requester_role::findShardOwnedBy(const member_ref& from, const shard_id& id)
{
    const auto found = m_shards.find(id);
    return found != m_shards.end() && found->second.owner == from ? &found->second : nullptr;
}

void requester_role::onShardOwner(const member_ref& from, const shard_owner& received, time_point now)
{
    auto& announced = m_announcedOwners[received.shard];
    if (announced.first == from && announced.second > received.token)
        return;
    announced = { from, received.token };
    held_shard* held = findShardOwnedBy(from, received.shard);
    if (!held || held->token >= received.token)
        return;
    held->token = received.token;
    held->holder->onOwner(received.token, now);
}

void requester_role::onGrant(const member_ref& from, const grant& received)
{
    if (held_shard* held = findShardOwnedBy(from, received.shard))
        held->holder->onGrant(received);
}

void requester_role::onRecall(const member_ref& from, const recall& received)
{
    if (held_shard* held = findShardOwnedBy(from, received.shard))
        held->holder->onRecall(received);
}

void requester_role::onLinkOpened(const member_ref& peer, time_point now)
{
    for (auto& [id, held] : m_shards) {
        if (held.owner == peer)
            held.holder->onLinkReplaced(now);
    }
}

void requester_role::requestToken(const shard_id& id, held_shard& held, time_point now, router_actions& out)
{
    if (held.holder->waitingCount() == 0 || held.owner.vm.isEmpty())
        return;
    if (held.tokenRequestedAt && now - *held.tokenRequestedAt < tokenRequestInterval)
        return;
    held.tokenRequestedAt = now;
    out.push_back(send_message { held.owner.vm, acquire { id, fencing_token(), {}, {}, 0 } });
}

void requester_role::send(const held_shard& held, holder_actions& actions, router_actions& out) const
{
    if (actions.report)
        out.push_back(send_message { held.owner.vm, std::move(*actions.report) });
    if (actions.inFlight)
        out.push_back(send_message { held.owner.vm, std::move(*actions.inFlight) });
    if (actions.demand)
        out.push_back(send_message { held.owner.vm, std::move(*actions.demand) });
}

std::vector<granted_request> requester_role::onTick(time_point now, router_actions& out)
{
    std::vector<granted_request> granted;
    for (auto& [id, held] : m_shards) {
        if (held.token == fencing_token()) {
            requestToken(id, held, now, out);
            continue;
        }
        if (!held.holder->isDue(now))
            continue;
        const auto ownerClock = m_fleet.clockUpperBound(held.owner, now);
        holder_actions actions = held.holder->onTick(now, ownerClock);
        for (const start_order& order : actions.starts) {
            m_waiting.erase(order.request);
            const time_point usableUntil = now + (order.expiresAt - *ownerClock);
            granted.push_back({ order.request, { id, order.token, order.grant, order.server, usableUntil } });
        }
        send(held, actions, out);
    }
    return granted;
}

std::optional<time_point> requester_role::nextDeadline() const
{
    std::optional<time_point> next;
    const auto consider = [&next](std::optional<time_point> deadline) {
        if (deadline && (!next || *deadline < *next))
            next = deadline;
    };
    for (const auto& [id, held] : m_shards) {
        if (held.token == fencing_token())
            consider(held.tokenRequestedAt ? std::optional(*held.tokenRequestedAt + tokenRequestInterval) : std::nullopt);
        else
            consider(held.holder->nextDeadline());
    }
    return next;
}

member_ref requester_role::ownerOf(const shard_id& id) const
{
    const auto found = m_shards.find(id);
    return found == m_shards.end() ? member_ref() : found->second.owner;
}

std::size_t requester_role::waitingCount() const
{
    return m_waiting.size();
}

}
