/// \file
/// Upper bound on a peer's clock.

#pragma once

#include <deque>
#include <optional>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// Computes an upper bound on a peer's clock from heartbeat echoes, without clock
/// synchronisation.
///
/// An answer to a probe contains the peer's clock, read after the probe was sent.
/// So the peer's clock minus the time of sending is an upper bound on the offset
/// between the clocks. It exceeds the offset by the time between sending the probe
/// and that reading. Callers therefore subtract the time that the answer waited for
/// the peer's next heartbeat, and the least bound of several answers is used, with
/// an allowance for drift.
///
/// Not thread-safe; call on the loop's thread.
class remote_clock {
public:
    /// Processes an answer with the peer's clock reading \p peerClock to the probe
    /// that was sent at \p probeSentAt on this router's clock.
    void answered(time_point peerClock, time_point probeSentAt);

    /// Returns an upper bound on the peer's clock at \p now; none before the first
    /// answer.
    std::optional<time_point> upperBoundAt(time_point now) const;

private:
    struct sample {
        duration offset;
        time_point probeSentAt;
    };

    std::deque<sample> m_samples; // Newest last.
};

}
