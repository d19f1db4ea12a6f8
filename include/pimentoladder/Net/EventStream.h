/// \file
/// Splits a `text/event-stream` into whole events.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pimentoladder {

/// Complete events taken from a stream, byte for byte.
struct event_stream_batch {
    std::string bytes; ///< Empty if no event is complete yet.
    std::optional<std::uint64_t> firstId; ///< Id of the first event, if it has one.
    std::optional<std::uint64_t> lastId; ///< Id of the last event that has one.
};

/// Buffers the bytes of an event until it is complete, so that a stream that
/// breaks in the middle of an event can be resumed after the last complete one.
/// Not thread-safe.
class event_stream_splitter {
public:
    static constexpr std::size_t maxEventBytes = std::size_t { 256 } * 1024;

    /// Appends \p bytes and returns the events that they complete. Bytes after an
    /// oversized event are dropped.
    event_stream_batch feed(std::string_view bytes);

    /// Returns whether an event exceeds `maxEventBytes`, so that the stream is not valid.
    bool isOversized() const { return m_isOversized; }

    /// Returns whether an incomplete event is buffered.
    bool hasPartialEvent() const { return m_isOversized || !m_partial.empty(); }

private:
    std::string m_partial;
    std::size_t m_scanned = 0; ///< End of the last complete line of the partial event.
    std::optional<std::uint64_t> m_pendingId; ///< Id of the partial event.
    bool m_isOversized = false;
};

}
