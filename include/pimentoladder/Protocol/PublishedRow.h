/// \file
/// Rows of the platform's store.

#pragma once

#include <string>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Protocol/StorePosition.h"

namespace pimentoladder {

/// One row of the store, or the record of its deletion.
struct published_row {
    std::string key;
    std::string value; ///< Empty if the row was deleted.
    store_position position; ///< Of the transaction that wrote or deleted it.
    bool isDeleted = false;

    bool operator==(const published_row&) const = default;
};

/// Rows read from the store, with the store's revision.
struct rows_page {
    std::vector<published_row> rows;
    revision newest; ///< Revision of the store when it answered.
    store_era era; ///< Era of the store when it answered, and of the rows.

    store_position position() const { return { era, newest }; }
};

}
