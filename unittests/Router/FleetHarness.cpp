#include "FleetHarness.h"

#include <utility>

#include <xxhash.h>

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    constexpr duration tableDelay = 1ms;
    constexpr duration serverDelay = 500us;
    constexpr duration lateResponseDelay = 15ms; ///< Delay of response bytes that arrive after a reset.

}

result<revision> fake_table::commit(const commit_rows& asked)
{
    for (const document_condition& condition : asked.conditions) {
        const auto found = rows.find(condition.key);
        const revision present = found != rows.end() && found->second.value ? found->second.changedAt : revision();
        if (present != condition.at)
            return makeError(error_kind::conflict, "row has changed; read it again");
    }
    at = revision(at.value() + 1);
    for (row_change change : asked.writes) {
        change.changedAt = at;
        rows[change.key] = change;
    }
    return at;
}

claim_write_answer fake_table::write(const write_claims& asked)
{
    claim_write_answer answer { asked.batch, claim_write_result::committed, {}, {} };
    for (const claim_write& each : asked.writes) {
        const auto found = claims.find(each.row.key);
        const revision present = found == claims.end() ? revision() : found->second.changedAt;
        if (present != each.expected)
            answer.result = claim_write_result::conflict;
        if (found != claims.end())
            answer.present.push_back(found->second);
    }
    if (answer.result == claim_write_result::conflict)
        return answer;
    answer.present.clear();
    claimsAt = revision(claimsAt.value() + 1);
    answer.at = claimsAt;
    for (const claim_write& each : asked.writes) {
        claim_row row = each.row;
        row.changedAt = claimsAt;
        if (each.isDelete)
            claims.erase(row.key);
        else
            claims[row.key] = row;
    }
    return answer;
}

fleet_harness::fleet_harness(std::size_t routers, std::uint64_t seed)
    : m_random(seed)
    , m_seed(seed)
{
    for (std::size_t i = 0; i < routers; ++i) {
        node made;
        made.self.vm = vm_id("entry-" + std::to_string(i));
        made.self.dataCentre = data_centre_id("dc-" + std::to_string(i % 4));
        made.self.peerLocation = { "127.0.0.1", static_cast<std::uint16_t>(9000 + i) };
        m_nodes.push_back(std::move(made));
    }
}

fleet_harness::~fleet_harness() = default;

void fleet_harness::at(time_point when, std::function<void()> action)
{
    m_events.push({ when, ++m_eventCount, std::move(action) });
}

void fleet_harness::runOnNode(std::size_t router, std::uint64_t generation, const std::function<void()>& action)
{
    node& target = m_nodes[router];
    if (!target.isUp || target.generation != generation)
        return;
    if (target.isFrozen) {
        target.deferredActions.push_back([this, router, generation, action] { runOnNode(router, generation, action); });
        return;
    }
    action();
}

void fleet_harness::deliver(std::size_t router, const core_event& event)
{
    for (const router_action& action : event(*m_nodes[router].core, m_now))
        std::visit([&](const auto& step) { perform(router, step); }, action);
    armTick(router);
    if (afterEvent)
        afterEvent(router);
}

void fleet_harness::deliverAfter(std::size_t router, duration delay, core_event event)
{
    at(m_now + delay, [this, router, generation = m_nodes[router].generation, event = std::move(event)] {
        runOnNode(router, generation, [this, router, event] { deliver(router, event); });
    });
}

void fleet_harness::start(std::size_t router)
{
    node& started = m_nodes[router];
    started.self.start = incarnation(1000 + 100 * ++m_incarnations);
    started.isUp = true;
    started.isFrozen = false;
    started.deferredActions.clear();
    started.tickAt.reset();
    ++started.generation;
    router_identity identity { started.self, {} };
    for (const node& other : m_nodes) {
        if (other.self.vm != started.self.vm)
            identity.seeds.push_back(other.self.peerLocation);
    }
    lifecycle_limits limits;
    limits.queueTimeout = 20s;
    started.core = std::make_unique<router_core>(identity, limits, m_seed * 31 + m_incarnations);
    openLinks(router);
    deliver(router, [](router_core& core, time_point now) { return core.onTick(now); });
}

