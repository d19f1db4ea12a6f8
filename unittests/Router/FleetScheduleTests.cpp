// Randomly generated schedules of requests and faults over several router cores in
// virtual time.
//
// A failure prints the seed, the shrunk schedule and the first violated guarantee.
// By default the test runs `defaultSchedules` schedules from a fixed seed. To run
// more schedules, or to repeat a run with its printed seed:
//
//     RC_PARAMS="max_success=2000" build/release/unittests/Router/RouterTests -tc="drawn schedules*"
//     RC_PARAMS="seed=17 max_success=2000" build/release/unittests/Router/RouterTests -tc="drawn schedules*"

#include "FleetHarness.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <string_view>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t defaultSeed = 20261204;
constexpr int defaultSchedules = 30;

constexpr std::size_t routerCount = 4;
constexpr std::size_t workspaceCount = 4;
constexpr std::size_t dataCentreCount = 2;
constexpr duration grantLifetime = 1s;
constexpr duration withdrawalBound = 3s; ///< P4 and P8, after acceptance.
constexpr duration configurationBound = 5s; ///< P10, after acceptance.
constexpr duration pathDelay = 5ms; ///< Upper bound on the time from a core's decision to the start at the server.
// Time until a server that became cold without notice is limited as cold: one load
// poll (1 s) detects it, and unused grants issued before then have to expire.
constexpr duration coldDetection = 1s + grantLifetime + 200ms;
// A withdrawal that lasts longer than this reaches every owner before it ends.
constexpr duration longWithdrawal = 10s;

enum class step_kind {
    reads,
    wait,
    modelReads,
    order,
    keyedOrder,
    resend,
    kill,
    restart,
    freeze,
    thaw,
    cutLink,
    healLink,
    cutFromTable,
    healToTable,
    tableDown,
    tableUp,
    loseAnswers,
    keepAnswers,
    crash,
    coldWithoutNotice,
    dataCentreOut,
    dataCentreBack,
    serverLeaves,
    serverReturns,
    conflictingChange,
    drain,
    delayMessages,
    loseMessages,
};

struct schedule_step {
    step_kind kind = step_kind::reads;
    std::size_t left = 0; ///< Selects a router or a server.
    std::size_t right = 0; ///< Selects a second router, a workspace or an amount.
    int milliseconds = 0; ///< Until the next step.
};

constexpr std::array<const char*, 28> stepNames { "reads", "wait", "modelReads", "order", "keyedOrder", "resend", "kill",
    "restart", "freeze", "thaw", "cutLink", "healLink", "cutFromTable", "healToTable", "tableDown", "tableUp",
    "loseAnswers", "keepAnswers", "crash", "coldWithoutNotice", "dataCentreOut", "dataCentreBack", "serverLeaves",
    "serverReturns", "conflictingChange", "drain", "delayMessages", "loseMessages" };

std::ostream& operator<<(std::ostream& out, const schedule_step& step)
{
    return out << stepNames[static_cast<std::size_t>(step.kind)] << '(' << step.left << ", " << step.right << ") " << step.milliseconds << "ms";
}

/// A period during which a server must receive no new requests.
struct withdrawal {
    revision at;
    time_point begunAt;
    std::optional<time_point> acceptedAt;
    std::optional<time_point> endedAt;
};

/// Limit of a server as reported by one owner, valid from a point in time.
struct reported_limit {
    time_point from;
    std::uint32_t limit = 0;
};

/// Runs one schedule and records the first guarantee that is violated.
class schedule_run {
public:
    explicit schedule_run(std::uint64_t seed);

    /// Returns a description of the first violation; none if every guarantee held.
    std::optional<std::string> execute(const std::vector<schedule_step>& steps);

private:
    using step_action = void (schedule_run::*)(const schedule_step&);
    static const std::array<step_action, 28> actions;

