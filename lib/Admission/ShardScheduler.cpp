#include "pimentoladder/Admission/ShardScheduler.h"

#include <algorithm>
#include <utility>

namespace pimentoladder {

namespace {

    grant_book_settings bookSettings(const shard_scheduler_settings& settings)
    {
        return { 2 * settings.grantLifetime, settings.lateReportWindow, settings.maxOrphanTime };
    }

    server_limit newLimit(server_limit_settings settings, const shard_server& server)
    {
        settings.floor = server.floor;
        settings.ceiling = server.ceiling;
        return server_limit(settings);
    }

}

// Indexed by grant_event.
const std::array<shard_scheduler::report_handler, 6> shard_scheduler::reportHandlers {
    &shard_scheduler::applyStarted,
    &shard_scheduler::applyProgress,
    &shard_scheduler::applyReturned,
    &shard_scheduler::applyFinished,
    &shard_scheduler::applyFailed,
    &shard_scheduler::applyCancelled,
};

shard_scheduler::shard_scheduler(
    shard_ownership ownership, shard_scheduler_dependencies dependencies, std::uint64_t seed, shard_scheduler_settings settings)
    : m_ownership(std::move(ownership))
    , m_dependencies(dependencies)
    , m_settings(settings)
    , m_random(seed)
    , m_queues(m_ownership.shard, dependencies.order, dependencies.ledger)
    , m_book(bookSettings(settings))
    , m_prefixes(settings.prefixCapacity)
{
    onDocumentChanged(m_ownership.startsAt);
}

shard_scheduler::router_state* shard_scheduler::findRouter(const member_ref& from)
{
    const auto found = m_routers.find(from.vm);
    if (found == m_routers.end() || found->second.ref != from)
        return nullptr;
    return &found->second;
}

const shard_scheduler::server_state* shard_scheduler::findServer(const server_id& server) const
{
    const auto found = std::ranges::find_if(
        m_servers, [&](const server_state& state) { return state.configured.id == server; });
    return found == m_servers.end() ? nullptr : &*found;
}

shard_scheduler::server_state* shard_scheduler::findServer(const server_id& server)
{
    return const_cast<server_state*>(std::as_const(*this).findServer(server));
}

void shard_scheduler::setRouters(const std::vector<shard_router>& routers, time_point now)
{
    std::map<vm_id, router_state> kept;
    for (const shard_router& listed : routers) {
        const router_state* known = findRouter(listed.router);
        router_state state = known ? *known : router_state {};
        state.ref = listed.router;
        state.dataCentre = listed.dataCentre;
        // A VM may be listed with both its old and its new incarnation. The last
        // one wins and keeps no state of the other, because the sequence numbers
        // of the old incarnation are higher.
        kept[listed.router.vm] = std::move(state);
    }
    const auto before = std::exchange(m_routers, std::move(kept));
    for (const auto& [vm, state] : before) {
        if (!findRouter(state.ref))
            releaseLostRouter(state.ref, now);
    }
}

void shard_scheduler::onRouterLost(const member_ref& router, time_point now)
{
    if (!findRouter(router))
        return;
    m_routers.erase(router.vm);
    releaseLostRouter(router, now);
}

void shard_scheduler::onRouterSuspected(const member_ref& router, time_point now)
{
    router_state* suspected = findRouter(router);
    if (!suspected)
        return;
    suspected->advanceWanted = 0;
    suspected->advanceUnused = 0;
    orphanRouterWork(router, now);
}

void shard_scheduler::releaseLostRouter(const member_ref& router, time_point now)
{
    orphanRouterWork(router, now);
    m_book.eraseRouter(router.vm);
}

void shard_scheduler::orphanRouterWork(const member_ref& router, time_point now)
{
    m_queues.removeRouter(router.vm);
    m_book.orphanGrantsOf(router.vm, now);
    const auto first = m_issuedFor.lower_bound(demand_key { router.vm, request_number() });
    auto last = first;
    while (last != m_issuedFor.end() && last->first.router == router.vm)
        ++last;
    m_issuedFor.erase(first, last);
}

void shard_scheduler::onDocumentChanged(time_point now)
{
    std::vector<server_state> servers;
    for (const shard_server& listed : m_dependencies.view.servers()) {
        server_state* known = findServer(listed.id);
        if (!known) {
            servers.push_back({ listed, newLimit(m_settings.limits, listed) });
            continue;
        }
        known->limit.setRange(listed.floor, listed.ceiling);
        if (listed.isInService && !known->configured.isInService)
            known->limit.setCold(now);
        known->configured = listed;
        servers.push_back(*known);
    }
    m_servers = std::move(servers);
    m_queues.reloadView(m_dependencies.view);
    updateLoadedMasks();
}

void shard_scheduler::setLoadedModels(const server_id& server, const std::set<model_id>& models)
{
    std::set<model_id>& known = m_loadedModels[server];
    if (known == models)
        return;
    known = models;
    updateLoadedMasks();
}

void shard_scheduler::updateLoadedMasks()
{
    std::map<model_id, server_mask> loaded;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        const auto known = m_loadedModels.find(m_servers[i].configured.id);
        if (known == m_loadedModels.end())
            continue;
        for (const model_id& model : known->second)
            loaded[model] |= maskOf(i);
    }
    m_queues.setLoaded(std::move(loaded));
}

