#include "pimentoladder/Router/OwnerRole.h"

#include <algorithm>
#include <utility>

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    constexpr duration grantLifetime = shard_scheduler_settings {}.grantLifetime;
    constexpr duration counterExchangeInterval = 250ms;
    constexpr duration loadPollInterval = 1s;
    // Routers and servers are checked at this interval and not after each event,
    // because an owner in the largest planned fleet has links to 340 routers.
    constexpr duration housekeepingInterval = 100ms;
    constexpr duration suspicionLifetime = 10s; ///< An unconfirmed suspicion of a crash is dropped after this time.

    // The revision does not advance while the table is down, and the set of
    // suspended members only grows during that time. Together they order the tokens
    // of successive owners.
    fencing_token tokenAt(revision at, std::size_t suspendedCount)
    {
        constexpr unsigned countBits = 10;
        constexpr std::size_t countLimit = (std::size_t { 1 } << countBits) - 1;
        return fencing_token((at.value() << countBits) | std::min(suspendedCount, countLimit));
    }

}

owner_role::owner_role(const fleet_coordinator& fleet, const shard_directory& directory, std::uint64_t seed,
    const placement_settings& placement)
    : m_fleet(fleet)
    , m_directory(directory)
    , m_seed(seed)
    , m_placement(placement)
    , m_ledger(std::make_unique<service_ledger>(fleet.self()))
    , m_self(fleet.self())
{
}

owner_role::~owner_role() = default;

void owner_role::onDirectoryChanged(time_point now, router_actions& out)
{
    if (m_self != m_fleet.self()) {
        // Ownership ends with the incarnation. Nothing is handed over, because the
        // successor may already be acting as owner.
        m_owned.clear();
        m_self = m_fleet.self();
        m_ledger = std::make_unique<service_ledger>(m_self);
    }
    for (const auto& [id, listed] : m_directory.access().source().workspaces)
        m_ledger->setWeight(id, listed.weight);

    std::map<shard_id, member_ref> lostShards;
    for (const auto& [id, owned] : m_owned) {
        const shard* listedShard = m_directory.shards().find(id);
        if (!listedShard || listedShard->owner != m_self)
            lostShards[id] = listedShard ? listedShard->owner : member_ref();
    }
    for (const auto& [id, next] : lostShards)
        handOver(id, next, now, out);
    for (const shard& listedShard : m_directory.shards().shards()) {
        if (listedShard.owner == m_self && !m_owned.contains(listedShard.id))
            takeOver(listedShard, now);
    }
    const fencing_token joined = tokenAt(m_fleet.current().at, m_fleet.suspended().members().size());
    for (auto& [id, owned] : m_owned) {
        if (owned.scheduler)
            owned.scheduler->onDocumentChanged(now);
        if (owned.placement)
            owned.placement->onDocumentChanged(joined, m_fleet.current().at, now);
    }
    if (m_appliedRevision != m_fleet.current().at) {
        m_appliedRevision = m_fleet.current().at;
        m_appliedAt = now;
    }
    findSuccessors();
    updateSchedulerRouters(now);
    openAcceptedShards(now, out);
}

void owner_role::findSuccessors()
{
    const std::vector<member_ref> suspended = m_fleet.suspended().members();
    std::set<member_ref> excluded(suspended.begin(), suspended.end());
    excluded.insert(m_self);
    const std::set<member_ref> before = std::exchange(m_successors, {});
    for (const auto& [id, owned] : m_owned) {
        const member_ref next = shardOwner(id, m_fleet.current(), excluded);
        if (!next.vm.isEmpty())
            m_successors.insert(next);
    }
    // A new successor lacks the counters, lifts and clocks that were left out of
    // earlier exchanges with it.
    for (const member_ref& successor : m_successors) {
        if (!before.contains(successor))
            m_ledger->resendAllTo(successor);
    }
}

void owner_role::takeOver(const shard& taken, time_point now)
{
    owned_shard owned;
    owned.since = m_fleet.current().at;
    owned.token = tokenAt(owned.since, m_fleet.suspended().members().size());
    owned.view = std::make_unique<directory_shard_view>(taken.id, m_directory);
    owned.learnedAt = now;
    m_owned[taken.id] = std::move(owned);
}

