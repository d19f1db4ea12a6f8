/// \file
/// Port to a store of rows with conditional writes and a feed of changes.

#pragma once

#include <functional>
#include <string>
#include <vector>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

struct stored_row {
    std::string key;
    std::string value; ///< Empty if the row was deleted.
    revision at; ///< Of the transaction that wrote or deleted it.
    bool isDeleted = false;
};

/// Rows as of one revision.
struct rows_page {
    std::vector<stored_row> rows;
    revision newest; ///< Of the store when it answered.
};

/// Told once how a read ended. Errors: `unavailable`, `timeout`,
/// `resourceExhausted` (the store refuses calls for their rate), `notFound` (the
/// history asked for is gone; list the table instead), `corruptData`.
using rows_callback = std::function<void(result<rows_page>)>;

/// Reads rows. Implementations call back on the loop's thread, never from
/// within the call. Not thread-safe; call on the loop's thread.
class row_store {
public:
    virtual ~row_store() = default;

    /// Reads all rows of a table as of one moment.
    virtual void list(const std::string& table, rows_callback onEnd) = 0;

    /// Reads the rows changed after \p since, and waits up to \p wait for one.
    virtual void changes(const std::string& table, revision since, duration wait, rows_callback onEnd) = 0;
};

}
