/// \file
/// Placement of models on the engines of one owned shard.

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "pimentoladder/Admission/ShardScheduler.h"
#include "pimentoladder/Placement/DemandMeter.h"
#include "pimentoladder/Placement/ModelLoadBudget.h"
#include "pimentoladder/Placement/OrderTracker.h"
#include "pimentoladder/Placement/PlacementPlanner.h"

namespace pimentoladder {

/// An order to send and the planner's choice behind it.
struct placement_step {
    placement_order order;
    placement_choice choice;
};

/// Figures of one shard, for metrics.
struct placement_statistics {
    struct model_figures {
        model_id model;
        cost_units demand = 0;
        std::size_t loadedServers = 0;
    };
    order_counters orders;
    bool isStopped = false;
    double loadsPerSecond = 0; ///< Share of the weight store's rate.
    std::vector<model_figures> models;
};

/// Combines the demand meter, the planner, the order book and the load budget for
/// one ownership of a shard. Not thread-safe; call on the loop's thread.
class shard_placement {
public:
    /// \p scheduler outlives the object. The servers that the shard holds now may
    /// receive orders under \p ownership from its `grantsFrom` on.
    shard_placement(const shard_ownership& ownership, shard_scheduler& scheduler, cost_units requestCost,
        const placement_settings& settings, time_point now);

    /// The document changed. Orders to a server that has joined the shard since
    /// carry \p token, because its engine may have seen the token of the
    /// owner of the shard that it left.
    void onDocumentChanged(fencing_token token, revision at, time_point now);

    /// Sets the number of shards that share the weight store's rate.
    void setShards(std::size_t shards, bool isSettled, time_point now) { m_budget.setShards(shards, isSettled, now); }

    void onState(const engine_state& state, time_point now);
    void onAnswer(const server_id& server, order_number number, order_outcome outcome, time_point now);

    /// Returns the order to send now, if there is one, numbered \p next.
    /// Precondition: the owner is fresh, on evidence from \p basis.
    /// \p acceptedAt returns a time by which a revision had been accepted.
    std::optional<placement_step> onTick(time_point basis,
        const std::function<std::optional<time_point>(revision)>& acceptedAt, order_number next, time_point now);

    /// Returns the engines whose models must be read now.
    std::vector<server_id> takeReadsDue(time_point now) { return m_orders.takeReadsDue(now); }

    /// Returns whether the order is still in progress and its server may receive
    /// orders.
    bool isOrderSendable(const server_id& server, order_number number, time_point now) const;

    placement_statistics figures() const;

private:
    struct placed_server {
        fencing_token token;
        revision since; ///< Revision with which the server joined the shard; zero: it was there when the ownership began.
        time_point learnedAt;
        std::optional<time_point> ordersFrom;
    };

    std::vector<placement_server> describeServers(time_point now) const;
    void updateOrderTrackerServers();
    void updateScheduler(const server_id& server, time_point now);

    shard_ownership m_ownership;
    shard_scheduler& m_scheduler;
    cost_units m_requestCost;
    placement_settings m_settings;
    demand_meter m_meter;
    order_tracker m_orders;
    placement_planner m_planner;
    model_load_budget m_budget;
    std::map<server_id, placed_server> m_servers;
    std::optional<time_point> m_plannedAt;
};

}