void owner_role::handOver(const shard_id& id, const member_ref& next, time_point now, router_actions& out)
{
    const owned_shard& owned = m_owned.at(id);
    // Only an owner that could issue grants releases its shard. One that was still
    // waiting for its predecessor's grants to expire does not know of them.
    const bool couldGrant = owned.scheduler && now >= owned.grantsFrom;
    if (couldGrant && !next.vm.isEmpty())
        out.push_back(send_message { next.vm, shard_release { id, owned.token } });
    out.push_back(ownership_decision { id, owned.token, false, {} });
    m_owned.erase(id);
}

std::optional<time_point> owner_role::acceptedSince(const owned_shard& pending) const
{
    auto since = m_fleet.acceptedAt(pending.since);
    if (!since)
        return std::nullopt;
    for (const member_ref& suspended : m_fleet.suspended().members()) {
        const auto suspensionSince = m_fleet.suspensionAcceptedAt(suspended);
        if (!suspensionSince)
            return std::nullopt;
        since = std::max(*since, *suspensionSince);
    }
    return since;
}

void owner_role::openAcceptedShards(time_point now, router_actions& out)
{
    for (auto& [id, owned] : m_owned) {
        if (owned.scheduler)
            continue;
        const auto since = acceptedSince(owned);
        const shard* listedShard = m_directory.shards().find(id);
        if (!since || !listedShard)
            continue;
        owned.grantsFrom = std::max(*since, owned.learnedAt) + freshnessWindow + grantLifetime;
        const shard_ownership ownership { id, listedShard->pool, owned.token, owned.learnedAt, owned.grantsFrom };
        owned.scheduler = std::make_unique<shard_scheduler>(ownership,
            shard_scheduler_dependencies { *owned.view, *m_ledger, m_estimator, m_serviceOrder, m_serverChoice }, ++m_seed);
        owned.scheduler->setRouters(routers(), now);
        if (const auto released = m_earlyReleases.find(id); released != m_earlyReleases.end())
            owned.scheduler->onShardRelease(released->second);
        m_earlyReleases.erase(id);
        const auto& pools = m_directory.access().source().pools;
        const auto served = pools.find(listedShard->pool);
        if (served != pools.end() && served->second.kind == pool_kind::model)
            owned.placement = std::make_unique<shard_placement>(ownership, *owned.scheduler, served->second.defaultCost, m_placement, now);
        out.push_back(ownership_decision { id, owned.token, true, owned.grantsFrom });
        const shard_owner claimed { id, owned.token };
        out.push_back(send_message { m_self.vm, claimed });
        for (const auto& [vm, router] : m_linkedRouters)
            out.push_back(send_message { vm, claimed });
    }
}

std::vector<shard_router> owner_role::routers() const
{
    std::vector<shard_router> known;
    const auto& members = m_fleet.current().members;
    for (const auto& [vm, listed] : members) {
        if (!m_lostRouters.contains({ vm, listed.start }))
            known.push_back({ { vm, listed.start }, listed.dataCentre });
    }
    for (const auto& [vm, linked] : m_linkedRouters) {
        const auto listed = members.find(vm);
        const bool isMember = listed != members.end() && listed->second.start == linked.start;
        if (!isMember && !m_lostRouters.contains(linked))
            known.push_back({ linked, {} });
    }
    return known;
}

void owner_role::updateSchedulerRouters(time_point now)
{
    const std::vector<shard_router> known = routers();
    for (auto& [id, owned] : m_owned) {
        if (owned.scheduler)
            owned.scheduler->setRouters(known, now);
    }
}

shard_scheduler* owner_role::openScheduler(const shard_id& id, fencing_token token)
{
    const auto found = m_owned.find(id);
    if (found == m_owned.end() || !found->second.scheduler || found->second.token != token)
        return nullptr;
    return found->second.scheduler.get();
}

void owner_role::onAcquire(const member_ref& from, const acquire& received, time_point now, router_actions& out)
{
    if (shard_scheduler* scheduler = openScheduler(received.shard, received.token)) {
        scheduler->onAcquire(from, received, now);
        return;
    }
    const auto owned = m_owned.find(received.shard);
    if (owned != m_owned.end() && owned->second.scheduler)
        out.push_back(send_message { from.vm, shard_owner { received.shard, owned->second.token } });
}

