/// \file
/// Rows of the platform's store.

#pragma once

#include <string>
#include <vector>

#include "pimentoladder/Base/Ids.h"

namespace pimentoladder {

struct published_row {
    std::string key;
    std::string value; ///< Empty if the row was deleted.
    revision at; ///< Of the transaction that wrote or deleted it.
    bool isDeleted = false;

    bool operator==(const published_row&) const = default;
};

/// Rows as of one revision.
struct rows_page {
    std::vector<published_row> rows;
    revision newest; ///< Of the store when it answered.
};

}
