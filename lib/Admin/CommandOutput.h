/// \file
/// Text for people, from the answers of the administration API.

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace pimentoladder {

/// Returns the items as a table with a line of headings. Without \p columns it
/// has a column for each field of the items, `id` first.
std::string formatTable(const nlohmann::json& items, std::vector<std::string> columns = {});

/// Returns one line for each field.
std::string formatFields(const nlohmann::json& object);

/// Returns what a change would bring about, one line for each effect.
std::string formatPreview(const nlohmann::json& preview);

/// Returns the outcome of a change.
std::string formatOutcome(const nlohmann::json& outcome);

}