void owner_role::onGrantReport(const member_ref& from, const grant_report& received, time_point now)
{
    if (shard_scheduler* scheduler = openScheduler(received.shard, received.token))
        scheduler->onGrantReport(from, received, now);
}

void owner_role::onInFlightReport(const member_ref& from, const in_flight_report& received, time_point now)
{
    if (shard_scheduler* scheduler = openScheduler(received.shard, received.token))
        scheduler->onInFlightReport(from, received, now);
}

void owner_role::onShardRelease(const member_ref& from, const shard_release& received)
{
    const auto owned = m_owned.find(received.shard);
    if (owned != m_owned.end() && owned->second.scheduler) {
        owned->second.scheduler->onShardRelease(received);
        return;
    }
    if (from == m_self)
        return;
    shard_release& kept = m_earlyReleases[received.shard];
    if (kept.token <= received.token)
        kept = received;
}

void owner_role::onServiceCounters(const member_ref& from, const service_counters& received)
{
    m_ledger->merge(received, from);
}

void owner_role::onLinkOpened(const member_ref& peer, time_point now, router_actions& out)
{
    const auto known = m_linkedRouters.find(peer.vm);
    const bool isNew = known == m_linkedRouters.end() || known->second != peer;
    m_linkedRouters[peer.vm] = peer;
    m_lostRouters.erase(peer);
    m_ledger->resendAllTo(peer);
    if (isNew)
        updateSchedulerRouters(now);
    for (const auto& [id, owned] : m_owned) {
        if (owned.scheduler)
            out.push_back(send_message { peer.vm, shard_owner { id, owned.token } });
    }
}

void owner_role::onLoadReport(const server_load& received, time_point now, router_actions& out)
{
    const shard* shardOfServer = m_directory.shards().shardOf(received.server);
    const auto owned = shardOfServer ? m_owned.find(shardOfServer->id) : m_owned.end();
    if (owned == m_owned.end() || !owned->second.scheduler)
        return;
    watched_server& watched = m_watchedServers[received.server];
    if (watched.start != incarnation() && received.start > watched.start)
        confirmCrash(received.server, watched, now, out);
    watched.start = std::max(watched.start, received.start);
    owned->second.scheduler->onLoadReport(received, now);
    if (owned->second.placement)
        owned->second.placement->onState({ received.server, received.models, std::nullopt, received.takenAt }, now);
}

void owner_role::onLoadFailed(const server_id& server, time_point now, router_actions& out)
{
    confirmCrash(server, m_watchedServers[server], now, out);
}

void owner_role::onSuspectedCrash(const crash_report& received, time_point now)
{
    watched_server& watched = m_watchedServers[received.server];
    if (now - watched.suspectedAt > suspicionLifetime)
        watched.suspects.clear();
    watched.suspectedAt = now;
    watched.suspects.insert(watched.suspects.end(), received.running.begin(), received.running.end());
    // Poll the server without delay to learn whether it has restarted.
    watched.polledAt.reset();
    m_lastHousekeepingAt.reset();
}

void owner_role::confirmCrash(const server_id& server, watched_server& watched, time_point now, router_actions& out)
{
    std::vector<fingerprint> running;
    std::swap(running, watched.suspects);
    if (running.empty() || now - watched.suspectedAt > suspicionLifetime)
        return;
    const crash_report confirmed { server, std::max(watched.start, incarnation(1)), running };
    out.push_back(send_message { m_self.vm, confirmed });
    for (const auto& [vm, router] : m_linkedRouters)
        out.push_back(send_message { vm, confirmed });
}

