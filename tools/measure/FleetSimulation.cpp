#include "FleetSimulation.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace pimentoladder::measure {

using namespace std::chrono_literals;

namespace {

    constexpr duration sampleInterval = 2ms;

    workspace_id workspaceName(std::size_t number)
    {
        return workspace_id("workspace" + std::to_string(number));
    }

    std::size_t indexInName(const std::string& name, const std::string& prefix)
    {
        return std::stoul(name.substr(prefix.size()));
    }

    /// Adds the time from its construction to its destruction to a total.
    class stopwatch {
    public:
        explicit stopwatch(duration& total)
            : m_total(total)
        {
        }
        stopwatch(const stopwatch&) = delete;
        stopwatch& operator=(const stopwatch&) = delete;
        ~stopwatch() { m_total += std::chrono::steady_clock::now() - m_begin; }

    private:
        duration& m_total;
        std::chrono::steady_clock::time_point m_begin = std::chrono::steady_clock::now();
    };

}

struct fleet_simulation::pool_view : shard_view {
    std::vector<shard_server> listed;

    std::vector<shard_server> servers() const override { return listed; }
    bool mayUse(const workspace_id&, const server_id&) const override { return true; }
    double weight(const workspace_id&) const override { return 1; }
};

struct fleet_simulation::router_owner {
    router_owner(std::size_t at, member_ref self, shard_ownership ownership, const shard_view& view,
        admission_kind kind, std::uint64_t seed)
        : router(at)
        , ref(std::move(self))
        , ledger(ref)
        , scheduler(std::move(ownership),
              { view, ledger, estimator, kind == admission_kind::fair ? static_cast<const service_order&>(fairOrder) : arrivals,
                  kind == admission_kind::fair ? static_cast<const server_choice&>(locality) : leastLoaded },
              seed)
    {
    }

    std::size_t router;
    member_ref ref;
    least_virtual_time fairOrder;
    arrival_order arrivals;
    local_then_prefix locality;
    least_load leastLoaded;
    service_ledger ledger;
    cost_estimator estimator;
    shard_scheduler scheduler;
    std::optional<time_point> wakeTime;
};

fleet_simulation::~fleet_simulation() = default;

fleet_simulation::fleet_simulation(simulation_shape shape, std::uint64_t seed)
    : m_shape(std::move(shape))
    , m_random(seed)
{
    const std::size_t workspaces = m_shape.workspaces.size();
    m_chargeErrors.resize(workspaces);
    m_atOwners.service.resize(workspaces);
    m_atOwners.leastLead.assign(workspaces, std::vector<double>(workspaces));
    m_atOwners.mostLead = m_atOwners.leastLead;
    m_atStart = m_atOwners;
    m_signedErrors = m_atOwners;
    m_result.sentByRouter.resize(m_shape.routers);
    for (std::size_t number = 0; number < m_shape.pools.size(); ++number) {
        const pool_shape& configured = m_shape.pools[number];
        pool_state& state = m_pools.emplace_back();
        state.view = std::make_unique<pool_view>();
        state.servers.resize(configured.servers);
        const bool isSplit = m_shape.kind == admission_kind::baseline;
        const auto share = static_cast<std::uint32_t>(isSplit ? m_shape.routers : 1);
        for (std::size_t i = 0; i < configured.servers; ++i) {
            const data_centre_id dataCentre(std::to_string(i % m_shape.dataCentres));
            state.view->listed.push_back({ server_id("server" + std::to_string(i)), dataCentre,
                std::max(1U, configured.floor / share), std::max(1U, configured.ceiling / share) });
        }
        state.wakeTimes.resize(m_shape.routers);
        for (std::size_t router = 0; router < m_shape.routers; ++router)
            state.holders.push_back(std::make_unique<grant_holder>(shard_id(configured.name + "#0"), *state.view));
        state.owners.resize(isSplit ? m_shape.routers : 1);
        for (std::size_t slot = 0; slot < state.owners.size(); ++slot)
            startOwner(number, slot, isSplit ? slot : number * 3, 0s);
    }
}

void fleet_simulation::scheduleAt(time_point when, std::function<void()> run)
{
    m_events.push({ when, m_nextEvent++, std::move(run) });
}

duration fleet_simulation::messageDelay(std::size_t from, std::size_t to) const
{
    if (from == to)
        return 0ns;
    const bool isNear = from % m_shape.dataCentres == to % m_shape.dataCentres;
    return isNear ? m_shape.withinDataCentre : m_shape.betweenDataCentres;
}