void fleet_harness::openLinks(std::size_t router)
{
    for (std::size_t other = 0; other < m_nodes.size(); ++other) {
        if (other != router && m_nodes[other].isUp && isConnected(router, other))
            openLink(router, other);
    }
}

void fleet_harness::openLink(std::size_t router, std::size_t other)
{
    const member_ref left { m_nodes[router].self.vm, m_nodes[router].self.start };
    const member_ref right { m_nodes[other].self.vm, m_nodes[other].self.start };
    const endpoint leftAt = m_nodes[router].self.peerLocation;
    const endpoint rightAt = m_nodes[other].self.peerLocation;
    deliverAfter(router, messageDelay, [right, rightAt](router_core& core, time_point now) { return core.onLinkOpened(now, right, rightAt); });
    deliverAfter(other, messageDelay, [left, leftAt](router_core& core, time_point now) { return core.onLinkOpened(now, left, leftAt); });
}

void fleet_harness::armTick(std::size_t router)
{
    node& armed = m_nodes[router];
    const time_point due = std::max(armed.core->nextDeadline(m_now), m_now + 200us);
    if (armed.tickAt && *armed.tickAt <= due)
        return;
    armed.tickAt = due;
    at(due, [this, router, due, generation = armed.generation] {
        runOnNode(router, generation, [this, router, due] {
            if (m_nodes[router].tickAt != due)
                return;
            m_nodes[router].tickAt.reset();
            deliver(router, [](router_core& core, time_point now) { return core.onTick(now); });
        });
    });
}

void fleet_harness::run(duration length)
{
    const time_point end = m_now + length;
    while (!m_events.empty() && m_events.top().at <= end) {
        const timed_event next = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, next.at);
        next.action();
    }
    m_now = end;
}

void fleet_harness::startAll()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        start(i);
    run(12s);
}

revision fleet_harness::change(std::size_t router, const std::vector<document_value>& values)
{
    commit_rows asked;
    for (const document_value& value : values)
        asked.writes.push_back({ rowKey(value), value, {} });
    const revision committed = *table.commit(asked);
    if (m_nodes[router].isUp)
        deliverAfter(router, tableDelay, [committed](router_core& core, time_point now) { return core.onChangeCommitted(now, committed); });
    return committed;
}

result<revision> fleet_harness::commit(std::size_t router, const commit_rows& asked)
{
    if (!m_nodes[router].isUp || m_nodes[router].isFrozen || !reachesTable(router))
        return makeError(error_kind::unavailable, "router does not reach the table; retry");
    const auto committed = table.commit(asked);
    if (committed && !table.losesAnswers)
        deliverAfter(router, tableDelay, [at = *committed](router_core& core, time_point now) { return core.onChangeCommitted(now, at); });
    return committed;
}

std::size_t fleet_harness::send(std::size_t router, const std::string& workspace, const std::string& method,
    const std::string& path, const std::string& key, std::uint64_t content, const std::string& model)
{
    const std::size_t record = requests.size();
    requests.push_back({ router, key, m_now, {}, {}, false, false, false, !isIdempotentMethod(method), 0, {} });
    if (!m_nodes[router].isUp || m_nodes[router].isFrozen) {
        requests[record].isAborted = true;
        requests[record].endedAt = m_now;
        return record;
    }
    incoming_request received;
    received.method = method;
    received.path = path;
    received.keyDigest = keyDigestOf(workspace);
    received.idempotencyKeyHash = key;
    received.contentHash = content;
    if (!model.empty())
        received.model = model;
    deliver(router, [&](router_core& core, time_point now) {
        request_number number;
        router_actions actions = core.onRequest(now, received, number);
        m_records[{ router, number }] = record;
        return actions;
    });
    return record;
}

void fleet_harness::kill(std::size_t router)
{
    node& killed = m_nodes[router];
    killed.isUp = false;
    killed.core.reset();
    killed.deferredActions.clear();
    for (auto& [key, attempt] : m_attempts) {
        if (key.first == router)
            attempt->isOpen = false;
    }
    std::erase_if(m_attempts, [router](const auto& entry) { return entry.first.first == router; });
    for (const auto& [key, record] : m_records) {
        if (key.first != router || requests[record].endedAt)
            continue;
        requests[record].isAborted = true;
        requests[record].endedAt = m_now;
    }
    std::erase_if(m_records, [router](const auto& entry) { return entry.first.first == router; });
}