    void reads(const schedule_step& step);
    void wait(const schedule_step&) { }
    void modelReads(const schedule_step& step);
    void order(const schedule_step& step);
    void keyedOrder(const schedule_step& step);
    void resend(const schedule_step& step);
    void kill(const schedule_step& step);
    void restart(const schedule_step& step);
    void freeze(const schedule_step& step);
    void thaw(const schedule_step& step);
    void cutLink(const schedule_step& step) { m_fleet.cut(step.left % routerCount, other(step), true); }
    void healLink(const schedule_step& step) { m_fleet.cut(step.left % routerCount, other(step), false); }
    void cutFromTable(const schedule_step& step) { m_fleet.cutFromTable(step.left % routerCount, true); }
    void healToTable(const schedule_step& step);
    void tableDown(const schedule_step&) { m_fleet.table.isUp = false; }
    void tableUp(const schedule_step&);
    void loseAnswers(const schedule_step&) { m_fleet.table.losesAnswers = true; }
    void keepAnswers(const schedule_step&) { m_fleet.table.losesAnswers = false; }
    void crash(const schedule_step& step);
    void coldWithoutNotice(const schedule_step& step);
    void dataCentreOut(const schedule_step& step);
    void dataCentreBack(const schedule_step& step);
    void serverLeaves(const schedule_step& step) { changeLeaving(step, true); }
    void serverReturns(const schedule_step& step) { changeLeaving(step, false); }
    void conflictingChange(const schedule_step& step);
    void drain(const schedule_step& step);
    void delayMessages(const schedule_step& step);
    void loseMessages(const schedule_step& step) { m_fleet.lossRate = step.left % 2 == 0 ? 0.02 : 0; }

    static std::size_t other(const schedule_step& step) { return (step.left + 1 + step.right % (routerCount - 1)) % routerCount; }
    std::optional<server_id> serverAt(std::size_t index) const;
    result<revision> commit(std::size_t router, const std::string& key, std::optional<document_value> value, revision expected);
    revision rowRevision(const std::string& key) const;
    void changeLeaving(const schedule_step& step, bool isLeaving);
    void withdrawServer(std::map<server_id, withdrawal>& from, const server_id& server, revision at);
    void restoreServer(std::map<server_id, withdrawal>& from, const server_id& server);
    std::size_t send(std::size_t router, const std::string& method, const std::string& path, std::size_t workspaceIndex, const std::string& key = {}, std::uint64_t content = 1);
    bool isRunning(std::size_t router) const { return m_fleet.isUp(router) && !m_fleet.isFrozen(router); }

    void configure();
    void runFor(duration length);
    void stopDrained();
    void clearFaults();
    void probe();

    void reportViolation(const std::string& what);
    void afterEvent(std::size_t router);
    void recordLimits(std::size_t router);
    void onExecution(const observed_execution& seen);
    std::uint32_t limitInForce(const server_id& server) const;
    void checkWithdrawn(const observed_execution& seen, std::map<server_id, withdrawal>& withdrawals, const char* guarantee);
    void checkRequests();
    void checkBody(std::size_t record);
    void checkConfiguration();
    void checkEnd();

    fleet_harness m_fleet;
    std::optional<std::string> m_violation;
    std::size_t m_loadCount = 0;
    std::uint64_t m_keyCount = 0;
    std::vector<std::size_t> m_openRecords; ///< Records of requests that have not ended.
    std::vector<std::size_t> m_orders; ///< Records of orders with a key.
    std::map<std::size_t, std::string> m_workspaces; ///< Workspace of each record.
    std::map<std::string, std::size_t> m_keyExecutions; ///< By workspace and key.
    std::map<server_id, std::vector<std::vector<reported_limit>>> m_limits; ///< By owner.
    std::map<server_id, time_point> m_coldSince; ///< Servers that became cold without notice.
    std::map<server_id, withdrawal> m_outages;
    std::map<server_id, withdrawal> m_leaves;
    std::vector<std::pair<time_point, revision>> m_accepted; ///< When each revision was first known to be accepted.
    std::array<time_point, routerCount> m_reachesTableSince {};
    std::array<revision, routerCount> m_highest {};
    std::array<bool, routerCount> m_isDraining {};
    std::array<std::vector<std::size_t>, routerCount> m_openAtDrain;
    std::set<std::size_t> m_crashed; ///< Records that ran at a server when it crashed.
    bool m_hasLoad = true;
};

