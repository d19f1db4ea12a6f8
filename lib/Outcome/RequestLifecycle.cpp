#include "pimentoladder/Outcome/RequestLifecycle.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

#include "pimentoladder/Outcome/RetryBudget.h"

namespace pimentoladder {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusUnavailable = 503;

    bool isWaitingPhase(request_phase phase)
    {
        return phase == request_phase::queued || phase == request_phase::granted;
    }

}

bool isIdempotentMethod(std::string_view method)
{
    static constexpr std::array<std::string_view, 6> idempotent { "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE" };
    return std::find(idempotent.begin(), idempotent.end(), method) != idempotent.end();
}

request_lifecycle::request_lifecycle(
    request_record record, lifecycle_limits limits, retry_budget& budget, attempt_counter& attempts)
    : m_record(std::move(record))
    , m_limits(limits)
    , m_budget(budget)
    , m_attempts(attempts)
{
}

request_actions request_lifecycle::start(time_point now)
{
    request_actions actions;
    if (m_phase != request_phase::received)
        return actions;
    m_budget.recordRequest(now, m_record.pool);
    m_phase = request_phase::queued;
    m_queuedAt = m_record.receivedAt;
    if (m_record.hasClaim) {
        m_claim = claim_progress::pending;
        actions.emplace_back(claim_request {});
    }
    m_isWaiting = true;
    actions.emplace_back(wait_for_grant {});
    return actions;
}

request_actions request_lifecycle::claimGranted(time_point now)
{
    request_actions actions;
    if (m_claim != claim_progress::pending)
        return actions;
    m_claim = claim_progress::held;
    if (m_phase != request_phase::granted)
        return actions;
    if (now < m_grant->usableUntil) {
        openAttempt(std::nullopt, actions);
        return actions;
    }
    reportGrant(grant_event::returned, actions);
    requeue(actions);
    return actions;
}

request_actions request_lifecycle::claimRefused(time_point, refusal_kind kind)
{
    request_actions actions;
    if (m_claim != claim_progress::pending)
        return actions;
    m_claim = claim_progress::settled;
    refuse(kind, actions);
    return actions;
}

request_actions request_lifecycle::claimReplayed(time_point, const recorded_outcome& outcome)
{
    request_actions actions;
    if (m_claim != claim_progress::pending)
        return actions;
    m_claim = claim_progress::settled;
    if (m_grant)
        reportGrant(grant_event::returned, actions);
    actions.emplace_back(replay_outcome { outcome });
    finish(actions);
    return actions;
}

request_actions request_lifecycle::granted(time_point now, const held_grant& grant)
{
    request_actions actions;
    if (m_phase != request_phase::queued || now >= grant.usableUntil) {
        actions.emplace_back(report_grant { grant, grant_event::returned, {} });
        if (m_phase == request_phase::queued)
            actions.emplace_back(wait_for_grant {});
        return actions;
    }
    m_isWaiting = false;
    m_grant = grant;
    m_phase = request_phase::granted;
    if (m_claim != claim_progress::pending)
        openAttempt(std::nullopt, actions);
    return actions;
}

request_actions request_lifecycle::refuseIfWaiting(time_point, refusal_kind kind)
{
    request_actions actions;
    if (m_phase == request_phase::received || isWaitingPhase(m_phase))
        refuse(kind, actions);
    return actions;
}

send_decision request_lifecycle::mayStartSending(time_point now, attempt_number attempt)
{
    if (!isCurrent(attempt))
        return {};
    if (m_isResuming && m_phase == request_phase::answering)
        return { true, {} };
    if (m_phase != request_phase::connecting)
        return {};
    if (now >= m_grant->usableUntil) {
        m_denial = send_denial::grantExpired;
        return {};
    }
    m_phase = request_phase::sent;
    m_sentAt = now;
    send_decision decision { true, {} };
    decision.actions.emplace_back(report_grant { *m_grant, grant_event::started, {} });
    return decision;
}

void request_lifecycle::forbidSend(attempt_number attempt)
{
    if (isCurrent(attempt) && m_phase == request_phase::connecting)
        m_denial = send_denial::withheld;
}

