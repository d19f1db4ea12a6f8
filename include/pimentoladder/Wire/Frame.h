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

/// Most bytes in the payload of a frame.
constexpr std::size_t maxFrameSize = 1024UL * 1024;

/// Bytes of the length before each payload.
constexpr std::size_t frameHeaderSize = 4;

/// Puts the length before \p payload.
/// Errors: `resourceExhausted` if the payload exceeds `maxFrameSize`.
/// Thread-safe.
result<std::string> makeFrame(std::string_view payload);

/// Cuts a stream into frames. Input may end anywhere.
/// Not thread-safe.
class frame_parser {
public:
    /// Frames with more than \p limit payload bytes are refused.
    explicit frame_parser(std::size_t limit = maxFrameSize)
        : m_limit(limit)
    {
    }

    /// Sets the limit for frames not yet returned.
    void setLimit(std::size_t limit) { m_limit = limit; }

    /// Adds bytes of the stream.
    void append(std::string_view bytes);

    /// Returns the payload of the next whole frame, or nothing until more
    /// bytes are there. Errors: `corruptData` if the frame exceeds the limit;
    /// the stream cannot be used further.
    result<std::optional<std::string>> next();

    /// Returns how many bytes wait for the rest of their frame.
    std::size_t pending() const { return m_buffer.size() - m_consumed; }

private:
    std::size_t m_limit;
    std::string m_buffer;
    std::size_t m_consumed = 0;
};

}
