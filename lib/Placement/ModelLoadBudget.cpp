#include "pimentoladder/Placement/ModelLoadBudget.h"

#include <algorithm>

namespace pimentoladder {

namespace {

    // A larger bucket would let every shard load several models at once after an
    // idle period.
    constexpr double bucketCapacity = 1;

    // Upper bound of the rounding error when fractions of a load are added up.
    constexpr double roundingSlack = 1e-9;

}

model_load_budget::model_load_budget(double loadsPerSecond, time_point startsAt)
    : m_loadsPerSecond(loadsPerSecond)
    , m_refilledAt(startsAt)
{
}

double model_load_budget::rate() const
{
    return m_shards == 0 ? 0 : m_loadsPerSecond / static_cast<double>(m_shards);
}

double model_load_budget::availableLoads(time_point now) const
{
    const double seconds = std::chrono::duration<double>(std::max(now - m_refilledAt, duration::zero())).count();
    return std::min(bucketCapacity, m_loads + seconds * rate());
}

void model_load_budget::setShards(std::size_t shards, bool isSettled, time_point now)
{
    if (shards == m_shards || (shards < m_shards && !isSettled))
        return;
    m_loads = availableLoads(now);
    m_refilledAt = std::max(m_refilledAt, now);
    m_shards = shards;
}

bool model_load_budget::hasLoadBudget(time_point now) const
{
    return availableLoads(now) >= bucketCapacity - roundingSlack;
}

bool model_load_budget::take(time_point now)
{
    if (!hasLoadBudget(now))
        return false;
    m_loads = std::max(0.0, availableLoads(now) - 1);
    m_refilledAt = std::max(m_refilledAt, now);
    return true;
}

}
