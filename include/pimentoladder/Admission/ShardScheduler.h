/// \file
/// The owner's side of one shard: who is served next, and on which server.

#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

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
    duration longestOrphan = std::chrono::seconds(10); ///< Started grants of a lost router are released after this.
    duration lateReportWindow = std::chrono::seconds(60); ///< An expired grant still accepts reports for this long.
    duration recallInterval = std::chrono::milliseconds(250); ///< Least time between recalls to one router.
    duration rerankInterval = std::chrono::milliseconds(50); ///< Least time between reorderings after merges.
    std::uint32_t advancePerRouter = 2; ///< Unused advance grants of one router at most.
    std::size_t prefixMemory = 4096; ///< Prompt prefixes whose server is remembered.
    server_limit_settings limits; ///< Floor and ceiling come from the document.
};

/// What makes a router owner of a shard.
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

/// State of a backend server as it reports it.
struct server_load {
    server_id server;
    incarnation start;
    std::uint32_t inFlight = 0;
    bool isCold = false;
    time_point takenAt; ///< Owner's clock, not after the state was taken; a known lag is subtracted.
};

template <typename Message>
struct addressed {
    member_ref to;
    Message message;
};

struct scheduler_actions {
    std::vector<addressed<grant>> grants;
    std::vector<addressed<recall>> recalls;
};

/// Parts that a shard scheduler uses and does not own. All outlive it.
struct shard_scheduler_parts {
    const shard_view& view;
    service_ledger& ledger;
    cost_estimator& estimator;
    const service_order& order;
    const server_choice& choice;
};

/// Figures for metrics and measurements.
struct shard_figures {
    std::uint64_t granted = 0; ///< Grants for a named request.
    std::uint64_t advanced = 0; ///< Advance grants.
    std::uint64_t expired = 0; ///< Grants that were never reported.
    std::uint64_t ejections = 0;
    std::size_t waiting = 0; ///< Requests that wait now.
    std::size_t backlogged = 0; ///< Workspaces with a waiting request.
};

/// Grants work at the servers of one shard in fair order.
///
/// Events change the state; `onTick` returns the actions of all events since
/// the last turn. Not thread-safe; call on the loop's thread.
class shard_scheduler {
public:
    shard_scheduler(shard_ownership ownership, shard_scheduler_parts parts, std::uint64_t seed,
        shard_scheduler_settings settings = {});
    shard_scheduler(const shard_scheduler&) = delete;
    shard_scheduler& operator=(const shard_scheduler&) = delete;

    /// Replaces the routers of the fleet. A router that is gone, or that has a
    /// new incarnation, is treated as lost.
    void setRouters(const std::vector<shard_router>& routers, time_point now);

    /// The document changed: servers, access and weights are read again.
    void onDocumentChanged(time_point now);

    /// Grants are issued only before \p until, when freshness ends.
    void setFreshUntil(time_point until) { m_freshUntil = until; }

    /// The previous owner released the shard: the start-up wait ends as soon
    /// as every router has reported its work in flight.
    void onShardRelease(const shard_release& released);

    void onAcquire(const member_ref& from, const acquire& received, time_point now);
    void onGrantReport(const member_ref& from, const grant_report& received, time_point now);
    void onInFlightReport(const member_ref& from, const in_flight_report& received, time_point now);
    void onLoadReport(const server_load& received, time_point now);

    /// The router is lost: its demands are dropped, and its started grants are
    /// held until a load report shows that the work has ended.
    void onRouterLost(const member_ref& router, time_point now);

    /// Releases expired grants and returns the grants and recalls to send.
    scheduler_actions onTick(time_point now);

    /// Returns when `onTick` has something to do without a further event.
    std::optional<time_point> nextDeadline() const;

    /// Returns the limit in force at a server; 0 for an unknown one.
    std::uint32_t limit(const server_id& server) const;

    /// Returns the grants that count as in use at a server.
    std::uint32_t inUse(const server_id& server) const;

    shard_figures figures() const;

private:
    using server_mask = std::uint64_t;

    enum class grant_state {
        issued, ///< Sent and not reported.
        started,
        orphaned, ///< Started, by a router that was lost since.
        expired, ///< Never reported; no longer in use, but a late report is believed.
    };
    struct grant_key {
        fencing_token token;
        grant_number number;
        auto operator<=>(const grant_key&) const = default;
    };
    struct waiting_demand {
        vm_id router;
        demand_entry entry;
        std::uint64_t arrival = 0;
    };
    struct grant_record {
        vm_id router;
        server_id server;
        grant_state state = grant_state::issued;
        std::optional<waiting_demand> demand; ///< None for an advance grant.
        workspace_id workspace;
        cost_units costHint = 0;
        cost_units charged = 0;
        bool isSuspect = false;
        time_point issuedAt;
        time_point lostAt;
    };
    struct server_state {
        shard_server configured;
        server_limit limit;
        std::uint32_t inUse = 0;
        std::uint32_t started = 0; ///< Of these, started or orphaned.
        std::uint32_t suspects = 0; ///< Of these, requests under crash suspicion.
        std::uint32_t unknown = 0; ///< Work seen at the server that no router has reported yet.
        std::uint32_t lastExcess = 0; ///< Started grants above the last load report.
    };
    struct router_state {
        member_ref ref;
        data_centre_id dataCentre;
        bool hasReported = false; ///< Its work in flight at the start of this ownership is known.
        std::uint64_t lastReport = 0;
        std::uint32_t advanceWanted = 0;
        std::uint32_t advanceUnused = 0;
        time_point recalledAt;
    };
    struct demand_key {
        vm_id router;
        request_number request;
        auto operator<=>(const demand_key&) const = default;
    };
    struct workspace_queue {
        std::map<std::uint64_t, waiting_demand> plain; ///< By arrival.
        std::map<std::uint64_t, waiting_demand> suspects; ///< Requests under crash suspicion, by arrival.
        server_mask eligible = 0;
        std::uint64_t eligibleRead = 0; ///< Version of the document view that `eligible` was read from.
        double rank = 0;
        bool isRanked = false;

