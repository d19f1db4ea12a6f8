/// \file
/// Bound on the number of log lines in a time.

#pragma once

#include <cstdint>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// Allows a number of lines in each second and counts those beyond it.
/// Not thread-safe; call on the loop's thread.
class line_allowance {
public:
    /// \p perSecond lines are allowed in each second, whatever their spacing.
    explicit line_allowance(std::uint64_t perSecond)
        : m_perSecond(perSecond)
    {
    }

    /// Takes a line. Returns whether it may be written.
    bool take(time_point now);

    /// Returns the lines left out in the seconds before that of \p now since the
    /// last call, for a line that says so.
    std::uint64_t takeOmitted(time_point now);

    /// Returns all lines left out so far.
    std::uint64_t totalOmitted() const { return m_totalOmitted; }

private:
    void enterSecond(time_point now);

    std::uint64_t m_perSecond;
    std::chrono::seconds m_second {};
    std::uint64_t m_written = 0; ///< In the present second.
    std::uint64_t m_omitted = 0; ///< In the present second.
    std::uint64_t m_reportable = 0;
    std::uint64_t m_totalOmitted = 0;
};

}
