#include "pimentoladder/Router/OwnerRole.h"

#include <algorithm>

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    constexpr duration grantLifetime = shard_scheduler_settings {}.grantLifetime;
    constexpr duration exchangeInterval = 250ms; ///< Between two exchanges of service counters.
    constexpr duration loadPollInterval = 1s;
    constexpr duration suspicionLifetime = 10s; ///< A suspected crash that is not confirmed by then is dropped.

    // The document's revision stands still while the table is down, and the set
    // of suspended members only grows then. Both together order all owners.
    fencing_token tokenAt(revision at, std::size_t suspendedCount)
    {
        constexpr unsigned countBits = 10;
        constexpr std::size_t countLimit = (std::size_t { 1 } << countBits) - 1;
        return fencing_token((at.value() << countBits) | std::min(suspendedCount, countLimit));
    }

}

owner_role::owner_role(const fleet_coordinator& fleet, const shard_directory& directory, std::uint64_t seed)
    : m_fleet(fleet)
    , m_directory(directory)
    , m_seed(seed)
    , m_ledger(std::make_unique<service_ledger>(fleet.self()))
    , m_self(fleet.self())
{
}

owner_role::~owner_role() = default;

void owner_role::onDirectoryChanged(time_point now, router_actions& out)
{
    if (m_self != m_fleet.self()) {
        // Ownership belongs to an incarnation: nothing is handed over, because
        // the successor may already act.
        m_owned.clear();
        m_self = m_fleet.self();
        m_ledger = std::make_unique<service_ledger>(m_self);
    }
    for (const auto& [id, tenant] : m_directory.access().source().workspaces)
        m_ledger->setWeight(id, tenant.weight);

    std::map<shard_id, member_ref> lostShards;
    for (const auto& [id, owned] : m_owned) {
        const shard* described = m_directory.shards().find(id);
        if (!described || described->owner != m_self)
            lostShards[id] = described ? described->owner : member_ref();
    }
    for (const auto& [id, next] : lostShards)
        handOver(id, next, now, out);
    for (const shard& described : m_directory.shards().shards()) {
        if (described.owner == m_self && !m_owned.contains(described.id))
            takeOver(described, now);
    }
    for (auto& [id, owned] : m_owned) {
        if (owned.scheduler)
            owned.scheduler->onDocumentChanged(now);
    }
    refreshRouters(now);
    openAccepted(now, out);
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
    // Only an owner that could grant releases its shard. One that still waited
    // out its predecessor knows nothing about the predecessor's grants.
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

void owner_role::openAccepted(time_point now, router_actions& out)
{
    for (auto& [id, owned] : m_owned) {
        if (owned.scheduler)
            continue;
        const auto since = acceptedSince(owned);
        const shard* described = m_directory.shards().find(id);
        if (!since || !described)
            continue;
        owned.grantsFrom = std::max(*since, owned.learnedAt) + freshnessWindow + grantLifetime;
        const shard_ownership ownership { id, described->pool, owned.token, owned.learnedAt, owned.grantsFrom };
        owned.scheduler = std::make_unique<shard_scheduler>(ownership,
            shard_scheduler_parts { *owned.view, *m_ledger, m_estimator, m_order, m_choice }, ++m_seed);
        owned.scheduler->setRouters(routers(), now);
        if (const auto released = m_releases.find(id); released != m_releases.end())
            owned.scheduler->onShardRelease(released->second);
        m_releases.erase(id);
        out.push_back(ownership_decision { id, owned.token, true, owned.grantsFrom });
        const shard_owner claimed { id, owned.token };
        out.push_back(send_message { m_self.vm, claimed });
        for (const auto& [vm, router] : m_linked)
            out.push_back(send_message { vm, claimed });
    }
}

std::vector<shard_router> owner_role::routers() const
{
    std::vector<shard_router> known;
    const auto& members = m_fleet.current().members;
    for (const auto& [vm, listed] : members) {
        if (!m_lost.contains({ vm, listed.start }))
            known.push_back({ { vm, listed.start }, listed.dataCentre });
    }
    for (const auto& [vm, linked] : m_linked) {
        const auto listed = members.find(vm);
        const bool isMember = listed != members.end() && listed->second.start == linked.start;
        if (!isMember && !m_lost.contains(linked))
            known.push_back({ linked, {} });
    }
    return known;
}

void owner_role::refreshRouters(time_point now)
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
    shard_release& kept = m_releases[received.shard];
    if (kept.token <= received.token)
        kept = received;
}

void owner_role::onServiceCounters(const service_counters& received)
{
    m_ledger->merge(received);
}

void owner_role::onLinkOpened(const member_ref& peer, time_point now, router_actions& out)
{
    const auto known = m_linked.find(peer.vm);
    const bool isNew = known == m_linked.end() || known->second != peer;
    m_linked[peer.vm] = peer;
    m_lost.erase(peer);
    m_ledger->restateTo(peer);
    if (isNew)
        refreshRouters(now);
    for (const auto& [id, owned] : m_owned) {
        if (owned.scheduler)
            out.push_back(send_message { peer.vm, shard_owner { id, owned.token } });
    }
}

