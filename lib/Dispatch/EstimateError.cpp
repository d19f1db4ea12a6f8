#include "pimentoladder/Dispatch/EstimateError.h"

#include <algorithm>
#include <cmath>

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    // Weight of a first event in the smoothed error.
    constexpr double errorGain = 0.15;
    // Distance from the smoothed error beyond which a first event counts as if it were at that
    // distance: a server that hangs says nothing about the others.
    constexpr duration maxDistance = 300ms;
    // Half-life of the smoothed error between first events: few of them say little, and without
    // any the queue has been served.
    constexpr duration errorHalfLife = 2s;
    // Time after the last first event for which the error is reported, and for which the fleet's
    // medians are used.
    constexpr duration errorLifetime = 2s;

}

duration lowerMedian(std::vector<duration> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

duration estimate_error::decayed(time_point now, const smoothed_error& last)
{
    const double halfLives = std::chrono::duration<double>(now - last.at) / std::chrono::duration<double>(errorHalfLife);
    return std::chrono::duration_cast<duration>(last.mean * std::exp2(-halfLives));
}

void estimate_error::record(time_point now, const pool_id& pool, duration late)
{
    smoothed_error& known = m_own.try_emplace(pool, smoothed_error { {}, now }).first->second;
    const duration before = decayed(now, known);
    const duration distance = std::clamp<duration>(late - before, -maxDistance, maxDistance);
    known = { before + std::chrono::duration_cast<duration>(distance * errorGain), now };
}

void estimate_error::setFleet(time_point now, const std::vector<pool_lateness>& medians)
{
    m_fleetAt = now;
    m_fleet.clear();
    for (const pool_lateness& each : medians)
        m_fleet[each.pool] = each.late;
}

std::vector<pool_lateness> estimate_error::own(time_point now) const
{
    std::vector<pool_lateness> recent;
    for (const auto& [pool, known] : m_own) {
        if (now - known.at <= errorLifetime)
            recent.push_back({ pool, decayed(now, known) });
    }
    return recent;
}

duration estimate_error::correction(time_point now, const pool_id& pool) const
{
    const bool isFleetKnown = m_fleetAt && now - *m_fleetAt <= errorLifetime;
    duration error {};
    if (const auto fleet = m_fleet.find(pool); isFleetKnown && fleet != m_fleet.end())
        error = fleet->second;
    if (const auto own = m_own.find(pool); !isFleetKnown && own != m_own.end())
        error = decayed(now, own->second);
    return std::max(error, duration::zero());
}

}
