/// \file
/// Ownership of shards by this router.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "pimentoladder/Admission/ShardScheduler.h"
#include "pimentoladder/Fairness/CostEstimator.h"
#include "pimentoladder/Fairness/ServiceLedger.h"
#include "pimentoladder/Router/Actions.h"
#include "pimentoladder/Router/FleetCoordinator.h"
#include "pimentoladder/Router/ShardDirectory.h"
#include "pimentoladder/Router/ShardPlacement.h"

namespace pimentoladder {

/// Takes over and hands over shards according to the document and the set of
/// suspended members, and passes messages to the scheduler of each owned shard.
/// Event handlers append the resulting actions to `out`. Not thread-safe; call on
/// the loop's thread.
class owner_role {
public:
    /// \p fleet and \p directory outlive the role.
    owner_role(const fleet_coordinator& fleet, const shard_directory& directory, std::uint64_t seed,
        const placement_settings& placement = {});
    ~owner_role();

    /// The document, the set of suspended members or the router's own
    /// incarnation changed, and the shard directory was rebuilt.
    void onDirectoryChanged(time_point now, router_actions& out);

    void onAcquire(const member_ref& from, const acquire& received, time_point now, router_actions& out);
    void onGrantReport(const member_ref& from, const grant_report& received, time_point now);
    void onInFlightReport(const member_ref& from, const in_flight_report& received, time_point now);
    void onShardRelease(const member_ref& from, const shard_release& received);
    void onServiceCounters(const member_ref& from, const service_counters& received);

    /// A link to \p peer opened. Tells the peer which shards this router owns.
    void onLinkOpened(const member_ref& peer, time_point now, router_actions& out);

    /// A backend server answered a load poll.
    void onLoadReport(const server_load& received, time_point now, router_actions& out);

    /// A backend server did not answer a load poll.
    void onLoadFailed(const server_id& server, time_point now, router_actions& out);

    /// An engine answered an order, or reported its models.
    void onOrderAnswered(const server_id& server, order_number number, order_outcome outcome, time_point now);
    void onModelsRead(const engine_state& state, time_point now);

    /// Returns whether the first byte of an order may be written to its socket.
    bool maySendOrder(const server_id& server, order_number number, time_point now) const;

    /// A router lost its connection to a server while the listed requests ran
    /// there. It counts as a crash once a load poll fails or shows that the
    /// server has restarted.
    void onSuspectedCrash(const crash_report& received, time_point now);

    /// Issues grants, polls load and exchanges counters.
    void onTick(time_point now, router_actions& out);

    std::optional<time_point> nextDeadline() const;

    /// Figures of one owned shard, for metrics.
    struct owned_figures {
        shard_id shard;
        shard_statistics figures;
    };
    std::vector<owned_figures> figures() const;

    /// Figures of one server of an owned shard, for metrics.
    struct server_statistics {
        server_id server;
        std::uint32_t limit = 0;
        std::uint32_t inUse = 0;
    };
    std::vector<server_statistics> serverFigures() const;

    /// Placement in one owned shard, for metrics.
    struct owned_placement {
        shard_id shard;
        placement_statistics figures;
    };
    std::vector<owned_placement> placementFigures() const;

    const service_ledger& ledger() const { return *m_ledger; }

private:
    struct owned_shard {
        fencing_token token;
        revision since; ///< Revision of the document that gave the shard to this router.
        std::unique_ptr<directory_shard_view> view;
        std::unique_ptr<shard_scheduler> scheduler; ///< None until the change that gave the shard is accepted.
        std::unique_ptr<shard_placement> placement; ///< Only for pools of model engines, with the scheduler.
        time_point learnedAt;
        time_point grantsFrom;
        std::map<server_id, std::uint32_t> reportedLimits; ///< As last reported by a `limit_decision`.
    };
    struct watched_server {
        std::optional<time_point> polledAt;
        incarnation start;
        std::vector<fingerprint> suspects; ///< Requests that ran at a suspected crash which is not confirmed yet.
        time_point suspectedAt;
    };

    void takeOver(const shard& taken, time_point now);
    void handOver(const shard_id& id, const member_ref& next, time_point now, router_actions& out);
    void openAcceptedShards(time_point now, router_actions& out);
    std::optional<time_point> acceptedSince(const owned_shard& pending) const;
    void updateSchedulerRouters(time_point now);
    void updateLostRouters(time_point now);
    std::vector<shard_router> routers() const;
    void reportLimits(const shard_id& id, owned_shard& owned, router_actions& out) const;
    void findSuccessors();
    void pollLoads(time_point now, router_actions& out);
    void exchangeCounters(time_point now, router_actions& out);
    void confirmCrash(const server_id& server, watched_server& watched, time_point now, router_actions& out);
    void placeModels(time_point now, router_actions& out);
    void updateLoadBudgets(time_point now);
    bool maySendOrders(const owned_shard& owned, time_point now) const;
    const owned_shard* findOwnedShard(const server_id& server) const;
    shard_scheduler* openScheduler(const shard_id& id, fencing_token token);

    const fleet_coordinator& m_fleet;
    const shard_directory& m_directory;
    std::uint64_t m_seed;
    placement_settings m_placement;
    std::uint64_t m_lastOrder = 0;
    revision m_appliedRevision;
    time_point m_appliedAt; ///< When `m_appliedRevision` was applied.
    least_virtual_time m_serviceOrder;
    local_then_prefix m_serverChoice;
    std::unique_ptr<service_ledger> m_ledger;
    cost_estimator m_estimator;
    member_ref m_self; ///< Incarnation under which shards are owned.
    std::map<shard_id, owned_shard> m_owned;
    std::set<member_ref> m_successors; ///< Routers that would own these shards next if this one is lost.
    std::map<shard_id, shard_release> m_earlyReleases; ///< Releases received before the shard was opened here.
    std::map<server_id, watched_server> m_watchedServers;
    std::map<vm_id, member_ref> m_linkedRouters; ///< Routers whose links have opened, whether they are members or not.
    std::set<member_ref> m_lostRouters;
    std::optional<time_point> m_lastExchangeAt;
    std::optional<time_point> m_lastHousekeepingAt; ///< When routers and servers were last checked.
};

}
