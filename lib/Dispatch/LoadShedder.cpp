#include "pimentoladder/Dispatch/LoadShedder.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;
    using seconds_of = std::chrono::duration<double>;

    // Shortest time between two adaptations; in a shorter one too few requests are counted.
    constexpr duration adaptationInterval = 150ms;
    // Time in which a change of a workspace's rate is known by 63 %.
    constexpr duration rateMemory = 500ms;
    // The limit falls by at most this factor in one adaptation.
    constexpr double maxDecrease = 0.7;
    // Growth of the limit in a second without lag.
    constexpr double growthPerSecond = 1;
    // The limit ends once it exceeds the rate of requests by this factor.
    constexpr double surplusFactor = 1.5;
    // Time after a refusal for which the router counts as refusing.
    constexpr duration refusalMemory = 500ms;
    // Rates below this are forgotten.
    constexpr double negligibleRate = 0.1;
    // Time for which a workspace's unused share is kept, since requests come in bursts.
    constexpr duration burstTime = 200ms;

    double inSeconds(duration value)
    {
        return seconds_of(value).count();
    }

}

void load_shedder::onLag(time_point now, duration lag)
{
    if (!m_adaptedAt)
        m_adaptedAt = now;
    const duration elapsed = now - *m_adaptedAt;
    if (elapsed < adaptationInterval)
        return;
    m_adaptedAt = now;
    updateRates(elapsed);
    adapt(elapsed, lag);
    m_accepted = 0;
    if (m_limit)
        divideLimit();
}

void load_shedder::updateRates(duration elapsed)
{
    const double weight = 1 - std::exp(-inSeconds(elapsed) / inSeconds(rateMemory));
    for (auto& [workspace, rate] : m_rates) {
        rate.perSecond += (rate.asked / inSeconds(elapsed) - rate.perSecond) * weight;
        rate.asked = 0;
    }
    std::erase_if(m_rates, [](const auto& each) { return each.second.perSecond < negligibleRate && each.second.refused == 0; });
}

void load_shedder::adapt(duration elapsed, duration lag)
{
    const duration before = std::exchange(m_lag, lag);
    if (lag > targetLag) {
        // What has queued is still to be handled, so a lag that falls needs no lower limit.
        if (m_limit && lag < before)
            return;
        const double accepted = m_accepted / inSeconds(elapsed);
        const double factor = std::max(maxDecrease, inSeconds(targetLag) / inSeconds(lag));
        m_limit = std::max(minPerSecond, std::min(m_limit.value_or(accepted), accepted) * factor);
        return;
    }
    if (!m_limit)
        return;
    *m_limit *= 1 + growthPerSecond * inSeconds(elapsed);
    double asked = 0;
    for (const auto& [workspace, rate] : m_rates)
        asked += rate.perSecond;
    if (*m_limit > std::max(asked, minPerSecond) * surplusFactor)
        m_limit.reset();
}

void load_shedder::divideLimit()
{
    std::vector<double> rates;
    for (const auto& [workspace, rate] : m_rates)
        rates.push_back(rate.perSecond);
    std::sort(rates.begin(), rates.end());
    double left = *m_limit;
    m_sharePerSecond = left;
    for (std::size_t i = 0; i < rates.size(); ++i) {
        m_sharePerSecond = left / static_cast<double>(rates.size() - i);
        if (rates[i] >= m_sharePerSecond)
            return;
        left -= rates[i];
    }
}

bool load_shedder::shouldRefuse(time_point now, const workspace_id& workspace)
{
    workspace_rate& rate = m_rates[workspace];
    rate.asked += 1;
    if (!m_limit) {
        m_accepted += 1;
        return false;
    }
    const double most = 1 + m_sharePerSecond * inSeconds(burstTime);
    rate.allowance = std::min(most, rate.allowance + m_sharePerSecond * inSeconds(now - rate.refilledAt));
    rate.refilledAt = now;
    if (rate.allowance < 1) {
        ++rate.refused;
        m_refusedAt = now;
        return true;
    }
    rate.allowance -= 1;
    m_accepted += 1;
    return false;
}

bool load_shedder::isRefusing(time_point now) const
{
    return m_refusedAt && now - *m_refusedAt < refusalMemory;
}

std::map<workspace_id, std::uint64_t> load_shedder::takeRefused()
{
    std::map<workspace_id, std::uint64_t> taken;
    for (auto& [workspace, rate] : m_rates) {
        if (rate.refused > 0)
            taken[workspace] = std::exchange(rate.refused, 0);
    }
    return taken;
}

}
