/// \file
/// Rate limit on log lines.

#pragma once

#include <cstdint>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// Allows a fixed number of lines in each second and counts the omitted ones.
/// Not thread-safe; call on the loop's thread.
class line_allowance {
public:
    /// Allows \p perSecond lines in each whole second of the clock, in any
    /// distribution within it.
    explicit line_allowance(std::uint64_t perSecond)
        : m_perSecond(perSecond)
    {
    }

    /// Counts a line. Returns whether it may be written.
    bool take(time_point now);

    /// Returns the number of lines omitted since the last call, up to the end of
    /// the second before \p now, so that it can be logged.
    std::uint64_t takeOmitted(time_point now);

    /// Returns the number of lines omitted so far.
    std::uint64_t totalOmitted() const { return m_totalOmitted; }

private:
    void enterSecond(time_point now);

    std::uint64_t m_perSecond;
    std::chrono::seconds m_second {};
    std::uint64_t m_written = 0; ///< In the current second.
    std::uint64_t m_omitted = 0; ///< In the current second.
    std::uint64_t m_reportable = 0; ///< Omitted in past seconds and not yet reported.
    std::uint64_t m_totalOmitted = 0;
};

}
