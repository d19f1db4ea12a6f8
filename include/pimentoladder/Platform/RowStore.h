/// \file
/// Port to a store of rows with conditional writes and a feed of changes.

#pragma once

#include <functional>
#include <string>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Protocol/PublishedRow.h"

namespace pimentoladder {

/// Told once how a read ended. Errors: `unavailable`, `timeout`,
/// `resourceExhausted` (the store refuses calls for their rate), `notFound` (the
/// history asked for is gone; list the table instead), `corruptData`.
using rows_callback = std::function<void(result<rows_page>)>;

/// Told once how a write ended.
using write_callback = std::function<void(result<void>)>;

/// Reads and writes rows. Implementations call back on the loop's thread, never from
/// within the call. Not thread-safe; call on the loop's thread.
class row_store {
public:
    virtual ~row_store() = default;

    /// Reads all rows of a table as of one moment.
    virtual void list(const std::string& table, rows_callback onEnd) = 0;

    /// Reads the rows changed after \p since, and waits up to \p wait for one.
    virtual void changes(const std::string& table, revision since, duration wait, rows_callback onEnd) = 0;

    /// Writes one row; with \p mustBeAbsent only if the table has none of its
    /// key. Errors: `conflict` (there is one), `outcomeUnknown` (the row may
    /// have been written, or may be later; read it back), and those of a read.
    virtual void write(const std::string& table, const std::string& key, const std::string& value, bool mustBeAbsent, write_callback onEnd) = 0;
};

}
