#include "CoreFleet.h"

#include <algorithm>
#include <ctime>
#include <numeric>
#include <set>

#include "pimentoladder/Wire/Frame.h"
#include "pimentoladder/Wire/MessageCodec.h"

namespace pimentoladder::measure {

using namespace std::chrono_literals;

namespace {

    constexpr duration withinDataCentre = 200us;
    constexpr duration betweenDataCentres = 1500us;
    constexpr duration tableDelay = 2ms;
    constexpr duration tableTimeout = 1s;
    constexpr duration serverDelay = 500us;
    constexpr duration serviceTime = 1s;
    constexpr duration retryDelay = 200ms;
    constexpr duration linkSetup = 3ms;
    // With requests of one second, the servers sustain about the request rate of the
    // projected fleet; the backlogged workspaces use the remaining slots.
    constexpr std::uint32_t serverSlots = 4;
    constexpr double openShare = 0.6; ///< Fraction of the rate that comes from workspaces without a backlog.
    constexpr std::size_t outstanding = 20; ///< Requests that each backlogged workspace keeps outstanding.
    constexpr std::size_t answerTokens = 200;
    constexpr std::size_t witnesses = 9;

    std::string padded(std::size_t number)
    {
        const std::string digits = std::to_string(number);
        return std::string(4 - std::min<std::size_t>(4, digits.size()), '0') + digits;
    }

    workspace_id workspaceName(std::size_t number) { return workspace_id("workspace-" + padded(number)); }

    std::string keyDigest(std::size_t workspace) { return std::string(60, '0') + padded(workspace); }

    workspace makeWorkspace(std::size_t number)
    {
        workspace value;
        value.id = workspaceName(number);
        value.labels = { { "tier", number % 3 == 0 ? "large" : "small" } };
        value.keyDigest = keyDigest(number);
        return value;
    }

    duration processorTime()
    {
        timespec read {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &read);
        return std::chrono::seconds(read.tv_sec) + std::chrono::nanoseconds(read.tv_nsec);
    }

