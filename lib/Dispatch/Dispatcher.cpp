#include "pimentoladder/Dispatch/Dispatcher.h"

#include <algorithm>
#include <array>
#include <utility>

#include "TrackedRequest.h"
#include "pimentoladder/Dispatch/PromptAdmission.h"

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    // Servers that one request may be sent to, including those that did not run it.
    constexpr std::size_t maxServersTried = 4;
    // With less time than this left, another attempt cannot complete.
    constexpr duration minTimeForRetry = 40ms;
    // Servers that are compared if the preferred ones are too busy.
    constexpr std::size_t fallbackPromptChoices = 6;
    // A cold server's report is up to one heartbeat old.
    constexpr duration coldMargin = 1s;
    // Minimum Retry-After: after a shorter wait the load is still the same.
    constexpr duration minRetryAfter = 250ms;
    // Retry-After is at most the caller's remaining time divided by this; callers do
    // not honour a longer one.
    constexpr int retryAfterDivisor = 3;
    // Output tokens count twice against a workspace's share.
    constexpr double outputTokenWeight = 2;

    std::string_view endName(attempt_end_kind kind)
    {
        switch (kind) {
        case attempt_end_kind::complete:
            return "complete";
        case attempt_end_kind::notSent:
            return "not_sent";
        case attempt_end_kind::resetAfterSent:
            return "reset_after_sent";
        case attempt_end_kind::truncated:
            return "truncated";
        case attempt_end_kind::timeout:
            return "timeout";
        case attempt_end_kind::malformed:
            return "malformed";
        }
        return "unknown";
    }

    // Results of attempts whose request was not run.
    constexpr std::string_view otherServer = "other_server";
    constexpr std::string_view refusedUnrun = "refused_unrun";

    bool isSuccess(int status)
    {
        return status >= 200 && status < 300;
    }

    // Returns whether a status tells a caller that its request was not run and will not be.
    bool isNotRunStatus(int status)
    {
        constexpr std::array<int, 4> statuses { 408, 421, 429, 503 };
        return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
    }

    // Pause between two trials of a quarantined trait, in which the end of the first becomes
    // known to all routers. Each pause doubles the number of routers that may start a trial,
    // so that a rare trait is tried too.
    constexpr duration trialInterval = 10s;

    // Weight of a request in the smoothed number of tokens of a request.
    constexpr double meanTokensGain = 0.01;
    // By how much of its spacing a request may be early at a server with a request limit:
    // with a large prompt, with a small one, and at least, however far the workspace exceeds its share.
    constexpr double largeLimitTolerance = 0.5;
    constexpr double smallLimitTolerance = 0;
    constexpr double minLimitTolerance = -0.5;
    // Interval at which the throughput within the servers' request limits is computed again.
    constexpr duration capacityInterval = 100ms;

    traits_of_request traitsOf(const inbound_request& received, const workspace_id& workspace)
    {
        traits_of_request traits;
        const std::uint64_t content = rendezvousWeight(hashName(workspace.value() + '\n' + received.host), received.contentHash);
        traits.request = fingerprint(std::max<std::uint64_t>(content, 1));
        traits.traits.push_back({ trait_kind::request, traits.request.value() });
        const std::size_t parts = received.prompt ? received.prompt->parts.size() : 0;
        // The last part belongs to this request or to its session alone.
        for (std::size_t i = 0; i + 1 < std::min(parts, crash_attribution::maxTraits); ++i)
            traits.traits.push_back({ trait_kind::promptPart, received.prompt->parts[i].id });
        return traits;
    }

    // After this time the record of a stream that began elsewhere has arrived.
    constexpr duration recordDelay = 600ms;
    // Time from the end of a stream's route timeout to the last moment at which it is taken up.
    constexpr duration takeUpMargin = 3s;

    // Size of the body of a server's refusal, which nobody gets, above which it is not read on.
    constexpr std::size_t maxRefusalBytes = std::size_t { 64 } * 1024;

    // Time to the next tick while nothing is due.
    constexpr duration idleInterval = 1s;

    // Divides the retries of the fleet among the routers, with a reserve of a quarter for
    // routers that are not known yet.
    retry_limits retryLimits(const dispatch_limits& limits, std::size_t routers)
    {
        const std::size_t parts = std::max(limits.selection.coldShares, routers + routers / 4);
        return { limits.retryShare, limits.fleetRetries / parts };
    }

    constexpr int minErrorStatus = 400;
    constexpr int minServerErrorStatus = 500;

}

dispatcher::dispatcher(dispatch_limits limits, std::uint64_t seed)
    : m_limits(std::move(limits))
    , m_fleet(m_limits.freshness)
    , m_selector(m_fleet, m_limits.selection, seed)
    , m_budget(retryLimits(m_limits, m_limits.selection.coldShares))
    , m_crashes(m_limits.selection.self)
    , m_rollouts(m_fleet, m_limits.rollout, seed + 2)
    , m_random(seed + 1)
{
    m_versions.setMaxListAge(m_limits.maxListAge);
}

dispatcher::~dispatcher() = default;

void dispatcher::setRollout(time_point, revision at, const rollout_order& order)
{
    m_rollouts.setOrder(at, order);
}

void dispatcher::endRollout(time_point, const pool_id& pool)
{
    m_rollouts.endOrder(pool);
}

void dispatcher::setRolloutPermits(time_point now, const rollout_permits& permits)
{
    m_rollouts.setPermits(now, permits);
}

rollout_report dispatcher::rolloutEvidence(time_point now) const
{
    rollout_report report = m_rollouts.evidence();
    for (rollout_evidence& each : report.rollouts) {
        const auto rule = m_rollouts.ruleOf(now, each.pool);
        const auto isAtOthers = [&](const auto& entry) {
            const tracked_request& request = *entry.second;
            return request.attempt != attempt_number() && request.pool == each.pool && request.serverVersion != rule->version;
        };
        each.inProgress = static_cast<std::uint32_t>(std::count_if(m_requests.begin(), m_requests.end(), isAtOthers));
    }
    return report;
}

