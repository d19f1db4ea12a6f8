#include "pimentoladder/Router/RequestCoordinator.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include <xxhash.h>

namespace pimentoladder {

namespace {

    // A larger response to a request with an idempotency key is not recorded. A
    // repeat of the request is told that the outcome is unknown.
    constexpr std::size_t maxRecordedBodyBytes = 4UL * 1024 * 1024;

    template <typename... Handlers>
    struct overloaded : Handlers... {
        using Handlers::operator()...;
    };
    template <typename... Handlers>
    overloaded(Handlers...) -> overloaded<Handlers...>;

    std::optional<cost_units> parseCost(const std::string& text)
    {
        cost_units value = 0;
        const char* end = text.data() + text.size();
        const auto [stop, code] = std::from_chars(text.data(), end, value);
        if (code != std::errc() || stop != end || !std::isfinite(value) || value <= 0)
            return std::nullopt;
        return value;
    }

    constexpr std::size_t maxModelNameLength = 128;

    bool isModelName(const std::string& text)
    {
        const auto isPlain = [](char c) { return c > ' ' && c <= '~'; };
        return !text.empty() && text.size() <= maxModelNameLength && std::ranges::all_of(text, isPlain);
    }

    fingerprint fingerprintOf(const workspace_id& workspaceId, const incoming_request& received)
    {
        std::string text = workspaceId.value();
        text.append(1, '\0').append(received.method).append(1, '\0').append(received.path);
        if (received.model)
            text.append(1, '\0').append(*received.model);
        const std::uint64_t hash = XXH3_64bits_withSeed(text.data(), text.size(), received.contentHash);
        return fingerprint(hash == 0 ? 1 : hash);
    }

}

/// A request with the state that its lifecycle does not hold.
struct request_coordinator::tracked_request {
    tracked_request(request_record record, lifecycle_limits limits, retry_budget& budget, attempt_counter& attempts)
        : lifecycle(std::move(record), limits, budget, attempts)
    {
    }

