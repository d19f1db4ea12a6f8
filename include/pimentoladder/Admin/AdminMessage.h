/// \file
/// Requests and responses of the administration API, independent of the HTTP
/// implementation.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pimentoladder/Outcome/Answer.h"

namespace pimentoladder {

struct admin_request {
    std::string method;
    std::string path; ///< Without the query, as sent.
    std::string query; ///< Without the question mark, as sent.
    std::vector<header_field> headers;
    std::string body;
};

struct admin_response {
    int status = 200;
    std::vector<header_field> headers;
    std::string body; ///< JSON.
};

/// Returns the value of the first header of this name, ignoring case.
/// Thread-safe.
std::optional<std::string_view> findAdminHeader(const std::vector<header_field>& headers, std::string_view name);

}