std::optional<refusal_kind> dispatcher::admit(time_point now, tracked_request& request)
{
    if (m_drainAt && now >= *m_drainAt)
        return refusal_kind::draining;
    if (!m_fleet.hasPlan())
        return refusal_kind::notFresh;
    const std::string& path = request.received.path;
    const route* found = m_fleet.findRoute(request.received.host, path);
    // A router that may have missed a configuration change must not reject what the change
    // allows.
    if (!found)
        return m_fleet.isReady(now) ? refusal_kind::noPool : refusal_kind::notFresh;
    request.target = *found;
    request.workspace = fleet_view::anonymous();
    if (found->isAnonymous)
        return std::nullopt;
    const std::optional<std::string>& digest = request.received.keyDigest;
    const caller_identity caller = m_fleet.identify(digest ? &*digest : nullptr);
    if (caller.standing == key_standing::notRequired)
        return std::nullopt;
    if (!m_fleet.mayUseKeys(now))
        return refusal_kind::notFresh;
    if (caller.standing == key_standing::unknown)
        return m_fleet.isReady(now) ? refusal_kind::unauthenticated : refusal_kind::notFresh;
    request.workspace = caller.holder->workspace;
    request.hasKey = true;
    return std::nullopt;
}

void dispatcher::choosePool(tracked_request& request)
{
    std::size_t total = 0;
    for (const weighted_pool& each : request.target.pools)
        total += each.weight;
    if (total == 0)
        return;
    std::size_t drawn = m_random.index(total);
    for (const weighted_pool& each : request.target.pools) {
        request.pool = each.pool;
        if (drawn < each.weight)
            return;
        drawn -= each.weight;
    }
}

bool dispatcher::shouldShed(time_point now, const std::string* keyDigest)
{
    const caller_identity caller = m_fleet.identify(keyDigest);
    if (caller.standing == key_standing::held)
        return m_shedder.shouldRefuse(now, caller.holder->workspace);
    // Requests with unknown keys share an allowance of their own.
    const bool hasUnknownKey = keyDigest && caller.standing == key_standing::unknown;
    return m_shedder.shouldRefuse(now, hasUnknownKey ? workspace_id() : fleet_view::anonymous());
}

dispatch_actions dispatcher::onRequest(time_point now, const inbound_request& received, request_number& number)
{
    dispatch_actions out;
    const tracked request = std::make_shared<tracked_request>();
    number = request_number(++m_nextRequest);
    request->number = number;
    request->received = received;
    request->receivedAt = now;
    m_requests[number] = request;
    if (const auto refused = admit(now, *request)) {
        refuse(now, request, *refused, minRetryAfter, out);
        return out;
    }
    const duration allowed = std::min(received.timeLeft.value_or(request->target.timeout), request->target.timeout);
    request->deadline = now + allowed;
    request->lastEvent = received.resumeAfter;
    request->traits = traitsOf(received, request->workspace);
    m_crashes.onRequest(now, request->traits);
    choosePool(*request);
    m_budget.recordRequest(now, request->pool);
    if (const auto trait = m_crashes.findTrait(request->traits, trait_state::quarantined)) {
        if (!mayTryQuarantined(now, *trait)) {
            request->quarantinedBy = trait;
            refuse(now, request, refusal_kind::quarantined, {}, out);
            return out;
        }
        m_trialsAt[*trait] = now;
        request->isTrial = true;
        out.push_back(quarantine_trial { number, received.callerId, *trait });
    }
    if (received.prompt) {
        request->tokens = received.prompt->promptTokens + outputTokenWeight * received.prompt->outputTokens;
        m_meanTokens += (request->tokens - m_meanTokens) * meanTokensGain;
        m_share.recordAsked(now, request->workspace, request->tokens);
    }
    const bool isTakeUp = request->lastEvent && request->isResumable();
    if (isTakeUp && !findOrigin(now, *request)) {
        request->heldBy = hold_reason::unknownVersion;
        refuse(now, request, refusal_kind::noEligibleServer, recordDelay, out);
        return out;
    }
    startAttempt(now, request, out);
    return out;
}

/// Sets the software version that began the stream that the request takes up. Returns false if
/// it is not certain.
bool dispatcher::findOrigin(time_point now, tracked_request& request)
{
    const auto record = m_versions.findRecord(now, request.received.resumedId);
    const auto isOfRoute = [&](const weighted_pool& each) { return record && each.pool == record->pool; };
    const auto& pools = request.target.pools;
    if (std::any_of(pools.begin(), pools.end(), isOfRoute)) {
        request.pool = record->pool;
        request.origin = { {}, {}, record->version };
        return true;
    }
    const auto only = record || pools.size() != 1 ? std::nullopt : m_versions.onlyVersion(now, request.pool);
    if (!only)
        return false;
    request.origin = { {}, {}, *only };
    return true;
}

share_use dispatcher::shareUse(time_point now, const tracked_request& request)
{
    const double nominal = m_fleet.plan().tokensPerSecond;
    if (now >= m_capacityAt + capacityInterval) {
        m_capacityAt = now;
        m_capacity = nominal <= 0 ? 0 : m_selector.usableThroughput(now, nominal, m_meanTokens);
    }
    return m_share.use(now, request.workspace, request.tokens, m_capacity, m_selector.routerCount());
}

/// Returns the expected time to the first event at the server that has been chosen. The estimate is
/// too short on average, because servers whose queue is underestimated are chosen.
duration dispatcher::expectedAt(time_point now, const tracked_request& request, const selected_server& best) const
{
    return request.received.prompt ? best.expectedFirstEvent + m_estimateError.correction(now, request.pool) : best.expectedFirstEvent;
}

prompt_estimate dispatcher::estimateOf(time_point now, const tracked_request& request, const selected_server& best) const
{
    const std::vector<prompt_part>& parts = request.received.prompt->parts;
    const double ownTokens = parts.empty() ? best.uncachedTokens : parts.back().tokens;
    return { request.target.objective, expectedAt(now, request, best), best.uncachedTokens, ownTokens, request.share, m_loopLag, best.isLimited, best.baseTime, best.ownTime };
}

