/// \file
/// Percent-encoding of paths and query values.

#pragma once

#include <string>
#include <string_view>

namespace pimentoladder {

/// Encodes every byte except letters, digits and "-._~/". Thread-safe.
std::string percentEncoded(std::string_view text);

}
