/// \file
/// HTTP messages as the server and the client hand them over.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pimentoladder/Outcome/Answer.h"

namespace pimentoladder {

using http_header = header_field;
using http_headers = std::vector<http_header>;

/// Returns whether two header names are equal, ignoring case. Thread-safe.
bool isSameHeaderName(std::string_view left, std::string_view right);

/// Returns the value of the first header of this name, ignoring case.
/// Thread-safe.
std::optional<std::string_view> findHeader(const http_headers& headers, std::string_view name);

/// Removes the headers that belong to one connection: the fixed list of the
/// standard, and every header that a `Connection` header names. `Content-Length`
/// is kept. Not thread-safe.
void removeHopByHopHeaders(http_headers& headers);

/// A caller's request, complete and checked. Its headers hold no hop-by-hop
/// headers.
struct http_request {
    std::string method;
    std::string target; ///< Path and query as sent.
    http_headers headers;
    std::string body;
};

/// Status line and headers of an answer. The headers hold no hop-by-hop
/// headers.
struct http_response_head {
    int status = 200;
    http_headers headers;
};

}
