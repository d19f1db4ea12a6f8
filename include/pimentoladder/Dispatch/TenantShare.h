/// \file
/// Max-min fair share of the engines' tokens among workspaces, over all routers.

#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// Tokens that a workspace asked for and received.
struct tenant_usage {
    double asked = 0;
    double admitted = 0;
};

using tenant_usages = std::map<workspace_id, tenant_usage>;

/// Sums tokens over a sliding window. Not thread-safe; call on the loop's thread.
class usage_window {
public:
    /// Span over which shares are settled; the platform's credit uses the same.
    static constexpr duration length = std::chrono::seconds(4);

    void add(time_point now, const workspace_id& tenant, tenant_usage used);

    /// Returns the sums of all workspaces that used anything within the window.
    tenant_usages sums(time_point now) const;

private:
    static constexpr std::size_t slotCount = 16;
    static constexpr duration slotLength = length / slotCount;

    struct slot {
        std::int64_t index = -1; ///< Number of the slot's period since the clock's epoch.
        tenant_usages used;
    };

    std::array<slot, slotCount> m_slots;
};

/// Adds up what the routers report, and smooths what they have seen of servers.
/// Reports hold counters that only grow, so a
/// lost or repeated one costs nothing but age.
/// Not thread-safe; call on the loop's thread.
class usage_aggregator {
public:
    void onReport(time_point now, const member_ref& from, const usage_report& reported);
    usage_totals totals(time_point now) const;

private:
    struct reporter {
        time_point heardAt;
        std::map<workspace_id, tenant_usage> counted;
        std::map<server_id, double> pendingTokens;
    };

    struct observed_server {
        server_observation smoothed;
        time_point seenAt;
    };

    void observe(time_point now, const server_observation& seen);

    usage_window m_window;
    std::map<member_ref, reporter> m_reporters;
    std::map<server_id, observed_server> m_servers;
};

/// Tells how much of its fair share each workspace has had. It counts what this
/// router asks for and admits, and takes over the fleet's sums as they arrive;
/// without recent sums it takes this router for an average one.
/// Not thread-safe; call on the loop's thread.
class tenant_share {
public:
    /// Counts a request of \p tokens that a caller sent.
    void recordAsked(time_point now, const workspace_id& tenant, double tokens);

    /// Counts a request that was sent to a server.
    void recordAdmitted(time_point now, const workspace_id& tenant, double tokens);

    /// Returns this router's counters, which only grow.
    usage_report report() const;

    /// Takes over the fleet's sums over the last window.
    void setFleet(time_point now, const usage_totals& totals);

    /// Returns the part of its max-min share that the workspace has had once
    /// \p tokens more are admitted: above 1, it is beyond its share.
    /// \p nominalCapacity are the tokens that the engines produce in a second;
    /// if more were admitted, that is the capacity. \p routers is the size of
    /// the fleet, for when no sums are known.
    double fill(time_point now, const workspace_id& tenant, double tokens, double nominalCapacity, std::size_t routers) const;

private:
    void record(time_point now, const workspace_id& tenant, tenant_usage used);
    tenant_usages fleetUsage(time_point now, std::size_t routers) const;

    usage_window m_local;
    tenant_usages m_counters;
    std::optional<time_point> m_fleetAt;
    tenant_usages m_fleet; ///< As received, with what this router added since.
};

/// Returns the level L at which the sum of min(demand, L) over the demands
/// equals \p capacity, or the largest demand if all fit. Thread-safe.
double maxMinLevel(std::vector<double> demands, double capacity);

}
