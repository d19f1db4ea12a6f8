/// \file
/// Paths and queries of URLs.

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "pimentoladder/Base/Error.h"

namespace pimentoladder {

using query_parameters = std::map<std::string, std::string>;

/// Returns the segments between slashes; the path begins with one.
std::vector<std::string_view> pathSegments(std::string_view path);

/// Decodes a query. Errors: `invalidArgument` if an escape is malformed or a
/// parameter occurs twice.
result<query_parameters> parseQuery(std::string_view query);

}
