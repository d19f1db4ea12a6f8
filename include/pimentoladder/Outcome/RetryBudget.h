/// \file
/// Limits retries so that they cannot multiply the load on a failing pool.

#pragma once

#include <array>
#include <cstdint>
#include <map>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// Retries that one router may make within the window: the greater of the two limits.
struct retry_limits {
    double share = 0.1; ///< Retries as a fraction of the requests in the window.
    std::uint64_t minimum = 3; ///< Retries allowed however few requests there are.
};

/// Counts requests and retries of each pool over a sliding window.
/// Not thread-safe; call on the loop's thread.
class retry_budget {
public:
    static constexpr duration window = std::chrono::seconds(10);

    explicit retry_budget(retry_limits limits = {})
        : m_limits(limits)
    {
    }

    void setLimits(retry_limits limits) { m_limits = limits; }
    const retry_limits& limits() const { return m_limits; }

    /// Counts a request that a caller sent. Retries are not counted here.
    void recordRequest(time_point now, const pool_id& pool);

    /// Counts a retry and returns true, or returns false if the pool's budget is
    /// exhausted.
    bool tryAcquireRetry(time_point now, const pool_id& pool);

private:
    static constexpr std::size_t slotCount = 10;
    static constexpr duration slotLength = window / slotCount;

    struct slot {
        std::int64_t index = -1; ///< Number of slot lengths since the clock's epoch; -1 if unused.
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };
    using slots = std::array<slot, slotCount>;

    slot& slotAt(time_point now, const pool_id& pool);

    retry_limits m_limits;
    std::map<pool_id, slots> m_pools;
};

}
