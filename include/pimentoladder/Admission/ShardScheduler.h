/// \file
/// The owner's side of one shard: chooses the next request and its server.

#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "pimentoladder/Admission/DemandQueues.h"
#include "pimentoladder/Admission/GrantBook.h"
#include "pimentoladder/Admission/PrefixAffinity.h"
#include "pimentoladder/Admission/ServerChoice.h"
#include "pimentoladder/Admission/ServerLimit.h"
#include "pimentoladder/Admission/ShardView.h"
#include "pimentoladder/Base/Random.h"
#include "pimentoladder/Fairness/CostEstimator.h"
#include "pimentoladder/Fairness/ServiceLedger.h"
#include "pimentoladder/Fairness/ServiceOrder.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

struct shard_scheduler_settings {
    duration grantLifetime = std::chrono::seconds(1);
    duration maxOrphanTime = std::chrono::seconds(10); ///< Started grants of a lost router are released after this.
    duration lateReportWindow = std::chrono::seconds(60); ///< An expired grant still accepts reports for this long.
    duration recallInterval = std::chrono::milliseconds(250); ///< Least time between recalls to one router.
    duration rerankInterval = std::chrono::milliseconds(50); ///< Least time between reorderings after merges.
    std::uint32_t maxAdvancePerRouter = 2; ///< Upper limit of unused advance grants of one router.
    duration unreportedWorkWindow = std::chrono::seconds(10); ///< How long after the start reported load above the known grants counts.
    std::size_t prefixCapacity = 4096; ///< Prompt prefixes whose server is remembered.
    server_limit_settings limits; ///< Floor and ceiling come from the configuration document.
};

/// Terms under which a router owns a shard.
struct shard_ownership {
    shard_id shard;
    pool_id pool;
    fencing_token token;
    time_point startsAt; ///< When this ownership was learned.
    time_point grantsFrom; ///< End of the start-up wait: acceptance + freshness window + grant lifetime.
};

/// A router that may ask for grants.
struct shard_router {
    member_ref router;
    data_centre_id dataCentre;
};

/// State that a backend server reports.
struct server_load {
    server_id server;
    incarnation start;
    std::uint32_t inFlight = 0;
    bool isCold = false;
    time_point takenAt; ///< On the owner's clock, at or before the state was taken; a known lag is subtracted.
    std::set<model_id> models = {}; ///< Loaded models and adapters.
};

template <typename Message>
struct addressed {
    member_ref to;
    Message message;
};

/// Records why a grant went to its workspace and server.
struct grant_decision {
    grant_number grant;
    vm_id router;
    request_number request; ///< Zero for an advance grant.
    workspace_id workspace; ///< Empty for an advance grant.
    server_id server;
    double virtualTime = 0; ///< Of the workspace, before the charge.
    cost_units charged = 0;
    std::size_t candidates = 0; ///< Eligible servers with free capacity.
    server_candidate chosen; ///< Properties of the server that the strategy compared.
};

struct scheduler_actions {
    std::vector<addressed<grant>> grants;
    std::vector<addressed<recall>> recalls;
    std::vector<grant_decision> decisions; ///< One for each grant.
};

/// Dependencies of a shard scheduler, which does not own them. All outlive it.
struct shard_scheduler_dependencies {
    const shard_view& view;
    service_ledger& ledger;
    cost_estimator& estimator;
    const service_order& order;
    const server_choice& choice;
};

/// Statistics of a shard for metrics and measurements.
struct shard_statistics {
    std::uint64_t granted = 0; ///< Grants for a named request.
    std::uint64_t advanceGranted = 0; ///< Advance grants.
    std::uint64_t expired = 0; ///< Grants that were never reported.
    std::uint64_t ejections = 0;
    std::size_t waiting = 0; ///< Requests that are waiting now.
    std::size_t backlogged = 0; ///< Workspaces with a waiting request.
};

/// Grants work at the servers of one shard in fair order.
///
/// Events change the state; `onTick` returns the actions of all events since
/// its last call. Not thread-safe; call on the loop's thread.
class shard_scheduler {
public:
    shard_scheduler(shard_ownership ownership, shard_scheduler_dependencies dependencies, std::uint64_t seed,
        shard_scheduler_settings settings = {});
    shard_scheduler(const shard_scheduler&) = delete;
    shard_scheduler& operator=(const shard_scheduler&) = delete;

    /// Replaces the routers of the fleet. A router that is gone, or that has a
    /// new incarnation, is treated as lost.
    void setRouters(const std::vector<shard_router>& routers, time_point now);

    /// The configuration document changed: reloads servers, access rules and weights.
    void onDocumentChanged(time_point now);

    /// Sets the end of the owner's freshness. No grant is issued from \p until on.
    void setFreshUntil(time_point until) { m_freshUntil = until; }

    /// The previous owner released the shard: the start-up wait ends as soon
    /// as every router has reported its work in flight.
    void onShardRelease(const shard_release& released);

    void onAcquire(const member_ref& from, const acquire& received, time_point now);
    void onGrantReport(const member_ref& from, const grant_report& received, time_point now);
    void onInFlightReport(const member_ref& from, const in_flight_report& received, time_point now);
    void onLoadReport(const server_load& received, time_point now);

    /// The router has been silent: its demands are dropped, and every grant it
    /// holds counts as running until it reports again. Must be called before a
    /// grant's unreported time ends; otherwise a started request whose report
    /// was lost is no longer counted.
    void onRouterSuspected(const member_ref& router, time_point now);

