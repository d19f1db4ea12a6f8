/// \file
/// The shards that this router owns.

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

namespace pimentoladder {

/// Takes over and hands over shards as the document and the suspended members
/// say, and passes messages to the scheduler of each owned shard. Events append
/// the actions that follow. Not thread-safe; call on the loop's thread.
class owner_role {
public:
    /// \p fleet and \p directory outlive the role.
    owner_role(const fleet_coordinator& fleet, const shard_directory& directory, std::uint64_t seed);
    ~owner_role();

    /// The document, the suspended members or the own incarnation changed, and
    /// \p directory was rebuilt.
    void onDirectoryChanged(time_point now, router_actions& out);

    void onAcquire(const member_ref& from, const acquire& received, time_point now, router_actions& out);
    void onGrantReport(const member_ref& from, const grant_report& received, time_point now);
    void onInFlightReport(const member_ref& from, const in_flight_report& received, time_point now);
    void onShardRelease(const member_ref& from, const shard_release& received);
    void onServiceCounters(const service_counters& received);

    /// A router's link has opened: it is told which shards this one owns.
    void onLinkOpened(const member_ref& peer, time_point now, router_actions& out);

    /// A backend server answered a load poll.
    void onLoadReport(const server_load& received, time_point now, router_actions& out);

    /// A backend server did not answer a load poll.
    void onLoadFailed(const server_id& server, time_point now, router_actions& out);

    /// A router lost its connection to a server while the named requests ran
    /// there. The loss counts once the server proves to have restarted.
    void onSuspectedCrash(const crash_report& received, time_point now);

    /// Issues grants, polls load and exchanges counters.
    void onTick(time_point now, router_actions& out);

    std::optional<time_point> nextDeadline() const;

    /// Figures of one owned shard, for metrics.
    struct owned_figures {
        shard_id shard;
        shard_figures figures;
    };
    std::vector<owned_figures> figures() const;

    /// Figures of one server of an owned shard, for metrics.
    struct server_figures {
        server_id server;
        std::uint32_t limit = 0;
        std::uint32_t inUse = 0;
    };
    std::vector<server_figures> serverFigures() const;

    const service_ledger& ledger() const { return *m_ledger; }

private:
    struct owned_shard {
        fencing_token token;
        revision since; ///< The document that gave the shard to this router.
        std::unique_ptr<directory_shard_view> view;
        std::unique_ptr<shard_scheduler> scheduler; ///< None until the change that gave the shard is accepted.
        time_point learnedAt;
        time_point grantsFrom;
    };
    struct watched_server {
        std::optional<time_point> polledAt;
        incarnation start;
        std::vector<fingerprint> suspects; ///< Ran at a suspected crash that is not confirmed yet.
        time_point suspectedAt;
    };

    void takeOver(const shard& taken, time_point now);
    void handOver(const shard_id& id, const member_ref& next, time_point now, router_actions& out);
    void openAccepted(time_point now, router_actions& out);
    std::optional<time_point> acceptedSince(const owned_shard& pending) const;
    void refreshRouters(time_point now);
    void watchRouters(time_point now);
    std::vector<shard_router> routers() const;
    void pollLoads(time_point now, router_actions& out);
    void exchangeCounters(time_point now, router_actions& out);
    void confirmCrash(const server_id& server, watched_server& watched, time_point now, router_actions& out);
    shard_scheduler* openScheduler(const shard_id& id, fencing_token token);

    const fleet_coordinator& m_fleet;
    const shard_directory& m_directory;
    std::uint64_t m_seed;
    least_virtual_time m_order;
    local_then_prefix m_choice;
    std::unique_ptr<service_ledger> m_ledger;
    cost_estimator m_estimator;
    member_ref m_self; ///< Incarnation under which shards are owned.
    std::map<shard_id, owned_shard> m_owned;
    std::map<shard_id, shard_release> m_releases; ///< Releases received before the shard was opened here.
    std::map<server_id, watched_server> m_watched;
    std::map<vm_id, member_ref> m_linked; ///< Routers whose links have opened, members or not.
    std::set<member_ref> m_lost;
    std::optional<time_point> m_exchangedAt;
};

}
