/// \file
/// Acquisition of grants for this router's requests.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "pimentoladder/Admission/GrantHolder.h"
#include "pimentoladder/Base/Random.h"
#include "pimentoladder/Outcome/RequestLifecycle.h"
#include "pimentoladder/Router/Actions.h"
#include "pimentoladder/Router/FleetCoordinator.h"
#include "pimentoladder/Router/ShardDirectory.h"

namespace pimentoladder {

/// A waiting request and the grant it received.
struct granted_request {
    request_number request;
    held_grant grant;
};

/// Holds this router's waiting requests and grants for every shard. Not
/// thread-safe; call on the loop's thread.
class requester_role {
public:
    /// \p fleet and \p directory outlive the role.
    requester_role(const fleet_coordinator& fleet, const shard_directory& directory, std::uint64_t seed);
    ~requester_role();

    /// The document, the set of suspended members or the router's own
    /// incarnation changed, and the shard directory was rebuilt. Returns the
    /// waiting requests whose shard no longer exists, which are removed from
    /// its queue.
    std::vector<request_number> onDirectoryChanged(time_point now);

    /// Queues a request until it receives a grant for a server of \p pool.
    /// Returns false if no shard has a server in service that the workspace may
    /// reach.
    bool wait(const demand_entry& demand, const pool_id& pool, time_point now);

    /// Removes a waiting request from its queue.
    void withdraw(request_number request);

    /// Reports the cost so far of a started request.
    void onProgress(request_number request, cost_units cost);

    /// Reports that a request no longer uses its grant, and how that ended.
    void onEnded(request_number request, grant_event event, cost_units cost, duration firstByteLatency);

    void onShardOwner(const member_ref& from, const shard_owner& received, time_point now);
    void onGrant(const member_ref& from, const grant& received);
    void onRecall(const member_ref& from, const recall& received);
    void onLinkOpened(const member_ref& peer, time_point now);

    /// Returns the grants that requests take now, and appends the messages to
    /// the owners to \p out.
    std::vector<granted_request> onTick(time_point now, router_actions& out);

    std::optional<time_point> nextDeadline() const;

    /// Returns the owner of shard \p id according to the document.
    member_ref ownerOf(const shard_id& id) const;

    std::size_t waitingCount() const;

private:
    struct held_shard {
        member_ref owner;
        fencing_token token; ///< Zero until the owner has announced it.
        std::unique_ptr<directory_shard_view> view;
        std::unique_ptr<grant_holder> holder;
        std::optional<time_point> tokenRequestedAt; ///< When the owner was last asked for its token.
    };

    held_shard* findShardOwnedBy(const member_ref& from, const shard_id& id);
    held_shard& chooseShard(const std::vector<const shard*>& candidates);
    void requestToken(const shard_id& id, held_shard& held, time_point now, router_actions& out);
    void send(const held_shard& held, holder_actions& actions, router_actions& out) const;

    const fleet_coordinator& m_fleet;
    const shard_directory& m_directory;
    random_source m_random;
    std::map<shard_id, held_shard> m_shards;
    std::map<shard_id, std::pair<member_ref, fencing_token>> m_announcedOwners; ///< Latest owner and token announced for each shard.
    std::map<request_number, shard_id> m_shardOfRequest; ///< Shard at which each request is queued or holds a grant.
    std::set<request_number> m_waiting;
};

}
