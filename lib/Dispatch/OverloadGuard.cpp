#include "pimentoladder/Dispatch/OverloadGuard.h"

#include <algorithm>

namespace pimentoladder {

namespace {

    // The last eight samples make up most of the smoothed lateness.
    constexpr int smoothing = 8;
    // A process that was frozen is late once, and that is no overload.
    constexpr duration mostLagOfOneEvent = std::chrono::milliseconds(400);

}

void overload_guard::onLag(time_point now, duration lag)
{
    m_smoothed += (std::min(lag, mostLagOfOneEvent) - m_smoothed) / smoothing;
    if (!m_since && m_smoothed > enterLag)
        m_since = now;
    if (m_since && m_smoothed < leaveLag && now - *m_since >= leastOverload)
        m_since.reset();
}

}