bool dispatcher::isAdmissible(time_point now, tracked_request& request, const selected_server& best)
{
    request.expectedFirstEvent = expectedAt(now, request, best);
    return !request.received.prompt || shouldAdmitPrompt(estimateOf(now, request, best));
}

/// Returns the server for the next attempt. A server with a request limit is short of
/// requests rather than of time, so it gets those with large prompts first, and others
/// only if the servers without a limit cannot take them.
std::optional<selected_server> dispatcher::choose(time_point now, tracked_request& request, selection_request& wanted, bool isFirst)
{
    const auto isUsable = [&](const std::optional<selected_server>& chosen) { return chosen && (!isFirst || isAdmissible(now, request, *chosen)); };
    const auto selectLimited = [&](double tolerance) {
        wanted.limited = limited_servers::only;
        wanted.limitTolerance = std::min(tolerance, std::max(1 - request.share.ofCapacity, minLimitTolerance));
        auto chosen = m_selector.select(now, wanted);
        wanted.limited = limited_servers::excluded;
        return chosen;
    };
    if (request.tokens > m_meanTokens) {
        if (auto limited = selectLimited(largeLimitTolerance); isUsable(limited))
            return limited;
    }
    auto best = m_selector.select(now, wanted);
    if (best && !isUsable(best) && request.share.ofCapacity < 1) {
        // The workspace is within its share: another server may have capacity, although it
        // has to read the whole prompt.
        wanted.promptChoices = fallbackPromptChoices;
        best = m_selector.select(now, wanted);
    }
    if (isUsable(best))
        return best;
    auto limited = selectLimited(smallLimitTolerance);
    return isUsable(limited) || !best ? limited : best;
}

/// Returns whether the stream that the request goes on with began at the target version of a
/// roll-out that was reverted.
bool dispatcher::isOriginWithdrawn(time_point now, const tracked_request& request) const
{
    if (m_rollouts.isEmpty() || !request.origin)
        return false;
    const auto rule = m_rollouts.ruleOf(now, request.pool);
    return rule && rule->state == rollout_state::reverted && request.origin->version == rule->version;
}

/// Returns the versions that an attempt may use, unless it is a first one that goes to the target
/// version of a roll-out; nothing: all versions.
std::optional<version_filter> dispatcher::allowedVersions(time_point now, const tracked_request& request) const
{
    if (request.origin)
        return version_filter { request.origin->version };
    const auto rule = m_rollouts.isEmpty() ? std::nullopt : m_rollouts.ruleOf(now, request.pool);
    if (!rule)
        return std::nullopt;
    if (rule->state == rollout_state::completed) {
        selection_request target { request.workspace, request.pool, nullptr, {} };
        target.versions = rule->target();
        return m_selector.hasServer(target) ? target.versions : std::nullopt;
    }
    if (rule->share >= 1)
        return std::nullopt;
    // A router that has missed the permits must not refuse everything once the old servers have stopped.
    selection_request others { request.workspace, request.pool, nullptr, {} };
    others.versions = rule->others();
    const bool isOnlyTargetLeft = rule->state != rollout_state::reverted && !m_selector.hasServer(others);
    return isOnlyTargetLeft ? std::nullopt : others.versions;
}

std::optional<selected_server> dispatcher::chooseTarget(time_point now, tracked_request& request, selection_request& wanted, const rollout_rule& rule)
{
    wanted.versions = rule.target();
    const auto chooseUsable = [&](const std::optional<server_subset>& subset) {
        selection_request among = wanted;
        among.subset = subset;
        auto chosen = choose(now, request, among, true);
        // An ejected server of the subset may be unreachable while others of the version are not.
        const bool isUsable = chosen && isAdmissible(now, request, *chosen) && !(subset && m_selector.condition(chosen->server).isEjected(now));
        return isUsable ? chosen : std::nullopt;
    };
    if (const auto subset = m_rollouts.firstServers(request.pool, rule.share)) {
        if (auto chosen = chooseUsable(subset))
            return chosen;
    }
    return chooseUsable(std::nullopt);
}

/// Returns the server for the next attempt among those whose version the request may use, and
/// adds the versions to \p wanted.
std::optional<selected_server> dispatcher::chooseVersion(time_point now, tracked_request& request, selection_request& wanted, bool isFirst)
{
    const auto rule = m_rollouts.isEmpty() ? std::nullopt : m_rollouts.ruleOf(now, request.pool);
    if (isFirst && rule)
        m_rollouts.recordRequest(request.pool);
    const bool isDrawn = isFirst && rule && !request.origin && rule->state == rollout_state::inProgress && m_rollouts.draw(rule->share);
    if (isDrawn) {
        if (auto chosen = chooseTarget(now, request, wanted, *rule))
            return chosen;
    }
    wanted.versions = allowedVersions(now, request);
    if (isOriginWithdrawn(now, request))
        return std::nullopt;
    return choose(now, request, wanted, isFirst);
}

/// Returns the version that is registered for the server of the open attempt now; it may have
/// started again since the attempt was opened.
const std::string& dispatcher::currentVersion(const tracked_request& request) const
{
    const registered_server* server = m_fleet.findServer(request.server);
    return server ? server->softwareVersion : request.serverVersion;
}

/// Returns whether the open attempt may still be sent to the version of its server. The permit may
/// have ended, or the roll-out may have become final, since the server was selected.
bool dispatcher::isVersionPermitted(time_point now, const tracked_request& request) const
{
    const auto rule = m_rollouts.isEmpty() ? std::nullopt : m_rollouts.ruleOf(now, request.pool);
    if (!rule)
        return true;
    if (request.origin)
        return !isOriginWithdrawn(now, request);
    const bool isTarget = currentVersion(request) == rule->version;
    const bool isCompleted = rule->state == rollout_state::completed;
    if (isTarget ? rule->share > 0 : !isCompleted)
        return true;
    const auto allowed = allowedVersions(now, request);
    return !allowed || allowed->allows(currentVersion(request));
}