void fleet_harness::drain(std::size_t router)
{
    deliver(router, [](router_core& core, time_point now) { return core.drain(now); });
}

void fleet_harness::restart(std::size_t router)
{
    if (m_nodes[router].isUp)
        kill(router);
    start(router);
}

void fleet_harness::thaw(std::size_t router)
{
    node& thawed = m_nodes[router];
    thawed.isFrozen = false;
    std::vector<std::function<void()>> held;
    std::swap(held, thawed.deferredActions);
    for (const auto& action : held)
        action();
}

void fleet_harness::cut(std::size_t left, std::size_t right, bool isCut)
{
    if (isCut) {
        m_cuts.insert({ std::min(left, right), std::max(left, right) });
        return;
    }
    if (m_cuts.erase({ std::min(left, right), std::max(left, right) }) > 0 && m_nodes[left].isUp && m_nodes[right].isUp)
        openLinks(left);
}

bool fleet_harness::isConnected(std::size_t from, std::size_t to) const
{
    return !m_cuts.contains({ std::min(from, to), std::max(from, to) });
}

std::optional<std::size_t> fleet_harness::find(const vm_id& vm) const
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i].self.vm == vm)
            return i;
    }
    return std::nullopt;
}

std::size_t fleet_harness::ownerOf(std::size_t router, const shard_id& shard)
{
    const auto* found = m_nodes[router].core->directory().shards().find(shard);
    return found ? find(found->owner.vm).value_or(m_nodes.size()) : m_nodes.size();
}

void fleet_harness::perform(std::size_t router, const send_message& step)
{
    const auto target = find(step.to);
    if (!target || !m_nodes[*target].isUp || !isConnected(router, *target))
        return;
    const bool isLost = lossRate > 0 && static_cast<double>(m_random.index(10000)) < lossRate * 10000;
    if (isLost) {
        openLink(router, *target);
        return;
    }
    time_point& arrival = m_lastArrivals[{ router, *target }];
    arrival = std::max(arrival, m_now + messageDelay);
    const member_ref from { m_nodes[router].self.vm, m_nodes[router].self.start };
    at(arrival, [this, router, target = *target, generation = m_nodes[*target].generation, from, content = step.content] {
        if (!isConnected(router, target))
            return;
        runOnNode(target, generation, [this, target, from, content] {
            deliver(target, [&](router_core& core, time_point now) { return core.onMessage(now, from, content); });
        });
    });
}

void fleet_harness::perform(std::size_t router, const poll_revision& step)
{
    at(m_now + tableDelay, [this, router, generation = m_nodes[router].generation, sentAt = step.sentAt] {
        const result<revision> answer = reachesTable(router) ? result<revision>(table.at) : makeError(error_kind::unavailable, "table is down; retry");
        const duration wait = answer ? tableDelay : duration(1s);
        at(m_now + wait, [this, router, generation, answer, sentAt] {
            runOnNode(router, generation, [=, this] {
                deliver(router, [&](router_core& core, time_point now) { return core.onRevisionPolled(now, answer, sentAt); });
            });
        });
    });
}

void fleet_harness::perform(std::size_t router, const fetch_rows& step)
{
    at(m_now + tableDelay, [this, router, generation = m_nodes[router].generation, since = step.since] {
        if (!reachesTable(router))
            return;
        config_update update { since, table.at, {} };
        for (const auto& [key, row] : table.rows) {
            if (row.changedAt > since && (row.value || since != revision()))
                update.rows.push_back(row);
        }
        at(m_now + tableDelay, [this, router, generation, update] {
            runOnNode(router, generation, [=, this] {
                deliver(router, [&](router_core& core, time_point now) { return core.onRowsFetched(now, update); });
            });
        });
    });
}

void fleet_harness::perform(std::size_t router, const commit_rows& step)
{
    at(m_now + tableDelay, [this, router, generation = m_nodes[router].generation, step] {
        result<revision> answer = makeError(error_kind::unavailable, "table is down; retry");
        if (reachesTable(router))
            answer = table.commit(step);
        if (answer && table.losesAnswers)
            answer = makeError(error_kind::outcomeUnknown, "answer lost; read back");
        at(m_now + tableDelay, [this, router, generation, transactionNumber = step.transactionNumber, answer] {
            runOnNode(router, generation, [=, this] {
                deliver(router, [&](router_core& core, time_point now) { return core.onCommitted(now, transactionNumber, answer); });
            });
        });
    });
}