const std::array<schedule_run::step_action, 28> schedule_run::actions { &schedule_run::reads, &schedule_run::wait,
    &schedule_run::modelReads, &schedule_run::order, &schedule_run::keyedOrder, &schedule_run::resend, &schedule_run::kill,
    &schedule_run::restart, &schedule_run::freeze, &schedule_run::thaw, &schedule_run::cutLink, &schedule_run::healLink,
    &schedule_run::cutFromTable, &schedule_run::healToTable, &schedule_run::tableDown, &schedule_run::tableUp,
    &schedule_run::loseAnswers, &schedule_run::keepAnswers, &schedule_run::crash, &schedule_run::coldWithoutNotice,
    &schedule_run::dataCentreOut, &schedule_run::dataCentreBack, &schedule_run::serverLeaves, &schedule_run::serverReturns,
    &schedule_run::conflictingChange, &schedule_run::drain, &schedule_run::delayMessages, &schedule_run::loseMessages };

schedule_run::schedule_run(std::uint64_t seed)
    : m_fleet(routerCount, seed)
{
    m_fleet.afterEvent = [this](std::size_t router) { afterEvent(router); };
    m_fleet.onExecution = [this](const observed_execution& seen) { onExecution(seen); };
}

std::optional<std::string> schedule_run::execute(const std::vector<schedule_step>& steps)
{
    configure();
    for (const schedule_step& step : steps) {
        (this->*actions[static_cast<std::size_t>(step.kind)])(step);
        runFor(std::chrono::milliseconds(step.milliseconds));
        if (m_violation)
            return m_violation;
    }
    clearFaults();
    probe();
    checkEnd();
    return m_violation;
}

void schedule_run::configure()
{
    m_fleet.startAll();
    for (const document_value& value : smallDocument(dataCentreCount, workspaceCount)) {
        if (const auto* server = std::get_if<backend_server>(&value)) {
            // Streams from model servers last 4 s, longer than the 2 s for which an
            // unreported grant counts as in use.
            m_fleet.servers[server->id] = fake_server();
            m_fleet.servers[server->id].service = server->pool == pool_id("model") ? 4s : 100ms;
        }
    }
    m_fleet.change(0, smallDocument(dataCentreCount, workspaceCount));
    m_fleet.run(5s);
    m_reachesTableSince.fill(m_fleet.now());
}

void schedule_run::runFor(duration length)
{
    constexpr duration slice = 20ms;
    constexpr std::size_t openLimit = 24; ///< Requests in progress at one router above which no load is added.
    const time_point end = m_fleet.now() + length;
    do {
        const std::size_t router = m_loadCount % routerCount;
        if (m_hasLoad && isRunning(router) && m_fleet.core(router).requests().figures().inProgress < openLimit)
            send(router, "GET", "/portal/index", m_loadCount / routerCount);
        ++m_loadCount;
        m_fleet.run(std::min(slice, std::max(end - m_fleet.now(), duration(1ms))));
        stopDrained();
        checkConfiguration();
        checkRequests();
    } while (m_fleet.now() < end && !m_violation);
}

std::size_t schedule_run::send(std::size_t router, const std::string& method, const std::string& path, std::size_t workspaceIndex, const std::string& key, std::uint64_t content)
{
    const std::string name = "ws-" + std::to_string(workspaceIndex % workspaceCount);
    m_workspaces[m_fleet.requests.size()] = name;
    m_openRecords.push_back(m_fleet.requests.size());
    return m_fleet.send(router, name, method, path, key, content);
}

void schedule_run::reads(const schedule_step& step)
{
    for (std::size_t i = 0; i <= step.right * 4; ++i)
        send(step.left % routerCount, "GET", "/portal/index", i % 2 == 0 ? 0 : step.right);
}

void schedule_run::modelReads(const schedule_step& step)
{
    for (std::size_t i = 0; i <= step.right % 4; ++i)
        send(step.left % routerCount, "GET", "/v1/generate", step.right + i);
}

void schedule_run::order(const schedule_step& step)
{
    send(step.left % routerCount, "POST", "/portal/orders", step.right);
}

void schedule_run::keyedOrder(const schedule_step& step)
{
    m_orders.push_back(send(step.left % routerCount, "POST", "/portal/orders", step.right, "key-" + std::to_string(++m_keyCount)));
}