void shard_scheduler::setCold(const server_id& server, time_point now)
{
    if (server_state* found = findServer(server))
        found->limit.setCold(now);
}

std::map<model_id, model_demand> shard_scheduler::modelDemands() const
{
    std::map<model_id, model_demand> demands;
    for (const auto& [model, cost] : m_grantedCosts) {
        demands[model].model = model;
        demands[model].granted = cost;
    }
    m_queues.addModelDemands(demands);
    return demands;
}

std::vector<shard_server> shard_scheduler::servers() const
{
    std::vector<shard_server> listed;
    for (const server_state& server : m_servers)
        listed.push_back(server.configured);
    return listed;
}

void shard_scheduler::onShardRelease(const shard_release& released)
{
    if (released.shard == m_ownership.shard && released.token < m_ownership.token)
        m_isReleased = true;
}

void shard_scheduler::onAcquire(const member_ref& from, const acquire& received, time_point)
{
    router_state* router = findRouter(from);
    if (!router || received.token != m_ownership.token)
        return;
    router->advanceWanted = received.advanceWanted;
    for (const request_number request : received.withdrawn)
        m_queues.take({ from.vm, request });
    for (const demand_entry& entry : received.waiting) {
        if (!m_issuedFor.contains({ from.vm, entry.request }))
            m_queues.add(from.vm, entry, m_dependencies.view);
    }
}

void shard_scheduler::onGrantReport(const member_ref& from, const grant_report& received, time_point now)
{
    router_state* router = findRouter(from);
    if (!router || received.token != m_ownership.token)
        return;
    router->lastReport = std::max(router->lastReport, received.sequence);
    // A request that started before the last in-flight report is listed there,
    // or had ended by then; the report of its end may have been lost.
    const bool isStartKnown = received.sequence < router->lastInFlight;
    for (const grant_report_entry& entry : received.entries) {
        const bool isStart = entry.event == grant_event::started || entry.event == grant_event::progress;
        if (!isStart || !isStartKnown)
            applyReport(from, entry, now);
    }
}

void shard_scheduler::applyReport(const member_ref& from, const grant_report_entry& entry, time_point now)
{
    const auto handler = static_cast<std::size_t>(entry.event);
    if (handler < reportHandlers.size())
        (this->*reportHandlers[handler])(from, entry, now);
}

void shard_scheduler::clearUnreported(const grant_key& key, const grant_record& record)
{
    if (!record.demand) {
        const auto router = m_routers.find(record.router);
        if (router != m_routers.end() && router->second.advanceUnused > 0)
            --router->second.advanceUnused;
        return;
    }
    const auto found = m_issuedFor.find({ record.router, record.demand->entry.request });
    if (found != m_issuedFor.end() && found->second == key)
        m_issuedFor.erase(found);
}