    work_kind workOf(const message& received)
    {
        const bool isAdmission = std::holds_alternative<acquire>(received) || std::holds_alternative<grant>(received)
            || std::holds_alternative<grant_report>(received) || std::holds_alternative<recall>(received)
            || std::holds_alternative<in_flight_report>(received);
        return isAdmission ? work_kind::admission : work_kind::control;
    }

}

struct core_fleet::node {
    member self;
    std::unique_ptr<router_core> core;
    std::uint64_t generation = 0; ///< Incremented at each start and stop; events for an earlier process are dropped.
    time_point wakeAt = time_point::max();
    std::set<std::size_t> linked;
    std::set<std::size_t> dialling;
};

std::uint64_t router_cost::allMessages() const
{
    return std::accumulate(messages.begin(), messages.end(), std::uint64_t { 0 });
}

std::uint64_t router_cost::allBytes() const
{
    return std::accumulate(bytes.begin(), bytes.end(), std::uint64_t { 0 });
}

core_fleet::~core_fleet() = default;

core_fleet::core_fleet(const fleet_size& size, std::uint64_t seed)
    : m_size(size)
    , m_random(seed)
    , m_seed(seed)
    , m_costs(size.routers)
    , m_revision(1)
{
    const auto add = [this](const document_value& value) {
        m_rows[rowKey(value)] = { rowKey(value), value, m_revision };
    };
    for (std::size_t i = 0; i < size.dataCentres; ++i)
        add(data_centre { data_centre_id("dc-" + std::to_string(i)), { { "site", std::to_string(i) } } });
    for (std::size_t i = 0; i < size.pools; ++i)
        add(pool { pool_id("pool-" + std::to_string(i)), {}, pool_kind::model, "/p" + std::to_string(i), answerTokens });
    for (std::size_t i = 0; i < size.servers; ++i) {
        backend_server server;
        server.id = server_id("server-" + padded(i));
        server.pool = pool_id("pool-" + std::to_string(i % size.pools));
        server.dataCentre = data_centre_id("dc-" + std::to_string((i / size.pools) % size.dataCentres));
        server.labels = { { "generation", std::to_string(i % 4) } };
        server.location = { "10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250), 8000 };
        server.floor = serverSlots;
        server.ceiling = serverSlots;
        add(server);
    }
    for (std::size_t i = 0; i < size.workspaces; ++i)
        add(makeWorkspace(i));
    add(access_rule { rule_id("all"), selector(), selector() });
    witness_roster roster;
    for (std::size_t i = 0; i < size.routers; ++i) {
        node& router = m_nodes.emplace_back();
        router.self.vm = vm_id("entry-" + padded(i));
        router.self.start = incarnation(1000);
        router.self.dataCentre = data_centre_id("dc-" + std::to_string(i % size.dataCentres));
        router.self.peerLocation = { "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250), 9000 };
        m_routerByVm[router.self.vm] = i;
        add(router.self);
        if (i < witnesses)
            roster.witnesses.push_back({ router.self.vm, router.self.start });
    }
    add(roster);
    for (std::size_t i = 0; i < answerTokens; ++i)
        m_answer += "token\n";
}

void core_fleet::scheduleAt(time_point when, std::function<void()> action)
{
    m_events.push({ when, ++m_order, std::move(action) });
}

void core_fleet::dispatchEvent(std::size_t router, work_kind kind, const core_event& event)
{
    node& target = m_nodes[router];
    const duration begin = processorTime();
    const router_actions actions = event(*target.core, m_now);
    const time_point next = target.core->nextDeadline(m_now);
    m_costs[router].time[static_cast<std::size_t>(kind)] += processorTime() - begin;
    for (const router_action& action : actions)
        std::visit([&](const auto& step) { perform(router, step); }, action);
    if (next >= target.wakeAt)
        return;
    target.wakeAt = std::max(next, m_now);
    scheduleAt(target.wakeAt, [this, router, when = target.wakeAt, generation = target.generation] {
        node& woken = m_nodes[router];
        if (woken.generation == generation && woken.wakeAt == when)
            tick(router);
    });
}

void core_fleet::dispatchAfter(std::size_t router, duration delay, work_kind kind, core_event event)
{
    scheduleAt(m_now + delay, [this, router, kind, generation = m_nodes[router].generation, event = std::move(event)] {
        if (m_nodes[router].core && m_nodes[router].generation == generation)
            dispatchEvent(router, kind, event);
    });
}

void core_fleet::tick(std::size_t router)
{
    m_nodes[router].wakeAt = time_point::max();
    dispatchEvent(router, work_kind::control, [](router_core& core, time_point now) { return core.onTick(now); });
}

void core_fleet::startNode(std::size_t router)
{
    node& started = m_nodes[router];
    ++started.generation;
    started.wakeAt = time_point::max();
    started.linked.clear();
    started.dialling.clear();
    // The first three routers are the seeds of all routers.
    router_identity identity { started.self, {} };
    for (std::size_t i = 0; i < std::min<std::size_t>(3, m_nodes.size()); ++i) {
        if (i != router)
            identity.seeds.push_back(m_nodes[i].self.peerLocation);
    }
    started.core = std::make_unique<router_core>(identity, lifecycle_limits {}, m_seed * 31 + router + 1000 * started.generation);
    for (std::size_t i = 0; i < std::min<std::size_t>(3, m_nodes.size()); ++i) {
        if (i != router)
            openLink(router, i);
    }
    tick(router);
}

void core_fleet::start()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        scheduleAt(m_now + m_random.jittered(250ms, 1), [this, i] { startNode(i); });
    }
}

void core_fleet::run(duration length)
{
    const time_point end = m_now + length;
    while (!m_events.empty() && m_events.top().at <= end) {
        const std::function<void()> action = std::move(const_cast<timed_event&>(m_events.top()).action);
        m_now = std::max(m_now, m_events.top().at);
        m_events.pop();
        action();
    }
    m_now = end;
}

void core_fleet::openLink(std::size_t router, std::size_t other)
{
    node& from = m_nodes[router];
    if (router == other || from.linked.contains(other) || !from.dialling.insert(other).second)
        return;
    scheduleAt(m_now + linkSetup, [this, router, other, generation = from.generation] {
        node& left = m_nodes[router];
        node& right = m_nodes[other];
        if (left.generation != generation)
            return;
        left.dialling.erase(other);
        if (!right.core || !left.linked.insert(other).second)
            return;
        right.linked.insert(router);
        const auto announce = [this](std::size_t to, const member& peer) {
            dispatchEvent(to, work_kind::control, [&](router_core& core, time_point now) {
                return core.onLinkOpened(now, { peer.vm, peer.start }, peer.peerLocation);
            });
        };
        announce(router, right.self);
        announce(other, left.self);
    });
}

void core_fleet::connectToTargets(std::size_t router)
{
    for (const peer_target& target : m_nodes[router].core->fleet().targets()) {
        if (!target.vm.isEmpty())
            openLink(router, m_routerByVm.at(target.vm));
    }
}

void core_fleet::restart(std::size_t router)
{
    dispatchEvent(router, work_kind::control, [](router_core& core, time_point now) { return core.drain(now); });
    scheduleAt(m_now + 300ms, [this, router] {
        node& stopped = m_nodes[router];
        for (const std::size_t other : stopped.linked)
            m_nodes[other].linked.erase(router);
        stopped.core.reset();
        ++stopped.generation;
        stopped.linked.clear();
        scheduleAt(m_now + 500ms, [this, router] {
            m_nodes[router].self.start = incarnation(m_nodes[router].self.start.value() + 1000);
            startNode(router);
        });
    });
}

void core_fleet::startLoad()
{
    for (std::size_t i = 0; i < m_size.backlogged; ++i) {
        for (std::size_t each = 0; each < outstanding; ++each)
            scheduleAt(m_now + m_random.jittered(250ms, 1), [this, i] { submit({ i, true }); });
    }
    submitNextArrival();
    scheduleNextChange();
}

void core_fleet::submitNextArrival()
{
    if (m_size.requestsPerSecond <= 0 || m_size.workspaces <= m_size.backlogged)
        return;
    submit({ m_size.backlogged + m_random.index(m_size.workspaces - m_size.backlogged), false });
    const auto gap = duration(static_cast<duration::rep>(1e9 / (m_size.requestsPerSecond * openShare)));
    scheduleAt(m_now + m_random.jittered(gap, 1), [this] { submitNextArrival(); });
}

void core_fleet::scheduleNextChange()
{
    if (m_size.changesPerSecond <= 0)
        return;
    scheduleAt(m_now + duration(static_cast<duration::rep>(1e9 / m_size.changesPerSecond)), [this] {
        workspace changed = makeWorkspace(m_random.index(m_size.workspaces));
        changed.queueLimit = static_cast<std::uint32_t>(1000 + m_random.index(1000));
        const revision committed = *commit({ {}, {}, { row_change { rowKey(changed), changed, {} } } });
        const std::size_t router = m_random.index(m_nodes.size());
        dispatchAfter(router, tableDelay, work_kind::control, [committed](router_core& core, time_point now) { return core.onChangeCommitted(now, committed); });
        scheduleNextChange();
    });
}

void core_fleet::submit(const caller& from)
{
    const std::size_t router = m_random.index(m_nodes.size());
    if (!m_nodes[router].core) {
        scheduleAt(m_now + retryDelay, [this, from] { submit(from); });
        return;
    }
    incoming_request received;
    received.method = "POST";
    received.path = "/p" + std::to_string(from.isClosedLoop ? from.workspace % m_size.pools : m_random.index(m_size.pools)) + "/generate";
    received.keyDigest = keyDigest(from.workspace);
    received.contentHash = m_random.index(1U << 30U);
    dispatchEvent(router, work_kind::requests, [&](router_core& core, time_point now) {
        request_number number;
        router_actions actions = core.onRequest(now, received, number);
        m_callers[{ router, number }] = from;
        return actions;
    });
}

void core_fleet::resetCounters(bool isEncoding)
{
    m_isEncoding = isEncoding;
    m_calls.clear();
    m_answered = 0;
    m_refused = 0;
    m_costs.assign(m_nodes.size(), {});
}

void core_fleet::countTableCall(bool isWrite)
{
    table_calls& second = m_calls[std::chrono::floor<std::chrono::seconds>(m_now.time_since_epoch()).count()];
    ++(isWrite ? second.writes : second.reads);
}

table_calls core_fleet::tableCalls() const
{
    table_calls sum;
    for (const auto& [second, calls] : m_calls) {
        sum.reads += calls.reads;
        sum.writes += calls.writes;
        sum.mostReadsInSecond = std::max(sum.mostReadsInSecond, calls.reads);
        sum.mostWritesInSecond = std::max(sum.mostWritesInSecond, calls.writes);
    }
    return sum;
}

std::size_t core_fleet::readyRouters() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_nodes, [this](const node& each) {
        return each.core && each.core->fleet().isOwnerFresh(m_now);
    }));
}

