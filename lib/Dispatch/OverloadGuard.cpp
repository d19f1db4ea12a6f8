#include "pimentoladder/Dispatch/OverloadGuard.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pimentoladder {

namespace {

    // Time in which a change of the lag is known by 63 %. The samples of a lagging loop are
    // far apart, so they are weighted by time.
    constexpr duration lagMemory = std::chrono::milliseconds(150);
    // Largest weight of one sample, so that no single one is taken for an overload.
    constexpr double maxWeight = 0.5;
    constexpr duration maxLagSample = std::chrono::milliseconds(400);

    /// Keeps in \p since when a condition began to hold.
    void setSince(std::optional<time_point>& since, time_point now, bool holds)
    {
        if (!holds)
            since.reset();
        else if (!since)
            since = now;
    }

}

void overload_guard::onSample(time_point now, const loop_sample& sample)
{
    const std::chrono::duration<double> elapsed = now - std::exchange(m_recordedAt, now).value_or(now);
    const double weight = std::min(maxWeight, 1 - std::exp(-elapsed / lagMemory));
    const auto busyTime = std::chrono::duration_cast<duration>(sample.processorTime / m_cores);
    const duration counted = std::min(std::min(sample.timerLag, busyTime) + sample.readDelay, maxLagSample);
    m_smoothed += std::chrono::duration_cast<duration>((counted - m_smoothed) * weight);
    setSince(m_highSince, now, m_smoothed > enterLag);
    setSince(m_loadedSince, now, m_smoothed > enterLag || sample.isShedding);
    if (!m_since && m_loadedSince && now - *m_loadedSince >= enterDelay)
        m_since = now;
    if (m_since && m_smoothed < leaveLag && !sample.isShedding && now - *m_since >= minOverloadDuration)
        m_since.reset();
}

}