void shard_scheduler::adjustCharge(const workspace_id& workspace, cost_units charged, cost_units actual)
{
    if (actual > charged)
        m_dependencies.ledger.charge(workspace, actual - charged);
    if (actual < charged)
        m_dependencies.ledger.credit(workspace, charged - actual);
    if (actual != charged)
        m_queues.rerank(workspace);
}

void shard_scheduler::applyStarted(const member_ref& from, const grant_report_entry& entry, time_point)
{
    const grant_key key { entry.issuedUnder, entry.number };
    grant_record* record = m_book.find(key);
    if (!record || record->router != from.vm || record->state == grant_state::started)
        return;
    if (record->state == grant_state::issued)
        clearUnreported(key, *record);
    // A late report of an expired grant, whose request was queued again.
    if (record->state == grant_state::expired && record->demand)
        m_queues.take({ record->router, record->demand->entry.request });
    if (!record->demand) {
        record->workspace = entry.workspace;
        record->costHint = entry.cost;
    }
    m_book.start(key);
    if (record->charged > 0)
        return;
    record->charged = m_dependencies.estimator.estimate(record->workspace, m_ownership.pool, record->costHint);
    adjustCharge(record->workspace, 0, record->charged);
}

void shard_scheduler::applyProgress(const member_ref& from, const grant_report_entry& entry, time_point now)
{
    applyStarted(from, entry, now);
    grant_record* record = m_book.find({ entry.issuedUnder, entry.number });
    if (!record || record->router != from.vm || entry.cost <= record->charged)
        return;
    adjustCharge(record->workspace, record->charged, entry.cost);
    record->charged = entry.cost;
}

void shard_scheduler::applyReturned(const member_ref& from, const grant_report_entry& entry, time_point)
{
    const auto closed = closeEnded(from, entry);
    if (closed && closed->charged > 0)
        adjustCharge(closed->workspace, closed->charged, 0);
}

std::optional<grant_record> shard_scheduler::closeEnded(const member_ref& from, const grant_report_entry& entry)
{
    const grant_key key { entry.issuedUnder, entry.number };
    const grant_record* record = m_book.find(key);
    if (!record || record->router != from.vm)
        return std::nullopt;
    if (record->state == grant_state::issued)
        clearUnreported(key, *record);
    // The request ran under a grant that had expired here, and was queued again
    // at the expiry; it must not wait any longer.
    if (record->state == grant_state::expired && record->demand && entry.event != grant_event::returned)
        m_queues.take({ record->router, record->demand->entry.request });
    auto closed = m_book.close(key);
    // The report of the start was lost, so the workspace of an advance grant is
    // still unknown.
    if (closed->workspace.isEmpty())
        closed->workspace = entry.workspace;
    return closed;
}

void shard_scheduler::applyFinished(const member_ref& from, const grant_report_entry& entry, time_point now)
{
    const auto closed = closeEnded(from, entry);
    if (!closed)
        return;
    adjustCharge(closed->workspace, closed->charged, entry.cost);
    if (closed->costHint > 0)
        m_dependencies.estimator.observe(closed->workspace, m_ownership.pool, closed->costHint, entry.cost);
    if (server_state* server = findServer(closed->server))
        server->limit.onFinished(closed->issuedAt, entry.firstByteLatency, now);
}

void shard_scheduler::applyFailed(const member_ref& from, const grant_report_entry& entry, time_point now)
{
    const auto closed = closeEnded(from, entry);
    if (!closed)
        return;
    adjustCharge(closed->workspace, closed->charged, entry.cost);
    server_state* server = findServer(closed->server);
    if (server && server->limit.onFailed(closed->issuedAt, now))
        ejectIfAllowed(*server, now);
}

