/// \file
/// State machine of one caller's request.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Outcome/Answer.h"
#include "pimentoladder/Outcome/AttemptEnd.h"
#include "pimentoladder/Outcome/Refusal.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

class retry_budget;

/// Returns whether HTTP defines the method as idempotent. Thread-safe.
bool isIdempotentMethod(std::string_view method);

/// Properties of a request that has been read and routed.
struct request_record {
    request_number number;
    workspace_id workspace;
    pool_id pool;
    bool isIdempotent = false;
    bool hasClaim = false; ///< Has an idempotency key and a non-idempotent method.
    bool canResume = false; ///< The engines of the pool can resume a stream at an offset.
    cost_units costHint = 1;
    fingerprint requestFingerprint;
    time_point receivedAt;
};

enum class request_phase {
    received, ///< `start` has not been called.
    queued, ///< Waits for a grant and, if it has an idempotency key, for the claim.
    granted, ///< Holds a grant and waits for the claim.
    connecting, ///< An attempt is open; no byte has been written to the socket.
    sent, ///< Bytes may have been written to the socket; no answer yet.
    answering, ///< The answer is being forwarded to the caller.
    done,
};

/// A grant that this router has received for a request.
struct held_grant {
    shard_id shard;
    fencing_token token;
    grant_number number;
    server_id server;
    time_point usableUntil; ///< On this router's clock; never later than the expiry on the shard owner's clock.
};

/// Position at which a broken stream is resumed.
struct stream_position {
    std::string stream;
    std::uint64_t offset = 0; ///< Bytes of the body already forwarded to the caller.

    bool operator==(const stream_position&) const = default;
};

/// The parts of a response head that the state machine depends on.
struct response_head_info {
    int status = 200;
    bool hasRetryAfter = false;
    std::string stream; ///< The engine's stream id; empty if there is none.
};

// Actions: what the router does next for this request. After the caller has
// disconnected, the actions that answer it only contribute to the claim's
// recorded outcome.

/// Ask the shard owner for a grant.
struct wait_for_grant { };
/// Stop asking for a grant.
struct stop_waiting { };
/// Claim the idempotency key.
struct claim_request { };
/// Release the claim; no byte was ever sent.
struct release_claim { };
/// Record the outcome in the claim: the answer as forwarded, or "unknown".
struct record_claim {
    bool isKnown = false;
};
/// Open an attempt. No byte is written before `mayStartSending` has allowed it.
struct open_attempt {
    attempt_number attempt;
    server_id server;
    std::optional<stream_position> resume; ///< Set: continue a stream instead of sending the request.
    bool mayReuseConnection = true; ///< False if a failure on a stale connection would leave the outcome unknown.
};
/// Close the attempt's connection.
struct cancel_attempt {
    attempt_number attempt;
};
/// Tell the engine to stop generating a stream.
struct cancel_stream {
    server_id server;
    std::string stream;
};
/// Report to the shard owner how a grant was used.
struct report_grant {
    held_grant grant;
    grant_event event = grant_event::returned;
    duration firstByteLatency {};
};
/// Forward the response head that has just arrived.
struct forward_head {
    attempt_number attempt;
};
/// Forward the body bytes that have just arrived.
struct forward_bytes {
    attempt_number attempt;
};
/// Complete the answer to the caller.
struct end_answer { };
/// Close the caller's connection so that it detects the truncated answer.
struct abort_answer { };
/// Answer with a refusal.
struct refuse_request {
    refusal_kind kind = refusal_kind::serverFailed;
};
/// Answer with the recorded outcome.
struct replay_outcome {
    recorded_outcome outcome;
};

using request_action = std::variant<wait_for_grant, stop_waiting, claim_request, release_claim, record_claim,
    open_attempt, cancel_attempt, cancel_stream, report_grant, forward_head, forward_bytes, end_answer, abort_answer,
    refuse_request, replay_outcome>;
using request_actions = std::vector<request_action>;

/// Whether bytes may be written to the socket now, and the resulting actions.
struct send_decision {
    bool maySend = false;
    request_actions actions;
};

/// Allocates attempt numbers that are unique across all requests of one router.
/// Not thread-safe; call on the loop's thread.
class attempt_counter {
public:
    attempt_number next() { return attempt_number(++m_last); }

private:
    std::uint64_t m_last = 0;
};