void fleet_harness::perform(std::size_t router, const write_claims& step)
{
    at(m_now + tableDelay, [this, router, generation = m_nodes[router].generation, step] {
        claim_write_answer answer { step.batch, claim_write_result::unavailable, {}, {} };
        if (reachesTable(router))
            answer = table.write(step);
        if (reachesTable(router) && table.losesAnswers)
            answer = { step.batch, claim_write_result::unknown, {}, {} };
        at(m_now + tableDelay, [this, router, generation, answer] {
            runOnNode(router, generation, [=, this] {
                deliver(router, [&](router_core& core, time_point now) { return core.onClaimsWritten(now, answer); });
            });
        });
    });
}

void fleet_harness::perform(std::size_t router, const read_claims& step)
{
    at(m_now + tableDelay, [this, router, generation = m_nodes[router].generation, step] {
        claim_read_answer answer { step.batch, reachesTable(router), {} };
        for (const claim_key& key : step.keys) {
            if (const auto found = table.claims.find(key); found != table.claims.end() && answer.isAvailable)
                answer.present.push_back(found->second);
        }
        at(m_now + tableDelay, [this, router, generation, answer] {
            runOnNode(router, generation, [=, this] {
                deliver(router, [&](router_core& core, time_point now) { return core.onClaimsRead(now, answer); });
            });
        });
    });
}

void fleet_harness::perform(std::size_t router, const store_body& step)
{
    deliverAfter(router, tableDelay, [request = step.request](router_core& core, time_point now) { return core.onBodyStored(now, request, true); });
}

void fleet_harness::perform(std::size_t router, const poll_load& step)
{
    const fake_server& polled = servers[step.server];
    if (!polled.isUp) {
        deliverAfter(router, serverDelay, [server = step.server](router_core& core, time_point now) { return core.onLoadFailed(now, server); });
        return;
    }
    const server_load load { step.server, polled.start, polled.inFlight, polled.isCold(), m_now, polled.models };
    deliverAfter(router, serverDelay, [load](router_core& core, time_point now) { return core.onLoadReport(now, load); });
}

void fleet_harness::perform(std::size_t, const placement_decision& step)
{
    placements.emplace_back(m_now, step);
}

void fleet_harness::perform(std::size_t, const ownership_decision& step)
{
    if (step.isOwner && step.shard.value().starts_with("model"))
        grantsFrom[step.token] = step.grantsFrom;
}

void fleet_harness::perform(std::size_t router, const read_models& step)
{
    at(m_now + serverDelay, [this, router, generation = m_nodes[router].generation, server = step.server] {
        const fake_server& read = servers[server];
        const engine_state state { server, read.models, read.loading, m_now };
        if (!read.isUp)
            return;
        at(m_now + serverDelay, [this, router, generation, state] {
            runOnNode(router, generation, [=, this] {
                deliver(router, [&](router_core& core, time_point now) { return core.onModelsRead(now, state); });
            });
        });
    });
}

void fleet_harness::perform(std::size_t router, const order_server& step)
{
    const auto generation = m_nodes[router].generation;
    const auto answer = [this, router, generation, order = step.order](duration delay, order_outcome outcome) {
        at(m_now + delay, [this, router, generation, order, outcome] {
            runOnNode(router, generation, [=, this] {
                deliver(router, [&](router_core& core, time_point now) { return core.onOrderAnswered(now, order.server, order.number, outcome); });
            });
        });
    };
    at(m_now + serverDelay, [this, router, generation, order = step.order, answer] {
        runOnNode(router, generation, [=, this] {
            if (!m_nodes[router].core->maySendOrder(m_now, order.server, order.number) || !servers[order.server].isUp) {
                answer(0ms, order_outcome::failed);
                return;
            }
            at(m_now + serverDelay, [=, this] {
                const order_outcome outcome = applyOrder(router, order);
                const bool isLost = servers[order.server].losesOrderAnswers;
                answer(isLost ? duration(1s) : serverDelay, isLost ? order_outcome::unknown : outcome);
            });
        });
    });
}

