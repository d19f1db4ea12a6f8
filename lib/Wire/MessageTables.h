/// \file
/// Encoding and decoding of the FlatBuffers tables, without the kind byte.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// Encodes \p source as a FlatBuffers table. Thread-safe.
std::string encodeTable(const message& source);

/// Decodes a table of the kind with this \p index. \p words holds the table with the
/// alignment that FlatBuffers requires; \p size is its length in bytes. Errors: `corruptData`. Precondition:
/// `index < messageKindCount`. Thread-safe.
result<message> decodeTable(std::size_t index, const std::vector<std::uint64_t>& words, std::size_t size);

}
