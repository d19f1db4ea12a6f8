/// \file
/// Splits a `text/event-stream` into whole events.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pimentoladder {

/// Whole events taken from a stream, as they came.
struct event_batch {
    std::string bytes; ///< Empty if no event is complete yet.
    std::optional<std::uint64_t> lastId; ///< Id of the last event that has one.
};

/// Holds back the bytes of an event until it is complete, so that a stream that
/// breaks in the middle of an event can be resumed after the one before.
/// Not thread-safe.
class event_splitter {
public:
    /// Takes the next bytes and returns the events that they complete.
    event_batch feed(std::string_view bytes);

    /// Returns whether the bytes of an incomplete event are held back.
    bool hasPartialEvent() const { return !m_partial.empty(); }

private:
    std::string m_partial;
};

}
