/// \file
/// Upper bound on a peer's clock.

#pragma once

#include <deque>
#include <optional>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// Bounds a peer's clock from heartbeat echoes, without clock synchronisation.
///
/// When the peer states its clock in an answer to a probe, this router's clock
/// is at or after the time at which it sent the probe. So the difference of the
/// two is an upper bound on the offset between the clocks. The bound exceeds the
/// offset by the time that the answer waited for the peer's next heartbeat, so
/// the least of several answers is used, with an allowance for drift.
///
/// Not thread-safe; call on the loop's thread.
class remote_clock {
public:
    /// Takes in an answer that states the peer's clock \p peerSentAt to the
    /// probe that was sent at \p probeSentAt on the own clock.
    void answered(time_point peerSentAt, time_point probeSentAt);

    /// Returns a time on the peer's clock that is never before the peer's
    /// present time; none before the first answer.
    std::optional<time_point> latestAt(time_point now) const;

private:
    struct sample {
        duration offset;
        time_point probeSentAt;
    };

    std::deque<sample> m_samples; // Newest last.
};

}