void schedule_run::resend(const schedule_step& step)
{
    if (m_orders.empty())
        return;
    const std::size_t earlier = m_orders[m_orders.size() - 1 - step.right % m_orders.size()];
    const std::string workspaceName = m_workspaces[earlier];
    const std::string key = m_fleet.requests[earlier].key;
    m_orders.push_back(send(step.left % routerCount, "POST", "/portal/orders", static_cast<std::size_t>(workspaceName.back() - '0'), key));
}

void schedule_run::kill(const schedule_step& step)
{
    const std::size_t router = step.left % routerCount;
    if (!m_fleet.isUp(router))
        return;
    m_fleet.kill(router);
    m_isDraining[router] = false;
    recordLimits(router);
}

void schedule_run::restart(const schedule_step& step)
{
    const std::size_t router = step.left % routerCount;
    kill(step);
    m_highest[router] = {};
    m_fleet.restart(router);
    m_reachesTableSince[router] = m_fleet.now();
}

void schedule_run::freeze(const schedule_step& step)
{
    if (m_fleet.isUp(step.left % routerCount))
        m_fleet.freeze(step.left % routerCount);
}

void schedule_run::thaw(const schedule_step& step)
{
    const std::size_t router = step.left % routerCount;
    if (!m_fleet.isUp(router) || !m_fleet.isFrozen(router))
        return;
    m_reachesTableSince[router] = m_fleet.now();
    m_fleet.thaw(router);
}

void schedule_run::healToTable(const schedule_step& step)
{
    m_fleet.cutFromTable(step.left % routerCount, false);
    m_reachesTableSince[step.left % routerCount] = m_fleet.now();
}

void schedule_run::tableUp(const schedule_step&)
{
    if (m_fleet.table.isUp)
        return;
    m_fleet.table.isUp = true;
    m_reachesTableSince.fill(m_fleet.now());
}

std::optional<server_id> schedule_run::serverAt(std::size_t index) const
{
    auto found = m_fleet.servers.begin();
    std::advance(found, static_cast<std::ptrdiff_t>(index % m_fleet.servers.size()));
    return found->first;
}

void schedule_run::crash(const schedule_step& step)
{
    const server_id server = *serverAt(step.left);
    m_coldSince[server] = m_fleet.now();
    m_crashed.insert(m_openRecords.begin(), m_openRecords.end());
    m_fleet.crash(server);
}

void schedule_run::coldWithoutNotice(const schedule_step& step)
{
    const server_id server = *serverAt(step.left);
    m_coldSince[server] = m_fleet.now();
    m_fleet.servers[server].finishedSinceCold = 0;
}

revision schedule_run::rowRevision(const std::string& key) const
{
    const auto found = m_fleet.table.rows.find(key);
    return found != m_fleet.table.rows.end() && found->second.value ? found->second.changedAt : revision();
}

result<revision> schedule_run::commit(std::size_t router, const std::string& key, std::optional<document_value> value, revision expected)
{
    return m_fleet.commit(router, { {}, { { key, expected } }, { { key, std::move(value), {} } } });
}

void schedule_run::withdrawServer(std::map<server_id, withdrawal>& from, const server_id& server, revision at)
{
    from[server] = { at, m_fleet.now(), {}, {} };
}

void schedule_run::restoreServer(std::map<server_id, withdrawal>& from, const server_id& server)
{
    withdrawal& ended = from[server];
    ended.endedAt = m_fleet.now();
    // The server's processes were replaced while it was out of service, and owners
    // start it at its minimum limit.
    m_fleet.servers[server].finishedSinceCold = 0;
    const bool isKnown = m_fleet.now() - ended.begunAt > longWithdrawal;
    if (!isKnown)
        m_coldSince[server] = m_fleet.now();
}

void schedule_run::dataCentreOut(const schedule_step& step)
{
    const std::string name = "dc-" + std::to_string(step.right % dataCentreCount);
    const service_rule out { rule_id("out-" + name), *selector::parse("site=" + name) };
    const std::string key = rowKey(out);
    if (rowRevision(key) != revision())
        return;
    const auto committed = commit(step.left % routerCount, key, out, {});
    if (!committed)
        return;
    for (const char* served : { "model-", "portal-" })
        withdrawServer(m_outages, server_id(served + name.substr(3)), *committed);
}