std::size_t core_fleet::shardsOwned(std::size_t router) const
{
    return m_nodes[router].core ? m_nodes[router].core->owner().figures().size() : 0;
}

result<revision> core_fleet::commit(const commit_rows& requested)
{
    for (const document_condition& condition : requested.conditions) {
        const auto found = m_rows.find(condition.key);
        const revision present = found != m_rows.end() && found->second.value ? found->second.changedAt : revision();
        if (present != condition.at)
            return makeError(error_kind::conflict, "row has changed; read it again");
    }
    m_revision = revision(m_revision.value() + 1);
    for (row_change written : requested.writes) {
        written.changedAt = m_revision;
        m_rows[written.key] = written;
    }
    return m_revision;
}

void core_fleet::perform(std::size_t router, const send_message& step)
{
    const auto found = m_routerByVm.find(step.to);
    if (found == m_routerByVm.end())
        return;
    const std::size_t to = found->second;
    if (!m_nodes[router].linked.contains(to)) {
        openLink(router, to);
        return;
    }
    router_cost& cost = m_costs[router];
    ++cost.messages[step.content.index()];
    if (m_isEncoding)
        cost.bytes[step.content.index()] += encodeMessage(step.content).size() + frameHeaderSize;
    const bool isNear = m_nodes[router].self.dataCentre == m_nodes[to].self.dataCentre;
    const member_ref from { m_nodes[router].self.vm, m_nodes[router].self.start };
    dispatchAfter(to, isNear ? withinDataCentre : betweenDataCentres, workOf(step.content),
        [from, content = std::make_shared<const message>(step.content)](router_core& core, time_point now) { return core.onMessage(now, from, *content); });
}