void fleet_simulation::countMessage(std::size_t router, std::size_t entries)
{
    if (!isMeasuring())
        return;
    ++m_result.sentByRouter[router].messages;
    m_result.sentByRouter[router].entries += entries;
}

void fleet_simulation::startOwner(std::size_t pool, std::size_t slot, std::size_t router, duration wait)
{
    pool_state& state = m_pools[pool];
    const std::string& name = m_shape.pools[pool].name;
    const member_ref self { vm_id("router" + std::to_string(router)), incarnation(m_incarnations++) };
    state.owners[slot] = std::make_unique<router_owner>(router, self,
        shard_ownership { shard_id(name + "#0"), pool_id(name), fencing_token(state.token), m_now, m_now + wait },
        *state.view, m_shape.kind, m_random.index(1U << 30U));
    std::vector<shard_router> routers;
    for (std::size_t i = 0; i < m_shape.routers; ++i) {
        if (m_shape.kind == admission_kind::baseline && i != router)
            continue;
        routers.push_back({ { vm_id("router" + std::to_string(i)), incarnation(1) },
            data_centre_id(std::to_string(i % m_shape.dataCentres)) });
        state.holders[i]->onOwner(fencing_token(state.token), m_now);
        scheduleHolder(pool, i);
    }
    state.owners[slot]->scheduler.setRouters(routers, m_now);
}

fleet_simulation::router_owner* fleet_simulation::ownerOf(std::size_t pool, std::size_t router)
{
    auto& owners = m_pools[pool].owners;
    return owners.size() == 1 ? owners.front().get() : owners[router].get();
}

void fleet_simulation::failOwner(std::size_t pool)
{
    m_pools[pool].owners.front().reset();
    scheduleAt(m_now + m_shape.removalDelay, [=, this] { replaceOwner(pool); });
}

void fleet_simulation::replaceOwner(std::size_t pool)
{
    ++m_pools[pool].token;
    startOwner(pool, 0, 5, m_shape.startUpWait);
    router_owner& successor = *m_pools[pool].owners.front();
    for (std::size_t other = 0; other < m_pools.size(); ++other) {
        if (other != pool)
            successor.ledger.merge(m_pools[other].owners.front()->ledger.takeChanges(successor.ref));
    }
    scheduleAt(m_now + m_shape.startUpWait, [=, this] { runOwner(pool, *m_pools[pool].owners.front()); });
}

void fleet_simulation::exchangeCounters()
{
    scheduleAt(m_now + m_shape.exchangeInterval, [this] { exchangeCounters(); });
    if (m_shape.kind == admission_kind::baseline)
        return;
    for (std::size_t from = 0; from < m_pools.size(); ++from) {
        for (std::size_t to = 0; to < m_pools.size(); ++to) {
            router_owner* sender = m_pools[from].owners.front().get();
            const router_owner* receiver = m_pools[to].owners.front().get();
            if (from == to || !sender || !receiver)
                continue;
            const service_counters sent = sender->ledger.takeChanges(receiver->ref);
            if (sent.entries.empty() && sent.lifts.empty())
                continue;
            countMessage(sender->router, sent.entries.size() + sent.lifts.size());
            scheduleAt(m_now + messageDelay(sender->router, receiver->router), [=, this, target = receiver->ref] {
                router_owner* current = m_pools[to].owners.front().get();
                if (!current || current->ref != target)
                    return;
                current->ledger.merge(sent);
                runOwner(to, *current);
            });
        }
    }
}

std::size_t fleet_simulation::routerFor(std::size_t workspace)
{
    // 60% of the requests reach the home router, 25% the next one and the others a
    // random one.
    const std::size_t home = m_shape.workspaces[workspace].homeRouter;
    const std::size_t percentile = m_random.index(100);
    if (percentile < 60)
        return home;
    if (percentile < 85)
        return (home + 1) % m_shape.routers;
    return m_random.index(m_shape.routers);
}

double fleet_simulation::hintFactor(std::size_t workspace)
{
    const workspace_load& load = m_shape.workspaces[workspace];
    if (load.isHintRandom)
        return std::pow(10, static_cast<double>(m_random.index(3)) - 1);
    const bool isLater = m_now >= m_start + m_shape.warmUp + m_shape.measured / 2;
    return isLater ? load.laterHintFactor : load.hintFactor;
}

