/// \file
/// Decides which engine of a shard loads or unloads which model.

#pragma once

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "pimentoladder/Placement/DemandMeter.h"
#include "pimentoladder/Placement/OrderBook.h"

namespace pimentoladder {

struct placement_settings {
    double loadsPerSecond = 1; ///< Rate of the weight store for the whole fleet; above 0.
    std::size_t modelsPerServer = 4; ///< Models that one engine holds at once.
    double growAt = 1; ///< Another server is loaded when demand exceeds the loaded capacity this many times,
    duration growPatience = std::chrono::seconds(2); ///< for this long,
    duration settleTime = std::chrono::seconds(10); ///< and this long after the last order for the model.
    duration leastResidence = std::chrono::seconds(30); ///< A loaded model that is in use stays at least this long.
    duration busyPatience = std::chrono::seconds(5); ///< A model loaded nowhere takes a busy server after this.
    duration interval = std::chrono::milliseconds(250); ///< Between two evaluations.
    demand_meter_settings meter;
    order_book_settings orders;
};

/// A server of the shard as placement sees it, at its place in `server_mask`.
struct placement_server {
    server_id id;
    bool isOrderable = false; ///< In service, and the owner's token may be used there.
    bool isIdle = false;
    std::uint32_t inUse = 0;
    cost_units capacity = 0; ///< Cost of the requests that it bears at once when warm.
};

/// Why an order is given.
enum class placement_reason {
    notLoaded, ///< Requests wait that no server can serve.
    demandAboveCapacity,
    roomForOther, ///< Another model needs the place.
};

/// Returns the reason's name in logs. Thread-safe.
std::string_view placementReasonName(placement_reason reason);

/// One decision, before it becomes an order.
struct placement_choice {
    server_id server;
    placement_action action = placement_action::load;
    model_id model;
    cost_units demand = 0; ///< Smoothed demand for the model that is to be loaded.
    cost_units capacity = 0; ///< Of the servers that have that model or load it.
    placement_reason reason = placement_reason::notLoaded;
};

/// Plans one order at a time. Not thread-safe; call on the loop's thread.
class placement_planner {
public:
    explicit placement_planner(placement_settings settings);

    /// Returns the most urgent order that is possible now; none if placement
    /// fits demand. A load is planned only if \p mayLoad.
    std::optional<placement_choice> plan(const std::vector<placement_server>& servers, const demand_meter& meter,
        const order_book& orders, bool mayLoad, time_point now);

private:
    struct model_state {
        std::optional<time_point> aboveSince;
        std::optional<time_point> orderedAt;
    };
    struct need {
        model_id model;
        cost_units demand = 0;
        cost_units capacity = 0;
        server_mask where = 0;
        bool isUnserved = false;
        bool mayTakeBusy = false;
    };
    struct snapshot {
        const std::vector<placement_server>& servers;
        const demand_meter& meter;
        const order_book& orders;
        time_point now;
    };
    struct candidate {
        std::size_t server = 0;
        std::optional<model_id> victim;
        cost_units loss = 0;
    };

    std::vector<need> needs(const snapshot& seen);
    std::optional<need> needOf(const snapshot& seen, const model_id& model, const metered_demand& demand);
    std::optional<candidate> choose(const snapshot& seen, const need& wanted) const;
    std::optional<candidate> weigh(const snapshot& seen, const need& wanted, std::size_t server) const;
    std::optional<model_id> victimAt(const snapshot& seen, std::size_t server) const;
    server_mask holders(const snapshot& seen, const model_id& model) const;

    placement_settings m_settings;
    std::map<model_id, model_state> m_models;
};

}