void core_fleet::perform(std::size_t router, const poll_revision& step)
{
    countTableCall(false);
    const result<revision> answer = m_isTableUp ? result<revision>(m_revision) : makeError(error_kind::unavailable, "table is down; retry");
    dispatchAfter(router, m_isTableUp ? tableDelay : tableTimeout, work_kind::control,
        [answer, sentAt = step.sentAt](router_core& core, time_point now) { return core.onRevisionPolled(now, answer, sentAt); });
}

void core_fleet::perform(std::size_t router, const fetch_rows& step)
{
    countTableCall(false);
    if (!m_isTableUp)
        return;
    const auto answer = std::make_shared<rows_result>(config_update { step.since, m_revision, {} });
    for (const auto& [key, row] : m_rows) {
        if (row.changedAt > step.since && (row.value || step.since != revision()))
            (*answer)->rows.push_back(row);
    }
    dispatchAfter(router, tableDelay, work_kind::control, [answer](router_core& core, time_point now) { return core.onRowsFetched(now, *answer); });
}

void core_fleet::perform(std::size_t router, const commit_rows& step)
{
    countTableCall(true);
    const result<revision> answer = m_isTableUp ? commit(step) : makeError(error_kind::unavailable, "table is down; retry");
    dispatchAfter(router, m_isTableUp ? tableDelay : tableTimeout, work_kind::control,
        [answer, transactionNumber = step.transactionNumber](router_core& core, time_point now) { return core.onCommitted(now, transactionNumber, answer); });
}

void core_fleet::perform(std::size_t router, const poll_load& step)
{
    const server_load load { step.server, incarnation(1), m_inFlight[step.server], false, m_now };
    dispatchAfter(router, serverDelay, work_kind::control, [load](router_core& core, time_point now) { return core.onLoadReport(now, load); });
}

void core_fleet::perform(std::size_t router, const start_attempt& step)
{
    const attempt_number attempt = step.attempt.attempt;
    const server_id server = step.attempt.server;
    scheduleAt(m_now + serverDelay, [this, router, attempt, server, generation = m_nodes[router].generation] {
        if (!m_nodes[router].core || m_nodes[router].generation != generation)
            return;
        bool maySend = false;
        dispatchEvent(router, work_kind::requests, [&](router_core& core, time_point now) { return core.onReadyToSend(now, attempt, maySend); });
        if (!maySend) {
            dispatchAfter(router, 0ns, work_kind::requests, [attempt](router_core& core, time_point now) { return core.onAttemptEnded(now, attempt, { attempt_end_kind::notSent, false }); });
            return;
        }
        ++m_inFlight[server];
        dispatchAfter(router, 40ms, work_kind::requests, [attempt](router_core& core, time_point now) { return core.onHead(now, attempt, { { 200, false, {} }, {} }); });
        const duration service = m_random.jittered(serviceTime, 0.5);
        dispatchAfter(router, service, work_kind::requests, [this, attempt](router_core& core, time_point now) { return core.onBytes(now, attempt, m_answer); });
        dispatchAfter(router, service, work_kind::requests, [attempt](router_core& core, time_point now) { return core.onAttemptEnded(now, attempt, { attempt_end_kind::complete, true }); });
        scheduleAt(m_now + service, [this, server] { --m_inFlight[server]; });
    });
}

void core_fleet::perform(std::size_t router, const request_step& step)
{
    const bool isAnswered = std::holds_alternative<end_answer>(step.step);
    const bool isRefused = std::holds_alternative<refuse_request>(step.step) || std::holds_alternative<abort_answer>(step.step);
    if (!isAnswered && !isRefused)
        return;
    m_answered += isAnswered;
    m_refused += isRefused;
    const auto found = m_callers.find({ router, step.request });
    if (found == m_callers.end())
        return;
    const caller ended = found->second;
    m_callers.erase(found);
    if (ended.isClosedLoop)
        scheduleAt(m_now + (isAnswered ? duration(1ms) : retryDelay), [this, ended] { submit(ended); });
}

void core_fleet::perform(std::size_t router, const change_incarnation& step)
{
    m_nodes[router].self.start = step.start;
    for (const std::size_t other : m_nodes[router].linked)
        m_nodes[other].linked.erase(router);
    m_nodes[router].linked.clear();
    connectToTargets(router);
}

void core_fleet::perform(std::size_t router, const document_applied&)
{
    connectToTargets(router);
}

}
