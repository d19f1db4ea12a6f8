/// \file
/// Claims on idempotency keys. They make a request with a key run at most once
/// across all routers and their restarts.

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Config/Document.h"
#include "pimentoladder/Outcome/Answer.h"
#include "pimentoladder/Outcome/Refusal.h"

namespace pimentoladder {

/// Identifies a claim: a workspace and the hash of the caller's idempotency key.
struct claim_key {
    workspace_id workspace;
    std::string keyHash;

    auto operator<=>(const claim_key&) const = default;
};

/// Returns the name of the claim's row in the table. Thread-safe.
std::string claimRowName(const claim_key& key);

/// A request of one router incarnation.
struct claim_owner {
    member_ref router;
    request_number request;

    auto operator<=>(const claim_owner&) const = default;
};

enum class claim_state {
    running, ///< Claimed; no outcome is recorded yet.
    ended, ///< `outcome` holds the answer.
    outcomeUnknown, ///< The request was sent, but its complete answer was not received or not stored.
};

/// A row of the claims namespace in the table.
struct claim_row {
    claim_key key;
    fingerprint requestFingerprint;
    claim_owner owner;
    claim_state state = claim_state::running;
    recorded_outcome outcome; ///< Set if `state` is `ended`.
    revision changedAt; ///< Revision of the transaction that wrote the row; zero before it is written.

    bool operator==(const claim_row&) const = default;
};

using table_batch = strong_number<struct table_batch_tag>;

/// A compare-and-swap write: the row is put or deleted only if its revision in
/// the table equals `expected`. Zero means that the row must be absent.
struct claim_write {
    claim_row row;
    revision expected;
    bool isDelete = false;
};

/// Requests one atomic transaction that applies all writes or none.
struct write_claims {
    table_batch batch;
    std::vector<claim_write> writes;
};

/// Requests the current rows of the keys.
struct read_claims {
    table_batch batch;
    std::vector<claim_key> keys;
};

/// Requests that the body of a recorded outcome is stored as an object.
struct store_body {
    request_number request;
    std::string object;
    std::string body;
};

/// The caller's request may be dispatched. Emitted at most once per claim.
struct claim_granted {
    request_number request;
};

/// The caller receives the recorded outcome.
struct claim_replayed {
    request_number request;
    recorded_outcome outcome;
};

/// The caller's request is refused.
struct claim_refused {
    request_number request;
    refusal_kind kind = refusal_kind::claimUnavailable;
};

using claim_action
    = std::variant<write_claims, read_claims, store_body, claim_granted, claim_replayed, claim_refused>;
using claim_actions = std::vector<claim_action>;

enum class claim_write_result {
    committed,
    conflict, ///< At least one row had another revision than expected; nothing was written.
    unavailable, ///< The transaction was not executed and will not be.
    unknown, ///< The transaction may have been executed or may still be.
};

/// The table's answer to `write_claims`.
struct claim_write_answer {
    table_batch batch;
    claim_write_result result = claim_write_result::unknown;
    revision at; ///< Revision of the transaction, if committed.
    std::vector<claim_row> present; ///< On a conflict: the current rows of all keys in the batch.
};

/// The table's answer to `read_claims`.
struct claim_read_answer {
    table_batch batch;
    bool isAvailable = false;
    std::vector<claim_row> present; ///< Rows that exist.
};

/// State machine of this router's claims. It does no I/O: it returns actions for
/// the table and the object store and processes their answers. At most one table
/// call is in progress; tasks that arise in the meantime go into the next batch.
/// Not thread-safe; call on the loop's thread.
class idempotency_claims {
public:
    static constexpr std::size_t maximumBatchRows = 64; ///< Rows per transaction.
    static constexpr std::size_t inlineBodyBytes = std::size_t { 16 } * 1024; ///< Larger bodies go to the object store.
    static constexpr duration claimTimeout = std::chrono::seconds(2); ///< Time after which an undecided claim is abandoned.
    static constexpr duration tableTimeout = std::chrono::seconds(2); ///< Time after which an unanswered table call counts as `unknown`.
    static constexpr duration retryInterval = std::chrono::seconds(1); ///< Delay before a failed update, delete or read is retried.
    static constexpr std::size_t maximumUnsentClaims = 10000; ///< Most abandoned, never sent claims kept in memory.

