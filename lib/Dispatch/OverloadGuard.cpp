#include "pimentoladder/Dispatch/OverloadGuard.h"

namespace pimentoladder {

namespace {

    // The last eight samples make up most of the smoothed lateness.
    constexpr int smoothing = 8;

}

void overload_guard::onLag(time_point now, duration lag)
{
    m_smoothed += (lag - m_smoothed) / smoothing;
    if (!m_since && m_smoothed > enterLag)
        m_since = now;
    if (m_since && m_smoothed < leaveLag)
        m_since.reset();
}

}