std::string_view dispatcher::rolloutSide(time_point now, const tracked_request& request) const
{
    const auto rule = m_rollouts.isEmpty() ? std::nullopt : m_rollouts.ruleOf(now, request.pool);
    if (!rule)
        return {};
    return request.serverVersion == rule->version ? "target" : "current";
}

void dispatcher::recordSent(time_point now, const tracked_request& request)
{
    if (m_rollouts.isEmpty())
        return;
    const auto expected = request.received.prompt ? std::optional(request.expectedAnswer) : std::nullopt;
    m_rollouts.onSent(now, { request.attempt, request.pool, request.target.name, request.server, currentVersion(request), request.isAtColdServer, expected, prefillTime(request.uncachedTokens) });
}

void dispatcher::startAttempt(time_point now, const tracked& request, dispatch_actions& out)
{
    const prompt_work* prompt = request->received.prompt ? &*request->received.prompt : nullptr;
    const bool isFirst = request->triedServers.empty();
    if (prompt && isFirst)
        request->share = shareUse(now, *request);
    selection_request wanted { request->workspace, request->pool, prompt, request->triedServers };
    const auto best = chooseVersion(now, *request, wanted, isFirst);
    if (!best) {
        const send_window earliest = m_selector.earliestWindow(now, wanted);
        const bool hasOtherVersions = request->origin && (earliest.reason == hold_reason::outOfService || isOriginWithdrawn(now, *request));
        request->heldBy = hasOtherVersions ? hold_reason::otherVersion : earliest.reason;
        if (request->hasHead)
            abortResponse(now, request, out);
        else
            refuse(now, request, request->runs == 0 ? refusal_kind::noEligibleServer : refusal_kind::serverFailed, earliest.opensAt.value_or(now) - now, out);
        return;
    }
    request->bestServer = best->server;
    request->queue = best->queue;
    request->queue.correction = prompt ? m_estimateError.correction(now, request->pool) : duration::zero();
    if (isFirst && !isAdmissible(now, *request, *best) && !shouldAdmitLatePrompt(estimateOf(now, *request, *best))) {
        refuse(now, request, refusal_kind::queueFull, request->expectedFirstEvent, out);
        return;
    }
    if (isFirst && prompt)
        m_share.recordAdmitted(now, request->workspace, request->tokens);
    request->attempt = attempt_number(++m_nextAttempt);
    const registered_server& server = *m_fleet.findServer(best->server);
    request->server = best->server;
    request->serverStart = server.start;
    request->serverLocation = server.location;
    request->serverVersion = server.softwareVersion;
    request->openedAt = now;
    request->progressAt = now;
    request->isSent = false;
    request->isAtColdServer = best->isCold;
    request->expectedAnswer = best->expectedFirstEvent;
    request->isDenied = false;
    request->isForwarding = false;
    request->hasBegun = false;
    request->isWaitingForDeadline = false;
    request->status = 0;
    request->refusal = {};
    request->refusalBytes = 0;
    request->uncachedTokens = best->uncachedTokens;
    if (request->isResumable() && !request->origin)
        m_versions.begin(now, request->received.callerId, request->pool, server.softwareVersion);
    m_byAttempt[request->attempt] = request->number;
    m_selector.condition(best->server).started(now, request->attempt, best->uncachedTokens);
    out.push_back(dispatch_decision { request->number, request->attempt, request->received.callerId, request->target.name,
        request->workspace, best->server, expectedAt(now, *request, *best), best->uncachedTokens, best->candidates, request->runs,
        request->share.ofCapacity, request->share.ofServed, request->share.ofEntitled, best->isCold, m_fleet.plan().version, m_fleet.basisAge(now).value_or(duration::zero()), m_share.fleetAge(now), request->queue, rolloutSide(now, *request) });
    const workspace_id forwardedWorkspace = request->hasKey ? request->workspace : workspace_id();
    out.push_back(open_dispatch { request->number, request->attempt, best->server,
        server.location, forwardedWorkspace, request->deadline - now, request->lastEvent });
    schedule(request, nextCheck(*request));
}

bool dispatcher::mayStartSending(time_point now, attempt_number attempt, bool hasCallerClosed)
{
    const tracked request = findByAttempt(attempt);
    if (!request)
        return false;
    request->hasCallerClosed = hasCallerClosed;
    const bool isCurrent = !request->hasKey || m_fleet.mayUseKeys(now);
    const bool isServerOpen = m_selector.sendWindow(now, request->server, request->openedAt).isOpen();
    if (hasCallerClosed || !isCurrent || !isServerOpen || !isVersionPermitted(now, *request) || now >= request->deadline) {
        request->isDenied = true;
        return false;
    }
    request->isSent = true;
    request->progressAt = now;
    recordSent(now, *request);
    return true;
}

