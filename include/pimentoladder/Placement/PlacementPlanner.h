/// \file
/// Decides which engine of a shard loads or unloads which model.

#pragma once

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "pimentoladder/Placement/DemandMeter.h"
#include "pimentoladder/Placement/OrderTracker.h"

namespace pimentoladder {

struct placement_settings {
    double loadsPerSecond = 1; ///< Model loads that the weight store allows the whole fleet; above 0.
    std::size_t modelsPerServer = 4; ///< Models that one engine can hold at once.
    double scaleOutRatio = 1; ///< Another server loads a model if its demand exceeds this multiple of the loaded capacity.
    duration scaleOutDelay = std::chrono::seconds(2); ///< How long the demand must exceed that multiple before another server loads the model.
    duration scaleOutCooldown = std::chrono::seconds(10); ///< Least time from a load order for a model until it is scaled out again.
    duration minResidence = std::chrono::seconds(30); ///< A model in steady use is not unloaded until it has been loaded this long.
    duration busyServerDelay = std::chrono::seconds(5); ///< A model without a usable server may take a busy one after this wait.
    duration interval = std::chrono::milliseconds(250); ///< Time between two evaluations.
    demand_meter_settings meter;
    order_book_settings orders;
};

/// A server of the shard as input of placement; its index is that in `server_mask`.
struct placement_server {
    server_id id;
    bool isOrderable = false; ///< In service and open to orders under the owner's fencing token.
    bool isIdle = false;
    std::uint32_t inUse = 0;
    cost_units capacity = 0; ///< Cost of the requests that it can run at once when warm.
};

/// Reason for an order.
enum class placement_reason {
    notLoaded, ///< Requests wait whose workspace can use no server with the model loaded.
    demandAboveCapacity,
    roomForOther, ///< Another model is to be loaded in its place.
};

/// Returns the reason's name in logs. Thread-safe.
std::string_view placementReasonName(placement_reason reason);

/// Decision to load or unload a model, from which the caller makes an order.
struct placement_choice {
    server_id server;
    placement_action action = placement_action::load;
    model_id model;
    cost_units demand = 0; ///< Smoothed demand for the model that is to be loaded.
    cost_units capacity = 0; ///< Of the servers that have that model loaded or are loading it.
    placement_reason reason = placement_reason::notLoaded;
};

/// Plans one order at a time. Not thread-safe; call on the loop's thread.
class placement_planner {
public:
    explicit placement_planner(placement_settings settings);

    /// Returns the most urgent order that is possible now; none if there is no
    /// unmet demand or no suitable server. A load is planned only if \p mayLoad.
    std::optional<placement_choice> plan(const std::vector<placement_server>& servers, const demand_meter& meter,
        const order_tracker& orders, bool mayLoad, time_point now);

private:
    struct model_state {
        std::optional<time_point> aboveSince;
        std::optional<time_point> orderedAt;
    };
    struct unmet_demand {
        model_id model;
        cost_units demand = 0;
        cost_units capacity = 0;
        server_mask allowedServers = 0;
        bool isUnserved = false;
        bool mayUseBusyServer = false;
    };
    struct snapshot {
        const std::vector<placement_server>& servers;
        const demand_meter& meter;
        const order_tracker& orders;
        time_point now;
    };
    struct candidate {
        std::size_t server = 0;
        std::optional<model_id> victim;
        cost_units loss = 0;
    };

    std::vector<unmet_demand> unmetDemands(const snapshot& seen);
    std::optional<unmet_demand> unmetDemandOf(const snapshot& seen, const model_id& model, const metered_demand& demand);
    std::optional<candidate> choose(const snapshot& seen, const unmet_demand& wanted) const;
    std::optional<candidate> evaluateServer(const snapshot& seen, const unmet_demand& wanted, std::size_t server) const;
    std::optional<model_id> victimAt(const snapshot& seen, std::size_t server) const;
    server_mask serversWithModel(const snapshot& seen, const model_id& model) const;

    placement_settings m_settings;
    std::map<model_id, model_state> m_models;
};

}
