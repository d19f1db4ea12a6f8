/// \file
/// How many requests one backend server may have in flight.

#pragma once

#include <cstdint>
#include <optional>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

struct server_limit_settings {
    std::uint32_t floor = 1; ///< Limit of a cold server; at least 1.
    std::uint32_t ceiling = 8; ///< Highest limit; at least the floor.
    double coldLatencyFactor = 4; ///< First-byte latency above this multiple of the smoothed value means cold.
    duration leastColdLatency = std::chrono::milliseconds(20); ///< A shorter latency is never cold, so that jitter is not.
    std::uint32_t samplesBeforeDetection = 8; ///< Latencies needed before the smoothed value counts.
    std::uint32_t failuresBeforeEjection = 3; ///< Consecutive failures.
    duration firstEjection = std::chrono::seconds(1); ///< Doubles with each ejection that follows.
    duration longestEjection = std::chrono::seconds(60);
};

/// Limit of one backend server: cold floor, slow start, fall to the floor,
/// and ejection with a half-open probe. Not thread-safe; call on the loop's
/// thread.
class server_limit {
public:
    explicit server_limit(const server_limit_settings& settings);

    /// Takes a changed floor and ceiling; the limit moves into their range.
    void setRange(std::uint32_t floor, std::uint32_t ceiling);

    /// Returns the limit in force: 0 while ejected, 1 while probing.
    std::uint32_t limit() const;

    /// Whether the server is still in slow start below half of its ceiling,
    /// ejected or probing.
    bool isCold() const;

    bool isEjected() const { return m_phase == phase::ejected; }

    /// Whether the server counts against the share of a shard that may be
    /// ejected: ejected or probing.
    bool isOut() const { return m_phase != phase::serving; }

    /// A request granted at \p grantedAt ended whole. A latency above the cold
    /// threshold makes the server cold.
    void onFinished(time_point grantedAt, duration firstByteLatency, time_point now);

    /// A request granted at \p grantedAt was reset, refused, stalled or cut
    /// short. Returns whether the server should now be ejected.
    [[nodiscard]] bool onFailed(time_point grantedAt, time_point now);

    /// A report names the server's start and whether it calls itself cold. A
    /// new start, or a server that says so, is cold.
    void onLoadReport(incarnation start, bool isReportedCold, time_point now);

    /// The server is back in service, or was cold for another reason.
    void setCold(time_point now);

    /// Ejects the server. The caller checks how many servers are out.
    void eject(time_point now);

    /// Ends an ejection whose time has passed; the server is then probed.
    void onTick(time_point now);

    /// Returns the end of the ejection in force.
    std::optional<time_point> ejectedUntil() const;

private:
    enum class phase {
        serving,
        ejected,
        probing,
    };

    void finishProbe(time_point grantedAt, time_point now);
    void grow();
    bool isLate(duration firstByteLatency) const;
    void smooth(duration firstByteLatency);

    server_limit_settings m_settings;
    phase m_phase = phase::serving;
    std::uint32_t m_limit;
    bool m_isReportedCold = false; ///< By the server's latest report.
    std::uint32_t m_finishedInTime = 0;
    std::uint32_t m_consecutiveFailures = 0;
    std::uint32_t m_ejections = 0;
    std::uint32_t m_samples = 0;
    duration m_smoothed {};
    time_point m_coldSince;
    time_point m_ejectedUntil;
    incarnation m_start;
};

}