dispatch_actions dispatcher::onHead(time_point now, attempt_number attempt, const served_head& head)
{
    dispatch_actions out;
    const tracked request = findByAttempt(attempt);
    if (!request)
        return out;
    server_condition& condition = m_selector.condition(request->server);
    condition.heard(now);
    if (head.load && (m_limits.selection.usesServerSpeed || !head.load->slowness))
        condition.setLoad(now, *head.load);
    if (!head.unreadableLoad.empty())
        out.push_back(unreadable_load { request->server, head.unreadableLoad });
    const bool isFromServer = head.isFromExpectedAttempt && !head.isMisdirected;
    if (isFromServer && condition.setLimit(now, head.limit, request->openedAt))
        out.push_back(limit_change { request->server, head.limit.notice, head.limit.perSecond, head.limit.text, true, {} });
    if (isFromServer)
        applyNotices(now, *request, head, out);
    request->status = head.status;
    const auto drop = [&](bool mayHaveRun, std::string_view result) {
        out.push_back(cancel_dispatch { request->number, attempt });
        failAttempt(now, request, mayHaveRun, result, head.status, out);
    };
    if (!head.isFromExpectedAttempt) {
        condition.failed(now);
        drop(true, "foreign_answer");
        return out;
    }
    if (head.isRefusal()) {
        // Decided at the end of the response: if another one follows, this one may be a
        // repeated refusal of an earlier request.
        request->refusal = head.isMisdirected ? otherServer : refusedUnrun;
        request->progressAt = now;
        schedule(request, nextCheck(*request));
        return out;
    }
    if (head.status >= minErrorStatus)
        m_rollouts.onAnswer(now, attempt, head.status >= minServerErrorStatus);
    if (isNotRunStatus(head.status) && !request->isRepeatable()) {
        // The caller would take the status as a promise, which the server has not given.
        drop(true, "unconfirmed_refusal");
        return out;
    }
    if (isSuccess(head.status) && !head.isAuthentic) {
        condition.failed(now);
        drop(true, "unsigned_answer");
        return out;
    }
    const bool awaitsEvent = request->target.isStream && head.isEventStream;
    if (!awaitsEvent)
        m_rollouts.onAnswer(now, attempt, head.status >= minServerErrorStatus);
    if (head.status >= minServerErrorStatus)
        condition.failed(now);
    const bool isResumed = request->hasHead;
    const bool isFailure = isResumed ? !head.isEventStream : head.status >= minServerErrorStatus;
    // The server's error response goes to the caller unless the request is retried.
    const bool isRetried = isFailure && !isResumed && request->isRepeatable() && canRetry(now, *request, true)
        && m_budget.tryAcquireRetry(now, request->pool);
    request->hasReservedRetry = isRetried;
    if (isFailure && (isResumed || isRetried)) {
        drop(true, isSuccess(head.status) ? "no_event_stream" : "server_failure");
        return out;
    }
    request->isForwarding = true;
    if (!request->target.isStream) {
        request->hasBegun = true;
        m_crashes.onBegun(now, request->traits);
        condition.responded(now, attempt);
    }
    if (!isResumed) {
        request->hasHead = true;
        request->isEventStream = head.isEventStream;
        out.push_back(forward_response_head { request->number });
    }
    return out;
}

void dispatcher::applyNotices(time_point now, const tracked_request& request, const served_head& head, dispatch_actions& out)
{
    if (!head.unreadableNotice.empty())
        out.push_back(hold_change { request.server, hold_reason::none, {}, head.unreadableNotice });
    const bool isNewlyLeaving = head.isLeaving && m_selector.setLeaving(now, request.server, request.serverStart);
    if (isNewlyLeaving) {
        out.push_back(hold_change { request.server, hold_reason::leaving });
        out.push_back(retire_connections { request.serverLocation });
    }
    std::optional<duration> rest;
    if (head.retryAfter)
        rest = m_selector.setResting(now, request.server, request.serverStart, *head.retryAfter);
    if (rest)
        out.push_back(hold_change { request.server, hold_reason::resting, *rest });
    else if (head.status < minServerErrorStatus && !head.isNotExecuted && m_selector.condition(request.server).endRest(request.openedAt))
        out.push_back(hold_change { request.server });
    if (isNewlyLeaving || rest)
        withdrawUnsent(now, request.server, out);
}

/// Ends the attempts at a server whose first byte has not been written; their requests go to
/// other servers.
void dispatcher::withdrawUnsent(time_point now, const server_id& server, dispatch_actions& out)
{
    std::vector<tracked> unsent;
    for (const auto& [number, request] : m_requests) {
        if (request->attempt != attempt_number() && !request->isSent && request->server == server)
            unsent.push_back(request);
    }
    for (const tracked& request : unsent) {
        request->isDenied = true;
        out.push_back(cancel_dispatch { request->number, request->attempt });
        failAttempt(now, request, false, "withheld", 0, out);
    }
}

dispatch_actions dispatcher::onBytes(time_point now, attempt_number attempt, std::string_view bytes, event_ids events)
{
    dispatch_actions out;
    const tracked request = findByAttempt(attempt);
    if (!request)
        return out;
    m_selector.condition(request->server).heard(now);
    if (!request->refusal.empty()) {
        request->refusalBytes += bytes.size();
        if (request->refusalBytes > maxRefusalBytes) {
            m_selector.condition(request->server).failed(now);
            out.push_back(cancel_dispatch { request->number, attempt });
            failAttempt(now, request, true, "doubtful_refusal", request->status, out);
        }
        return out;
    }
    if (!request->isForwarding || bytes.empty())
        return out;
    m_crashes.onServerAlive(now, request->server, request->openedAt);
    const bool isResumption = request->lastEvent && !request->hasBegun && request->canContinue();
    if (isResumption && request->origin && !isVersionCertain(request->server, request->serverStart, request->serverVersion)) {
        out.push_back(cancel_dispatch { request->number, attempt });
        failAttempt(now, request, true, "uncertain_version", request->status, out);
        return out;
    }
    if (isResumption && (!events.first || *events.first <= *request->lastEvent)) {
        m_selector.condition(request->server).failed(now);
        out.push_back(cancel_dispatch { request->number, attempt });
        failAttempt(now, request, true, "wrong_event", request->status, out);
        return out;
    }
    if (events.last) {
        server_condition& condition = m_selector.condition(request->server);
        condition.responded(now, attempt);
        m_rollouts.onAnswer(now, attempt, false);
        if (!std::exchange(request->hasBegun, true))
            m_crashes.onBegun(now, request->traits);
        if (!request->firstEvent) {
            request->firstEvent = now - request->receivedAt;
            if (request->received.prompt) {
                condition.recordCachedPrefixes(prefixHashes(request->received.prompt->parts));
                m_estimateError.record(now, request->pool, now - request->openedAt - request->expectedAnswer);
            }
        } else {
            request->longestPause = std::max(request->longestPause, now - request->progressAt);
        }
        if (!request->origin)
            request->origin = { request->server, request->serverStart, request->serverVersion };
        request->lastEvent = events.last;
        request->progressAt = now;
    }
    out.push_back(forward_response_bytes { request->number });
    return out;
}

