/// \file
/// Encoder and decoder of the FlatBuffers tables, without the kind.

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

/// Decodes the table of the kind with this index.
/// \p words holds the table, aligned as FlatBuffers needs it; \p size is its
/// length in bytes. Errors: `corruptData`. Precondition:
/// `index < messageKindCount`. Thread-safe.
result<message> decodeTable(std::size_t index, const std::vector<std::uint64_t>& words, std::size_t size);

}