void fleet_simulation::submit(std::size_t pool, std::size_t workspace)
{
    const pool_shape& configured = m_shape.pools[pool];
    // Costs are uniformly distributed on a logarithmic scale: many small, few large.
    const double share = static_cast<double>(m_random.index(1001)) / 1000;
    const cost_units cost
        = std::round(configured.leastCost * std::pow(configured.largestCost / configured.leastCost, share));
    const cost_units hint = cost * hintFactor(workspace);
    const request_number number(m_nextRequest++);
    const std::size_t router = routerFor(workspace);
    m_requests[number] = { pool, workspace, router, cost, hint, 0 };
    m_pools[pool].holders[router]->onRequest({ number, workspaceName(workspace), hint }, m_now);
    runHolder(pool, router);
}

void fleet_simulation::scheduleHolder(std::size_t pool, std::size_t router)
{
    pool_state& state = m_pools[pool];
    const auto next = state.holders[router]->nextDeadline();
    if (!next || (state.wakeTimes[router] && *state.wakeTimes[router] <= *next && *state.wakeTimes[router] > m_now))
        return;
    const time_point when = std::max(*next, m_now);
    state.wakeTimes[router] = when;
    scheduleAt(when, [=, this] {
        if (m_pools[pool].wakeTimes[router] != when)
            return;
        m_pools[pool].wakeTimes[router].reset();
        runHolder(pool, router);
    });
}

template <typename Message, typename Handler>
void fleet_simulation::sendToOwner(
    std::size_t pool, std::size_t router, const Message& sent, std::size_t entries, Handler handler)
{
    const router_owner* owner = ownerOf(pool, router);
    if (!owner)
        return;
    if (owner->router != router)
        countMessage(router, entries);
    scheduleAt(m_now + messageDelay(router, owner->router), [=, this] {
        router_owner* receiver = ownerOf(pool, router);
        if (!receiver)
            return;
        {
            const stopwatch timed(m_result.ownerProcessorTime);
            handler(*receiver, member_ref { vm_id("router" + std::to_string(router)), incarnation(1) }, sent);
        }
        runOwner(pool, *receiver);
    });
}

void fleet_simulation::runHolder(std::size_t pool, std::size_t router)
{
    // The bound on the owner's clock is exact here; the unit tests cover inexact bounds.
    const holder_actions actions = m_pools[pool].holders[router]->onTick(m_now, m_now);
    for (const start_order& order : actions.starts)
        start(pool, router, order);
    if (actions.report) {
        // The charge error lasts until the owner has received the report.
        if (const router_owner* owner = ownerOf(pool, router))
            scheduleAt(m_now + messageDelay(router, owner->router), [=, this, report = *actions.report] { recordReport(pool, router, report); });
        else
            recordReport(pool, router, *actions.report);
        sendToOwner(pool, router, *actions.report, actions.report->entries.size(),
            [this](router_owner& owner, const member_ref& from, const grant_report& sent) {
                owner.scheduler.onGrantReport(from, sent, m_now);
            });
    }
    if (actions.inFlight) {
        sendToOwner(pool, router, *actions.inFlight, actions.inFlight->entries.size(),
            [this](router_owner& owner, const member_ref& from, const in_flight_report& sent) {
                owner.scheduler.onInFlightReport(from, sent, m_now);
            });
    }
    if (actions.demand) {
        sendToOwner(pool, router, *actions.demand, actions.demand->waiting.size() + actions.demand->withdrawn.size(),
            [this](router_owner& owner, const member_ref& from, const acquire& sent) {
                owner.scheduler.onAcquire(from, sent, m_now);
            });
    }
    scheduleHolder(pool, router);
}

void fleet_simulation::runOwner(std::size_t pool, router_owner& owner)
{
    scheduler_actions actions;
    {
        const stopwatch timed(m_result.ownerProcessorTime);
        actions = owner.scheduler.onTick(m_now);
    }
    recordGrants(pool, owner, actions);
    for (const auto& [to, granted] : actions.grants) {
        const std::size_t router = indexInName(to.vm.value(), "router");
        m_result.grants += granted.entries.size();
        if (router != owner.router)
            countMessage(owner.router, granted.entries.size());
        scheduleAt(m_now + messageDelay(owner.router, router), [=, this, sent = granted] {
            m_pools[pool].holders[router]->onGrant(sent);
            runHolder(pool, router);
        });
    }
    for (const auto& [to, recalled] : actions.recalls) {
        const std::size_t router = indexInName(to.vm.value(), "router");
        if (router != owner.router)
            countMessage(owner.router, 0);
        scheduleAt(m_now + messageDelay(owner.router, router), [=, this, sent = recalled] {
            m_pools[pool].holders[router]->onRecall(sent);
            runHolder(pool, router);
        });
    }
    const auto next = owner.scheduler.nextDeadline();
    if (!next || *next <= m_now || (owner.wakeTime && *owner.wakeTime <= *next))
        return;
    owner.wakeTime = *next;
    scheduleAt(*next, [=, this, target = owner.ref] {
        for (const auto& current : m_pools[pool].owners) {
            if (!current || current->ref != target)
                continue;
            current->wakeTime.reset();
            runOwner(pool, *current);
        }
    });
}

