/// \file
/// Client of the platform's transactional table.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Platform/CallRunner.h"

namespace pimentoladder {

/// Requires that the row was last written at this revision, or, if it is zero,
/// that the row does not exist.
struct row_condition {
    std::string key;
    revision at;
};

struct row_write {
    std::string key;
    std::optional<std::string> value; ///< `nullopt` deletes the row.
};

/// An idempotent transaction. It has a condition on a marker row, `markerKey`,
/// and writes to it a value that no other transaction writes, so at most one
/// execution can commit, and reading the row tells whether it did. For a change
/// the marker row is `change/<id>`. If the transaction deletes its marker row,
/// the row's absence counts as this transaction's commit.
struct table_transaction {
    std::string id;
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
    std::string markerKey;
};

/// How a transaction ended.
struct commit_outcome {
    bool isCommitted = false;
    revision at; ///< Of the commit, or of the row in conflict.
    std::string conflictKey; ///< Row whose condition failed; empty if committed.
};

/// A row as read; `value` is `nullopt` if the row was deleted.
struct table_row {
    std::string key;
    std::optional<std::string> value;
    revision at;
};

struct rows_reading {
    revision at; ///< Of the namespace.
    std::vector<table_row> rows;
    time_point sentAt; ///< When the read was sent.
};

struct revision_reading {
    revision at;
    time_point sentAt; ///< When the read was sent.
};

struct table_policy {
    duration batchDelay = std::chrono::milliseconds(2); ///< How long a batch waits for further transactions.
    std::size_t batchLimit = 64; ///< Most transactions in one call.
};

/// Reads rows and commits transactions in batches. Not thread-safe; call on the
/// loop's thread. The runner and the scheduler must outlive it. Callbacks are not called once it is destroyed.
class table_client {
public:
    table_client(call_runner& runner, scheduler& timers, table_policy policy);
    ~table_client();
    table_client(const table_client&) = delete;
    table_client& operator=(const table_client&) = delete;

    /// Reads the revision of a namespace.
    /// Errors: those of `call_runner::run`, and `corruptData`.
    void readRevision(const std::string& space, time_point deadline, std::function<void(result<revision_reading>)> onEnd);

    /// Reads the rows with a prefix changed after \p since, in order of key;
    /// deleted rows are included if \p since is not zero.
    /// Errors: those of `call_runner::run`, and `corruptData`.
    void readRows(const std::string& space, const std::string& prefix, revision since, time_point deadline,
        std::function<void(result<rows_reading>)> onEnd);

    /// Commits a transaction in one batch with others of the same namespace that
    /// are submitted within the batch delay. The earliest deadline in a batch
    /// applies to all of it. When an answer is lost, the batch is retried, and a
    /// transaction that then conflicts is read back.
    /// Errors: `invalidArgument` if the transaction does not use its marker row
    /// (see `table_transaction`); those of `call_runner::run`. Only after
    /// `outcomeUnknown` may the transaction have been committed, or be committed
    /// later.
    void commit(const std::string& space, table_transaction transaction, time_point deadline,
        std::function<void(result<commit_outcome>)> onEnd);

    /// Reads back whether a transaction was committed, and at which revision;
    /// `nullopt` if it was not committed at the time of the read.
    /// Errors: those of `readRows`.
    void readBackCommit(const std::string& space, const table_transaction& transaction, time_point deadline,
        std::function<void(result<std::optional<revision>>)> onEnd);

private:
    struct pending_commit {
        table_transaction transaction;
        time_point deadline;
        std::function<void(result<commit_outcome>)> onEnd;
    };
    using batch = std::vector<pending_commit>;

    void flush(const std::string& space);
    void onBatchEnd(const std::string& space, batch& sent, const result<platform_answer>& answer);
    void resolveConflict(const std::string& space, pending_commit pending, const commit_outcome& conflict);

    call_runner& m_runner;
    scheduler& m_scheduler;
    table_policy m_policy;
    std::map<std::string, batch> m_batches;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< Lets callbacks detect that this object was destroyed.
};

}