    request_lifecycle lifecycle;
    const cost_meter* meter = nullptr;
    cost_inputs costInputs;
    claim_key claim;
    std::uint64_t prefixHash = 0;
    model_id model;
    cost_units cost = 0;
    bool isCounted = false; ///< Counted in the workspace's requests in progress.
    bool isWaiting = false; ///< Counted in the workspace's waiting requests.
    std::optional<server_id> attemptServer;
    std::optional<time_point> deadline;
    std::optional<held_grant> grant;
    recorded_outcome answer; ///< Response to record in the claim.
    bool isAnswerTooLarge = false;
};

request_coordinator::request_coordinator(const fleet_coordinator& fleet, const shard_directory& directory,
    requester_role& requester, lifecycle_limits limits)
    : m_fleet(fleet)
    , m_directory(directory)
    , m_requester(requester)
    , m_limits(limits)
    , m_claims(fleet.self(), [&fleet](const member_ref& router) { return fleet.mayHaveRequestsInProgress(router); })
{
}

request_coordinator::~request_coordinator() = default;

std::optional<refusal_kind> request_coordinator::check(const incoming_request& received, const workspace* callerWorkspace, const pool* target, time_point now) const
{
    if (m_isDraining)
        return refusal_kind::draining;
    if (!m_fleet.isFresh(now))
        return refusal_kind::notFresh;
    if (!callerWorkspace)
        return refusal_kind::unauthenticated;
    if (!target)
        return refusal_kind::noPool;
    if (received.costHint && !parseCost(*received.costHint))
        return refusal_kind::invalidCostHint;
    if (received.model && !isModelName(*received.model))
        return refusal_kind::invalidModel;
    if (!m_directory.access().hasReachableServer(callerWorkspace->id, target->id))
        return refusal_kind::noEligibleServer;
    const auto inProgress = m_inProgress.find(callerWorkspace->id);
    if (inProgress != m_inProgress.end() && inProgress->second >= callerWorkspace->connectionLimit)
        return refusal_kind::connectionLimit;
    const auto waiting = m_waiting.find(callerWorkspace->id);
    if (waiting != m_waiting.end() && waiting->second >= callerWorkspace->queueLimit)
        return refusal_kind::queueFull;
    if (m_quarantine.decisionFor(now, fingerprintOf(callerWorkspace->id, received)) == quarantine_decision::quarantined)
        return refusal_kind::quarantined;
    return std::nullopt;
}

request_number request_coordinator::onRequest(const incoming_request& received, time_point now, router_actions& out)
{
    const request_number number(++m_lastRequest);
    const workspace* callerWorkspace = m_directory.access().workspaceByKeyDigest(received.keyDigest);
    const pool* target = m_directory.access().poolForPath(received.path);
    if (const auto refused = check(received, callerWorkspace, target, now)) {
        out.push_back(request_step { number, refuse_request { *refused } });
        return number;
    }
    request_record record;
    record.number = number;
    record.workspace = callerWorkspace->id;
    record.pool = target->id;
    record.isIdempotent = isIdempotentMethod(received.method);
    record.hasClaim = !record.isIdempotent && !received.idempotencyKeyHash.empty();
    record.canResume = target->kind == pool_kind::model;
    record.costHint = received.costHint ? *parseCost(*received.costHint) : target->defaultCost;
    record.requestFingerprint = fingerprintOf(callerWorkspace->id, received);
    record.receivedAt = now;

    const auto request = std::make_shared<tracked_request>(record, m_limits, m_retryBudget, m_attempts);
    request->meter = &costMeterFor(target->kind);
    request->costInputs = { received.bodyBytes, target->defaultCost };
    request->claim = { callerWorkspace->id, received.idempotencyKeyHash };
    request->prefixHash = target->kind == pool_kind::model ? received.prefixHash : 0;
    if (received.model && target->kind == pool_kind::model)
        request->model = model_id(*received.model);
    request->isCounted = true;
    ++m_inProgress[callerWorkspace->id];
    m_requests[number] = request;
    perform(request, request->lifecycle.start(now), now, out);
    return number;
}

request_coordinator::tracked request_coordinator::find(request_number request) const
{
    const auto found = m_requests.find(request);
    return found == m_requests.end() ? nullptr : found->second;
}

request_coordinator::tracked request_coordinator::findByAttempt(attempt_number attempt) const
{
    const auto found = m_byAttempt.find(attempt);
    return found == m_byAttempt.end() ? nullptr : find(found->second);
}

void request_coordinator::onCallerDisconnected(request_number request, time_point now, router_actions& out)
{
    if (const tracked found = find(request))
        perform(found, found->lifecycle.callerDisconnected(now), now, out);
}

bool request_coordinator::mayStartSending(attempt_number attempt, time_point now, router_actions& out)
{
    const tracked request = findByAttempt(attempt);
    if (!request)
        return false;
    // Last check before the request is sent: since the grant was taken, this router
    // may have become stale or the server may have left service.
    const bool isServerUsable = request->attemptServer && m_directory.access().isInService(*request->attemptServer);
    if (!m_fleet.isFresh(now) || !isServerUsable) {
        request->lifecycle.forbidSend(attempt);
        return false;
    }
    send_decision decision = request->lifecycle.mayStartSending(now, attempt);
    if (decision.maySend && request->cost == 0)
        request->cost = request->meter->costWhenSent(request->costInputs);
    perform(request, std::move(decision.actions), now, out);
    return decision.maySend;
}

void request_coordinator::onHead(attempt_number attempt, const response_head& head, time_point now, router_actions& out)
{
    const tracked request = findByAttempt(attempt);
    if (!request)
        return;
    if (request->lifecycle.needsAnswerForClaim()) {
        request->answer.status = head.facts.status;
        request->answer.headers = head.headers;
    }
    perform(request, request->lifecycle.headArrived(now, attempt, head.facts), now, out);
}

void request_coordinator::onBytes(attempt_number attempt, std::string_view bytes, time_point now, router_actions& out)
{
    const tracked request = findByAttempt(attempt);
    if (!request)
        return;
    request->cost += request->meter->costOfBytes(bytes);
    m_requester.onProgress(request->lifecycle.record().number, request->cost);
    if (request->lifecycle.needsAnswerForClaim() && !request->isAnswerTooLarge) {
        request->isAnswerTooLarge = request->answer.body.size() + bytes.size() > maxRecordedBodyBytes;
        request->answer.body.append(bytes);
    }
    perform(request, request->lifecycle.bytesArrived(now, attempt, bytes.size()), now, out);
}

void request_coordinator::onAttemptEnded(attempt_number attempt, attempt_end end, time_point now, router_actions& out)
{
    const tracked request = findByAttempt(attempt);
    if (!request)
        return;
    const bool isReset = end.kind == attempt_end_kind::resetAfterSent || end.kind == attempt_end_kind::truncated;
    if (isReset && request->attemptServer)
        suspectCrash(*request->attemptServer, out);
    if (end.kind == attempt_end_kind::complete)
        m_quarantine.clearSuspicions(request->lifecycle.record().requestFingerprint);
    m_byAttempt.erase(attempt);
    perform(request, request->lifecycle.attemptEnded(now, attempt, end), now, out);
}

void request_coordinator::suspectCrash(const server_id& server, router_actions& out)
{
    crash_report report { server, incarnation(), {} };
    for (const auto& [number, other] : m_requests) {
        if (other->attemptServer == server)
            report.running.push_back(other->lifecycle.record().requestFingerprint);
    }
    const shard* shardOfServer = m_directory.shards().shardOf(server);
    if (shardOfServer && !shardOfServer->owner.vm.isEmpty())
        out.push_back(send_message { shardOfServer->owner.vm, std::move(report) });
}

void request_coordinator::onGranted(const granted_request& granted, time_point now, router_actions& out)
{
    const tracked request = find(granted.request);
    if (!request) {
        m_requester.onEnded(granted.request, grant_event::returned, 0, {});
        return;
    }
    if (std::exchange(request->isWaiting, false))
        --m_waiting[request->lifecycle.record().workspace];
    request->grant = granted.grant;
    perform(request, request->lifecycle.granted(now, granted.grant), now, out);
}

void request_coordinator::onUnassigned(const std::vector<request_number>& requests, time_point now, router_actions& out)
{
    for (const request_number number : requests) {
        if (const tracked request = find(number))
            waitForGrant(request, now, out);
    }
}

void request_coordinator::onClaimsWritten(const claim_write_answer& answer, time_point now, router_actions& out)
{
    performClaimActions(m_claims.writeAnswered(now, answer), now, out);
}

void request_coordinator::onClaimsRead(const claim_read_answer& answer, time_point now, router_actions& out)
{
    performClaimActions(m_claims.readAnswered(now, answer), now, out);
}

void request_coordinator::onBodyStored(request_number request, bool isStored, time_point now, router_actions& out)
{
    performClaimActions(m_claims.bodyStored(now, request, isStored), now, out);
}

void request_coordinator::onCrashReport(const crash_report& report, time_point now)
{
    m_quarantine.merge(now, report);
}

void request_coordinator::onTick(time_point now, router_actions& out)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const request_number number = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        const tracked request = find(number);
        if (!request)
            continue;
        request->deadline.reset();
        perform(request, request->lifecycle.deadlinePassed(now), now, out);
    }
    if (const auto due = m_claims.deadline(); due && *due <= now)
        performClaimActions(m_claims.tick(now), now, out);
}