void fleet_simulation::recordChargeError(const request_state& request, double sign)
{
    if (request.charged == 0)
        return;
    recordService(m_signedErrors, request.workspace, sign * (request.charged - request.cost));
    double& sum = m_chargeErrors[request.workspace];
    sum += sign * std::abs(request.charged - request.cost);
    if (isMeasuring())
        m_result.largestChargeError = std::max(m_result.largestChargeError, sum);
}

void fleet_simulation::recordGrants(std::size_t pool, const router_owner& owner, const scheduler_actions& actions)
{
    // The grants of one scheduler run are grouped by router, but were decided in the
    // order of their numbers.
    std::map<grant_number, std::pair<fencing_token, grant_entry>> ordered;
    for (const auto& [to, granted] : actions.grants) {
        for (const grant_entry& entry : granted.entries)
            ordered[entry.number] = { granted.token, entry };
    }
    for (const auto& [number, decided] : ordered) {
        const auto& [token, entry] = decided;
        const auto found = m_requests.find(entry.request);
        if (found == m_requests.end())
            continue;
        request_state& request = found->second;
        if (request.isGranted)
            recordChargeError(request, -1);
        request.charged = owner.estimator.estimate(
            workspaceName(request.workspace), pool_id(m_shape.pools[pool].name), request.hint);
        recordChargeError(request, 1);
        m_pools[pool].granted[{ ownerSlot(pool, owner.router), token, number }] = entry.request;
        if (!request.isGranted)
            recordService(m_atOwners, request.workspace, request.cost);
        request.isGranted = true;
    }
}

void fleet_simulation::recordReport(std::size_t pool, std::size_t router, const grant_report& report)
{
    for (const grant_report_entry& entry : report.entries) {
        const auto found = m_pools[pool].granted.find({ ownerSlot(pool, router), entry.issuedUnder, entry.number });
        const auto named = found == m_pools[pool].granted.end() ? m_requests.end() : m_requests.find(found->second);
        if (named == m_requests.end())
            continue;
        request_state& request = named->second;
        if (entry.event == grant_event::progress && entry.cost > request.charged) {
            recordChargeError(request, -1);
            request.charged = entry.cost;
            recordChargeError(request, 1);
        }
        if (entry.event != grant_event::finished)
            continue;
        recordChargeError(request, -1);
        m_requests.erase(named);
        m_pools[pool].granted.erase(found);
    }
}

void fleet_simulation::scheduleProgress(std::size_t pool, request_number number, time_point startedAt, duration time)
{
    // A streamed response reveals its cost while it runs.
    const time_point next = m_now + m_shape.exchangeInterval;
    if (next >= startedAt + time)
        return;
    scheduleAt(next, [=, this] {
        const request_state& request = m_requests.at(number);
        const double share = std::chrono::duration<double>(m_now - startedAt) / std::chrono::duration<double>(time);
        m_pools[pool].holders[request.router]->onProgress(number, request.cost * share);
        runHolder(pool, request.router);
        scheduleProgress(pool, number, startedAt, time);
    });
}

void fleet_simulation::start(std::size_t pool, std::size_t, const start_order& order)
{
    pool_state& state = m_pools[pool];
    const pool_shape& configured = m_shape.pools[pool];
    const request_state& request = m_requests.at(order.request);
    const std::size_t number = indexInName(order.server.value(), "server");
    server_state& server = state.servers[number];
    ++server.running;
    recordService(m_atStart, request.workspace, request.cost);
    double slowdown = 1;
    if (server.running > configured.ceiling) {
        const std::uint32_t above = server.running - configured.ceiling;
        state.result.mostAboveLimit = std::max(state.result.mostAboveLimit, above);
        slowdown = 10;
    }
    const double units = static_cast<double>(configured.timePerUnit.count()) * request.cost;
    const duration nominal = configured.baseTime + duration(static_cast<duration::rep>(units));
    const duration time = m_random.jittered(duration(static_cast<duration::rep>(
                                                static_cast<double>(nominal.count()) * slowdown)),
        0.1);
    scheduleAt(m_now + time, [=, this] { end(pool, number, order.request); });
    scheduleProgress(pool, order.request, m_now, time);
}