order_outcome fleet_harness::applyOrder(std::size_t router, const placement_order& order)
{
    fake_server& server = servers[order.server];
    const bool isRefused = server.isFenced && order.token < server.highestToken;
    orders.push_back({ m_now, router, order, isRefused });
    if (isRefused)
        return order_outcome::refusedOldToken;
    server.highestToken = std::max(server.highestToken, order.token);
    if (order.action == placement_action::unload) {
        server.models.erase(order.model);
        return order_outcome::accepted;
    }
    server.loading.insert(order.model);
    at(m_now + modelLoadTime, [this, order, start = server.start] {
        fake_server& loaded = servers[order.server];
        if (loaded.start == start && loaded.loading.erase(order.model) > 0)
            loaded.models.insert(order.model);
    });
    return order_outcome::accepted;
}

void fleet_harness::perform(std::size_t router, const start_attempt& step)
{
    const auto attempt = std::make_shared<server_attempt>();
    attempt->router = router;
    attempt->generation = m_nodes[router].generation;
    attempt->number = step.attempt.attempt;
    attempt->record = m_records.at({ router, step.request });
    attempt->server = step.attempt.server;
    m_attempts[{ router, attempt->number }] = attempt;
    at(m_now + serverDelay, [this, attempt] {
        if (!servers[attempt->server].isUp) {
            finishAttempt(attempt, { attempt_end_kind::notSent, false });
            return;
        }
        attempt->serverStart = servers[attempt->server].start;
        runOnNode(attempt->router, attempt->generation, [this, attempt] {
            if (!attempt->isOpen)
                return;
            bool maySend = false;
            deliver(attempt->router, [&](router_core& core, time_point now) { return core.onReadyToSend(now, attempt->number, maySend); });
            if (maySend)
                at(m_now + serverDelay, [this, attempt] { execute(attempt); });
            else
                finishAttempt(attempt, { attempt_end_kind::notSent, false });
        });
    });
}

void fleet_harness::execute(const std::shared_ptr<server_attempt>& attempt)
{
    fake_server& server = servers[attempt->server];
    if (!server.isUp || server.start != attempt->serverStart) {
        finishAttempt(attempt, { attempt_end_kind::resetAfterSent, true });
        return;
    }
    ++requests[attempt->record].executions;
    ++server.executions;
    ++server.inFlight;
    executions.push_back({ m_now, attempt->server, attempt->record, server.inFlight });
    server.mostInFlight = std::max(server.mostInFlight, server.inFlight);
    if (server.isCold())
        server.mostInFlightCold = std::max(server.mostInFlightCold, server.inFlight);
    if (onExecution)
        onExecution(executions.back());
    if (crashesServer && crashesServer(attempt->record, attempt->server)) {
        crash(attempt->server);
        return;
    }
    at(m_now + server.service, [this, attempt, start = server.start] {
        fake_server& served = servers[attempt->server];
        if (served.start != start)
            return;
        --served.inFlight;
        ++served.finishedSinceCold;
        at(m_now + serverDelay, [this, attempt] {
            deliverAnswer(attempt);
            finishAttempt(attempt, { attempt_end_kind::complete, true });
        });
    });
}

void fleet_harness::deliverAnswer(const std::shared_ptr<server_attempt>& attempt)
{
    // Also deliver to an attempt that has ended, whose bytes the core must drop.
    runOnNode(attempt->router, attempt->generation, [this, attempt] {
        deliver(attempt->router, [&](router_core& core, time_point now) { return core.onHead(now, attempt->number, { { 200, false, {} }, {} }); });
        m_arrivingBytes = answerTo(attempt->record);
        deliver(attempt->router, [&](router_core& core, time_point now) { return core.onBytes(now, attempt->number, m_arrivingBytes); });
    });
}

void fleet_harness::finishAttempt(const std::shared_ptr<server_attempt>& attempt, attempt_end end)
{
    runOnNode(attempt->router, attempt->generation, [this, attempt, end] {
        if (!attempt->isOpen)
            return;
        attempt->isOpen = false;
        m_attempts.erase({ attempt->router, attempt->number });
        deliver(attempt->router, [&](router_core& core, time_point now) { return core.onAttemptEnded(now, attempt->number, end); });
    });
}

