#include "pimentoladder/Telemetry/LineAllowance.h"

#include <utility>

namespace pimentoladder {

void line_allowance::enterSecond(time_point now)
{
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch());
    if (second == m_second)
        return;
    m_second = second;
    m_written = 0;
    m_reportable += std::exchange(m_omitted, 0);
}

bool line_allowance::take(time_point now)
{
    enterSecond(now);
    if (m_written < m_perSecond) {
        ++m_written;
        return true;
    }
    ++m_omitted;
    ++m_totalOmitted;
    return false;
}

std::uint64_t line_allowance::takeOmitted(time_point now)
{
    enterSecond(now);
    return std::exchange(m_reportable, 0);
}

}
