/// \file
/// Base64 encoding of binary values in JSON.

#pragma once

#include <optional>
#include <string>

namespace pimentoladder {

/// Encodes \p bytes with padding. Thread-safe.
std::string encodeBase64(const std::string& bytes);

/// Decodes \p text, or returns nothing if it is not padded base64.
/// Thread-safe.
std::optional<std::string> decodeBase64(const std::string& text);

}
