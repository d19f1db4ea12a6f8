/// \file
/// Formats responses of the administration API as human-readable text.

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace pimentoladder {

/// Returns the items as a table with a header line. If \p columns is empty, the
/// table has a column for each field of the items, `id` first.
std::string formatTable(const nlohmann::json& items, std::vector<std::string> columns = {});

/// Returns one line for each field.
std::string formatFields(const nlohmann::json& object);

/// Returns the effects that a change would have, one line each.
std::string formatPreview(const nlohmann::json& preview);

/// Returns the outcome of a committed change as one line.
std::string formatOutcome(const nlohmann::json& outcome);

}
