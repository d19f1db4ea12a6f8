/// \file
/// Detects that this router is overloaded.

#pragma once

#include <optional>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// Detects overload by the lag of the event loop. A router whose lag stays high
/// reports itself unready, so that new connections go to other routers, and later
/// closes its existing connections after their responses. Not thread-safe; call on the loop's thread.
class overload_guard {
public:
    /// Smoothed lag above which the router counts as overloaded. A request waits for
    /// the loop four times, and half of the shortest objective of a stream is 250 ms.
    static constexpr duration enterLag = std::chrono::milliseconds(60);
    /// Smoothed lag below which an overload ends.
    static constexpr duration leaveLag = std::chrono::milliseconds(20);
    /// Minimum duration of an overload, so that the load that moved to other routers does
    /// not return at once.
    static constexpr duration minOverloadDuration = std::chrono::seconds(4);
    /// Time from the start of an overload until connections are closed; by then the load
    /// balancer has noticed that the router is unready.
    static constexpr duration shedDelay = std::chrono::milliseconds(2200);

    /// Records that the loop handled an event \p lag late.
    void onLag(time_point now, duration lag);

    /// Returns the smoothed lag.
    duration lag() const { return m_smoothed; }

    bool isOverloaded() const { return m_since.has_value(); }

    /// Returns whether connections are to be closed after their responses.
    bool shouldShedConnections(time_point now) const { return m_since && now - *m_since >= shedDelay; }

private:
    duration m_smoothed {};
    std::optional<time_point> m_since;
};

}
