/// \file
/// Framing of messages on a stream: a 4-byte length in network byte order, then
/// the payload.

#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "pimentoladder/Base/Error.h"

namespace pimentoladder {

/// Maximum payload size of a frame, in bytes.
constexpr std::size_t maxFrameSize = 1024UL * 1024;

/// Size of the length prefix of each payload, in bytes.
constexpr std::size_t frameHeaderSize = 4;

/// Returns \p payload with its length prefix.
/// Errors: `resourceExhausted` if the payload exceeds `maxFrameSize`.
/// Thread-safe.
result<std::string> encodeFrame(std::string_view payload);

/// Splits a stream into frames. Input may be appended in pieces of any size.
/// Not thread-safe.
class frame_parser {
public:
    /// Rejects frames with more than \p limit payload bytes.
    explicit frame_parser(std::size_t limit = maxFrameSize)
        : m_limit(limit)
    {
    }

    /// Sets the limit for frames not yet returned.
    void setLimit(std::size_t limit) { m_limit = limit; }

    /// Appends received bytes.
    void append(std::string_view bytes);

    /// Returns the payload of the next complete frame, or nothing if more bytes are
    /// needed. Errors: `corruptData` if the frame exceeds the limit; the stream must
    /// not be used further.
    result<std::optional<std::string>> next();

    /// Returns the number of buffered bytes that no frame has been returned for.
    std::size_t pending() const { return m_buffer.size() - m_consumed; }

private:
    std::size_t m_limit;
    std::string m_buffer;
    std::size_t m_consumed = 0;
};

}
