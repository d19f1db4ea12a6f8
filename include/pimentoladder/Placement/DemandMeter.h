/// \file
/// Moving average of the demand for each model at one shard.

#pragma once

#include <map>
#include <optional>

#include "pimentoladder/Admission/DemandQueues.h"
#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

struct demand_meter_settings {
    duration smoothing = std::chrono::seconds(2); ///< Time constant of the average.
    duration steadyUseWindow = std::chrono::seconds(60); ///< A model counts as in steady use for this long after its last request.
    std::size_t modelLimit = 256; ///< Most models tracked; bounded because callers choose the names.
};

/// Demand for one model.
struct metered_demand {
    cost_units smoothed = 0; ///< Average of the waiting cost.
    cost_units waiting = 0; ///< At the last observation.
    server_mask reachable = 0; ///< Servers that the workspaces which last waited for it may use.
    server_mask unservedReachable = 0; ///< See `model_demand`, at the last observation.
    std::optional<time_point> unservedSince;
    time_point usedAt; ///< Last observation with a waiting or newly granted request.
    cost_units granted = 0;
};

/// Keeps a moving average of the demand for each model. Not thread-safe; call on the loop's thread.
class demand_meter {
public:
    explicit demand_meter(demand_meter_settings settings = {});

    /// Updates the averages with the present demand of all models.
    void observe(const std::map<model_id, model_demand>& demands, time_point now);

    const std::map<model_id, metered_demand>& demands() const { return m_demands; }

    /// Returns the smoothed demand; 0 for an unknown model.
    cost_units smoothed(const model_id& model) const;

    /// Returns whether the model was requested within the last `steadyUseWindow`.
    bool isInSteadyUse(const model_id& model, time_point now) const;

private:
    void observeModel(const model_demand& demand, double alpha, time_point now);

    demand_meter_settings m_settings;
    std::map<model_id, metered_demand> m_demands;
    std::optional<time_point> m_observedAt;
};

}