void shard_scheduler::applyCancelled(const member_ref& from, const grant_report_entry& entry, time_point)
{
    if (const auto closed = closeEnded(from, entry))
        adjustCharge(closed->workspace, closed->charged, entry.cost);
}

void shard_scheduler::ejectIfAllowed(server_state& failed, time_point now)
{
    const auto isOutOfRotation = [&](const server_state& server) { return &server != &failed && server.limit.isOutOfRotation(); };
    const auto out = static_cast<std::size_t>(std::ranges::count_if(m_servers, isOutOfRotation));
    if (out + 1 > m_servers.size() / 2)
        return;
    failed.limit.eject(now);
    ++m_statistics.ejections;
}

void shard_scheduler::onInFlightReport(const member_ref& from, const in_flight_report& received, time_point now)
{
    router_state* router = findRouter(from);
    if (!router || received.token != m_ownership.token || received.sequence < router->lastReport)
        return;
    router->lastReport = received.sequence;
    router->lastInFlight = received.sequence;
    router->hasReported = true;
    std::set<grant_key> listed;
    for (const in_flight_entry& entry : received.entries) {
        listed.insert({ entry.issuedUnder, entry.number });
        addInFlight(from.vm, entry, now);
    }
    for (const grant_key& key : m_book.runningBy(from.vm)) {
        const grant_record& record = *m_book.find(key);
        // The grant may still be in transit to the router, which may start the
        // request.
        const bool mayStart
            = record.state == grant_state::orphaned && now < record.issuedAt + 2 * m_settings.grantLifetime;
        if (!listed.contains(key) && !mayStart)
            m_book.close(key);
    }
}

void shard_scheduler::addInFlight(const vm_id& router, const in_flight_entry& entry, time_point now)
{
    const grant_key key { entry.issuedUnder, entry.number };
    if (m_book.find(key)) {
        applyStarted(m_routers.at(router).ref, { entry.number, entry.issuedUnder, grant_event::started, entry.workspace, entry.costHint, {} }, now);
        return;
    }
    grant_record record;
    record.router = router;
    record.server = entry.server;
    record.state = grant_state::started;
    record.workspace = entry.workspace;
    record.costHint = entry.costHint;
    // The previous owner charged this request; its counters hold the charge.
    record.charged = std::max(entry.cost,
        m_dependencies.estimator.estimate(entry.workspace, m_ownership.pool, entry.costHint));
    m_book.add(key, record);
}

void shard_scheduler::onLoadReport(const server_load& received, time_point now)
{
    server_state* server = findServer(received.server);
    if (!server)
        return;
    server->limit.onLoadReport(received.start, received.isCold, now);
    const server_use use = m_book.use(received.server);
    // Live routers report their own work. Work that a lost router left at the
    // server appears only in load reports.
    const bool isUnreportedCounted = now < m_ownership.startsAt + m_settings.unreportedWorkWindow;
    server->unreportedWork = isUnreportedCounted && received.inFlight > use.started ? received.inFlight - use.started : 0;
    // A request that has ended, but whose report is still in transit, also
    // counts as excess. It rarely does in two consecutive load reports, so only
    // the lesser excess of the last two is used.
    const std::uint32_t excess = use.started > received.inFlight ? use.started - received.inFlight : 0;
    m_book.closeOrphans(received.server, std::min(excess, server->lastExcess), received.takenAt);
    server->lastExcess = excess;
}

bool shard_scheduler::haveAllRoutersReported() const
{
    return std::ranges::all_of(m_routers, [](const auto& entry) { return entry.second.hasReported; });
}

bool shard_scheduler::mayGrant(time_point now) const
{
    if (now >= m_freshUntil)
        return false;
    return now >= m_ownership.grantsFrom || (m_isReleased && haveAllRoutersReported());
}

bool shard_scheduler::hasFreeCapacity(const server_state& server) const
{
    if (!server.configured.isInService)
        return false;
    return m_book.use(server.configured.id).total + server.unreportedWork < server.limit.limit();
}

