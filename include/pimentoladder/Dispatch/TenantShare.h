/// \file
/// Max-min fair share of the engines' tokens among workspaces.

#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// Tokens that a workspace asked for and received over the window.
struct tenant_usage {
    double asked = 0;
    double admitted = 0;
};

/// Counts tokens over a sliding window and tells whether a request lies within
/// its workspace's fair share. Not thread-safe; call on the loop's thread.
class tenant_share {
public:
    /// Span over which shares are settled; the platform's credit uses the same.
    static constexpr duration window = std::chrono::seconds(4);

    /// Counts a request of \p tokens that a caller sent.
    void recordAsked(time_point now, const workspace_id& tenant, double tokens);

    /// Counts a request that was sent to a server.
    void recordAdmitted(time_point now, const workspace_id& tenant, double tokens);

    /// Returns whether the workspace's admitted tokens and \p tokens more stay
    /// within its max-min share of \p capacity tokens for each window.
    /// A capacity of zero sets no bound.
    bool isWithinShare(time_point now, const workspace_id& tenant, double tokens, double capacity);

    tenant_usage usageOf(time_point now, const workspace_id& tenant);

private:
    static constexpr std::size_t slotCount = 8;
    static constexpr duration slotLength = window / slotCount;

    struct slot {
        std::int64_t index = -1; ///< Number of the slot's period since the clock's epoch.
        tenant_usage used;
    };
    using slots = std::array<slot, slotCount>;

    slot& slotAt(time_point now, const workspace_id& tenant);
    static tenant_usage sumOf(const slots& counted, std::int64_t present);

    std::map<workspace_id, slots> m_tenants;
};

/// Returns the level L at which the sum of min(demand, L) over the demands
/// equals \p capacity, or the largest demand if all fit. Thread-safe.
double maxMinLevel(std::vector<double> demands, double capacity);

}
