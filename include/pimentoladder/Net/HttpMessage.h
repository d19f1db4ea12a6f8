/// \file
/// HTTP messages in the form in which the server and the client pass them on.

#pragma once

#include <concepts>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pimentoladder/Outcome/Answer.h"

namespace pimentoladder {

class memory_room;

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

/// Bytes of a body that its owners share without copies: the request, its attempts and the
/// output of a connection. Not thread-safe.
class shared_body {
public:
    shared_body() = default;
    template <std::convertible_to<std::string> Text>
    shared_body(Text text)
        : m_text(std::make_shared<const std::string>(std::move(text)))
    {
    }
    explicit shared_body(std::shared_ptr<const std::string> text)
        : m_text(std::move(text))
    {
    }

    std::string_view view() const { return m_text ? std::string_view(*m_text) : std::string_view(); }

private:
    std::shared_ptr<const std::string> m_text;
};

/// A complete, validated request of a caller, without hop-by-hop headers.
struct http_request {
    std::string method;
    std::string target; ///< Path and query as sent.
    http_headers headers;
    std::string body;
    std::shared_ptr<memory_room> room {}; ///< Of the head and body. It is to be kept as long as they are.
};

/// Status and headers of a response, without hop-by-hop headers.
struct http_response_head {
    int status = 200;
    http_headers headers;
};

}
