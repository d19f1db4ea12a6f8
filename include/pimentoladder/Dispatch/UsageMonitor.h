/// \file
/// Whether this router receives the fleet's sums of usage.

#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

enum class usage_state {
    missing, ///< No sums within `usage_monitor::lifetime`.
    partial, ///< Sums of fewer than half of the routers.
    current,
};

std::string_view usageStateName(usage_state state);

/// The sums that this router uses have changed their state or their origin.
struct usage_change {
    usage_state state = usage_state::missing;
    vm_id source; ///< Router that sent the last sums; empty: none yet.
    std::optional<duration> age; ///< Of the last sums.
    std::uint32_t routers = 0; ///< That reported to the source.
    std::size_t workspaces = 0; ///< In the last sums.
};

/// Watches the age, the origin and the extent of the fleet's sums.
/// Not thread-safe; call on the loop's thread.
class usage_monitor {
public:
    static constexpr duration lifetime = std::chrono::seconds(2); ///< Of the sums, after which they count as missing.

    void onTotals(time_point now, const vm_id& from, const usage_totals& totals);

    /// Returns what has changed since the last call. \p members: number of routers of the fleet.
    std::optional<usage_change> check(time_point now, std::size_t members);

    const usage_change& last() const { return m_last; }

private:
    usage_change m_last;
    vm_id m_reportedSource;
    usage_state m_reportedState = usage_state::missing;
    std::optional<time_point> m_receivedAt;
};

}
