/// \file
/// Percent-encoding of parts of a URI.

#pragma once

#include <string>
#include <string_view>

namespace pimentoladder {

/// Encodes a path segment or a value of a query: every character but the
/// unreserved ones of RFC 3986. Thread-safe.
std::string percentEncoded(std::string_view text);

}
