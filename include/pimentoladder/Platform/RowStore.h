/// \file
/// Interface to a row store with conditional writes and a change feed.

#pragma once

#include <functional>
#include <string>
#include <vector>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Protocol/PublishedRow.h"

namespace pimentoladder {

/// Called exactly once with the result of a read. Errors: `unavailable`, `timeout`,
/// `resourceExhausted` (the store's rate limit was exceeded), `notFound` (the
/// requested history was truncated, or the store was restored from a copy during the read;
/// list the table instead), `corruptData`.
using rows_callback = std::function<void(result<rows_page>)>;

/// Called exactly once with the result of a write.
using write_callback = std::function<void(result<void>)>;

/// Called exactly once with the revision of the rows that a transaction wrote.
using commit_callback = std::function<void(result<revision>)>;

/// A row to write in a transaction.
struct row_to_write {
    std::string table;
    std::string key;
    std::string value;
};

/// Writes that take effect together, if one row still has the revision that the writer knows.
struct row_transaction {
    std::string table; ///< Of the row that is compared.
    std::string key;
    revision expected; ///< Zero: the row does not exist.
    std::vector<row_to_write> writes;
};

/// Reads and writes rows. Implementations call back on the loop's thread, never from
/// within the call. Not thread-safe; call on the loop's thread.
class row_store {
public:
    virtual ~row_store() = default;

    /// Reads a consistent snapshot of all rows of a table.
    virtual void list(const std::string& table, rows_callback onEnd) = 0;

    /// Reads the rows changed after \p since; waits up to \p wait for a change.
    virtual void changes(const std::string& table, revision since, duration wait, rows_callback onEnd) = 0;

    /// Writes one row; with \p mustBeAbsent only if its key does not exist.
    /// Errors: `conflict` (the key exists), `outcomeUnknown` (the row may
    /// have been written, or may be later; read it back), and those of a read.
    virtual void write(const std::string& table, const std::string& key, const std::string& value, bool mustBeAbsent, write_callback onEnd) = 0;

    /// Writes rows if the row named has the expected revision. Errors: `conflict` (it has another
    /// one), `outcomeUnknown` (the rows may have been written, or may be later if the condition
    /// still holds; read them back), and those of a read.
    virtual void commit(const row_transaction& transaction, commit_callback onEnd) = 0;
};

}