    /// Returns whether a router incarnation may still be running its requests.
    using owner_check = std::function<bool(const member_ref&)>;

    idempotency_claims(member_ref self, owner_check isAlive);

    /// Claims \p key for a request. Emits exactly one of `claim_granted`,
    /// `claim_replayed` and `claim_refused`, now or later, unless the request is
    /// released first.
    claim_actions claim(time_point now, request_number request, const claim_key& key, fingerprint print);

    /// Releases the claim of a request that has ended without a byte being sent.
    claim_actions release(time_point now, request_number request);

    /// Records the outcome of a request that was sent; `std::nullopt` if it is unknown.
    claim_actions record(time_point now, request_number request, std::optional<recorded_outcome> outcome);

    /// Takes the result of `store_body`.
    claim_actions bodyStored(time_point now, request_number request, bool isStored);

    claim_actions writeAnswered(time_point now, const claim_write_answer& answer);
    claim_actions readAnswered(time_point now, const claim_read_answer& answer);

    /// Abandons overdue claims and table calls and retries failed ones. Call when
    /// `deadline` has passed.
    claim_actions tick(time_point now);

    /// Returns when `tick` is due; none if nothing is pending.
    std::optional<time_point> deadline() const;

    /// Returns the number of claims in memory.
    std::size_t size() const { return m_entries.size(); }

private:
    /// The next step for a claim.
    enum class task {
        create, ///< Write the row, or take over the row of a claim that was never sent.
        none, ///< Nothing to do: the claim is held and its request runs.
        storeBody, ///< Wait until the object store has stored the body.
        update, ///< Write the outcome.
        remove, ///< Delete the row.
    };
    struct entry {
        claim_row row; ///< The row as stored in the table or to be written.
        revision expected; ///< Revision of the row in the table; zero if absent.
        task next = task::create;
        bool mustRead = false; ///< The table's state is unknown; read the row before the next write.
        bool mayBeInTable = false; ///< A write of the row may have been executed or may still be.
        bool isAmbiguous = false; ///< An earlier table call ended without a usable result.
        bool isQueued = false;
        time_point startedAt;
        std::optional<time_point> retryAt;
    };
    struct called_task {
        request_number request;
        idempotency_claims::task task = task::create;
    };
    struct call {
        table_batch batch;
        bool isRead = false;
        std::vector<called_task> tasks;
        time_point startedAt;
    };

    void answerFromPendingClaim(
        request_number request, fingerprint print, const entry& other, claim_actions& actions) const;
    void enqueue(request_number request);
    void enqueueRead(request_number request, entry& target);
    void startCall(time_point now, claim_actions& actions);
    read_claims readOf(const call& started) const;
    write_claims writeOf(const call& started);
    void handleCommitted(request_number request, entry& target, revision at, claim_actions& actions);
    void grantClaim(request_number request, entry& target, revision at, claim_actions& actions);
    void handleUnavailable(time_point now, request_number request, entry& target, claim_actions& actions);
    void reconcileWithTable(request_number request, entry& target, const claim_row* present, claim_actions& actions);
    void reconcileCreate(request_number request, entry& target, const claim_row* present, claim_actions& actions);
    refusal_kind refusalForIncompleteClaim(const claim_row& present) const;
    void abandonClaim(request_number request, entry& target, claim_actions& actions);
    void refuse(request_number request, refusal_kind kind, claim_actions& actions);
    void startRemoval(request_number request, entry& target);
    void recordUnsentClaim(const claim_owner& owner);
    void drop(request_number request);
    entry* find(request_number request);

    member_ref m_self;
    owner_check m_isAlive;
    std::map<request_number, entry> m_entries;
    std::map<claim_key, request_number> m_byKey;
    std::deque<request_number> m_queue;
    std::optional<call> m_call;
    std::uint64_t m_lastBatch = 0;
    std::set<claim_owner> m_unsentClaims; ///< Claims of this incarnation abandoned before a byte was sent.
    std::deque<claim_owner> m_unsentClaimOrder; ///< `m_unsentClaims`, oldest first, for eviction.
};

}
