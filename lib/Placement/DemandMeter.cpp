#include "pimentoladder/Placement/DemandMeter.h"

#include <cmath>

namespace pimentoladder {

demand_meter::demand_meter(demand_meter_settings settings)
    : m_settings(settings)
{
}

void demand_meter::observe(const std::map<model_id, model_demand>& demands, time_point now)
{
    double alpha = 1;
    if (m_observedAt) {
        const double elapsed = std::chrono::duration<double>(now - *m_observedAt) / std::chrono::duration<double>(m_settings.smoothing);
        alpha = 1 - std::exp(-elapsed);
    }
    m_observedAt = now;
    for (auto& [model, known] : m_demands) {
        if (!demands.contains(model))
            observeModel({ model, 0, known.granted, 0, 0 }, alpha, now);
    }
    for (const auto& [model, demand] : demands) {
        if (m_demands.contains(model) || m_demands.size() < m_settings.modelLimit)
            observeModel(demand, alpha, now);
    }
    // A model with granted cost is kept, so that an increase of this cost is
    // recognised as new use.
    std::erase_if(m_demands, [&](const auto& entry) {
        return entry.second.granted == 0 && now >= entry.second.usedAt + m_settings.steadyUseWindow;
    });
}

void demand_meter::observeModel(const model_demand& demand, double alpha, time_point now)
{
    metered_demand& metered = m_demands[demand.model];
    metered.smoothed += alpha * (demand.waiting - metered.smoothed);
    metered.waiting = demand.waiting;
    if (demand.waiting > 0 || demand.granted > metered.granted)
        metered.usedAt = now;
    metered.granted = demand.granted;
    if (demand.reachable != 0)
        metered.reachable = demand.reachable;
    metered.unservedReachable = demand.unservedReachable;
    if (demand.unservedReachable == 0)
        metered.unservedSince.reset();
    else if (!metered.unservedSince)
        metered.unservedSince = now;
}

cost_units demand_meter::smoothed(const model_id& model) const
{
    const auto found = m_demands.find(model);
    return found == m_demands.end() ? 0 : found->second.smoothed;
}

bool demand_meter::isInSteadyUse(const model_id& model, time_point now) const
{
    const auto found = m_demands.find(model);
    return found != m_demands.end() && now < found->second.usedAt + m_settings.steadyUseWindow;
}

}
