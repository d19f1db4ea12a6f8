/// \file
/// The records written to the table with every change.

#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "pimentoladder/Admin/ChangeStore.h"
#include "pimentoladder/Config/Changes.h"

namespace pimentoladder {

/// Who asked for a change, when, and with which request.
struct change_origin {
    std::string changeId;
    std::string operatorName;
    std::string requestDigest; ///< SHA-256 of the request, to tell a retry from a different request.
    std::chrono::system_clock::time_point at;
};

/// Returns the transaction of a planned change: the object, the row
/// `change/<id>` and the row `history/<revision>`. The history key contains the
/// revision that the change is based on, because the revision of the transaction
/// is not known in advance; at most one change commits for each base revision.
change_transaction makeChangeTransaction(const change_plan& plan, const change_origin& origin);

/// Returns the key of the history row of the change based on \p basedOn.
std::string historyKey(revision basedOn);

/// Returns the record in a `change/` or `history/` row, with the revision of the
/// row added. A malformed record yields an object with only the revision.
nlohmann::json recordJson(const stored_row& row);

}
