#include "pimentoladder/Dispatch/OverloadGuard.h"

#include <algorithm>

namespace pimentoladder {

namespace {

    // The last eight samples make up most of the smoothed lag.
    constexpr int smoothing = 8;
    // A process that was suspended has one large lag, which is not an overload.
    constexpr duration maxLagSample = std::chrono::milliseconds(400);

}

void overload_guard::onLag(time_point now, duration lag)
{
    m_smoothed += (std::min(lag, maxLagSample) - m_smoothed) / smoothing;
    if (!m_since && m_smoothed > enterLag)
        m_since = now;
    if (m_since && m_smoothed < leaveLag && now - *m_since >= minOverloadDuration)
        m_since.reset();
}

}
