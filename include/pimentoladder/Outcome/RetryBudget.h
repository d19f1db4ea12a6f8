/// \file
/// Limit on retries, so that they cannot multiply the load of a failing pool.

#pragma once

#include <array>
#include <cstdint>
#include <map>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// Counts requests and retries of each pool over a sliding window.
/// Not thread-safe; call on the loop's thread.
class retry_budget {
public:
    static constexpr double retryShare = 0.1; ///< Retries per request within the window.
    static constexpr std::uint64_t minimumRetries = 3; ///< Allowed in each window at any rate of requests.
    static constexpr duration window = std::chrono::seconds(10);

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

    std::map<pool_id, slots> m_pools;
};

}