request_actions request_lifecycle::headArrived(time_point now, attempt_number attempt, const response_head_info& facts)
{
    request_actions actions;
    if (!isCurrent(attempt) || !m_awaitsHead)
        return actions;
    if (m_isResuming) {
        m_awaitsHead = false;
        if (facts.status == statusOk)
            return actions;
        actions.emplace_back(cancel_attempt { attempt });
        abortAnswer(actions);
        return actions;
    }
    if (m_phase != request_phase::sent)
        return actions;
    m_firstByteLatency = now - m_sentAt;
    m_awaitsHead = false;
    m_hasEverSent = true;
    const bool isServerRefusal = facts.status == statusUnavailable && facts.hasRetryAfter;
    if (isServerRefusal && m_record.isIdempotent && isRetryAllowed(now)) {
        actions.emplace_back(cancel_attempt { attempt });
        reportGrant(grant_event::failed, actions);
        m_queuedAt = now;
        requeue(actions);
        return actions;
    }
    m_phase = request_phase::answering;
    m_position.stream = facts.stream;
    actions.emplace_back(forward_head { attempt });
    return actions;
}

request_actions request_lifecycle::bytesArrived(time_point, attempt_number attempt, std::size_t count)
{
    request_actions actions;
    if (!isCurrent(attempt) || m_phase != request_phase::answering || m_awaitsHead)
        return actions;
    m_position.offset += count;
    actions.emplace_back(forward_bytes { attempt });
    return actions;
}

request_actions request_lifecycle::attemptEnded(time_point now, attempt_number attempt, attempt_end end)
{
    request_actions actions;
    if (!isCurrent(attempt))
        return actions;
    if (m_phase == request_phase::answering) {
        endAnsweringAttempt(now, end, actions);
        return actions;
    }
    if (m_phase != request_phase::connecting && m_phase != request_phase::sent)
        return actions;
    if (end.kind == attempt_end_kind::notSent && !end.mayHaveBeenSent) {
        endUnsentAttempt(now, actions);
        return actions;
    }
    endSentAttempt(now, end.kind, actions);
    return actions;
}

request_actions request_lifecycle::callerDisconnected(time_point)
{
    request_actions actions;
    if (m_phase == request_phase::done || m_hasCallerDisconnected)
        return actions;
    m_hasCallerDisconnected = true;
    const bool isSent = m_phase == request_phase::sent || m_phase == request_phase::answering;
    // A claimed request continues without its caller, so that a repeated request
    // with the same key gets the outcome.
    if (isSent && m_claim == claim_progress::held)
        return actions;
    if (m_attempt != attempt_number())
        actions.emplace_back(cancel_attempt { m_attempt });
    if (m_phase == request_phase::answering && !m_position.stream.empty())
        actions.emplace_back(cancel_stream { m_grant->server, m_position.stream });
    if (m_grant)
        reportGrant(isSent ? grant_event::cancelled : grant_event::returned, actions);
    settleClaim(false, actions);
    finish(actions);
    return actions;
}

request_actions request_lifecycle::deadlinePassed(time_point now)
{
    request_actions actions;
    const std::optional<time_point> due = deadline();
    if (!due || now < *due)
        return actions;
    if (m_phase == request_phase::granted && now < m_queuedAt + m_limits.queueTimeout) {
        reportGrant(grant_event::returned, actions);
        requeue(actions);
        return actions;
    }
    refuse(refusal_kind::queueTimeout, actions);
    return actions;
}

std::optional<time_point> request_lifecycle::deadline() const
{
    const time_point queueEnd = m_queuedAt + m_limits.queueTimeout;
    if (m_phase == request_phase::queued)
        return queueEnd;
    if (m_phase == request_phase::granted)
        return std::min(queueEnd, m_grant->usableUntil);
    return std::nullopt;
}

bool request_lifecycle::isCurrent(attempt_number attempt) const
{
    return attempt != attempt_number() && attempt == m_attempt;
}

bool request_lifecycle::isRetryAllowed(time_point now)
{
    if (m_hasCallerDisconnected || m_retries >= m_limits.maxRetries)
        return false;
    if (!m_budget.tryAcquireRetry(now, m_record.pool))
        return false;
    ++m_retries;
    return true;
}

void request_lifecycle::openAttempt(std::optional<stream_position> resume, request_actions& actions)
{
    m_attempt = m_attempts.next();
    m_denial = send_denial::none;
    m_awaitsHead = true;
    m_isResuming = resume.has_value();
    if (!m_isResuming)
        m_phase = request_phase::connecting;
    actions.emplace_back(open_attempt { m_attempt, m_grant->server, std::move(resume), m_record.isIdempotent });
}

