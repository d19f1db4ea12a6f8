/// \file
/// Tells whether this router carries more than its VM can.

#pragma once

#include <optional>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// Judges by how late the event loop is. A router that stays late reports itself
/// unready, so that new connections go to others, and later ends the ones it has
/// after their answers. Not thread-safe; call on the loop's thread.
class overload_guard {
public:
    /// Smoothed lateness at which the router counts as overloaded: a request waits for
    /// the loop four times, and half of the shortest objective of a stream is 250 ms.
    static constexpr duration enterLag = std::chrono::milliseconds(60);
    static constexpr duration leaveLag = std::chrono::milliseconds(20);
    /// Shortest overload, so that the load that has gone does not come back at once.
    static constexpr duration leastOverload = std::chrono::seconds(4);
    /// Time until the balancer has noticed that the router is unready.
    static constexpr duration shedDelay = std::chrono::milliseconds(2200);

    /// The loop was \p lag late for an event.
    void onLag(time_point now, duration lag);

    /// Returns the smoothed lateness.
    duration lag() const { return m_smoothed; }

    bool isOverloaded() const { return m_since.has_value(); }

    /// Returns whether connections are to be ended after their answers.
    bool shedsConnections(time_point now) const { return m_since && now - *m_since >= shedDelay; }

private:
    duration m_smoothed {};
    std::optional<time_point> m_since;
};

}
