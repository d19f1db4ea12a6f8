/// \file
/// Detects that this router is overloaded.

#pragma once

#include <optional>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// How late a loop is.
struct loop_sample {
    duration timerLag {}; ///< By how much a timer was late.
    duration processorTime {}; ///< Used by the process since the last sample.
    duration readDelay {}; ///< How long the first of the requests that have not been read has waited.
    bool isShedding = false; ///< Requests were refused lately because of the lag.
};

/// Detects overload by the lag of the event loop. A router whose lag stays high, or that refuses
/// requests to keep it low, reports itself unready, so that new connections go to other
/// routers. Its callers keep their connections and open further ones elsewhere, until it can serve
/// what is left. If the lag stays high all the same, connections close after their responses.
/// Not thread-safe; call on the loop's thread.
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
    /// Time for which the lag or the refusals must last.
    static constexpr duration enterDelay = std::chrono::milliseconds(500);
    /// Time for which the lag must exceed `enterLag` until connections are closed; by then the load
    /// balancer has noticed that the router is unready.
    static constexpr duration shedDelay = std::chrono::milliseconds(2200);

    /// \p cores of processor time are available to this process; may be a fraction.
    explicit overload_guard(double cores)
        : m_cores(cores)
    {
    }

    /// Records a measurement of the loop. Precondition: the times do not decrease.
    void onSample(time_point now, const loop_sample& sample);

    /// Returns the smoothed lag, from an event to its handling. A timer that is late because the
    /// process did not run, as in a suspended VM, does not count.
    duration lag() const { return m_smoothed; }

    bool isOverloaded() const { return m_since.has_value(); }

    /// Returns whether connections are to be closed after their responses.
    bool shouldShedConnections(time_point now) const { return m_since && m_highSince && now - *m_highSince >= shedDelay; }

private:
    double m_cores;
    duration m_smoothed {};
    std::optional<time_point> m_recordedAt;
    std::optional<time_point> m_loadedSince; ///< Since when the router has been lagging or refusing.
    std::optional<time_point> m_highSince; ///< Since when the smoothed lag has exceeded `enterLag`.
    std::optional<time_point> m_since;
};

}
