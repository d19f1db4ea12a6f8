#include "pimentoladder/Freshness/RosterPlanner.h"

#include <algorithm>
#include <map>
#include <utility>

namespace pimentoladder {

namespace {

    // Longest gap between two calls within which the roster cannot have changed and
    // changed back unnoticed: two changes take longer than this gap and the
    // freshness window together.
    constexpr duration maxPlanGap = std::chrono::seconds(1);

    bool contains(const std::vector<member_ref>& members, const member_ref& candidate)
    {
        return std::find(members.begin(), members.end(), candidate) != members.end();
    }

    std::vector<member_ref> sorted(std::vector<member_ref> members)
    {
        std::sort(members.begin(), members.end());
        return members;
    }

    std::vector<member> eligibleMembers(const document& current, const vm_list& vms, const suspension_set& suspended,
        const acceptance_tracker& accepted)
    {
        // Until the platform's list has been read, it excludes no member.
        const bool isListKnown = !vms.live.empty();
        std::vector<member> eligible;
        for (const auto& [vm, listed] : current.members) {
            const member_ref ref { vm, listed.start };
            if (isListKnown && !vms.live.contains(vm))
                continue;
            if (suspended.contains(ref) || accepted.isConfirmedDead(ref))
                continue;
            eligible.push_back(listed);
        }
        return eligible;
    }

}

std::vector<member_ref> chooseWitnesses(
    const std::vector<member>& candidates, const std::vector<member_ref>& current, std::size_t size)
{
    const auto isPreferred = [&current](const member_ref& left, const member_ref& right) {
        return std::pair(!contains(current, left), left) < std::pair(!contains(current, right), right);
    };
    std::map<data_centre_id, std::vector<member_ref>> byDataCentre;
    for (const member& candidate : candidates)
        byDataCentre[candidate.dataCentre].push_back({ candidate.vm, candidate.start });
    for (auto& [dataCentre, members] : byDataCentre)
        std::sort(members.begin(), members.end(), isPreferred);

    // Each round takes one member of every data centre until the roster is full.
    std::vector<member_ref> chosen;
    for (std::size_t round = 0; chosen.size() < std::min(size, candidates.size()); ++round) {
        std::vector<member_ref> next;
        for (const auto& [dataCentre, members] : byDataCentre) {
            if (round < members.size())
                next.push_back(members[round]);
        }
        std::sort(next.begin(), next.end(), isPreferred);
        next.resize(std::min(next.size(), size - chosen.size()));
        chosen.insert(chosen.end(), next.begin(), next.end());
    }
    return sorted(std::move(chosen));
}

roster_planner::roster_planner(const roster_settings& settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{
}

std::optional<witness_roster> roster_planner::plan(const document& current, const vm_list& vms,
    const suspension_set& suspended, const acceptance_tracker& accepted, time_point now)
{
    trackRoster(current, now);
    std::optional<witness_roster> next = nextRoster(current, vms, suspended, accepted, now);
    if (!next) {
        m_pending.reset();
        return std::nullopt;
    }
    if (next != m_pending) {
        m_pending = std::move(next);
        m_proposeAt = now + m_random.jittered(m_settings.proposalDelay, 1);
    }
    if (now < m_proposeAt)
        return std::nullopt;
    m_proposeAt = now + m_random.jittered(2 * m_settings.proposalDelay, 0.5);
    return m_pending;
}

std::optional<witness_roster> roster_planner::nextRoster(const document& current, const vm_list& vms,
    const suspension_set& suspended, const acceptance_tracker& accepted, time_point now) const
{
    const std::vector<member> eligible = eligibleMembers(current, vms, suspended, accepted);
    const witness_roster& roster = current.roster;
    std::vector<member_ref> chosen = chooseWitnesses(eligible, roster.witnesses, m_settings.size);
    if (chosen.empty())
        return std::nullopt;
    if (roster.previous.empty()) {
        if (chosen == sorted(roster.witnesses))
            return std::nullopt;
        return witness_roster { std::move(chosen), roster.witnesses };
    }

    // A new witness that is lost during the change is replaced at once. The previous
    // witnesses are kept, so a majority of them still acknowledges every change.
    const bool isTargetLost
        = std::any_of(roster.witnesses.begin(), roster.witnesses.end(), [&eligible](const member_ref& witness) {
              return std::none_of(eligible.begin(), eligible.end(), [&witness](const member& candidate) {
                  return candidate.vm == witness.vm && candidate.start == witness.start;
              });
          });
    if (isTargetLost)
        return witness_roster { std::move(chosen), roster.previous };

    const std::optional<time_point> acceptedSince = accepted.acceptedAt(m_seenAt);
    if (!acceptedSince || now - *acceptedSince < m_settings.completionDelay)
        return std::nullopt;
    return witness_roster { roster.witnesses, {} };
}

void roster_planner::trackRoster(const document& current, time_point now)
{
    const bool isContinuous = m_lastPlanned && now - *m_lastPlanned <= maxPlanGap;
    m_lastPlanned = now;
    if (isContinuous && m_seenRoster == current.roster)
        return;
    m_seenRoster = current.roster;
    m_seenAt = current.at;
}

}