void schedule_run::dataCentreBack(const schedule_step& step)
{
    const std::string name = "dc-" + std::to_string(step.right % dataCentreCount);
    const std::string key = rowKey(service_rule { rule_id("out-" + name), {} });
    if (rowRevision(key) == revision() || !commit(step.left % routerCount, key, std::nullopt, rowRevision(key)))
        return;
    for (const char* served : { "model-", "portal-" })
        restoreServer(m_outages, server_id(served + name.substr(3)));
}

void schedule_run::changeLeaving(const schedule_step& step, bool isLeaving)
{
    const server_id id = *serverAt(step.right);
    const std::string key = rowKey(backend_server { id, {}, {}, {}, {}, {}, 1, 8, false, false });
    const auto found = m_fleet.table.rows.find(key);
    if (found == m_fleet.table.rows.end() || !found->second.value)
        return;
    auto changed = std::get<backend_server>(*found->second.value);
    if (changed.isLeaving == isLeaving)
        return;
    changed.isLeaving = isLeaving;
    const auto committed = commit(step.left % routerCount, key, changed, found->second.changedAt);
    if (committed && isLeaving)
        withdrawServer(m_leaves, id, *committed);
    if (committed && !isLeaving)
        restoreServer(m_leaves, id);
}

void schedule_run::conflictingChange(const schedule_step& step)
{
    workspace changed;
    changed.id = workspace_id("ws-" + std::to_string(step.right % workspaceCount));
    changed.keyDigest = keyDigestOf(changed.id.value());
    const std::string key = rowKey(changed);
    const revision expected = rowRevision(key);
    changed.weight = 2;
    const auto first = commit(step.left % routerCount, key, changed, expected);
    changed.weight = 3;
    const auto second = commit(other(step), key, changed, expected);
    if (first && second)
        reportViolation("P10: two conflicting changes were both committed");
}

void schedule_run::drain(const schedule_step& step)
{
    const std::size_t router = step.left % routerCount;
    if (!isRunning(router) || m_isDraining[router])
        return;
    m_isDraining[router] = true;
    m_openAtDrain[router].clear();
    std::copy_if(m_openRecords.begin(), m_openRecords.end(), std::back_inserter(m_openAtDrain[router]),
        [&](std::size_t record) { return m_fleet.requests[record].router == router && !m_fleet.requests[record].endedAt; });
    m_fleet.drain(router);
}

void schedule_run::stopDrained()
{
    for (std::size_t router = 0; router < routerCount; ++router) {
        if (!m_isDraining[router] || !isRunning(router))
            continue;
        for (const std::size_t record : m_openAtDrain[router]) {
            const observed_request& seen = m_fleet.requests[record];
            const bool isCut = seen.isAborted || seen.refused == refusal_kind::draining;
            if (isCut && !m_crashed.contains(record))
                reportViolation("P9: request " + std::to_string(record) + " was cut by the drain of router " + std::to_string(router));
        }
        const router_core& core = m_fleet.core(router);
        if (!core.fleet().hasLeft() || core.requests().figures().inProgress > 0)
            continue;
        for (const std::size_t record : m_openAtDrain[router]) {
            if (!m_fleet.requests[record].endedAt)
                reportViolation("P9: request " + std::to_string(record) + " had no end when drained router " + std::to_string(router) + " exited");
        }
        kill({ step_kind::kill, router, 0, 0 });
    }
}

void schedule_run::delayMessages(const schedule_step& step)
{
    static constexpr std::array<duration, 4> delays { 700us, 10ms, 60ms, 200ms };
    m_fleet.messageDelay = delays[step.left % delays.size()];
}