std::optional<time_point> request_coordinator::nextDeadline() const
{
    std::optional<time_point> next = m_claims.deadline();
    if (!m_deadlines.empty() && (!next || m_deadlines.begin()->first < *next))
        next = m_deadlines.begin()->first;
    return next;
}

request_statistics request_coordinator::figures() const
{
    return { m_requests.size(), m_requester.waitingCount() };
}

void request_coordinator::perform(const tracked& request, request_actions steps, time_point now, router_actions& out)
{
    const request_number number = request->lifecycle.record().number;
    for (request_action& step : steps) {
        const auto forward = [&](auto& forwarded) { out.push_back(request_step { number, std::move(forwarded) }); };
        std::visit(overloaded {
                       [&](wait_for_grant&) { waitForGrant(request, now, out); },
                       [&](stop_waiting&) {
                           m_requester.withdraw(number);
                           if (std::exchange(request->isWaiting, false))
                               --m_waiting[request->lifecycle.record().workspace];
                       },
                       [&](claim_request&) { performClaimActions(m_claims.claim(now, number, request->claim, request->lifecycle.record().requestFingerprint), now, out); },
                       [&](release_claim&) { performClaimActions(m_claims.release(now, number), now, out); },
                       [&](record_claim& recorded) { recordClaim(request, recorded.isKnown, now, out); },
                       [&](open_attempt& opened) { startAttempt(request, opened, now, out); },
                       [&](report_grant& reported) { reportGrant(request, reported, out); },
                       [&](cancel_stream& cancelled) {
                           if (const backend_server* server = m_directory.findServer(cancelled.server))
                               out.push_back(stop_stream { server->location, cancelled.stream });
                       },
                       [&](cancel_attempt& cancelled) {
                           m_byAttempt.erase(cancelled.attempt);
                           forward(cancelled);
                       },
                       forward },
            step);
    }
    reschedule(request);
    eraseIfDone(request);
}