server_mask shard_scheduler::freeServers() const
{
    server_mask free = 0;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        if (hasFreeCapacity(m_servers[i]))
            free |= maskOf(i);
    }
    return free;
}

server_mask shard_scheduler::withoutSuspects(server_mask servers) const
{
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        if (m_book.use(m_servers[i].configured.id).suspects > 0)
            servers &= ~maskOf(i);
    }
    return servers;
}

void shard_scheduler::expireGrants(time_point now)
{
    for (const grant_record& record : m_book.expire(now)) {
        ++m_statistics.expired;
        if (record.charged > 0)
            adjustCharge(record.workspace, record.charged, 0);
        if (!record.demand) {
            clearUnreported({}, record);
            continue;
        }
        m_issuedFor.erase({ record.router, record.demand->entry.request });
        // The grant may have been lost. If the request was withdrawn, the router
        // says so in an acquire message.
        if (m_routers.contains(record.router))
            m_queues.requeue(*record.demand, m_dependencies.view);
    }
}

scheduler_actions shard_scheduler::onTick(time_point now)
{
    for (server_state& server : m_servers) {
        server.limit.onTick(now);
        if (now >= m_ownership.startsAt + m_settings.unreportedWorkWindow)
            server.unreportedWork = 0;
    }
    expireGrants(now);
    const std::uint64_t merges = m_dependencies.ledger.mergeCount();
    if (merges != m_rerankedMergeCount && now >= m_rerankedAt + m_settings.rerankInterval) {
        m_queues.rerankAll();
        m_rerankedMergeCount = merges;
        m_rerankedAt = now;
    }
    scheduler_actions actions;
    if (!mayGrant(now))
        return actions;
    grantWaiting(now);
    grantAdvance(now);
    for (auto& [vm, entries] : std::exchange(m_outgoing, {}))
        actions.grants.push_back({ m_routers.at(vm).ref, { m_ownership.shard, m_ownership.token, std::move(entries) } });
    actions.decisions = std::exchange(m_decisions, {});
    recallAdvance(now, actions);
    return actions;
}

void shard_scheduler::grantWaiting(time_point now)
{
    server_mask free = freeServers();
    while (free != 0) {
        const auto selected = m_queues.next(free, withoutSuspects(free));
        if (!selected)
            return;
        grantTo(*m_queues.take(selected->key), selected->allowed, now);
        free = freeServers();
    }
}

void shard_scheduler::grantTo(const waiting_demand& demand, server_mask allowed, time_point now)
{
    const workspace_id& workspace = demand.entry.workspace;
    const double virtualTime = m_dependencies.ledger.virtualTime(m_ownership.shard, workspace);
    const server_candidate chosen = choose(demand.router, demand.entry.prefixHash, allowed);
    grant_record record;
    record.router = demand.router;
    record.server = m_servers[chosen.server].configured.id;
    record.demand = demand;
    record.workspace = workspace;
    record.costHint = demand.entry.costHint;
    record.charged = m_dependencies.estimator.estimate(workspace, m_ownership.pool, demand.entry.costHint);
    record.isSuspect = demand.isSuspect();
    m_dependencies.ledger.advanceClock(m_ownership.shard, virtualTime);
    adjustCharge(workspace, 0, record.charged);
    if (!demand.entry.model.isEmpty())
        m_grantedCosts[demand.entry.model] += record.charged;
    m_prefixes.recordServer(demand.entry.prefixHash, record.server);
    const grant_number number = issue(demand.router, record, demand.entry.request, now);
    m_decisions.push_back({ number, demand.router, demand.entry.request, workspace, record.server, virtualTime,
        record.charged, m_candidates.size(), chosen });
    ++m_statistics.granted;
}

server_candidate shard_scheduler::choose(const vm_id& router, std::uint64_t prefix, server_mask allowed)
{
    const data_centre_id& home = m_routers.at(router).dataCentre;
    m_candidates.clear();
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        const server_state& server = m_servers[i];
        if ((allowed & maskOf(i)) == 0)
            continue;
        const double used = m_book.use(server.configured.id).total + server.unreportedWork;
        m_candidates.push_back({ i, used / server.limit.limit(), server.configured.dataCentre == home,
            m_prefixes.wasLastServedBy(prefix, server.configured.id) });
    }
    return m_candidates[m_dependencies.choice.choose(m_candidates, m_random)];
}