void owner_role::onTick(time_point now, router_actions& out)
{
    if (!m_lastHousekeepingAt || now - *m_lastHousekeepingAt >= housekeepingInterval) {
        m_lastHousekeepingAt = now;
        updateLostRouters(now);
        pollLoads(now, out);
    }
    openAcceptedShards(now, out);
    const time_point freshUntil = m_fleet.ownerFreshUntil();
    for (auto& [id, owned] : m_owned) {
        if (!owned.scheduler)
            continue;
        owned.scheduler->setFreshUntil(freshUntil);
        scheduler_actions actions = owned.scheduler->onTick(now);
        // Until this router may issue grants, the grants in use are those of the
        // previous owner, under its limits.
        if (owned.scheduler->mayGrant(now))
            reportLimits(id, owned, out);
        for (auto& [to, issued] : actions.grants)
            out.push_back(send_message { to.vm, std::move(issued) });
        for (grant_decision& decision : actions.decisions)
            out.push_back(grant_issued { id, owned.token, m_fleet.current().at, std::move(decision) });
        for (auto& [to, wanted] : actions.recalls)
            out.push_back(send_message { to.vm, std::move(wanted) });
    }
    placeModels(now, out);
    exchangeCounters(now, out);
}

void owner_role::reportLimits(const shard_id& id, owned_shard& owned, router_actions& out) const
{
    const shard* listedShard = m_directory.shards().find(id);
    if (!listedShard)
        return;
    for (const server_id& server : listedShard->servers) {
        const std::uint32_t limit = owned.scheduler->limit(server);
        const auto [stated, isNew] = owned.reportedLimits.try_emplace(server, limit);
        if (!isNew && stated->second == limit)
            continue;
        stated->second = limit;
        out.push_back(limit_decision { server, limit });
    }
}

void owner_role::updateLostRouters(time_point now)
{
    bool hasReturned = false;
    for (const auto& [vm, router] : m_linkedRouters) {
        if (m_fleet.stateOf(vm, now) != peer_state::lost) {
            // A router that was paused resumes on its existing link.
            hasReturned = m_lostRouters.erase(router) > 0 || hasReturned;
            continue;
        }
        if (!m_lostRouters.insert(router).second)
            continue;
        m_ledger->resendCountersOf(router);
        for (auto& [id, owned] : m_owned) {
            if (owned.scheduler)
                owned.scheduler->onRouterLost(router, now);
        }
    }
    if (hasReturned)
        updateSchedulerRouters(now);
}

bool owner_role::maySendOrders(const owned_shard& owned, time_point now) const
{
    // An early release by the predecessor does not shorten the wait: an engine that
    // ignores fencing tokens may still receive an order that the predecessor sent
    // before the release.
    return owned.placement && now >= owned.grantsFrom && m_fleet.isOwnerFresh(now);
}

const owner_role::owned_shard* owner_role::findOwnedShard(const server_id& server) const
{
    const shard* shardOfServer = m_directory.shards().shardOf(server);
    const auto owned = shardOfServer ? m_owned.find(shardOfServer->id) : m_owned.end();
    return owned == m_owned.end() ? nullptr : &owned->second;
}

void owner_role::updateLoadBudgets(time_point now)
{
    const auto& pools = m_directory.access().source().pools;
    const auto isModelShard = [&](const shard& listedShard) {
        const auto served = pools.find(listedShard.pool);
        return served != pools.end() && served->second.kind == pool_kind::model;
    };
    const auto count = static_cast<std::size_t>(std::ranges::count_if(m_directory.shards().shards(), isModelShard));
    // After this time every fresh owner has applied the document.
    const auto accepted = m_fleet.acceptedAt(m_appliedRevision);
    const bool isSettled = accepted && now >= std::max(*accepted, m_appliedAt) + freshnessWindow + grantLifetime;
    for (auto& [id, owned] : m_owned) {
        if (owned.placement)
            owned.placement->setShards(count, isSettled, now);
    }
}

void owner_role::placeModels(time_point now, router_actions& out)
{
    updateLoadBudgets(now);
    const auto acceptedAt = [this](revision at) { return m_fleet.acceptedAt(at); };
    for (auto& [id, owned] : m_owned) {
        if (!maySendOrders(owned, now))
            continue;
        // The owner is fresh here, so `ownerFreshUntil` is based on evidence.
        const time_point basis = m_fleet.ownerFreshUntil() - freshnessWindow;
        const auto step = owned.placement->onTick(basis, acceptedAt, order_number(m_lastOrder + 1), now);
        if (step) {
            ++m_lastOrder;
            out.push_back(placement_decision { id, step->order, step->choice.demand, step->choice.capacity, step->choice.reason });
            if (const backend_server* target = m_directory.findServer(step->order.server))
                out.push_back(order_server { step->order, target->location });
        }
        for (const server_id& server : owned.placement->takeReadsDue(now)) {
            if (const backend_server* target = m_directory.findServer(server))
                out.push_back(read_models { server, target->location });
        }
    }
}

