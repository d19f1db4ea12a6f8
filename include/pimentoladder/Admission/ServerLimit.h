/// \file
/// Limit on the requests in flight at one backend server.

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
    duration minColdLatency = std::chrono::milliseconds(20); ///< Shorter latencies never count as cold, so that jitter of fast servers does not.
    std::uint32_t minLatencySamples = 8; ///< Samples needed before a latency is compared with the smoothed value.
    std::uint32_t failuresBeforeEjection = 3; ///< Consecutive failures.
    duration baseEjectionTime = std::chrono::seconds(1); ///< Doubles with each ejection that follows.
    duration maxEjectionTime = std::chrono::seconds(60);
};

/// Limit of one backend server. A cold server starts at the floor and grows in
/// slow start; a server that turns cold or fails drops to the floor; one that
/// fails repeatedly is ejected and returns through a half-open probe. Not
/// thread-safe; call on the loop's thread.
class server_limit {
public:
    explicit server_limit(const server_limit_settings& settings);

    /// Sets a changed floor and ceiling and clamps the limit to them.
    void setRange(std::uint32_t floor, std::uint32_t ceiling);

    /// Returns the limit in force: 0 while ejected, 1 while probing.
    std::uint32_t limit() const;

    /// Whether the server is still in slow start below half of its ceiling,
    /// ejected or probing.
    bool isCold() const;

    bool isEjected() const { return m_phase == phase::ejected; }

    /// Whether the server counts against the share of a shard that may be
    /// ejected: ejected or probing.
    bool isOutOfRotation() const { return m_phase != phase::serving; }

    /// A request granted at \p grantedAt completed. A latency above the cold
    /// threshold makes the server cold.
    void onFinished(time_point grantedAt, duration firstByteLatency, time_point now);

    /// A request granted at \p grantedAt was reset, refused, stalled or cut
    /// short. Returns whether the server should now be ejected.
    [[nodiscard]] bool onFailed(time_point grantedAt, time_point now);

    /// A load report arrived. The server is cold if it has restarted or reports
    /// itself as cold. Reports of an earlier incarnation are ignored.
    void onLoadReport(incarnation start, bool isReportedCold, time_point now);

    /// Drops the limit to the floor, for example when the server is back in service.
    void setCold(time_point now);

    /// Ejects the server. The caller checks how many others are ejected or probing.
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
    bool isAboveColdThreshold(duration firstByteLatency) const;
    void updateSmoothedLatency(duration firstByteLatency);

    server_limit_settings m_settings;
    phase m_phase = phase::serving;
    std::uint32_t m_limit;
    bool m_isReportedCold = false; ///< In the latest load report.
    std::uint32_t m_finishedInTime = 0;
    std::uint32_t m_consecutiveFailures = 0;
    std::uint32_t m_ejections = 0;
    std::uint32_t m_latencySamples = 0;
    duration m_smoothedLatency {};
    time_point m_coldSince;
    time_point m_ejectedUntil;
    incarnation m_start;
};

}
