/// \file
/// Base64 of binary values that travel in JSON.

#pragma once

#include <optional>
#include <string>

namespace pimentoladder {

/// Returns the text of \p bytes, with padding. Thread-safe.
std::string encodeBase64(const std::string& bytes);

/// Returns the bytes of \p text, or nothing if it is not base64 with padding.
/// Thread-safe.
std::optional<std::string> decodeBase64(const std::string& text);

}
