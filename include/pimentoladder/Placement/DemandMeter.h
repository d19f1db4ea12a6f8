/// \file
/// Smoothed demand for each model at one shard.

#pragma once

#include <map>
#include <optional>

#include "pimentoladder/Admission/DemandQueues.h"
#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

struct demand_meter_settings {
    duration smoothing = std::chrono::seconds(2); ///< Time constant of the average.
    duration steadyUse = std::chrono::seconds(60); ///< A model is in steady use this long after its last request.
    std::size_t modelLimit = 256; ///< Models remembered; callers choose the names.
};

/// Demand for one model.
struct metered_demand {
    cost_units smoothed = 0; ///< Average of the waiting cost.
    cost_units waiting = 0; ///< At the last observation.
    server_mask reachable = 0; ///< Servers of the latest workspaces that waited for it.
    server_mask unservedReachable = 0;
    std::optional<time_point> unservedSince;
    time_point usedAt; ///< Last observation with a waiting or newly granted request.
    cost_units granted = 0;
};

/// Averages the demand for each model. Not thread-safe; call on the loop's thread.
class demand_meter {
public:
    explicit demand_meter(demand_meter_settings settings = {});

    /// Takes the present demand of all models.
    void observe(const std::map<model_id, model_demand>& demands, time_point now);

    const std::map<model_id, metered_demand>& demands() const { return m_demands; }

    /// Returns the smoothed demand; 0 for an unknown model.
    cost_units smoothed(const model_id& model) const;

    /// Returns whether the model was asked for within the last `steadyUse`.
    bool isInSteadyUse(const model_id& model, time_point now) const;

private:
    void observeOne(const model_demand& demand, double share, time_point now);

    demand_meter_settings m_settings;
    std::map<model_id, metered_demand> m_demands;
    std::optional<time_point> m_observedAt;
};

}