void fleet_simulation::end(std::size_t pool, std::size_t server, request_number number)
{
    pool_state& state = m_pools[pool];
    --state.servers[server].running;
    const request_state request = m_requests.at(number);
    state.holders[request.router]->onEnded(
        number, grant_event::finished, request.cost, m_random.jittered(m_shape.pools[pool].firstByte, 0.2));
    runHolder(pool, request.router);
    submit(pool, request.workspace);
}

void fleet_simulation::sample()
{
    scheduleAt(m_now + sampleInterval, [this] { sample(); });
    if (!isMeasuring())
        return;
    for (std::size_t pool = 0; pool < m_pools.size(); ++pool) {
        pool_state& state = m_pools[pool];
        std::vector<std::uint32_t> limits(state.servers.size());
        std::vector<std::uint32_t> held(state.servers.size());
        bool isWaiting = false;
        for (const auto& owner : state.owners) {
            if (!owner)
                continue;
            isWaiting = isWaiting || owner->scheduler.statistics().waiting > 0;
            for (std::size_t i = 0; i < limits.size(); ++i) {
                limits[i] += owner->scheduler.limit(state.view->listed[i].id);
                held[i] += owner->scheduler.inUse(state.view->listed[i].id);
            }
        }
        if (!isWaiting)
            continue;
        for (std::size_t i = 0; i < limits.size(); ++i) {
            state.limitTime += limits[i];
            state.grantedTime += std::min(held[i], limits[i]);
            state.runningTime += std::min(state.servers[i].running, limits[i]);
        }
    }
}

void fleet_simulation::beginGapMeasurement()
{
    m_serviceAtWarmUp = m_atStart.service;
    for (service_gap* measured : { &m_atOwners, &m_atStart, &m_signedErrors }) {
        measured->isMeasuring = true;
        for (std::size_t a = 0; a < measured->service.size(); ++a) {
            for (std::size_t b = 0; b < measured->service.size(); ++b)
                measured->leastLead[a][b] = measured->mostLead[a][b] = measured->service[a] - measured->service[b];
        }
    }
}

void fleet_simulation::recordService(service_gap& measured, std::size_t workspace, cost_units cost)
{
    measured.service[workspace] += cost;
    if (!measured.isMeasuring)
        return;
    for (std::size_t other = 0; other < measured.service.size(); ++other) {
        if (other == workspace)
            continue;
        const std::size_t a = std::min(workspace, other);
        const std::size_t b = std::max(workspace, other);
        const double lead = measured.service[a] - measured.service[b];
        measured.leastLead[a][b] = std::min(measured.leastLead[a][b], lead);
        measured.mostLead[a][b] = std::max(measured.mostLead[a][b], lead);
        measured.largest = std::max(measured.largest, measured.mostLead[a][b] - measured.leastLead[a][b]);
    }
}

simulation_result fleet_simulation::run()
{
    for (std::size_t pool = 0; pool < m_pools.size(); ++pool) {
        for (std::size_t workspace = 0; workspace < m_shape.workspaces.size(); ++workspace) {
            for (std::size_t i = 0; i < m_shape.workspaces[workspace].outstanding[pool]; ++i) {
                // Spreads the first requests, so that they do not all arrive at the same time.
                scheduleAt(m_now + m_random.jittered(500ms, 1), [=, this] { submit(pool, workspace); });
            }
        }
    }
    exchangeCounters();
    sample();
    scheduleAt(m_start + m_shape.warmUp, [this] { beginGapMeasurement(); });
    if (m_shape.ownerFailsAt)
        scheduleAt(m_start + *m_shape.ownerFailsAt, [this] { failOwner(0); });
    const time_point stop = m_start + m_shape.warmUp + m_shape.measured;
    while (!m_events.empty() && m_events.top().at < stop) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.run();
    }
    double sum = 0;
    double least = INFINITY;
    for (std::size_t i = 0; i < m_atStart.service.size(); ++i) {
        const double served = m_atStart.service[i] - m_serviceAtWarmUp[i];
        sum += served;
        least = std::min(least, served);
    }
    m_result.leastShare = sum > 0 ? least * static_cast<double>(m_atStart.service.size()) / sum : 0;
    m_result.gap = m_atOwners.largest;
    m_result.errorGap = m_signedErrors.largest;
    m_result.gapAtStart = m_atStart.largest;
    for (pool_state& state : m_pools) {
        if (state.limitTime > 0) {
            state.result.granted = state.grantedTime / state.limitTime;
            state.result.running = state.runningTime / state.limitTime;
        }
        m_result.pools.push_back(state.result);
    }
    return m_result;
}

}
