/// \file
/// This router's copy of the configuration and of the registered backend servers,
/// with the age of its last confirmation.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pimentoladder/Config/Access.h"
#include "pimentoladder/Dispatch/ServingPlan.h"

namespace pimentoladder {

/// Limits on the age of the data that decisions are based on.
struct freshness_limits {
    duration maxKeyBasisAge = std::chrono::milliseconds(4600); ///< Maximum age of the last confirmation for a request with a key to be sent.
    duration maxReadyBasisAge = std::chrono::milliseconds(2500); ///< Maximum age of the last confirmation for the router to report itself ready.
    duration returnGrace = std::chrono::milliseconds(1900); ///< Time for servers to register again after an outage of the store.
};

/// What the configuration says about a caller's key.
enum class key_standing {
    notRequired, ///< The configuration lists no workspaces, so that no request needs a key.
    unknown, ///< No workspace holds the key, no key was sent, or no configuration has been read yet.
    held, ///< A workspace holds the key.
};

/// The workspace that a caller belongs to.
struct caller_identity {
    key_standing standing = key_standing::unknown;
    const workspace_keys* holder = nullptr; ///< Null unless the key is held. Valid until the next configuration is applied.
};

/// A server that is out of service since its registration ended.
struct removed_server {
    server_id id;
    duration delay {}; ///< From when the end of the registration was learnt.
};

/// Indexes the platform's rows for lookups of routes, keys and servers.
///
/// A confirmation is a successful read of the store. Its age counts from the time at
/// which the read was sent, so that the data is never taken for newer than it is.
/// Not thread-safe; call on the loop's thread.
class fleet_view {
public:
    explicit fleet_view(freshness_limits limits);

    /// Applies a version of the configuration. Unless \p mayBeOlder is set, versions at or
    /// below the one in force are ignored. Returns whether it was applied.
    bool applyPlan(serving_plan plan, bool mayBeOlder = false);

    /// Records that the configuration and the data centres out of service were current
    /// at \p sentAt.
    void confirm(time_point sentAt);

    void setOutOfService(std::set<data_centre_id> dataCentres);

    /// Adds or replaces a server. Returns whether it is new or has restarted.
    bool putServer(const registered_server& server);

    /// Removes a server whose registration has ended. Shortly after an outage of the
    /// store, the removal is delayed until `returnGrace` has passed. Returns the delay.
    duration removeServer(const server_id& id, time_point now);

    /// Records that an outage of the store ended at \p at. Removals that are still delayed
    /// are delayed until `returnGrace` has passed since then, or since they were learnt if
    /// that is earlier: the store was in reach when the removal was read from it.
    void onStoreRecovered(time_point at);

    /// Records that the outage of the store that was reported last was none. Delayed removals
    /// are due.
    void onOutageRefuted();

    /// Performs delayed removals that are due, and returns them.
    std::vector<removed_server> onTick(time_point now);

    /// Returns when the next delayed removal is due.
    std::optional<time_point> nextRemoval() const;

    bool hasPlan() const { return m_plan.has_value(); }
    const serving_plan& plan() const { return *m_plan; }
    const route* findRoute(std::string_view host, std::string_view path) const { return m_routes.find(host, path); }

    /// Identifies a caller on a route that is not anonymous. \p keyDigest: of the caller's key,
    /// or null if it sent none.
    caller_identity identify(const std::string* keyDigest) const;

    const pool_profile* profileOf(const pool_id& pool) const;
    const registered_server* findServer(const server_id& id) const;
    const std::map<server_id, registered_server>& servers() const { return m_servers; }
    const std::set<data_centre_id>& outOfService() const { return m_outOfService; }

    /// Returns the index of the servers in service that each workspace may use.
    const access_index& access() const;

    /// Returns the version of the access index; it changes whenever the index does.
    std::uint64_t accessVersion() const { return m_accessVersion; }

    /// Returns the time since the last confirmation, or nothing before the first.
    std::optional<duration> basisAge(time_point now) const;
    bool mayUseKeys(time_point now) const;
    bool isReady(time_point now) const;

    /// Returns the workspace of requests that need no key.
    static const workspace_id& anonymous();

private:
    struct pending_removal {
        time_point learntAt;
        time_point due;
    };

    void invalidate()
    {
        m_access.reset();
        ++m_accessVersion;
    }
    std::shared_ptr<const document> buildDocument() const;

    freshness_limits m_limits;
    std::optional<serving_plan> m_plan;
    route_table m_routes;
    std::unordered_map<std::string_view, const workspace_keys*> m_byKey;
    std::map<server_id, registered_server> m_servers;
    std::map<server_id, pending_removal> m_removals; ///< Servers whose registration ended and that are still in service.
    std::set<data_centre_id> m_outOfService;
    std::optional<time_point> m_confirmedAt;
    std::optional<time_point> m_returnedAt;
    std::uint64_t m_accessVersion = 0;
    mutable std::optional<access_index> m_access; ///< Rebuilt on first use after a change.
};

}
