/// \file
/// Digests of secrets.

#pragma once

#include <string>
#include <string_view>

namespace pimentoladder {

/// Returns the SHA-256 digest of \p text in lower-case hexadecimal digits.
/// Thread-safe.
std::string sha256Hex(std::string_view text);

}