        bool isEmpty() const { return plain.empty() && suspects.empty(); }
    };
    struct ranked_workspace {
        double rank = 0;
        std::uint64_t arrival = 0;
        workspace_id workspace;
        auto operator<=>(const ranked_workspace&) const = default;
    };
    struct timed_grant {
        time_point at;
        grant_key key;
    };
    using book = std::map<grant_key, grant_record>;

    router_state* knownRouter(const member_ref& from);
    std::size_t serverNumber(const server_id& server) const;
    server_state* findServer(const server_id& server);

    void addDemand(const vm_id& router, const demand_entry& entry);
    void insertDemand(const waiting_demand& demand);
    bool removeDemand(const demand_key& key);
    void dropDemandsOf(const vm_id& router);
    void returnFromIdle(const workspace_id& workspace);
    void rank(const workspace_id& workspace, workspace_queue& queue);
    void unrank(const workspace_id& workspace, workspace_queue& queue);
    void rerankAll();
    void refreshEligible(const workspace_id& workspace, workspace_queue& queue);

    void occupy(const grant_record& record);
    void vacate(const grant_record& record);
    void markStarted(grant_record& record);
    void settleCost(grant_record& record, cost_units actual);
    void applyReport(const member_ref& from, const grant_report_entry& entry, time_point now);
    void applyStarted(book::iterator found, const grant_report_entry& entry);
    void applyProgress(book::iterator found, const grant_report_entry& entry);
    void applyReturned(book::iterator found);
    void applyEnded(book::iterator found, const grant_report_entry& entry, time_point now);
    void noteResult(grant_record& record, const grant_report_entry& entry, time_point now);
    void closeGrant(book::iterator found);
    void considerEjection(server_state& server, time_point now);
    void loseRouter(const vm_id& router, time_point now);
    void releaseOrphans(const server_id& server, std::uint32_t count, time_point takenAt);

    void expireGrants(time_point now);
    void expireGrant(book::iterator found);
    void forgetExpired(time_point now);
    void releaseOldOrphans(time_point now);

    bool mayGrant(time_point now) const;
    bool haveAllReported() const;
    server_mask freeServers() const;
    server_mask freeForSuspects(server_mask free) const;
    bool hasFree(std::size_t number) const;
    void grantWaiting(time_point now);
    bool grantNext(server_mask free, time_point now);
    void grantTo(const workspace_id& workspace, workspace_queue& queue, bool isSuspect, server_mask allowed,
        time_point now);
    std::size_t chooseServer(const waiting_demand& demand, server_mask allowed);
    void issue(const vm_id& router, std::size_t server, const waiting_demand* demand, time_point now);
    void grantAdvance(time_point now);
    bool grantOneAdvance(router_state& router, time_point now);
    void recallAdvance(time_point now);
    void rememberPrefix(std::uint64_t prefix, const server_id& server);

    shard_ownership m_ownership;
    shard_scheduler_parts m_parts;
    shard_scheduler_settings m_settings;
    random_source m_random;
    time_point m_freshUntil = time_point::max();
    bool m_isReleased = false;

    std::vector<server_state> m_servers;
    std::unordered_map<server_id, std::size_t> m_serverNumbers;
    std::uint64_t m_viewVersion = 1;
    std::map<vm_id, router_state> m_routers;

    std::unordered_map<workspace_id, workspace_queue> m_queues;
    std::set<ranked_workspace> m_ranked; ///< Backlogged workspaces, the next to serve first.
    std::map<demand_key, std::pair<workspace_id, std::uint64_t>> m_waiting; ///< Where each demand waits.
    std::map<demand_key, grant_key> m_issuedFor; ///< Unreported grant of each demand.
    std::uint64_t m_nextArrival = 1;
    std::uint64_t m_mergeCount = 0;
    time_point m_rerankedAt;

    book m_book;
    std::uint64_t m_nextGrant = 1;
    std::deque<timed_grant> m_expiries; ///< Grants in order of issue, with the end of their unreported time.
    std::deque<timed_grant> m_forgets;
    std::deque<timed_grant> m_orphans;

    std::unordered_map<std::uint64_t, server_id> m_prefixes;
    std::deque<std::uint64_t> m_prefixAge;

    std::map<vm_id, grant> m_outgoing;
    scheduler_actions m_actions;
    shard_figures m_figures;
};

}
