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

/// What the router knows of a request when it has been read and routed.
struct request_record {
    request_number number;
    workspace_id workspace;
    pool_id pool;
    bool isIdempotent = false;
    bool hasClaim = false; ///< Has an idempotency key and a non-idempotent method.
    bool canResume = false; ///< The pool's engines resume streams.
    cost_units costHint = 1;
    fingerprint print;
    time_point receivedAt;
};

enum class request_phase {
    received, ///< Not started.
    queued, ///< Waits for a grant, and for the claim if there is one.
    granted, ///< Holds a grant and waits for the claim.
    connecting, ///< An attempt is open; no byte has been given to the socket.
    sent, ///< Bytes may have been given to the socket; no answer yet.
    answering, ///< The caller receives the answer.
    done,
};

/// A grant as the router holds it.
struct held_grant {
    shard_id shard;
    fencing_token token;
    grant_number number;
    server_id server;
    time_point usableUntil; ///< On the router's clock; never after the owner's expiry.
};

/// Where a stream continues.
struct stream_position {
    std::string stream;
    std::uint64_t offset = 0; ///< Bytes of the body that the caller has been given.

    bool operator==(const stream_position&) const = default;
};

/// The facts of a response head that decisions depend on.
struct answer_facts {
    int status = 200;
    bool hasRetryAfter = false;
    std::string stream; ///< The engine's id of the stream; empty: none.
};

// Actions. Each names what the router does next for this request. After the
// caller has left, those that answer it only feed the claim's record.

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
/// Open an attempt. Bytes flow only after `mayGiveBytes` agrees.
struct open_attempt {
    attempt_number attempt;
    server_id server;
    std::optional<stream_position> resume; ///< Set: continue a stream instead of sending the request.
    bool mayReuseConnection = true; ///< False where a stale connection would leave the outcome unknown.
};
/// Close the attempt's connection.
struct cancel_attempt {
    attempt_number attempt;
};
/// Tell the engine to stop a stream.
struct cancel_stream {
    server_id server;
    std::string stream;
};
/// Tell the shard owner what became of a grant.
struct report_grant {
    held_grant grant;
    grant_event event = grant_event::returned;
    duration firstByteLatency {};
};
/// Give the caller the head that has just arrived.
struct forward_head {
    attempt_number attempt;
};
/// Give the caller the bytes that have just arrived.
struct forward_bytes {
    attempt_number attempt;
};
/// End the caller's answer as complete.
struct end_answer { };
/// Close the caller's connection so that the answer is seen to be cut short.
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

/// Whether bytes may be given to the socket now, and what follows.
struct send_decision {
    bool maySend = false;
    request_actions actions;
};

/// Numbers attempts over all requests of one router.
/// Not thread-safe; call on the loop's thread.
class attempt_counter {
public:
    attempt_number next() { return attempt_number(++m_last); }

private:
    std::uint64_t m_last = 0;
};

/// Limits of one request.
struct lifecycle_limits {
    duration queueTimeout = std::chrono::seconds(30); ///< From received to the grant of the first attempt.
    int furtherAttempts = 2; ///< After the first; retries and resumed streams together.
};

/// One request from its arrival to the end of its answer. Inputs that do not
/// fit the phase, and inputs of any attempt but the current one, are ignored.
/// Not thread-safe; call on the loop's thread. The budget and the counter must
/// outlive it.
class request_lifecycle {
public:
    request_lifecycle(request_record record, lifecycle_limits limits, retry_budget& budget, attempt_counter& attempts);

    const request_record& record() const { return m_record; }
    request_phase phase() const { return m_phase; }

    /// Returns whether the answer's head and bytes are needed for the claim's
    /// record, in addition to being forwarded.
    bool keepsAnswer() const { return m_record.hasClaim; }

    /// Returns whether the caller has left, so that nothing can be forwarded.
    bool hasCallerLeft() const { return m_hasCallerLeft; }

    request_actions start(time_point now);

    request_actions claimGranted(time_point now);
    request_actions claimRefused(time_point now, refusal_kind kind);
    request_actions claimReplayed(time_point now, const recorded_outcome& outcome);

    /// Takes a grant. A grant that this request does not need is returned.
    request_actions granted(time_point now, const held_grant& grant);

    /// Refuses a request that waits, for example when the router drains. Without
    /// effect once an attempt is open.
    request_actions refuseWaiting(time_point now, refusal_kind kind);

    /// The point of no return: if it returns true, a byte may be given to the
    /// socket. Asked by the client with the connection open.
    send_decision mayGiveBytes(time_point now, attempt_number attempt);

    /// The router may not give bytes to this attempt, because its server left
    /// service or the router is not fresh. Its end is then neither a failure of
    /// the server nor a retry: the request waits for another grant.
    void withhold(attempt_number attempt);

    request_actions headArrived(time_point now, attempt_number attempt, const answer_facts& facts);
    request_actions bytesArrived(time_point now, attempt_number attempt, std::size_t count);
    request_actions attemptEnded(time_point now, attempt_number attempt, attempt_end end);

    request_actions callerLeft(time_point now);

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

    /// Why the current attempt may not give bytes.
    enum class denial {
        none,
        grantExpired,
        withheld, ///< See `withhold`.
    };

    bool isCurrent(attempt_number attempt) const;
    bool isRetryAllowed(time_point now);
    void openAttempt(std::optional<stream_position> resume, request_actions& actions);
    void reportGrant(grant_event event, request_actions& actions);
    void requeue(request_actions& actions);
    void endUnsent(time_point now, request_actions& actions);
    void endSent(time_point now, attempt_end_kind kind, request_actions& actions);
    void endAnswering(time_point now, attempt_end end, request_actions& actions);
    void cutAnswer(request_actions& actions);
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
    bool m_isWaiting = false; ///< A grant has been asked for and neither came nor was withdrawn.
    denial m_denial = denial::none; ///< Of the current attempt.
    bool m_hasEverSent = false; ///< A byte of any attempt may have been given to a socket.
    bool m_awaitsHead = false; ///< The current attempt has not delivered a head.
    bool m_isResuming = false; ///< The current attempt continues a stream.
    bool m_hasCallerLeft = false;
};

}