void owner_role::onOrderAnswered(const server_id& server, order_number number, order_outcome outcome, time_point now)
{
    const owned_shard* owned = findOwnedShard(server);
    if (owned && owned->placement)
        owned->placement->onAnswer(server, number, outcome, now);
}

void owner_role::onModelsRead(const engine_state& state, time_point now)
{
    const owned_shard* owned = findOwnedShard(state.server);
    if (owned && owned->placement)
        owned->placement->onState(state, now);
}

bool owner_role::maySendOrder(const server_id& server, order_number number, time_point now) const
{
    const owned_shard* owned = findOwnedShard(server);
    return owned && maySendOrders(*owned, now) && owned->placement->isOrderSendable(server, number, now);
}

void owner_role::pollLoads(time_point now, router_actions& out)
{
    for (const auto& [id, owned] : m_owned) {
        const shard* listedShard = m_directory.shards().find(id);
        if (!listedShard)
            continue;
        for (const server_id& server : listedShard->servers) {
            watched_server& watched = m_watchedServers[server];
            const backend_server* found = m_directory.findServer(server);
            if (!found || (watched.polledAt && now - *watched.polledAt < loadPollInterval))
                continue;
            watched.polledAt = now;
            out.push_back(poll_load { server, found->location });
        }
    }
}

void owner_role::exchangeCounters(time_point now, router_actions& out)
{
    if (m_lastExchangeAt && now - *m_lastExchangeAt < counterExchangeInterval)
        return;
    m_lastExchangeAt = now;
    std::set<member_ref> owners = m_successors;
    for (const shard& listedShard : m_directory.shards().shards()) {
        if (listedShard.owner != m_self && !listedShard.owner.vm.isEmpty())
            owners.insert(listedShard.owner);
    }
    std::set<workspace_id> waiting;
    for (const auto& [id, owned] : m_owned) {
        if (owned.scheduler)
            owned.scheduler->addBacklogged(waiting);
    }
    m_ledger->beginRound();
    for (const member_ref& owner : owners) {
        service_counters changes = m_ledger->takeNeededChanges(owner, waiting, m_successors.contains(owner));
        if (!changes.entries.empty() || !changes.lifts.empty())
            out.push_back(send_message { owner.vm, std::move(changes) });
    }
}

std::optional<time_point> owner_role::nextDeadline() const
{
    std::optional<time_point> next;
    if (m_lastExchangeAt && !m_owned.empty())
        next = *m_lastExchangeAt + counterExchangeInterval;
    for (const auto& [id, owned] : m_owned) {
        const auto deadline = owned.scheduler ? owned.scheduler->nextDeadline() : std::nullopt;
        if (deadline && (!next || *deadline < *next))
            next = deadline;
    }
    return next;
}

std::vector<owner_role::owned_figures> owner_role::figures() const
{
    std::vector<owned_figures> listed;
    for (const auto& [id, owned] : m_owned) {
        if (owned.scheduler)
            listed.push_back({ id, owned.scheduler->statistics() });
    }
    return listed;
}

std::vector<owner_role::owned_placement> owner_role::placementFigures() const
{
    std::vector<owned_placement> listed;
    for (const auto& [id, owned] : m_owned) {
        if (owned.placement)
            listed.push_back({ id, owned.placement->figures() });
    }
    return listed;
}

std::vector<owner_role::server_statistics> owner_role::serverFigures() const
{
    std::vector<server_statistics> listed;
    for (const auto& [id, owned] : m_owned) {
        const shard* listedShard = m_directory.shards().find(id);
        if (!listedShard || !owned.scheduler)
            continue;
        for (const server_id& server : listedShard->servers)
            listed.push_back({ server, owned.scheduler->limit(server), owned.scheduler->inUse(server) });
    }
    return listed;
}

}