dispatch_actions dispatcher::onAttemptEnded(time_point now, attempt_number attempt, attempt_end end)
{
    dispatch_actions out;
    const tracked request = findByAttempt(attempt);
    if (!request)
        return out;
    server_condition& condition = m_selector.condition(request->server);
    if (end.kind == attempt_end_kind::complete && request->isForwarding) {
        m_rollouts.onAnswer(now, attempt, request->status >= minServerErrorStatus);
        if (request->status < minServerErrorStatus)
            condition.succeeded();
        if (request->received.prompt && request->firstEvent)
            m_selector.recordRun(request->pool, now - request->receivedAt - *request->firstEvent + prefillTime(request->uncachedTokens));
        closeAttempt(now, *request, "complete", request->status, out);
        out.push_back(end_response { request->number });
        finish(now, request, "served", {}, out);
        return out;
    }
    if (!end.mayHaveBeenSent) {
        if (!request->isDenied)
            condition.unreachable(now, request->openedAt);
        failAttempt(now, request, false, request->isDenied ? "withheld" : "not_sent", 0, out);
        return out;
    }
    const bool isRefused = !request->refusal.empty();
    if (isRefused && end.kind == attempt_end_kind::complete && !end.hasExtraInput) {
        // The response came from another server at the same address.
        if (request->refusal == otherServer)
            condition.unreachable(now, now);
        failAttempt(now, request, false, request->refusal, request->status, out);
        return out;
    }
    condition.failed(now);
    const bool isServerLost = end.kind == attempt_end_kind::resetAfterSent || end.kind == attempt_end_kind::truncated;
    if (isServerLost && !request->hasBegun && !isRefused)
        recordLoss(now, *request);
    evaluateCrashes(now, out);
    // The evaluation may have ended the request.
    if (findByAttempt(attempt))
        failAttempt(now, request, true, isRefused ? "doubtful_refusal" : endName(end.kind), request->status, out);
    return out;
}

void dispatcher::recordLoss(time_point now, const tracked_request& request)
{
    const registered_server* server = m_fleet.findServer(request.server);
    m_crashes.onLost(now, request.server, server ? server->start : incarnation(), request.traits);
}

dispatch_actions dispatcher::onServerLosses(time_point now, const server_losses& received)
{
    dispatch_actions out;
    m_crashes.merge(now, received);
    evaluateCrashes(now, out);
    return out;
}

void dispatcher::evaluateCrashes(time_point now, dispatch_actions& out)
{
    const std::vector<trait_change> changes = m_crashes.evaluate(now);
    bool isAnyQuarantined = false;
    for (const trait_change& each : changes) {
        isAnyQuarantined = isAnyQuarantined || each.state == trait_state::quarantined;
        if (each.state == trait_state::clear)
            m_trialsAt.erase(each.trait);
        out.push_back(each);
    }
    if (!isAnyQuarantined)
        return;
    // A server drops a request that has not begun when its connection closes.
    std::vector<tracked> held;
    for (const auto& [number, request] : m_requests) {
        const bool isWaiting = request->attempt != attempt_number() && !request->hasBegun && !request->isTrial;
        if (isWaiting && m_crashes.findTrait(request->traits, trait_state::quarantined))
            held.push_back(request);
    }
    for (const tracked& request : held) {
        out.push_back(cancel_dispatch { request->number, request->attempt });
        failAttempt(now, request, request->isSent, "quarantined", request->status, out);
    }
}

bool dispatcher::mayTryQuarantined(time_point now, const request_trait& trait) const
{
    const auto due = m_crashes.trialDue(trait);
    if (!due || now < *due)
        return false;
    const auto last = m_trialsAt.find(trait);
    if (last != m_trialsAt.end() && now - last->second < trialInterval)
        return false;
    const auto doublings = std::min<std::int64_t>((now - *due) / trialInterval, 16);
    return m_selector.isAmongOwners(trait.id, std::size_t { 1 } << doublings);
}

void dispatcher::failAttempt(time_point now, const tracked& request, bool mayHaveRun, std::string_view result, int status, dispatch_actions& out)
{
    closeAttempt(now, *request, result, status, out);
    request->triedServers.insert(request->server);
    if (mayHaveRun)
        ++request->runs;
    retryOrFinish(now, request, mayHaveRun, out);
}

void dispatcher::closeAttempt(time_point now, tracked_request& request, std::string_view result, int status, dispatch_actions& out)
{
    m_byAttempt.erase(request.attempt);
    m_rollouts.onEnded(request.attempt);
    m_selector.condition(request.server).ended(request.attempt);
    attempt_outcome outcome { request.number, request.attempt, request.received.callerId, request.server, result, status, now - request.openedAt, request.hasBegun, {} };
    const bool hasSharedParts = request.received.prompt && request.received.prompt->parts.size() >= 2;
    if (!request.hasBegun && hasSharedParts)
        outcome.sharedParts.assign(request.received.prompt->parts.begin(), request.received.prompt->parts.end() - 1);
    out.push_back(std::move(outcome));
    request.attempt = {};
    request.isForwarding = false;
}

bool dispatcher::canRetry(time_point now, const tracked_request& request, bool mayHaveRun) const
{
    const std::uint32_t runs = request.runs + (mayHaveRun ? 1 : 0);
    return runs < request.target.maxAttempts && request.triedServers.size() + 1 < maxServersTried
        && now + minTimeForRetry < std::min(request.deadline, m_endAt.value_or(request.deadline));
}

/// Returns whether the incarnation of a server that a request was sent to has the software
/// version that was registered then. Another incarnation at the same id that is registered
/// meanwhile may have started before the request.
bool dispatcher::isVersionCertain(const server_id& server, incarnation start, const std::string& version) const
{
    const registered_server* registered = m_fleet.findServer(server);
    return !registered || registered->start == start || registered->softwareVersion == version;
}