grant_number shard_scheduler::issue(const vm_id& router, const grant_record& record, request_number request, time_point now)
{
    const grant_key key { m_ownership.token, grant_number(m_nextGrant++) };
    grant_record issued = record;
    issued.issuedAt = now;
    m_book.add(key, issued);
    if (issued.demand)
        m_issuedFor[{ router, request }] = key;
    m_outgoing[router].push_back({ key.number, record.server, request, now + m_settings.grantLifetime });
    return key.number;
}

server_mask shard_scheduler::inService() const
{
    server_mask servers = 0;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        if (m_servers[i].configured.isInService)
            servers |= maskOf(i);
    }
    return servers;
}

server_mask shard_scheduler::advanceServers() const
{
    server_mask servers = 0;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        const server_state& server = m_servers[i];
        const std::uint32_t used = m_book.use(server.configured.id).total + server.unreportedWork;
        if (server.configured.isInService && !server.limit.isCold()
            && used + server.configured.floor < server.limit.limit())
            servers |= maskOf(i);
    }
    return servers & ~m_queues.contestedServers();
}

void shard_scheduler::grantAdvance(time_point now)
{
    for (auto& [vm, router] : m_routers) {
        const std::uint32_t wanted = std::min(router.advanceWanted, m_settings.maxAdvancePerRouter);
        for (; router.advanceUnused < wanted; ++router.advanceUnused) {
            const server_mask servers = advanceServers();
            if (servers == 0)
                return;
            grant_record record;
            record.router = vm;
            const server_candidate chosen = choose(vm, 0, servers);
            record.server = m_servers[chosen.server].configured.id;
            const grant_number number = issue(vm, record, request_number(), now);
            m_decisions.push_back({ number, vm, request_number(), workspace_id(), record.server, 0, 0,
                m_candidates.size(), chosen });
            ++m_statistics.advanceGranted;
        }
    }
}

void shard_scheduler::recallAdvance(time_point now, scheduler_actions& actions)
{
    if ((m_queues.contestedServers() & inService()) == 0)
        return;
    for (auto& [vm, router] : m_routers) {
        if (router.advanceUnused == 0 || now < router.recalledAt + m_settings.recallInterval)
            continue;
        router.recalledAt = now;
        actions.recalls.push_back({ router.ref, { m_ownership.shard, m_ownership.token } });
    }
}

std::optional<time_point> shard_scheduler::nextDeadline() const
{
    std::optional<time_point> next = m_book.nextDeadline();
    const auto consider = [&](time_point at) { next = next ? std::min(*next, at) : at; };
    for (const server_state& server : m_servers) {
        if (const auto until = server.limit.ejectedUntil())
            consider(*until);
    }
    if (m_queues.waitingCount() > 0 && m_statistics.granted == 0)
        consider(m_ownership.grantsFrom);
    return next;
}

std::uint32_t shard_scheduler::limit(const server_id& server) const
{
    const server_state* found = findServer(server);
    return found ? found->limit.limit() : 0;
}

std::uint32_t shard_scheduler::inUse(const server_id& server) const
{
    return m_book.use(server).total;
}

bool shard_scheduler::isIdle(const server_id& server) const
{
    const auto isNamed = [&](const auto& entry) {
        const grant_record* record = m_book.find(entry.second);
        return record && record->server == server;
    };
    return m_book.use(server).started == 0 && std::ranges::none_of(m_issuedFor, isNamed);
}

shard_statistics shard_scheduler::statistics() const
{
    shard_statistics figures = m_statistics;
    figures.waiting = m_queues.waitingCount();
    figures.backlogged = m_queues.backloggedCount();
    return figures;
}

}
