#include "pimentoladder/Membership/RemovalPlanner.h"

#include <optional>
#include <set>
#include <utility>

namespace pimentoladder {

namespace {

    std::optional<removal_kind> kindOf(bool isLost, bool isDead, bool isSuspended, const removal_preconditions& position)
    {
        const bool isLossConfirmed = isLost && position.isOwnerFresh;
        if (position.isTableReachable) {
            if (position.isFresh && (isDead || isLossConfirmed))
                return removal_kind::removeRow;
            return std::nullopt;
        }
        if (isLossConfirmed && !isSuspended)
            return removal_kind::proposeSuspension;
        return std::nullopt;
    }

}

removal_planner::removal_planner(member_ref self, const removal_settings& settings, std::uint64_t seed)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_random(seed)
{
}

std::vector<removal> removal_planner::due(const document& current, const peer_monitor& monitor,
    const suspension_set& suspended, const acceptance_tracker& accepted, const removal_preconditions& position,
    time_point now)
{
    std::vector<removal> actions;
    std::set<member_ref> pending;
    for (const auto& [vm, listed] : current.members) {
        const member_ref ref { vm, listed.start };
        if (vm == m_self.vm)
            continue;
        // If a newer incarnation has been seen, it replaces the row itself.
        const bool isLost
            = monitor.state(vm, now) == peer_state::lost && monitor.newestIncarnation(vm) <= listed.start;
        const std::optional<removal_kind> kind
            = kindOf(isLost, accepted.isConfirmedDead(ref), suspended.contains(ref), position);
        if (!kind)
            continue;
        pending.insert(ref);
        const auto [entry, isNew] = m_dueAt.try_emplace(ref, now);
        if (isNew)
            entry->second = now + m_random.jittered(m_settings.wait, 1);
        if (now < entry->second)
            continue;
        entry->second = now + m_random.jittered(m_settings.repeat, 0.5);
        actions.push_back({ *kind, ref });
    }
    std::erase_if(m_dueAt, [&pending](const auto& entry) { return !pending.contains(entry.first); });
    return actions;
}

}
