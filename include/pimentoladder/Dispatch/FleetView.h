/// \file
/// What this router believes about the configuration and the backend servers,
/// and how old that belief is.

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

/// Bounds on acting upon old knowledge.
struct freshness_limits {
    duration keyBasis = std::chrono::milliseconds(4600); ///< Oldest confirmation of the keys under which a keyed request is sent.
    duration readyBasis = std::chrono::milliseconds(2500); ///< Oldest confirmation under which the router reports itself ready.
    duration returnGrace = std::chrono::milliseconds(1900); ///< For servers to register again after an outage of the store.
};

/// The router's replica of the platform's rows, as labels, rules and indexes.
///
/// A confirmation is an answered read of the store; its age counts from the
/// time at which the read was sent, so that it never overstates what is known.
/// Not thread-safe; call on the loop's thread.
class fleet_view {
public:
    explicit fleet_view(freshness_limits limits);

    /// Applies a version of the configuration. Versions at or below the one in
    /// force are ignored. Returns whether it was applied.
    bool applyPlan(serving_plan plan);

    /// The configuration and the zones out of service were current at \p sentAt.
    void confirm(time_point sentAt);

    void setOutOfService(std::set<data_centre_id> dataCentres);

    /// Adds or replaces a server. Returns whether it is new or has restarted.
    bool putServer(const registered_server& server);

    /// Removes a server whose registration has ended. While the store has just
    /// returned from an outage, the removal waits for the return grace.
    void removeServer(const server_id& id, time_point now);

    /// The store answers again after an outage.
    void storeReturned(time_point now) { m_returnedAt = now; }

    /// Carries out removals that waited. Returns whether a server was removed.
    bool onTick(time_point now);

    /// Returns when the next removal that waits is due.
    std::optional<time_point> nextRemoval() const;

    bool hasPlan() const { return m_plan.has_value(); }
    const serving_plan& plan() const { return *m_plan; }
    const route* findRoute(std::string_view host, std::string_view path) const { return m_routes.find(host, path); }

    /// Returns the workspace that holds the key, or null.
    const workspace_keys* workspaceByKey(std::string_view keyDigest) const;

    const pool_profile* profileOf(const pool_id& pool) const;
    const registered_server* findServer(const server_id& id) const;
    const std::map<server_id, registered_server>& servers() const { return m_servers; }
    const std::set<data_centre_id>& outOfService() const { return m_outOfService; }

    /// Returns the index of which workspace may reach which servers in service.
    const access_index& access() const;

    /// Returns a number that changes whenever the index does.
    std::uint64_t accessVersion() const { return m_accessVersion; }

    /// Returns the time since the last confirmation, or nothing before the first.
    std::optional<duration> basisAge(time_point now) const;
    bool mayUseKeys(time_point now) const;
    bool isReady(time_point now) const;

    /// Workspace of requests that need no key.
    static const workspace_id& anonymous();

private:
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
    std::map<server_id, time_point> m_removals; ///< Servers whose registration ended, and when they go.
    std::set<data_centre_id> m_outOfService;
    std::optional<time_point> m_confirmedAt;
    std::optional<time_point> m_returnedAt;
    std::uint64_t m_accessVersion = 0;
    mutable std::optional<access_index> m_access; ///< Built at its first use after a change.
};

}
