#include "pimentoladder/Fairness/CostEstimator.h"

#include <algorithm>
#include <cmath>

namespace pimentoladder {

namespace {

    // Weight of earlier requests in the sums; about the last 16 requests count.
    constexpr double decay = 15.0 / 16.0;
    // Hints are rough estimates. A ratio beyond this comes from a faulty hint or
    // cost, and learning it would distort the next charges.
    constexpr double maxRatio = 100;

    cost_units boundedHint(cost_units hint)
    {
        if (!std::isfinite(hint))
            return 1;
        return std::clamp(hint, cost_estimator::minHint, cost_estimator::maxHint);
    }

    // Hints of one size class differ by less than a factor of two.
    int sizeClass(cost_units hint)
    {
        return std::ilogb(hint);
    }

}

double cost_estimator::ratioOf(const sums& learned)
{
    // The quotient of the sums keeps the expected total charge equal to the total
    // cost; a mean of the ratios would not.
    return std::max(learned.actual / learned.hinted, 1 / maxRatio);
}

cost_units cost_estimator::estimate(const workspace_id& workspace, const pool_id& pool, cost_units hint) const
{
    const cost_units bounded = boundedHint(hint);
    const auto found = m_sums.find(key { workspace, pool, sizeClass(bounded) });
    return bounded * (found == m_sums.end() ? ratio(workspace, pool) : ratioOf(found->second));
}

void cost_estimator::observe(const workspace_id& workspace, const pool_id& pool, cost_units hint, cost_units actual)
{
    if (!std::isfinite(actual) || actual < 0)
        return;
    const cost_units bounded = boundedHint(hint);
    for (const int size : { allSizes, sizeClass(bounded) }) {
        sums& learned = m_sums[key { workspace, pool, size }];
        learned.hinted = learned.hinted * decay + bounded;
        learned.actual = learned.actual * decay + std::min(actual, bounded * maxRatio);
    }
}

double cost_estimator::ratio(const workspace_id& workspace, const pool_id& pool) const
{
    const auto found = m_sums.find(key { workspace, pool, allSizes });
    if (found == m_sums.end())
        return 1;
    return ratioOf(found->second);
}

}
