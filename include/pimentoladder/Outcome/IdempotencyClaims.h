/// \file
/// Claims that make a request with an idempotency key run at most once, over
/// all routers and restarts.

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

/// Names a claim: a workspace and the hash of the caller's key.
struct claim_key {
    workspace_id workspace;
    std::string keyHash;

    auto operator<=>(const claim_key&) const = default;
};

/// Returns the name of the claim's row in the table. Thread-safe.
std::string claimRowName(const claim_key& key);

/// One request on one start of one router.
struct claim_owner {
    member_ref router;
    request_number request;

    auto operator<=>(const claim_owner&) const = default;
};

enum class claim_state {
    running, ///< Claimed; the outcome is not recorded yet.
    ended, ///< `outcome` holds the answer.
    outcomeUnknown, ///< The request was sent, and its answer did not arrive whole.
};

/// A row of the claims namespace.
struct claim_row {
    claim_key key;
    fingerprint print;
    claim_owner owner;
    claim_state state = claim_state::running;
    recorded_outcome outcome; ///< Set if `state` is `ended`.
    revision changedAt; ///< Revision of the transaction that wrote the row; zero before it is written.

    bool operator==(const claim_row&) const = default;
};

using table_batch = strong_number<struct table_batch_tag>;

/// One conditional write: the row is put, or deleted, if its revision in the
/// table is `expected`. Zero expects that the row is absent.
struct claim_write {
    claim_row row;
    revision expected;
    bool isDelete = false;
};

/// Asks for one transaction that carries out all writes or none.
struct write_claims {
    table_batch batch;
    std::vector<claim_write> writes;
};

/// Asks for the present rows of the keys.
struct read_claims {
    table_batch batch;
    std::vector<claim_key> keys;
};

/// Asks to store the body of a recorded outcome as an object.
struct store_body {
    request_number request;
    std::string object;
    std::string body;
};

/// The caller's request may be dispatched. It is given at most once per claim.
struct claim_granted {
    request_number request;
};

/// The caller gets the recorded outcome.
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
    conflict, ///< At least one expectation failed; nothing was written.
    unavailable, ///< The table did not carry the transaction out and never will.
    unknown, ///< The transaction may have been or may yet be carried out.
};

/// The table's answer to `write_claims`.
struct claim_write_answer {
    table_batch batch;
    claim_write_result result = claim_write_result::unknown;
    revision at; ///< Revision of the transaction, if committed.
    std::vector<claim_row> present; ///< If conflict: the present rows of all keys in the batch.
};

/// The table's answer to `read_claims`.
struct claim_read_answer {
    table_batch batch;
    bool isAvailable = false;
    std::vector<claim_row> present; ///< Rows that exist.
};

/// Decides on claims. The table and the object store are reached through
/// actions and answers. At most one table call is in progress; what arrives
/// meanwhile goes into the next batch.
/// Not thread-safe; call on the loop's thread.
class idempotency_claims {
public:
    static constexpr std::size_t maximumBatch = 64; ///< Rows in one transaction.
    static constexpr std::size_t inlineBodyBytes = std::size_t { 16 } * 1024; ///< Larger bodies go to the object store.
    static constexpr duration claimTimeout = std::chrono::seconds(2); ///< Until a claim without an answer is given up.
    static constexpr duration tableTimeout = std::chrono::seconds(2); ///< Until a table call without an answer counts as unknown.
    static constexpr duration retryInterval = std::chrono::seconds(1); ///< Between tries to record or delete.
    static constexpr std::size_t maximumUnsent = 10000; ///< Claims remembered as given up before sending.

    /// Returns whether a router may still be running its requests.
    using owner_check = std::function<bool(const member_ref&)>;

    idempotency_claims(member_ref self, owner_check isAlive);

    /// Claims \p key for a request. Exactly one of `claim_granted`,
    /// `claim_replayed` and `claim_refused` follows, unless the request is
    /// released first.
    claim_actions claim(time_point now, request_number request, const claim_key& key, fingerprint print);

    /// States that the request has ended and no byte of it was ever sent.
    claim_actions release(time_point now, request_number request);

    /// Records the outcome of a request that was sent; none if it is unknown.
    claim_actions record(time_point now, request_number request, std::optional<recorded_outcome> outcome);

    /// Takes the result of `store_body`.
    claim_actions bodyStored(time_point now, request_number request, bool isStored);

    claim_actions writeAnswered(time_point now, const claim_write_answer& answer);
    claim_actions readAnswered(time_point now, const claim_read_answer& answer);

    /// Gives up what is overdue and repeats what failed. Call when `deadline`
    /// has passed.
    claim_actions tick(time_point now);

    /// Returns when `tick` is due; none if nothing is pending.
    std::optional<time_point> deadline() const;

    /// Returns the number of claims in memory.
    std::size_t size() const { return m_entries.size(); }

private:
    /// What has to be done for a claim next.
    enum class task {
        create, ///< Write the row, or take over one that was never used.
        none, ///< The claim is held and its request runs.
        storeBody, ///< The body is on its way to the object store.
        update, ///< Write the outcome.
        remove, ///< Delete the row.
    };
    struct entry {
        claim_row row; ///< As it is, or is to be, in the table.
        revision expected; ///< Revision of the row in the table; zero if absent.
        task next = task::create;
        bool mustRead = false; ///< What the table holds is not known.
        bool mayBeInTable = false; ///< A write of the row may have reached or may yet reach the table.
        bool isAmbiguous = false; ///< The result of an earlier write is not known.
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

    void answerFromMemory(
        request_number request, fingerprint print, const entry& other, claim_actions& actions) const;
    void enqueue(request_number request);
    void readLater(request_number request, entry& target);
    void startCall(time_point now, claim_actions& actions);
    read_claims readOf(const call& started) const;
    write_claims writeOf(const call& started);
    void committed(request_number request, entry& target, revision at, claim_actions& actions);
    void hold(request_number request, entry& target, revision at, claim_actions& actions);
    void unavailable(time_point now, request_number request, entry& target, claim_actions& actions);
    void settlePresent(request_number request, entry& target, const claim_row* present, claim_actions& actions);
    void settleCreate(request_number request, entry& target, const claim_row* present, claim_actions& actions);
    refusal_kind refusalForUnended(const claim_row& present) const;
    void giveUp(request_number request, entry& target, claim_actions& actions);
    void refuse(request_number request, refusal_kind kind, claim_actions& actions);
    void startRemoval(request_number request, entry& target);
    void rememberUnsent(const claim_owner& owner);
    void drop(request_number request);
    entry* find(request_number request);

    member_ref m_self;
    owner_check m_isAlive;
    std::map<request_number, entry> m_entries;
    std::map<claim_key, request_number> m_byKey;
    std::deque<request_number> m_queue;
    std::optional<call> m_call;
    std::uint64_t m_lastBatch = 0;
    std::set<claim_owner> m_unsent; ///< Claims of this start that were given up before a byte was sent.
    std::deque<claim_owner> m_unsentOrder;
};

}
