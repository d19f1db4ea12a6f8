/// \file
/// HTTP messages in the form in which the server and the client pass them on.

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

/// Removes the hop-by-hop headers: a fixed standard list, and every header that a
/// `Connection` header names, except `Content-Length` and `Host`. Not thread-safe.
void removeHopByHopHeaders(http_headers& headers);

/// A complete, validated request of a caller, without hop-by-hop headers.
struct http_request {
    std::string method;
    std::string target; ///< Path and query as sent.
    http_headers headers;
    std::string body;
};

/// Status and headers of a response, without hop-by-hop headers.
struct http_response_head {
    int status = 200;
    http_headers headers;
};

}