void owner_role::onLoadReport(const server_load& received, time_point now, router_actions& out)
{
    const shard* home = m_directory.shards().shardOf(received.server);
    const auto owned = home ? m_owned.find(home->id) : m_owned.end();
    if (owned == m_owned.end() || !owned->second.scheduler)
        return;
    watched_server& watched = m_watched[received.server];
    if (watched.start != incarnation() && received.start > watched.start)
        confirmCrash(received.server, watched, now, out);
    watched.start = std::max(watched.start, received.start);
    owned->second.scheduler->onLoadReport(received, now);
}

void owner_role::onLoadFailed(const server_id& server, time_point now, router_actions& out)
{
    confirmCrash(server, m_watched[server], now, out);
}

void owner_role::onSuspectedCrash(const crash_report& received, time_point now)
{
    watched_server& watched = m_watched[received.server];
    if (now - watched.suspectedAt > suspicionLifetime)
        watched.suspects.clear();
    watched.suspectedAt = now;
    watched.suspects.insert(watched.suspects.end(), received.running.begin(), received.running.end());
    // The next poll tells whether the server has restarted.
    watched.polledAt.reset();
}

void owner_role::confirmCrash(const server_id& server, watched_server& watched, time_point now, router_actions& out)
{
    std::vector<fingerprint> running;
    std::swap(running, watched.suspects);
    if (running.empty() || now - watched.suspectedAt > suspicionLifetime)
        return;
    const crash_report confirmed { server, std::max(watched.start, incarnation(1)), running };
    out.push_back(send_message { m_self.vm, confirmed });
    for (const auto& [vm, router] : m_linked)
        out.push_back(send_message { vm, confirmed });
}

void owner_role::watchRouters(time_point now)
{
    bool hasReturned = false;
    for (const auto& [vm, router] : m_linked) {
        if (m_fleet.stateOf(vm, now) != peer_state::lost) {
            // A router that was paused comes back on the link that it had.
            hasReturned = m_lost.erase(router) > 0 || hasReturned;
            continue;
        }
        if (!m_lost.insert(router).second)
            continue;
        m_ledger->adoptCounters(router);
        for (auto& [id, owned] : m_owned) {
            if (owned.scheduler)
                owned.scheduler->onRouterLost(router, now);
        }
    }
    if (hasReturned)
        refreshRouters(now);
}

void owner_role::onTick(time_point now, router_actions& out)
{
    watchRouters(now);
    openAccepted(now, out);
    const time_point freshUntil = m_fleet.ownerFreshUntil();
    for (auto& [id, owned] : m_owned) {
        if (!owned.scheduler)
            continue;
        owned.scheduler->setFreshUntil(freshUntil);
        scheduler_actions actions = owned.scheduler->onTick(now);
        for (auto& [to, issued] : actions.grants)
            out.push_back(send_message { to.vm, std::move(issued) });
        for (auto& [to, wanted] : actions.recalls)
            out.push_back(send_message { to.vm, std::move(wanted) });
    }
    pollLoads(now, out);
    exchangeCounters(now, out);
}

void owner_role::pollLoads(time_point now, router_actions& out)
{
    for (const auto& [id, owned] : m_owned) {
        const shard* described = m_directory.shards().find(id);
        if (!described)
            continue;
        for (const server_id& server : described->servers) {
            watched_server& watched = m_watched[server];
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
    if (m_exchangedAt && now - *m_exchangedAt < exchangeInterval)
        return;
    m_exchangedAt = now;
    std::set<member_ref> owners;
    for (const shard& described : m_directory.shards().shards()) {
        if (described.owner != m_self && !described.owner.vm.isEmpty())
            owners.insert(described.owner);
    }
    for (const member_ref& owner : owners) {
        service_counters changes = m_ledger->takeChanges(owner);
        if (!changes.entries.empty() || !changes.lifts.empty())
            out.push_back(send_message { owner.vm, std::move(changes) });
    }
}

std::optional<time_point> owner_role::nextDeadline() const
{
    std::optional<time_point> next;
    if (m_exchangedAt && !m_owned.empty())
        next = *m_exchangedAt + exchangeInterval;
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
            listed.push_back({ id, owned.scheduler->figures() });
    }
    return listed;
}

std::vector<owner_role::server_figures> owner_role::serverFigures() const
{
    std::vector<server_figures> listed;
    for (const auto& [id, owned] : m_owned) {
        const shard* described = m_directory.shards().find(id);
        if (!described || !owned.scheduler)
            continue;
        for (const server_id& server : described->servers)
            listed.push_back({ server, owned.scheduler->limit(server), owned.scheduler->inUse(server) });
    }
    return listed;
}

}
