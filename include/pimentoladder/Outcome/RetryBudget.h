/// \file
/// Limit on retries, so that they cannot multiply the load of a failing pool.

#pragma once

#include <array>
#include <cstdint>
#include <map>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// Retries that one router may make within the window.
struct retry_limits {
    double share = 0.1; ///< For each request.
    std::uint64_t minimum = 3; ///< At any rate of requests.
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

    /// Counts a request that a caller submitted.
    void recordRequest(time_point now, const pool_id& pool);

    /// Counts a retry and returns true, or returns false if the budget of the
    /// pool is used up.
    bool tryTake(time_point now, const pool_id& pool);

private:
    static constexpr std::size_t slotCount = 10;
    static constexpr duration slotLength = window / slotCount;

    struct slot {
        std::int64_t index = -1; ///< Number of the slot's period since the clock's epoch.
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };
    using slots = std::array<slot, slotCount>;

    slot& slotAt(time_point now, const pool_id& pool);

    retry_limits m_limits;
    std::map<pool_id, slots> m_pools;
};

}