void schedule_run::clearFaults()
{
    m_fleet.table.isUp = true;
    m_fleet.table.losesAnswers = false;
    m_fleet.lossRate = 0;
    m_fleet.messageDelay = 700us;
    m_hasLoad = false;
    for (std::size_t router = 0; router < routerCount; ++router) {
        m_fleet.cutFromTable(router, false);
        for (std::size_t peer = 0; peer < router; ++peer)
            m_fleet.cut(router, peer, false);
        thaw({ step_kind::thaw, router, 0, 0 });
    }
    m_reachesTableSince.fill(m_fleet.now());
    constexpr duration quietTime = 24s; ///< Longer than the queue timeout of the harness (20 s).
    runFor(1s);
    // Restarts the routers that have stopped. Draining may take as long as a router's
    // longest request; probe() restarts those that stop later.
    for (std::size_t router = 0; router < routerCount; ++router) {
        if (!m_fleet.isUp(router))
            restart({ step_kind::restart, router, 0, 0 });
    }
    runFor(quietTime);
    if (!m_openRecords.empty())
        reportViolation("P2: request " + std::to_string(m_openRecords.front()) + " waits after the quiet time");
}

void schedule_run::probe()
{
    if (m_violation)
        return;
    for (std::size_t router = 0; router < routerCount; ++router) {
        if (!m_fleet.isUp(router))
            restart({ step_kind::restart, router, 0, 0 });
    }
    runFor(10s);
    const auto isServed = [this](const std::string& served) {
        return std::any_of(m_fleet.servers.begin(), m_fleet.servers.end(), [&](const auto& entry) {
            const auto isOut = [&](const std::map<server_id, withdrawal>& from) {
                const auto found = from.find(entry.first);
                return found != from.end() && !found->second.endedAt;
            };
            return entry.first.value().starts_with(served) && !isOut(m_outages) && !isOut(m_leaves);
        });
    };
    const bool hasPortal = isServed("portal");
    const bool hasModel = isServed("model");
    std::vector<std::pair<std::size_t, bool>> probes;
    for (std::size_t router = 0; router < routerCount; ++router) {
        for (std::size_t workspaceIndex = 0; workspaceIndex < workspaceCount; ++workspaceIndex)
            probes.emplace_back(send(router, "GET", "/portal/index", workspaceIndex), hasPortal);
        probes.emplace_back(send(router, "GET", "/v1/generate", router), hasModel);
        probes.emplace_back(send(router, "POST", "/portal/orders", router, "probe-" + std::to_string(router)), hasPortal);
    }
    runFor(18s);
    for (const auto& [record, isExpected] : probes) {
        const observed_request& seen = m_fleet.requests[record];
        if (seen.isAnswered == isExpected)
            continue;
        const std::string outcome = seen.refused ? std::string(refusalOf(*seen.refused).name) : std::string("no answer");
        reportViolation("P2: request " + std::to_string(record) + " at router " + std::to_string(seen.router) + " after the quiet time: " + outcome);
    }
}

void schedule_run::reportViolation(const std::string& what)
{
    if (m_violation)
        return;
    std::ostringstream text;
    text << "at " << std::chrono::duration_cast<std::chrono::milliseconds>(m_fleet.now().time_since_epoch()).count() << " ms: " << what;
    m_violation = text.str();
}

void schedule_run::afterEvent(std::size_t router)
{
    recordLimits(router);
    const fleet_coordinator& fleet = m_fleet.core(router).fleet();
    const revision applied = fleet.current().at;
    if (applied < m_highest[router])
        reportViolation("P10: router " + std::to_string(router) + " reverted");
    m_highest[router] = applied;
    const time_point now = m_fleet.now();
    if (fleet.accepted() > (m_accepted.empty() ? revision() : m_accepted.back().second))
        m_accepted.emplace_back(now, fleet.accepted());
    if (!fleet.isFresh(now))
        return;
    // A fresh router has applied every revision that was accepted before its
    // freshness window began.
    for (auto each = m_accepted.rbegin(); each != m_accepted.rend(); ++each) {
        if (now - each->first <= freshnessWindow)
            continue;
        if (applied < each->second)
            reportViolation("P10: router " + std::to_string(router) + " is fresh without an accepted revision");
        return;
    }
}

void schedule_run::recordLimits(std::size_t router)
{
    const time_point now = m_fleet.now();
    std::map<server_id, std::uint32_t> stated;
    if (m_fleet.isUp(router)) {
        for (const auto& figures : m_fleet.core(router).owner().serverFigures())
            stated[figures.server] = figures.limit;
    }
    for (const auto& [server, ignored] : m_fleet.servers) {
        auto& byOwner = m_limits[server];
        byOwner.resize(routerCount);
        std::vector<reported_limit>& history = byOwner[router];
        const auto found = stated.find(server);
        const std::uint32_t limit = found == stated.end() ? 0 : found->second;
        if (history.empty() || history.back().limit != limit)
            history.push_back({ now, limit });
    }
}

