/// \file
/// Runs this router's part in the roll-outs: the store's rows, the messages between routers and
/// the dispatcher's permits.

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pimentoladder/Codec/RolloutJson.h"
#include "pimentoladder/Daemon/CoreDriver.h"
#include "pimentoladder/Dispatch/FleetCodec.h"
#include "pimentoladder/Platform/RowStore.h"
#include "pimentoladder/Protocol/Messages.h"
#include "pimentoladder/Replica/FleetRouter.h"
#include "pimentoladder/Rollout/RolloutCoordinator.h"
#include "pimentoladder/Telemetry/Log.h"
#include "pimentoladder/Telemetry/Metrics.h"

namespace pimentoladder {

/// Dependencies of the driver, which outlive it.
struct rollout_driver_parts {
    dispatch_driver& dispatch;
    row_store& store;
    const fleet_codec& codec;
    logger& log;
    metrics& values;
    rollout_limits limits;
    std::function<void(const message&)> tellReaders; ///< Sends to the other readers.
    std::function<void(const message&)> tellFollowers; ///< Sends to the routers that follow this one.
};

/// Performs the actions of a `rollout_coordinator` and hands the permits to the dispatcher. It does
/// nothing while no order exists. Not thread-safe; call on the loop's thread.
class rollout_driver {
public:
    rollout_driver(rollout_driver_parts parts, const fleet_router& self);

    /// Handles the row of an order, as it came into force at \p at.
    void putOrder(const std::string& rowKey, revision at, const rollout_order& order);

    /// Handles the removal of a row that may be an order.
    void removeOrder(const std::string& rowKey);

    /// Sets the routers that read the store, and the number of routers in the fleet.
    void setReaders(const std::vector<fleet_router>& readers, std::size_t routers);

    void onReport(const member_ref& from, const rollout_report& report);
    void onPermits(const rollout_permits& received);

    /// Reports this router's evidence, and as a reader passes on the permits. Called at each
    /// exchange between the routers.
    void exchange();

    /// Returns the permits for a router that has just reported to this one; empty without orders.
    rollout_permits permits() const;

private:
    void post(const std::function<rollout_actions(rollout_coordinator&, time_point)>& event);
    void perform(const read_rollouts& step);
    void perform(const commit_rollout& step);
    void perform(const permits_changed& step);
    void perform(const rollout_event& step);
    void countServers();
    void applyPermits();
    void tellReadersOfPermits();
    void reportFigures(const rollout_report& own);

    rollout_driver_parts m_parts;
    member_ref m_self;
    rollout_json_codec m_codec;
    rollout_coordinator m_core;
    loop_timer m_timer; ///< Armed while the coordinator has a deadline.
    std::map<std::string, rollout_order> m_orders; ///< By the key of the row.
};

}
