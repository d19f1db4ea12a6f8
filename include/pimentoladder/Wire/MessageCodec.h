/// \file
/// Encoding of the messages between routers.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// Number of message kinds. A kind's index is its zero-based position in `message`.
constexpr std::size_t messageKindCount = std::variant_size_v<message>;

/// Returns the name of the kind with this index, in snake case.
/// Precondition: `index < messageKindCount`. Thread-safe.
std::string_view messageKindName(std::size_t index);

/// A payload of a kind unknown to this version. Receivers must skip it.
struct unknown_message_kind {
    std::uint8_t kind = 0;
};

/// A decoded payload.
using decoded_message = std::variant<message, unknown_message_kind>;

/// Encodes \p source as the payload of a frame: one byte for the kind, followed by
/// a FlatBuffers table. Thread-safe.
std::string encodeMessage(const message& source);

/// Decodes the payload of a frame. The FlatBuffers table is verified before use.
/// Errors: `corruptData` if the buffer is malformed, a required field is
/// missing or a value is out of range; the message names the kind and field.
/// Thread-safe.
result<decoded_message> decodeMessage(std::string_view payload);

}