std::uint32_t schedule_run::limitInForce(const server_id& server) const
{
    // The newest grant in use was issued within the last grant lifetime. At that
    // time the owner counted all other grants in use against its limit.
    const time_point windowFrom = m_fleet.now() - grantLifetime - pathDelay;
    std::uint32_t highest = 0;
    for (const std::vector<reported_limit>& history : m_limits.at(server)) {
        for (auto each = history.rbegin(); each != history.rend(); ++each) {
            highest = std::max(highest, each->limit);
            if (each->from <= windowFrom)
                break;
        }
    }
    return highest;
}

void schedule_run::onExecution(const observed_execution& seen)
{
    const fake_server& server = m_fleet.servers.at(seen.server);
    const std::uint32_t limit = limitInForce(seen.server);
    if (server.inFlight > limit)
        reportViolation("P3: " + seen.server.value() + " runs " + std::to_string(server.inFlight) + " requests under a limit of " + std::to_string(limit));
    const auto cold = m_coldSince.find(seen.server);
    const bool isColdKnown = cold == m_coldSince.end() || seen.at > cold->second + coldDetection;
    if (server.isCold() && isColdKnown && server.inFlight > server.coldLimit)
        reportViolation("P3: " + seen.server.value() + " is cold and runs " + std::to_string(server.inFlight) + " requests");
    checkWithdrawn(seen, m_outages, "P4");
    checkWithdrawn(seen, m_leaves, "P8");
    const observed_request& request = m_fleet.requests[seen.record];
    if (!request.key.empty() && ++m_keyExecutions[m_workspaces[seen.record] + "/" + request.key] > 1)
        reportViolation("P7: the order with key " + request.key + " ran twice");
    if (request.refused && refusalOf(*request.refused).ran == run_state::notRun)
        reportViolation("P6: request " + std::to_string(seen.record) + " ran after it was refused as not run");
}

void schedule_run::checkWithdrawn(const observed_execution& seen, std::map<server_id, withdrawal>& withdrawals, const char* guarantee)
{
    const auto found = withdrawals.find(seen.server);
    if (found == withdrawals.end() || found->second.endedAt)
        return;
    withdrawal& current = found->second;
    for (const auto& [at, accepted] : m_accepted) {
        if (!current.acceptedAt && accepted >= current.at)
            current.acceptedAt = at;
    }
    if (current.acceptedAt && seen.at > *current.acceptedAt + withdrawalBound)
        reportViolation(std::string(guarantee) + ": " + seen.server.value() + " got new work after it was withdrawn");
}

void schedule_run::checkRequests()
{
    std::erase_if(m_openRecords, [this](std::size_t record) {
        const observed_request& seen = m_fleet.requests[record];
        if (!seen.endedAt)
            return false;
        if (seen.refused && seen.executions > 0 && refusalOf(*seen.refused).ran == run_state::notRun)
            reportViolation("P6: request " + std::to_string(record) + " ran and was refused as " + std::string(refusalOf(*seen.refused).name));
        checkBody(record);
        return true;
    });
}

void schedule_run::checkBody(std::size_t record)
{
    const observed_request& seen = m_fleet.requests[record];
    if (seen.isAnswered && seen.body != answerTo(record))
        reportViolation("P5: request " + std::to_string(record) + " was answered with '" + seen.body + "'");
    if (!seen.isReplayed)
        return;
    const bool isOfKey = std::any_of(m_orders.begin(), m_orders.end(), [&](std::size_t earlier) {
        return m_workspaces[earlier] == m_workspaces[record] && m_fleet.requests[earlier].key == seen.key && seen.body == answerTo(earlier);
    });
    if (!isOfKey)
        reportViolation("P5: request " + std::to_string(record) + " was given the recorded answer '" + seen.body + "'");
}