void fleet_harness::crash(const server_id& server)
{
    fake_server& crashed = servers[server];
    crashed.start = incarnation(crashed.start.value() + 1);
    crashed.inFlight = 0;
    crashed.finishedSinceCold = 0;
    crashed.models.clear();
    crashed.loading.clear();
    std::vector<std::shared_ptr<server_attempt>> brokenAttempts;
    for (const auto& [key, attempt] : m_attempts) {
        if (attempt->server == server && attempt->isOpen)
            brokenAttempts.push_back(attempt);
    }
    for (const auto& attempt : brokenAttempts) {
        at(m_now + serverDelay, [this, attempt] { finishAttempt(attempt, { attempt_end_kind::resetAfterSent, true }); });
        at(m_now + lateResponseDelay, [this, attempt] { deliverAnswer(attempt); });
    }
}

void fleet_harness::perform(std::size_t router, const request_step& step)
{
    const auto found = m_records.find({ router, step.request });
    // A refusal can arrive before the test knows the request's number.
    const std::size_t record = found == m_records.end() ? requests.size() - 1 : found->second;
    observed_request& seen = requests[record];
    if (const auto* refused = std::get_if<refuse_request>(&step.step))
        seen.refused = refused->kind;
    seen.isAnswered = seen.isAnswered || std::holds_alternative<end_answer>(step.step);
    seen.isAborted = seen.isAborted || std::holds_alternative<abort_answer>(step.step);
    seen.isReplayed = seen.isReplayed || std::holds_alternative<replay_outcome>(step.step);
    if (std::holds_alternative<forward_bytes>(step.step))
        seen.body += m_arrivingBytes;
    if (const auto* replayed = std::get_if<replay_outcome>(&step.step))
        seen.body = replayed->outcome.body;
    if (const auto* cancelled = std::get_if<cancel_attempt>(&step.step)) {
        if (const auto attempt = m_attempts.find({ router, cancelled->attempt }); attempt != m_attempts.end())
            attempt->second->isOpen = false;
    }
    const bool isEnd = seen.refused || seen.isAnswered || seen.isAborted || seen.isReplayed;
    if (isEnd && !seen.endedAt)
        seen.endedAt = m_now;
}

void fleet_harness::perform(std::size_t router, const document_applied& step)
{
    appliedDocuments.push_back({ m_now, router, m_nodes[router].self.start, step.at });
}

void fleet_harness::perform(std::size_t, const limit_decision& step)
{
    reportedLimits.push_back({ m_now, step.server, step.limit });
}

void fleet_harness::perform(std::size_t router, const change_incarnation& step)
{
    m_nodes[router].self.start = step.start;
    openLinks(router);
}

std::string answerTo(std::size_t record)
{
    return "answer to " + std::to_string(record) + "\n";
}

std::string keyDigestOf(const std::string& workspace)
{
    return std::string(64 - workspace.size(), '0') + workspace;
}

std::vector<document_value> smallDocument(std::size_t dataCentres, std::size_t workspaces)
{
    std::vector<document_value> values;
    pool model { pool_id("model"), {}, pool_kind::model, "/v1", 10 };
    pool portal { pool_id("portal"), {}, pool_kind::service, "/portal", 1 };
    values.emplace_back(model);
    values.emplace_back(portal);
    for (std::size_t i = 0; i < dataCentres; ++i) {
        const std::string name = "dc-" + std::to_string(i);
        values.emplace_back(data_centre { data_centre_id(name), { { "site", name } } });
        for (const pool_id& served : { model.id, portal.id }) {
            backend_server server;
            server.id = server_id(served.value() + "-" + std::to_string(i));
            server.pool = served;
            server.dataCentre = data_centre_id(name);
            server.location = { "127.0.0.1", static_cast<std::uint16_t>(7000 + i) };
            server.floor = 1;
            server.ceiling = 8;
            values.emplace_back(server);
        }
    }
    for (std::size_t i = 0; i < workspaces; ++i) {
        workspace added;
        added.id = workspace_id("ws-" + std::to_string(i));
        added.keyDigest = keyDigestOf(added.id.value());
        values.emplace_back(added);
    }
    values.emplace_back(access_rule { rule_id("all"), selector(), selector() });
    return values;
}

}
