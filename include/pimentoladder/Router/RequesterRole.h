/// \file
/// Grants for the requests of this router.

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

/// A grant for one waiting request.
struct granted_request {
    request_number request;
    held_grant grant;
};

/// Holds the waiting requests and the grants of this router for every shard.
/// Events append the actions that follow. Not thread-safe; call on the loop's
/// thread.
class requester_role {
public:
    /// \p fleet and \p directory outlive the role.
    requester_role(const fleet_coordinator& fleet, const shard_directory& directory, std::uint64_t seed);
    ~requester_role();

    /// The document, the suspended members or the own incarnation changed, and
    /// \p directory was rebuilt. Returns the waiting requests whose shard is
    /// gone; they wait nowhere now.
    std::vector<request_number> onDirectoryChanged(time_point now);

    /// A request waits for a grant for a server of \p pool. Returns false if no
    /// shard has a server in service that the workspace may reach.
    bool wait(const demand_entry& demand, const pool_id& pool, time_point now);

    /// The request no longer waits.
    void withdraw(request_number request);

    /// A started request has cost \p cost so far.
    void onProgress(request_number request, cost_units cost);

    /// What became of the grant of a request.
    void onEnded(request_number request, grant_event event, cost_units cost, duration firstByteLatency);

    void onShardOwner(const member_ref& from, const shard_owner& received, time_point now);
    void onGrant(const member_ref& from, const grant& received);
    void onRecall(const member_ref& from, const recall& received);
    void onLinkOpened(const member_ref& peer, time_point now);

    /// Returns the grants that requests take now, and appends the messages to
    /// the owners.
    std::vector<granted_request> onTick(time_point now, router_actions& out);

    std::optional<time_point> nextDeadline() const;

    /// Returns the owner of \p shard as the document says.
    member_ref ownerOf(const shard_id& id) const;

    std::size_t waitingCount() const;

private:
    struct held_shard {
        member_ref owner;
        fencing_token token; ///< Zero until the owner has stated it.
        std::unique_ptr<directory_shard_view> view;
        std::unique_ptr<grant_holder> holder;
        std::optional<time_point> askedAt; ///< When the owner was asked for its token.
    };

    held_shard* fromOwner(const member_ref& from, const shard_id& id);
    held_shard& chooseShard(const std::vector<const shard*>& candidates);
    void askForToken(const shard_id& id, held_shard& held, time_point now, router_actions& out);
    void send(const held_shard& held, holder_actions& actions, router_actions& out) const;

    const fleet_coordinator& m_fleet;
    const shard_directory& m_directory;
    random_source m_random;
    std::map<shard_id, held_shard> m_shards;
    std::map<shard_id, std::pair<member_ref, fencing_token>> m_stated; ///< Latest statement of an owner.
    std::map<request_number, shard_id> m_homes; ///< Shard at which each request waits or runs.
    std::set<request_number> m_waiting;
};

}
