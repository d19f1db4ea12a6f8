#include "pimentoladder/Placement/WeightBudget.h"

#include <algorithm>

namespace pimentoladder {

namespace {

    // More would let every shard load several models at once after a quiet time.
    constexpr double mostLoads = 1;

    // Sums of fractions of a load miss the whole by less than this.
    constexpr double roundingSlack = 1e-9;

}

weight_budget::weight_budget(double loadsPerSecond, time_point startsAt)
    : m_loadsPerSecond(loadsPerSecond)
    , m_filledAt(startsAt)
{
}

double weight_budget::rate() const
{
    return m_shards == 0 ? 0 : m_loadsPerSecond / static_cast<double>(m_shards);
}

double weight_budget::filled(time_point now) const
{
    const double seconds = std::chrono::duration<double>(std::max(now - m_filledAt, duration::zero())).count();
    return std::min(mostLoads, m_loads + seconds * rate());
}

void weight_budget::setShards(std::size_t shards, bool isSettled, time_point now)
{
    if (shards == m_shards || (shards < m_shards && !isSettled))
        return;
    m_loads = filled(now);
    m_filledAt = std::max(m_filledAt, now);
    m_shards = shards;
}

bool weight_budget::hasLoad(time_point now) const
{
    return filled(now) >= mostLoads - roundingSlack;
}

bool weight_budget::take(time_point now)
{
    if (!hasLoad(now))
        return false;
    m_loads = std::max(0.0, filled(now) - 1);
    m_filledAt = std::max(m_filledAt, now);
    return true;
}

}
