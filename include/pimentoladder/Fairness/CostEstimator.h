/// \file
/// Learns the ratio between the cost of requests and the hints given for them.

#pragma once

#include <cstddef>
#include <map>

#include "pimentoladder/Base/Ids.h"

namespace pimentoladder {

/// Keeps the ratio of actual cost to hint for each workspace, pool and size
/// class. A size class holds the hints between two powers of two.
/// Not thread-safe; call on the loop's thread.
class cost_estimator {
public:
    /// Returns the expected cost in cost units of a request with \p hint: the
    /// hint times the learned ratio, or the hint where nothing is learned.
    /// Hints are clamped to the range from `minHint` to `maxHint`; one that is not
    /// finite counts as 1.
    cost_units estimate(const workspace_id& workspace, const pool_id& pool, cost_units hint) const;

    /// Learns from a request that completed with cost \p actual.
    void observe(const workspace_id& workspace, const pool_id& pool, cost_units hint, cost_units actual);

    /// Returns the learned ratio; 1 where nothing is learned.
    double ratio(const workspace_id& workspace, const pool_id& pool) const;

    static constexpr cost_units minHint = 1e-3;
    static constexpr cost_units maxHint = 1e9;

private:
    static constexpr int allSizes = 1 << 20; ///< Key of the sums over all size classes.

    struct key {
        workspace_id workspace;
        pool_id pool;
        int size = allSizes; ///< Size class of the hints.
        auto operator<=>(const key&) const = default;
    };
    struct sums {
        cost_units hinted = 0;
        cost_units actual = 0;
    };

    static double ratioOf(const sums& learned);

    std::map<key, sums> m_sums;
};

}