void schedule_run::checkConfiguration()
{
    if (!m_fleet.table.isUp)
        m_reachesTableSince.fill(m_fleet.now());
    const time_point now = m_fleet.now();
    for (std::size_t router = 0; router < routerCount; ++router) {
        if (!isRunning(router) || now - m_reachesTableSince[router] < configurationBound)
            continue;
        for (const auto& [at, accepted] : m_accepted) {
            if (now - at > configurationBound && m_fleet.core(router).fleet().current().at < accepted)
                reportViolation("P10: router " + std::to_string(router) + " lacks a revision that was accepted 5 s ago");
        }
    }
}

void schedule_run::checkEnd()
{
    for (std::size_t record = 0; record < m_fleet.requests.size(); ++record) {
        const observed_request& seen = m_fleet.requests[record];
        checkBody(record);
        if (seen.isOrder && seen.executions > 1)
            reportViolation("P7: order " + std::to_string(record) + " ran twice");
    }
    const document& first = m_fleet.core(0).fleet().current();
    for (std::size_t router = 0; router < routerCount; ++router) {
        const document& held = m_fleet.core(router).fleet().current();
        if (held.at != m_fleet.table.at)
            reportViolation("P10: router " + std::to_string(router) + " is not at the table's revision at the end");
        if (!(held == first))
            reportViolation("P10: router " + std::to_string(router) + " holds another document at the same revision");
    }
}

/// Generates one step. Requests and short delays come first, because generated
/// values shrink towards the start of their range.
rc::Gen<schedule_step> anyStep()
{
    const auto kinds = rc::gen::map(rc::gen::inRange(0, static_cast<int>(stepNames.size())), [](int kind) { return static_cast<step_kind>(kind); });
    return rc::gen::map(rc::gen::tuple(kinds, rc::gen::inRange<std::size_t>(0, 8), rc::gen::inRange<std::size_t>(0, 8), rc::gen::inRange(0, 2500)),
        [](const auto& drawn) { return schedule_step { std::get<0>(drawn), std::get<1>(drawn), std::get<2>(drawn), std::get<3>(drawn) }; });
}

}

// Guards against a guarantee that holds under each single failure and is violated
// when several failures and changes coincide.
TEST_CASE("drawn schedules of requests and faults keep the promises")
{
    rc::detail::TestParams params = rc::detail::configuration().testParams;
    const char* const set = std::getenv("RC_PARAMS");
    const std::string_view given = set ? set : "";
    if (given.find("seed=") == std::string_view::npos)
        params.seed = defaultSeed;
    if (given.find("max_success=") == std::string_view::npos)
        params.maxSuccess = defaultSchedules;
    std::cerr << "RC_PARAMS=\"seed=" << params.seed << " max_success=" << params.maxSuccess << "\"\n";
    const auto property = [] {
        const auto steps = *rc::gen::scale(0.4, rc::gen::container<std::vector<schedule_step>>(anyStep()));
        const auto fleetSeed = *rc::gen::inRange<std::uint64_t>(1, 1000);
        const auto violation = schedule_run(fleetSeed).execute(steps);
        if (violation)
            RC_FAIL(*violation);
    };
    const auto outcome = rc::detail::checkTestable(property, rc::detail::TestMetadata { "schedules", "schedules" }, params);
    rc::detail::printResultMessage(outcome, std::cerr);
    std::cerr << '\n';
    CHECK(outcome.template is<rc::detail::SuccessResult>());
}

// Guards against an owner that mistakes a restarted router for its earlier process
// and ignores the new process's reports of started grants. This happened when the
// router restarted while its shard changed its owner.
TEST_CASE("a router that restarts during a takeover is not taken for its earlier process")
{
    using kind = step_kind;
    CHECK(schedule_run(24).execute({ { kind::modelReads, 0, 2, 281 }, { kind::restart, 3, 2, 318 }, { kind::kill, 0, 3, 71 } }).value_or("") == "");
    CHECK(schedule_run(40).execute({ { kind::modelReads, 0, 3, 265 }, { kind::restart, 3, 1, 504 }, { kind::restart, 0, 0, 543 } }).value_or("") == "");
    CHECK(schedule_run(31).execute({ { kind::modelReads, 0, 2, 207 }, { kind::restart, 3, 3, 147 }, { kind::restart, 0, 3, 184 } }).value_or("") == "");
}