    /// The router's process is gone: its demands are dropped, and its grants
    /// count as in use until load reports show that the work has ended, or for
    /// `maxOrphanTime`.
    void onRouterLost(const member_ref& router, time_point now);

    /// Sets the models that a server has loaded. Requests that name a model are
    /// granted only on servers that have it.
    void setLoadedModels(const server_id& server, const std::set<model_id>& models);

    /// Drops the limit of a server to its floor, because it loads a model.
    void setCold(const server_id& server, time_point now);

    /// Returns the demand for each model that requests have named.
    std::map<model_id, model_demand> modelDemands() const;

    /// Returns the servers in the order of `server_mask`.
    std::vector<shard_server> servers() const;

    /// Releases expired grants and returns the grants and recalls to send.
    scheduler_actions onTick(time_point now);

    /// Returns when `onTick` has something to do without a further event.
    std::optional<time_point> nextDeadline() const;

    /// Returns whether grants may be issued now: the start-up wait is over and
    /// the owner is fresh.
    bool mayGrant(time_point now) const;

    /// Returns the limit in force at a server; 0 for an unknown one.
    std::uint32_t limit(const server_id& server) const;

    /// Returns the grants that count as in use at a server.
    std::uint32_t inUse(const server_id& server) const;

    /// Returns whether a server runs no request and holds no unused grant for
    /// a named request.
    bool isIdle(const server_id& server) const;

    shard_statistics statistics() const;

    /// Adds the workspaces with a waiting request to \p workspaces.
    void addBacklogged(std::set<workspace_id>& workspaces) const { m_queues.addBacklogged(workspaces); }

private:
    struct server_state {
        shard_server configured;
        server_limit limit;
        std::uint32_t unreportedWork = 0; ///< Work in the server's load report that no router has reported yet.
        std::uint32_t lastExcess = 0; ///< Started grants in excess of the last load report.
    };
    struct router_state {
        member_ref ref;
        data_centre_id dataCentre;
        bool hasReported = false; ///< Its work in flight at the start of this ownership is known.
        std::uint64_t lastReport = 0; ///< Highest sequence of its reports.
        std::uint64_t lastInFlight = 0; ///< Highest sequence of its in-flight reports.
        std::uint32_t advanceWanted = 0;
        std::uint32_t advanceUnused = 0;
        time_point recalledAt;
    };

    router_state* findRouter(const member_ref& from);
    server_state* findServer(const server_id& server);
    const server_state* findServer(const server_id& server) const;
    void orphanRouterWork(const member_ref& router, time_point now);
    void releaseLostRouter(const member_ref& router, time_point now);

    void applyReport(const member_ref& from, const grant_report_entry& entry, time_point now);
    void applyStarted(const member_ref& from, const grant_report_entry& entry, time_point now);
    void applyProgress(const member_ref& from, const grant_report_entry& entry, time_point now);
    void applyReturned(const member_ref& from, const grant_report_entry& entry, time_point now);
    void applyFinished(const member_ref& from, const grant_report_entry& entry, time_point now);
    void applyFailed(const member_ref& from, const grant_report_entry& entry, time_point now);
    void applyCancelled(const member_ref& from, const grant_report_entry& entry, time_point now);
    std::optional<grant_record> closeEnded(const member_ref& from, const grant_report_entry& entry);
    void addInFlight(const vm_id& router, const in_flight_entry& entry, time_point now);
    void clearUnreported(const grant_key& key, const grant_record& record);
    void adjustCharge(const workspace_id& workspace, cost_units charged, cost_units actual);
    void ejectIfAllowed(server_state& failed, time_point now);

    void updateLoadedMasks();
    void expireGrants(time_point now);
    bool haveAllRoutersReported() const;
    bool hasFreeCapacity(const server_state& server) const;
    server_mask inService() const;
    server_mask freeServers() const;
    server_mask withoutSuspects(server_mask servers) const;
    void grantWaiting(time_point now);
    void grantTo(const waiting_demand& demand, server_mask allowed, time_point now);
    server_candidate choose(const vm_id& router, std::uint64_t prefix, server_mask allowed);
    grant_number issue(const vm_id& router, const grant_record& record, request_number request, time_point now);
    void grantAdvance(time_point now);
    server_mask advanceServers() const;
    void recallAdvance(time_point now, scheduler_actions& actions);

    using report_handler = void (shard_scheduler::*)(const member_ref&, const grant_report_entry&, time_point);
    static const std::array<report_handler, 6> reportHandlers;

    shard_ownership m_ownership;
    shard_scheduler_dependencies m_dependencies;
    shard_scheduler_settings m_settings;
    random_source m_random;
    time_point m_freshUntil = time_point::max();
    bool m_isReleased = false;
    std::vector<server_state> m_servers;
    std::map<vm_id, router_state> m_routers;
    demand_queues m_queues;
    grant_book m_book;
    prefix_affinity m_prefixes;
    std::map<server_id, std::set<model_id>> m_loadedModels;
    std::map<model_id, cost_units> m_grantedCosts; ///< Charges at grant, by model.
    std::map<demand_key, grant_key> m_issuedFor; ///< Unreported grant of each demand.
    std::uint64_t m_nextGrant = 1;
    std::uint64_t m_rerankedMergeCount = 0; ///< Merge count of the ledger at the last reordering.
    time_point m_rerankedAt;
    std::map<vm_id, std::vector<grant_entry>> m_outgoing;
    std::vector<grant_decision> m_decisions; ///< Of the grants in m_outgoing.
    std::vector<server_candidate> m_candidates; ///< Kept to avoid an allocation for each choice.
    shard_statistics m_statistics;
};

}