/// Limits of one request.
struct lifecycle_limits {
    duration queueTimeout = std::chrono::seconds(30); ///< Longest wait for a grant and the claim, from receipt or from the latest retry.
    int maxRetries = 2; ///< Attempts after the first one, including those that resume a stream.
};

/// State machine of one request, from its arrival to the end of its answer.
/// Inputs that are not valid in the current phase, and inputs of any attempt but
/// the current one, are ignored.
/// Not thread-safe; call on the loop's thread. The budget and the counter must
/// outlive it.
class request_lifecycle {
public:
    request_lifecycle(request_record record, lifecycle_limits limits, retry_budget& budget, attempt_counter& attempts);

    const request_record& record() const { return m_record; }
    request_phase phase() const { return m_phase; }

    /// Returns whether the answer's head and bytes are needed for the claim's
    /// record, in addition to being forwarded.
    bool needsAnswerForClaim() const { return m_record.hasClaim; }

    /// Returns whether the caller has disconnected, so that nothing can be forwarded.
    bool hasCallerDisconnected() const { return m_hasCallerDisconnected; }

    request_actions start(time_point now);

    request_actions claimGranted(time_point now);
    request_actions claimRefused(time_point now, refusal_kind kind);
    request_actions claimReplayed(time_point now, const recorded_outcome& outcome);

    /// Accepts a grant. A grant that this request cannot use is returned to its owner.
    request_actions granted(time_point now, const held_grant& grant);

    /// Refuses a waiting request, for example when the router drains. Has no effect
    /// once an attempt is open.
    request_actions refuseIfWaiting(time_point now, refusal_kind kind);

    /// Returns whether bytes of the request may be written to the socket. The HTTP
    /// client asks once the connection is open. Once this has returned true, the
    /// request counts as sent and may have run.
    send_decision mayStartSending(time_point now, attempt_number attempt);

    /// Forbids sending for this attempt, because its server was taken out of service
    /// or the router is not fresh. The end of the attempt then counts neither as a
    /// server failure nor as a retry: the request waits for another grant.
    void forbidSend(attempt_number attempt);

    request_actions headArrived(time_point now, attempt_number attempt, const response_head_info& facts);
    request_actions bytesArrived(time_point now, attempt_number attempt, std::size_t count);
    request_actions attemptEnded(time_point now, attempt_number attempt, attempt_end end);

    request_actions callerDisconnected(time_point now);

    /// Call when `deadline` has passed.
    request_actions deadlinePassed(time_point now);

    /// Returns when the queue or a grant that waits for the claim times out;
    /// none if neither applies.
    std::optional<time_point> deadline() const;

private:
    enum class claim_progress {
        none,
        pending,
        held,
        settled, ///< Released, recorded, or not obtained.
    };

    /// Why the current attempt may not send.
    enum class send_denial {
        none,
        grantExpired,
        withheld, ///< See `withhold`.
    };

    bool isCurrent(attempt_number attempt) const;
    bool isRetryAllowed(time_point now);
    void openAttempt(std::optional<stream_position> resume, request_actions& actions);
    void reportGrant(grant_event event, request_actions& actions);
    void requeue(request_actions& actions);
    void endUnsentAttempt(time_point now, request_actions& actions);
    void endSentAttempt(time_point now, attempt_end_kind kind, request_actions& actions);
    void endAnsweringAttempt(time_point now, attempt_end end, request_actions& actions);
    void abortAnswer(request_actions& actions);
    void refuse(refusal_kind kind, request_actions& actions);
    void settleClaim(bool isAnswerKnown, request_actions& actions);
    void finish(request_actions& actions);

    request_record m_record;
    lifecycle_limits m_limits;
    retry_budget& m_budget;
    attempt_counter& m_attempts;
    request_phase m_phase = request_phase::received;
    claim_progress m_claim = claim_progress::none;
    std::optional<held_grant> m_grant;
    attempt_number m_attempt; ///< The current attempt; zero if none.
    time_point m_queuedAt;
    time_point m_sentAt;
    duration m_firstByteLatency {};
    stream_position m_position;
    int m_retries = 0;
    bool m_isWaiting = false; ///< A grant has been requested and neither arrived nor was cancelled.
    send_denial m_denial = send_denial::none; ///< Of the current attempt.
    bool m_hasEverSent = false; ///< A byte of any attempt may have been written to a socket.
    bool m_awaitsHead = false; ///< The current attempt has not received a response head.
    bool m_isResuming = false; ///< The current attempt resumes a stream.
    bool m_hasCallerDisconnected = false;
};

}
