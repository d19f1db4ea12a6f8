/// \file
/// The records that are written with every change.

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
    std::string requestDigest; ///< SHA-256 of the request, to tell a repeat from another request.
    std::chrono::system_clock::time_point at;
};

/// Returns the transaction of a planned change: the object, the row
/// `change/<id>` and the row `history/<revision>`. The latter is named by the
/// revision that the change is based on, because the revision of the
/// transaction is not known before it; only one change can be based on each.
change_transaction makeChangeTransaction(const change_plan& plan, const change_origin& origin);

/// Returns the key of the history row of the change based on \p basedOn.
std::string historyKey(revision basedOn);

/// Returns the record in a `change/` or `history/` row, with its revision. An
/// unreadable row yields an object without further fields.
nlohmann::json recordJson(const stored_row& row);

}