void dispatcher::retryOrFinish(time_point now, const tracked& request, bool mayHaveRun, dispatch_actions& out)
{
    if (request->hasCallerClosed) {
        out.push_back(abort_response { request->number });
        finish(now, request, "abandoned", {}, out);
        return;
    }
    const bool hasNotRun = request->runs == 0;
    // Once a head has been forwarded, only a stream can continue on another server: the
    // body of another server's response does not belong to that head.
    const auto& origin = request->origin;
    const bool hasCertainOrigin = !origin || isVersionCertain(origin->server, origin->start, origin->version);
    const bool isAllowed = request->hasHead ? request->canContinue() && hasCertainOrigin : hasNotRun || request->isRepeatable();
    const bool isCurrent = !request->hasKey || m_fleet.mayUseKeys(now);
    // Sending a suspected request again is likely to cost another server.
    const auto quarantined = m_crashes.findTrait(request->traits, trait_state::quarantined);
    const bool isDangerous = mayHaveRun ? m_crashes.isSuspected(request->traits) : quarantined && !request->isTrial;
    if (quarantined)
        request->quarantinedBy = quarantined;
    // An attempt whose first byte this router withheld does not use the retry budget.
    const bool needsBudget = mayHaveRun || !request->isDenied;
    const bool isRetried = isAllowed && isCurrent && !isDangerous && canRetry(now, *request, false)
        && (!needsBudget || std::exchange(request->hasReservedRetry, false) || m_budget.tryAcquireRetry(now, request->pool));
    if (isRetried) {
        startAttempt(now, request, out);
        return;
    }
    if (request->hasHead) {
        abortResponse(now, request, out);
        return;
    }
    if (!hasNotRun) {
        refuse(now, request, request->isRepeatable() ? refusal_kind::serverFailed : refusal_kind::outcomeUnknown, {}, out);
        return;
    }
    if (quarantined) {
        refuse(now, request, refusal_kind::quarantined, {}, out);
        return;
    }
    refuse(now, request, isCurrent ? refusal_kind::serverUnreachable : refusal_kind::notFresh, minRetryAfter, out);
}

void dispatcher::refuse(time_point now, const tracked& request, refusal_kind kind, duration retryAfter, dispatch_actions& out)
{
    const refusal& row = refusalOf(kind);
    duration wait {};
    if (row.ran == run_state::notRun && row.retry == retry_advice::later) {
        wait = std::max(retryAfter, minRetryAfter);
        if (request->received.timeLeft)
            wait = std::min(wait, *request->received.timeLeft / retryAfterDivisor);
    }
    out.push_back(refuse_inbound { request->number, kind, wait });
    finish(now, request, "refused", row.name, out);
}

void dispatcher::abortResponse(time_point now, const tracked& request, dispatch_actions& out)
{
    out.push_back(abort_response { request->number });
    finish(now, request, "broken", {}, out);
}

void dispatcher::finish(time_point now, const tracked& request, std::string_view result, std::string_view reason, dispatch_actions& out)
{
    if (request->wakeAt)
        m_deadlines.erase({ *request->wakeAt, request->number });
    m_requests.erase(request->number);
    out.push_back(request_outcome { request->number, request->received.callerId, request->target.name, request->workspace,
        result, reason, request->runs, request->tokens, request->share.ofCapacity, request->share.ofServed, request->share.ofEntitled, request->expectedFirstEvent, request->firstEvent, request->longestPause,
        now - request->receivedAt, request->target.objective, request->quarantinedBy, request->heldBy, m_share.fleetAge(now), request->bestServer, request->queue });
}

dispatch_actions dispatcher::onCallerDisconnected(time_point now, request_number number)
{
    dispatch_actions out;
    const auto found = m_requests.find(number);
    if (found == m_requests.end())
        return out;
    const tracked request = found->second;
    if (request->attempt != attempt_number()) {
        out.push_back(cancel_dispatch { number, request->attempt });
        closeAttempt(now, *request, "caller_left", request->status, out);
    }
    finish(now, request, "abandoned", {}, out);
    return out;
}

void dispatcher::planShutdown(time_point drainAt, time_point endAt)
{
    m_drainAt = drainAt;
    m_endAt = endAt;
}

dispatch_actions dispatcher::endAll(time_point now)
{
    dispatch_actions out;
    for (const auto& [number, request] : std::exchange(m_requests, {})) {
        const bool mayHaveRun = request->runs > 0 || request->isSent;
        if (request->attempt != attempt_number()) {
            out.push_back(cancel_dispatch { number, request->attempt });
            closeAttempt(now, *request, "shutdown", request->status, out);
        }
        if (request->hasHead) {
            out.push_back(abort_response { number });
            finish(now, request, "broken", "shutdown", out);
            continue;
        }
        const refusal_kind afterRun = request->isRepeatable() ? refusal_kind::serverFailed : refusal_kind::outcomeUnknown;
        out.push_back(refuse_inbound { number, mayHaveRun ? afterRun : refusal_kind::draining, mayHaveRun ? duration::zero() : minRetryAfter });
        finish(now, request, "refused", "shutdown", out);
    }
    return out;
}

void dispatcher::schedule(const tracked& request, time_point at)
{
    if (request->wakeAt)
        m_deadlines.erase({ *request->wakeAt, request->number });
    request->wakeAt = at;
    m_deadlines.insert({ at, request->number });
}

time_point dispatcher::nextCheck(const tracked_request& request) const
{
    if (!request.refusal.empty())
        return std::min(request.deadline, request.progressAt + m_limits.idempotentTimeout);
    const bool isMovable = request.hasHead ? request.canContinue() : request.isRepeatable();
    const bool canFailOver = isMovable && !request.isWaitingForDeadline;
    if (!canFailOver)
        return request.deadline;
    if (!request.target.isStream)
        return std::min(request.deadline, request.progressAt + m_limits.idempotentTimeout);
    const duration usual = request.firstEvent ? request.target.pauseLimit : request.target.objective;
    return std::min(request.deadline, request.progressAt + usual + m_limits.streamStallTimeout);
}

