/// \file
/// Requests that wait for a grant at the owner of a shard.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

#include "pimentoladder/Admission/ServerMask.h"
#include "pimentoladder/Admission/ShardView.h"
#include "pimentoladder/Fairness/ServiceLedger.h"
#include "pimentoladder/Fairness/ServiceOrder.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// A request of one router that waits for a grant.
struct waiting_demand {
    vm_id router;
    demand_entry entry;
    std::uint64_t arrival = 0; ///< Order of arrival at the owner.

    /// Whether the request is suspected of crashing servers.
    bool isSuspect() const { return entry.requestFingerprint != fingerprint(); }
};

/// Identifies a request across all routers.
struct demand_key {
    vm_id router;
    request_number request;

    auto operator<=>(const demand_key&) const = default;
};

/// A demand selected for a grant, with the free servers that it may use.
struct selected_demand {
    demand_key key;
    server_mask allowed = 0;
};

/// Demand for one model at a shard.
struct model_demand {
    model_id model;
    cost_units waiting = 0; ///< Sum of the cost hints of waiting requests.
    cost_units granted = 0; ///< Sum of the charges at grant since this ownership began.
    server_mask reachable = 0; ///< Servers that the workspaces with waiting requests may use.
    server_mask unservedReachable = 0; ///< Of these, the servers of workspaces that may use no server with the model loaded.
};

/// Waiting demands by workspace, ranked by a service order. Not thread-safe;
/// call on the loop's thread.
class demand_queues {
public:
    /// The references outlive the queues.
    demand_queues(shard_id shard, const service_order& order, service_ledger& ledger);
    demand_queues(const demand_queues&) = delete;
    demand_queues& operator=(const demand_queues&) = delete;

    /// Reloads servers, access rules and weights from \p view.
    void reloadView(const shard_view& view);

    /// Sets the servers that have each model loaded. A workspace that could use
    /// no server for any waiting request counts as idle: once it can use one,
    /// its virtual time is raised as in `add`.
    void setLoaded(std::map<model_id, server_mask> loaded);

    /// Adds the waiting demand for each named model to \p demands.
    void addModelDemands(std::map<model_id, model_demand>& demands) const;

    /// Adds a demand unless it waits already. If its workspace had none waiting,
    /// the virtual time of the workspace is raised to the least virtual time
    /// among the workspaces that wait for the same servers, or to the clock of
    /// the shard if there are none.
    void add(const vm_id& router, const demand_entry& entry, const shard_view& view);

    /// Adds a demand again with its original arrival number.
    void requeue(const waiting_demand& demand, const shard_view& view);

    /// Removes and returns a demand; none if it does not wait.
    std::optional<waiting_demand> take(const demand_key& key);

    void removeRouter(const vm_id& router);

    bool contains(const demand_key& key) const { return m_positions.contains(key); }

    /// Recomputes the rank of a workspace after its service changed.
    void rerank(const workspace_id& workspace);
    void rerankAll();

    /// Returns the next demand in order of service that may use one of \p free,
    /// or one of \p freeForSuspects if it is suspected of crashing servers.
    std::optional<selected_demand> next(server_mask free, server_mask freeForSuspects) const;

    /// Returns every server that some waiting demand may use, with its model loaded.
    server_mask contestedServers() const;

    /// Returns the servers that \p workspace may use.
    server_mask eligible(const workspace_id& workspace, const shard_view& view);

    /// Adds the workspaces that have a demand waiting to \p workspaces.
    void addBacklogged(std::set<workspace_id>& workspaces) const;

    std::size_t waitingCount() const { return m_positions.size(); }
    std::size_t backloggedCount() const { return m_ranked.size(); }

private:
    using arrivals = std::map<std::uint64_t, waiting_demand>;
    struct model_queue {
        arrivals plain;
        arrivals suspects;

        bool isEmpty() const { return plain.empty() && suspects.empty(); }
        std::uint64_t oldestArrival() const;
    };
    struct queue {
        workspace_id workspace;
        std::map<model_id, model_queue> modelQueues; ///< Waiting requests by model, none of them empty.
        server_mask eligible = 0;
        bool isEligibleKnown = false;
        bool isRanked = false;
        double rank = 0;
        std::uint64_t rankedArrival = 0;

        bool isEmpty() const { return modelQueues.empty(); }
        std::uint64_t oldestArrival() const;
    };
    struct queue_position {
        queue* in = nullptr;
        model_id model;
        std::uint64_t arrival = 0;
        bool isSuspect = false;
    };
    struct ranked_queue {
        double rank = 0;
        std::uint64_t arrival = 0;
        queue* ranked = nullptr;

        bool operator<(const ranked_queue& other) const
        {
            return rank != other.rank ? rank < other.rank : arrival < other.arrival;
        }
    };

    queue& queueOf(const workspace_id& workspace, const shard_view& view);
    void computeEligible(queue& reread, const shard_view& view);
    void insert(queue& into, const waiting_demand& demand);
    void liftAfterIdle(const queue& returning);
    server_mask serversWithModel(const model_id& model) const;
    server_mask usableServers(const queue& asked) const;
    void rank(queue& ranked);
    void unrank(queue& ranked);

    shard_id m_shard;
    const service_order& m_order;
    service_ledger& m_ledger;
    std::unordered_map<workspace_id, queue> m_queues;
    std::set<ranked_queue> m_ranked; ///< Backlogged workspaces in order of service.
    std::map<demand_key, queue_position> m_positions;
    std::vector<server_id> m_servers;
    std::map<model_id, server_mask> m_loaded;
    std::uint64_t m_nextArrival = 1;
};

}
