/// \file
/// What the administration API needs of the platform's table.

#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Ids.h"

namespace pimentoladder {

/// A row to put or, without a text, to delete.
struct table_row_write {
    std::string key;
    std::optional<std::string> text;
};

/// Rows to write together, or not at all.
struct change_transaction {
    std::string changeId;
    revision basedOn; ///< The transaction fails unless the namespace is at this revision.
    std::vector<table_row_write> rows;
};

enum class submit_state {
    committed,
    conflict, ///< The namespace was at another revision; this submission wrote nothing.
    unavailable, ///< The table did not carry the transaction out and never will.
    unknown, ///< The transaction may have been or may yet be carried out.
};

struct submit_result {
    submit_state state = submit_state::unknown;
    revision at; ///< Of the transaction if committed, of the namespace if in conflict.
};

/// A row as read back.
struct stored_row {
    std::string key;
    std::string text;
    revision at; ///< Of the transaction that wrote it.
};

/// A read of one row and of the namespace's revision, at the same instant.
struct change_lookup {
    revision tableAt;
    std::optional<stored_row> row;
};

/// Access to the namespace of the document in the platform's table. Callbacks
/// are called exactly once, on the loop's thread, possibly before the call
/// returns. Not thread-safe.
class change_store {
public:
    virtual ~change_store() = default;

    /// Carries out a transaction once; never sends it again after a byte of it
    /// may have reached the table.
    virtual void submit(change_transaction transaction, std::function<void(submit_result)> callback) = 0;

    /// Reads the row `change/<id>`. Errors: `unavailable`.
    virtual void readChange(std::string changeId, std::function<void(result<change_lookup>)> callback) = 0;

    /// Reads at most \p limit rows `history/…`, the newest first, of those
    /// whose key is less than \p beforeKey (empty: all). Errors: `unavailable`.
    virtual void readHistory(
        std::size_t limit, std::string beforeKey, std::function<void(result<std::vector<stored_row>>)> callback)
        = 0;
};

}
