/// \file
/// Interface to the platform's table that the administration API needs.

#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Ids.h"

namespace pimentoladder {

/// A row to write or, without a text, to delete.
struct table_row_write {
    std::string key;
    std::optional<std::string> text;
};

/// Rows to write atomically.
struct change_transaction {
    std::string changeId;
    /// The transaction fails if an operator's change was committed after this
    /// revision. Rows that routers write, such as members, do not conflict.
    revision basedOn;
    std::vector<table_row_write> rows;
};

enum class submit_state {
    committed,
    conflict, ///< Another operator's change was committed first; this submission wrote nothing.
    unavailable, ///< The table did not execute the transaction and never will.
    unknown, ///< The transaction may have been executed, or may still be.
};

struct submit_result {
    submit_state state = submit_state::unknown;
    revision at; ///< Revision of the transaction if committed, or of the conflicting change.
};

/// A row as read from the table.
struct stored_row {
    std::string key;
    std::string text;
    revision at; ///< Revision of the transaction that wrote it.
};

/// Result of looking up one change in the table.
struct change_lookup {
    revision tableAt; ///< Revision of the namespace.
    std::optional<stored_row> row;
    /// Revision of the last operator's change, read no later than the row. If it
    /// is known, an absent row proves that no transaction based on an earlier
    /// revision can still commit. None: not read, and absence proves nothing.
    std::optional<revision> lastChange {};
};

/// Access to the namespace of the document in the platform's table. Callbacks
/// are called exactly once, on the loop's thread, possibly before the call
/// returns. Not thread-safe.
class change_store {
public:
    virtual ~change_store() = default;

    /// Executes a transaction at most once; never retries after a byte of it may
    /// have reached the table.
    virtual void submit(change_transaction transaction, std::function<void(submit_result)> callback) = 0;

    /// Reads the row `change/<id>`. Errors: `unavailable`.
    virtual void readChange(std::string changeId, std::function<void(result<change_lookup>)> callback) = 0;

    /// Reads at most \p limit rows `history/…` whose key is less than
    /// \p beforeKey (empty: any key), newest first. Errors: `unavailable`.
    virtual void readHistory(
        std::size_t limit, std::string beforeKey, std::function<void(result<std::vector<stored_row>>)> callback)
        = 0;
};

}