void request_coordinator::performClaimActions(claim_actions steps, time_point now, router_actions& out)
{
    const auto toLifecycle = [&](request_number number, auto advance) {
        if (const tracked request = find(number))
            perform(request, advance(request->lifecycle), now, out);
    };
    for (claim_action& step : steps) {
        std::visit(overloaded {
                       [&](claim_granted& granted) { toLifecycle(granted.request, [&](auto& lifecycle) { return lifecycle.claimGranted(now); }); },
                       [&](claim_replayed& replayed) { toLifecycle(replayed.request, [&](auto& lifecycle) { return lifecycle.claimReplayed(now, replayed.outcome); }); },
                       [&](claim_refused& refused) { toLifecycle(refused.request, [&](auto& lifecycle) { return lifecycle.claimRefused(now, refused.kind); }); },
                       [&](auto& forwarded) { out.push_back(std::move(forwarded)); } },
            step);
    }
}

void request_coordinator::reschedule(const tracked& request)
{
    const auto wanted = request->lifecycle.deadline();
    if (wanted == request->deadline)
        return;
    const request_number number = request->lifecycle.record().number;
    if (request->deadline)
        m_deadlines.erase({ *request->deadline, number });
    if (wanted)
        m_deadlines.insert({ *wanted, number });
    request->deadline = wanted;
}

void request_coordinator::eraseIfDone(const tracked& request)
{
    if (request->lifecycle.phase() != request_phase::done || !request->isCounted)
        return;
    request->isCounted = false;
    const request_record& record = request->lifecycle.record();
    const auto inProgress = m_inProgress.find(record.workspace);
    if (--inProgress->second == 0)
        m_inProgress.erase(inProgress);
    m_requests.erase(record.number);
}

void request_coordinator::waitForGrant(const tracked& request, time_point now, router_actions& out)
{
    const request_record& record = request->lifecycle.record();
    demand_entry demand { record.number, record.workspace, record.costHint, {}, request->prefixHash, request->model };
    if (m_quarantine.decisionFor(now, record.requestFingerprint) == quarantine_decision::isolate)
        demand.requestFingerprint = record.requestFingerprint;
    if (!m_requester.wait(demand, record.pool, now)) {
        perform(request, request->lifecycle.refuseIfWaiting(now, refusal_kind::noEligibleServer), now, out);
        return;
    }
    if (!std::exchange(request->isWaiting, true))
        ++m_waiting[record.workspace];
}

void request_coordinator::startAttempt(const tracked& request, const open_attempt& opened, time_point now, router_actions& out)
{
    const request_record& record = request->lifecycle.record();
    const backend_server* server = m_directory.findServer(opened.server);
    m_byAttempt[opened.attempt] = record.number;
    request->attemptServer = opened.server;
    if (!server) {
        onAttemptEnded(opened.attempt, { attempt_end_kind::notSent, false }, now, out);
        return;
    }
    std::size_t candidates = 0;
    m_directory.access().forEachReachableServer(record.workspace, record.pool, [&](const backend_server&) { ++candidates; });
    if (request->grant) {
        out.push_back(route_decision { record.number, opened.attempt, record.workspace, record.pool, opened.server,
            request->grant->shard, m_requester.ownerOf(request->grant->shard), request->grant->token,
            request->grant->number, now - record.receivedAt, m_fleet.current().at, candidates });
    }
    out.push_back(start_attempt { record.number, opened, server->location });
}

void request_coordinator::reportGrant(const tracked& request, const report_grant& reported, router_actions&)
{
    // The grant holder reports the start itself when it hands out the grant.
    if (reported.event == grant_event::started)
        return;
    const bool hasRun = reported.event != grant_event::returned;
    m_requester.onEnded(request->lifecycle.record().number, reported.event, hasRun ? request->cost : 0, reported.firstByteLatency);
    if (hasRun)
        m_served[request->lifecycle.record().workspace] += request->cost;
    request->attemptServer.reset();
    request->grant.reset();
    request->cost = 0;
}

void request_coordinator::recordClaim(const tracked& request, bool isKnown, time_point now, router_actions& out)
{
    std::optional<recorded_outcome> outcome;
    if (isKnown && !request->isAnswerTooLarge)
        outcome = request->answer;
    performClaimActions(m_claims.record(now, request->lifecycle.record().number, std::move(outcome)), now, out);
}

}
