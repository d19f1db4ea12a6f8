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
    /// Smoothed lateness at which the router counts as overloaded: a tenth of a
    /// second is the whole objective of the shortest requests.
    static constexpr duration enterLag = std::chrono::milliseconds(100);
    static constexpr duration leaveLag = std::chrono::milliseconds(20);
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