void request_lifecycle::reportGrant(grant_event event, request_actions& actions)
{
    assert(m_grant && "only a held grant can be reported");
    actions.emplace_back(report_grant { *m_grant, event, m_firstByteLatency });
    m_grant.reset();
    m_firstByteLatency = {};
}

void request_lifecycle::requeue(request_actions& actions)
{
    m_attempt = {};
    m_phase = request_phase::queued;
    m_isWaiting = true;
    actions.emplace_back(wait_for_grant {});
}

void request_lifecycle::endUnsentAttempt(time_point now, request_actions& actions)
{
    m_phase = request_phase::connecting; // Even if sending was allowed, no byte was sent.
    reportGrant(m_denial == send_denial::none ? grant_event::failed : grant_event::returned, actions);
    if (m_denial == send_denial::withheld && !m_hasCallerDisconnected) {
        // The server was not tried. The queue timeout keeps running, so the request
        // cannot be requeued forever.
        requeue(actions);
        return;
    }
    if (m_retries >= m_limits.maxRetries) {
        refuse(refusal_kind::serverUnreachable, actions);
        return;
    }
    if (!isRetryAllowed(now)) {
        refuse(refusal_kind::retryBudgetExhausted, actions);
        return;
    }
    m_queuedAt = now;
    requeue(actions);
}

void request_lifecycle::endSentAttempt(time_point now, attempt_end_kind kind, request_actions& actions)
{
    m_hasEverSent = true;
    reportGrant(grant_event::failed, actions);
    const bool isReset = kind == attempt_end_kind::resetAfterSent || kind == attempt_end_kind::truncated;
    if (isReset && m_record.isIdempotent && isRetryAllowed(now)) {
        m_queuedAt = now;
        requeue(actions);
        return;
    }
    refuse(kind == attempt_end_kind::timeout ? refusal_kind::serverTimeout : refusal_kind::serverFailed, actions);
}

void request_lifecycle::endAnsweringAttempt(time_point now, attempt_end end, request_actions& actions)
{
    if (end.kind == attempt_end_kind::complete && !m_awaitsHead) {
        reportGrant(grant_event::finished, actions);
        actions.emplace_back(end_answer {});
        settleClaim(true, actions);
        finish(actions);
        return;
    }
    const bool isBroken = end.kind != attempt_end_kind::timeout && end.kind != attempt_end_kind::malformed;
    const bool canResume = m_record.canResume && !m_position.stream.empty();
    if (isBroken && canResume && isRetryAllowed(now)) {
        openAttempt(m_position, actions);
        return;
    }
    abortAnswer(actions);
}

void request_lifecycle::abortAnswer(request_actions& actions)
{
    reportGrant(grant_event::failed, actions);
    actions.emplace_back(abort_answer {});
    settleClaim(false, actions);
    finish(actions);
}

void request_lifecycle::refuse(refusal_kind kind, request_actions& actions)
{
    // A refusal must not say "not run" once any attempt may have written bytes to a
    // socket.
    const bool reportsNotRun = refusalOf(kind).ran == run_state::notRun;
    if (m_hasEverSent && reportsNotRun)
        kind = refusal_kind::serverFailed;
    if (m_hasEverSent && !m_record.isIdempotent)
        kind = refusal_kind::outcomeUnknown;
    if (m_grant)
        reportGrant(grant_event::returned, actions);
    actions.emplace_back(refuse_request { kind });
    settleClaim(false, actions);
    finish(actions);
}

void request_lifecycle::settleClaim(bool isAnswerKnown, request_actions& actions)
{
    if (m_claim != claim_progress::pending && m_claim != claim_progress::held)
        return;
    m_claim = claim_progress::settled;
    const bool mayHaveRun = m_hasEverSent || m_phase == request_phase::sent;
    if (mayHaveRun)
        actions.emplace_back(record_claim { isAnswerKnown });
    else
        actions.emplace_back(release_claim {});
}

void request_lifecycle::finish(request_actions& actions)
{
    if (m_isWaiting)
        actions.emplace_back(stop_waiting {});
    m_isWaiting = false;
    m_attempt = {};
    m_phase = request_phase::done;
}

}
