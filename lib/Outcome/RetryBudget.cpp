#include "pimentoladder/Outcome/RetryBudget.h"

#include <algorithm>

namespace pimentoladder {

void retry_budget::recordRequest(time_point now, const pool_id& pool)
{
    ++slotAt(now, pool).requests;
}

bool retry_budget::tryAcquireRetry(time_point now, const pool_id& pool)
{
    slot& current = slotAt(now, pool);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const slot& each : m_pools[pool]) {
        if (each.index < 0 || each.index + static_cast<std::int64_t>(slotCount) <= current.index)
            continue;
        requests += each.requests;
        retries += each.retries;
    }
    const auto share = static_cast<std::uint64_t>(static_cast<double>(requests) * m_limits.share);
    if (retries >= std::max(m_limits.minimum, share))
        return false;
    ++current.retries;
    return true;
}

retry_budget::slot& retry_budget::slotAt(time_point now, const pool_id& pool)
{
    const std::int64_t index = now.time_since_epoch() / slotLength;
    slot& found = m_pools[pool][static_cast<std::size_t>(index) % slotCount];
    if (found.index != index)
        found = slot { index, 0, 0 };
    return found;
}

}