void dispatcher::onRequestTimer(time_point now, const tracked& request, dispatch_actions& out)
{
    const time_point due = nextCheck(*request);
    if (now < due) {
        schedule(request, due);
        return;
    }
    if (now >= request->deadline) {
        const bool mayHaveRun = request->isSent || request->runs > 0;
        out.push_back(cancel_dispatch { request->number, request->attempt });
        closeAttempt(now, *request, "deadline", request->status, out);
        if (request->hasHead)
            abortResponse(now, request, out);
        else
            refuse(now, request, mayHaveRun ? refusal_kind::serverTimeout : refusal_kind::queueTimeout, minRetryAfter, out);
        return;
    }
    const prompt_work* prompt = request->received.prompt ? &*request->received.prompt : nullptr;
    std::set<server_id> tried = request->triedServers;
    tried.insert(request->server);
    selection_request other { request->workspace, request->pool, prompt, tried };
    other.versions = allowedVersions(now, *request);
    const bool hasAlternative = canRetry(now, *request, true) && !isOriginWithdrawn(now, *request) && m_selector.select(now, other);
    if (!hasAlternative && request->refusal.empty()) {
        request->isWaitingForDeadline = true;
        schedule(request, nextCheck(*request));
        return;
    }
    m_selector.condition(request->server).failed(now);
    m_rollouts.onGivenUp(request->attempt);
    out.push_back(cancel_dispatch { request->number, request->attempt });
    failAttempt(now, request, true, "silent", request->status, out);
}

dispatch_actions dispatcher::onTick(time_point now)
{
    dispatch_actions out;
    std::vector<removed_server> removed = m_fleet.onTick(now);
    if (!removed.empty())
        m_selector.retain(m_fleet.servers());
    for (removed_server& each : removed)
        out.push_back(std::move(each));
    m_rollouts.onTick(now);
    evaluateCrashes(now, out);
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const request_number number = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        const tracked request = m_requests.at(number);
        request->wakeAt.reset();
        onRequestTimer(now, request, out);
    }
    return out;
}

time_point dispatcher::nextDeadline(time_point now) const
{
    time_point next = now + idleInterval;
    if (const auto removal = m_fleet.nextRemoval())
        next = std::min(next, *removal);
    if (const auto evaluation = m_crashes.nextEvaluation())
        next = std::min(next, *evaluation);
    if (const auto overdue = m_rollouts.nextDeadline())
        next = std::min(next, *overdue);
    if (!m_deadlines.empty())
        next = std::min(next, m_deadlines.begin()->first);
    return next;
}

dispatcher::tracked dispatcher::findByAttempt(attempt_number attempt) const
{
    const auto found = m_byAttempt.find(attempt);
    return found == m_byAttempt.end() ? nullptr : m_requests.at(found->second);
}

void dispatcher::setLoopLag(time_point now, duration lag)
{
    m_loopLag = lag;
    m_shedder.onLag(now, lag);
}

void dispatcher::setRouters(std::vector<vm_id> routers)
{
    m_budget.setLimits(retryLimits(m_limits, routers.size()));
    m_crashes.setRouterCount(routers.size());
    m_selector.setRouters(std::move(routers));
}

usage_report dispatcher::takeUsage(time_point now)
{
    usage_report taken = m_share.report();
    taken.observed = m_selector.takeObservations(now);
    taken.samples = m_selector.takeSamples(now);
    taken.lateness = m_estimateError.own(now);
    for (const auto& [id, server] : m_fleet.servers())
        m_versions.use(now, server.pool, server.softwareVersion);
    return taken;
}

void dispatcher::setFleetUsage(time_point now, const usage_totals& totals)
{
    m_share.setFleet(now, totals);
    m_selector.observedByFleet(now, totals.observed);
    m_selector.adoptSpeeds(totals.speeds);
    m_estimateError.setFleet(now, totals.lateness);
}

dispatch_actions dispatcher::onServerLimits(time_point now, const server_rate_limits& received)
{
    dispatch_actions out;
    for (const server_rate_limit& each : m_selector.limitsSeenByFleet(now, received.entries)) {
        const limit_notice notice = each.isLimited ? limit_notice::limited : limit_notice::none;
        out.push_back(limit_change { each.server, notice, each.perSecond, {}, false, each.age });
    }
    for (const server_hold& each : m_selector.holdsSeenByFleet(now, received.holds))
        out.push_back(hold_change { each.server, each.isLeaving ? hold_reason::leaving : hold_reason::resting, each.left, {}, false });
    return out;
}

void dispatcher::confirm(time_point sentAt)
{
    m_fleet.confirm(sentAt);
    m_versions.confirm(sentAt);
}

void dispatcher::markServersListed(time_point now)
{
    m_hasListedServers = true;
    m_versions.setListed(now);
}

bool dispatcher::applyPlan(serving_plan plan, bool mayBeOlder)
{
    duration longest {};
    for (const route& each : plan.routes)
        longest = std::max(longest, each.isStream ? each.timeout : duration::zero());
    m_versions.setLifetime(longest + takeUpMargin);
    return m_fleet.applyPlan(std::move(plan), mayBeOlder);
}

void dispatcher::setOutOfService(time_point now, std::set<data_centre_id> dataCentres)
{
    const std::set<data_centre_id> before = m_fleet.outOfService();
    m_fleet.setOutOfService(std::move(dataCentres));
    for (const auto& [id, server] : m_fleet.servers()) {
        const bool isBack = before.contains(server.dataCentre) && !m_fleet.outOfService().contains(server.dataCentre);
        if (isBack)
            markCold(now, server);
    }
}

void dispatcher::markCold(time_point now, const registered_server& server)
{
    const pool_profile* profile = m_fleet.profileOf(server.pool);
    const duration usual = profile ? profile->coldStart : duration::zero();
    const duration left = std::max(usual, server.remainingColdTime);
    if (left > duration::zero())
        m_selector.condition(server.id).setCold(now + left + coldMargin);
}

void dispatcher::putServer(time_point now, const registered_server& server)
{
    m_versions.use(now, server.pool, server.softwareVersion);
    const bool isNew = m_fleet.putServer(server);
    if (isNew)
        m_selector.reset(server.id);
    if (isNew && m_hasListedServers)
        markCold(now, server);
    if (server.remainingColdTime > duration::zero())
        m_selector.condition(server.id).setCold(now + server.remainingColdTime + coldMargin);
}

duration dispatcher::removeServer(time_point now, const server_id& server)
{
    const duration delay = m_fleet.removeServer(server, now);
    m_selector.retain(m_fleet.servers());
    return delay;
}

}
