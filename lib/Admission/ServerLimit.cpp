#include "pimentoladder/Admission/ServerLimit.h"

#include <algorithm>
#include <cassert>

namespace pimentoladder {

namespace {

    // A new sample has a weight of 1/16, so about the last 16 samples count.
    constexpr int smoothingWindow = 16;

}

server_limit::server_limit(const server_limit_settings& settings)
    : m_settings(settings)
    , m_limit(settings.floor)
{
    assert(settings.floor >= 1 && settings.ceiling >= settings.floor && "floor and ceiling must be in order");
}

void server_limit::setRange(std::uint32_t floor, std::uint32_t ceiling)
{
    assert(floor >= 1 && ceiling >= floor && "floor and ceiling must be in order");
    m_settings.floor = floor;
    m_settings.ceiling = ceiling;
    m_limit = std::clamp(m_limit, floor, ceiling);
}

std::uint32_t server_limit::limit() const
{
    if (m_phase == phase::ejected)
        return 0;
    if (m_phase == phase::probing)
        return 1;
    return m_limit;
}

bool server_limit::isCold() const
{
    if (m_phase != phase::serving)
        return true;
    const std::uint32_t warmFrom = std::max(m_settings.floor + 1, (m_settings.ceiling + 1) / 2);
    return m_limit < std::min(warmFrom, m_settings.ceiling);
}

bool server_limit::isAboveColdThreshold(duration firstByteLatency) const
{
    if (m_latencySamples < m_settings.minLatencySamples || firstByteLatency < m_settings.minColdLatency)
        return false;
    return static_cast<double>(firstByteLatency.count())
        > m_settings.coldLatencyFactor * static_cast<double>(m_smoothedLatency.count());
}

void server_limit::updateSmoothedLatency(duration firstByteLatency)
{
    if (firstByteLatency <= duration::zero())
        return;
    ++m_latencySamples;
    if (m_latencySamples == 1)
        m_smoothedLatency = firstByteLatency;
    m_smoothedLatency += (firstByteLatency - m_smoothedLatency) / smoothingWindow;
}

void server_limit::setCold(time_point now)
{
    m_limit = m_settings.floor;
    m_finishedInTime = 0;
    m_coldSince = now;
}

void server_limit::grow()
{
    // Requests that finish in time at the floor do not prove that the server is
    // warm while it reports itself as cold.
    if (m_isReportedCold)
        return;
    ++m_finishedInTime;
    if (m_finishedInTime < m_limit || m_limit >= m_settings.ceiling)
        return;
    ++m_limit;
    m_finishedInTime = 0;
    if (!isCold())
        m_ejections = 0;
}

void server_limit::finishProbe(time_point grantedAt, time_point now)
{
    if (grantedAt < m_ejectedUntil)
        return;
    m_phase = phase::serving;
    m_consecutiveFailures = 0;
    setCold(now);
}

void server_limit::onFinished(time_point grantedAt, duration firstByteLatency, time_point now)
{
    if (m_phase == phase::probing)
        finishProbe(grantedAt, now);
    // A request granted before the server became cold says nothing about its
    // present state.
    if (m_phase != phase::serving || grantedAt < m_coldSince)
        return;
    m_consecutiveFailures = 0;
    if (isAboveColdThreshold(firstByteLatency)) {
        // The sample is clamped to the threshold and not dropped, so that a
        // lasting change of the workload raises the smoothed value after some
        // requests.
        updateSmoothedLatency(duration(static_cast<duration::rep>(
            m_settings.coldLatencyFactor * static_cast<double>(m_smoothedLatency.count()))));
        setCold(now);
        return;
    }
    updateSmoothedLatency(firstByteLatency);
    grow();
}

bool server_limit::onFailed(time_point grantedAt, time_point now)
{
    if (m_phase == phase::ejected)
        return false;
    if (m_phase == phase::probing)
        return grantedAt >= m_ejectedUntil;
    // A crash breaks every request in flight. Requests granted before the first
    // of these failures are ignored, so that the crash counts as one failure.
    if (grantedAt < m_coldSince)
        return false;
    setCold(now);
    ++m_consecutiveFailures;
    return m_consecutiveFailures >= m_settings.failuresBeforeEjection;
}

void server_limit::onLoadReport(incarnation start, bool isReportedCold, time_point now)
{
    if (start < m_start)
        return;
    const bool isNewStart = start != m_start && m_start != incarnation();
    m_start = start;
    m_isReportedCold = isReportedCold;
    if (isNewStart || isReportedCold)
        setCold(now);
    if (isNewStart && m_phase == phase::ejected)
        m_phase = phase::probing;
    if (isNewStart)
        m_ejectedUntil = std::min(m_ejectedUntil, now);
}

void server_limit::eject(time_point now)
{
    constexpr std::uint32_t maxShift = 16;
    const duration wanted = m_settings.baseEjectionTime * (1U << std::min(m_ejections, maxShift));
    m_phase = phase::ejected;
    m_ejectedUntil = now + std::min(wanted, m_settings.maxEjectionTime);
    m_consecutiveFailures = 0;
    ++m_ejections;
    setCold(now);
}

void server_limit::onTick(time_point now)
{
    if (m_phase == phase::ejected && now >= m_ejectedUntil) {
        m_phase = phase::probing;
        m_ejectedUntil = now;
    }
}

std::optional<time_point> server_limit::ejectedUntil() const
{
    if (m_phase != phase::ejected)
        return std::nullopt;
    return m_ejectedUntil;
}

}
