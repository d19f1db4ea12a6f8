/// \file
/// By how much the first events of requests come later than expected.

#pragma once

#include <map>
#include <optional>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// Tracks the error of the expected first events at the servers of each pool. A request goes to the
/// server with the earliest expected first event, and that is often one whose queue is
/// underestimated, so that the mean error of the requests that are sent is above zero while queues
/// are long. Routers that have trouble of their own must not judge the servers by it, so the
/// median over the routers counts, and this router's own error only without recent sums.
/// Not thread-safe; call on the loop's thread.
class estimate_error {
public:
    /// Records that a first event came \p late later than expected; negative: earlier.
    void record(time_point now, const pool_id& pool, duration late);

    /// Sets the median errors over all routers.
    void setFleet(time_point now, const std::vector<pool_lateness>& medians);

    /// Returns this router's smoothed error for each pool with recent first events.
    std::vector<pool_lateness> own(time_point now) const;

    /// Returns by how much the first event of a request to the pool is to be expected later than
    /// the estimate for its server; zero if first events come earlier.
    duration correction(time_point now, const pool_id& pool) const;

private:
    struct smoothed_error {
        duration mean {}; ///< As of `at`.
        time_point at;
    };

    static duration decayed(time_point now, const smoothed_error& last);

    std::map<pool_id, smoothed_error> m_own;
    std::map<pool_id, duration> m_fleet;
    std::optional<time_point> m_fleetAt;
};

/// Returns the median of \p values; of an even number, the lower one of the two in the middle.
/// Precondition: there is a value. Thread-safe.
duration lowerMedian(std::vector<duration> values);

}
