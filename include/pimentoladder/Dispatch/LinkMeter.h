/// \file
/// How busy the network link of this router's VM is.

#pragma once

#include <cstdint>
#include <optional>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// Parts of a link's rate that are in use, from 0 to about 1.
struct link_use {
    double received = 0;
    double sent = 0;
};

/// Computes the use of a link from counters of the bytes that this process has moved. A link that
/// carries traffic of other processes, too, is busier than this tells.
/// Not thread-safe; call on the loop's thread.
class link_meter {
public:
    /// \p bitsPerSecond: rate of the link in each direction; zero if it is not known, so that its
    /// use is always zero.
    explicit link_meter(double bitsPerSecond)
        : m_bitsPerSecond(bitsPerSecond)
    {
    }

    /// Records the bytes that have been moved since the start. Preconditions: neither the times nor
    /// the counters decrease.
    void onSample(time_point now, std::uint64_t received, std::uint64_t sent);

    /// Returns the smoothed use.
    const link_use& use() const { return m_use; }

private:
    double m_bitsPerSecond;
    link_use m_use;
    std::optional<time_point> m_sampledAt;
    std::uint64_t m_received = 0;
    std::uint64_t m_sent = 0;
};

}
