/// \file
/// Parsing of URL paths and queries.

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "pimentoladder/Base/Error.h"

namespace pimentoladder {

using query_parameters = std::map<std::string, std::string>;

/// Splits a path that begins with a slash into its segments.
std::vector<std::string_view> pathSegments(std::string_view path);

/// Parses and percent-decodes a query. Errors: `invalidArgument` if an escape is malformed or a
/// parameter occurs twice.
result<query_parameters> parseQuery(std::string_view query);

}
