#include "pimentoladder/Membership/SuspensionVotes.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "pimentoladder/Freshness/Quorum.h"

namespace pimentoladder {

namespace {

    // Older votes are ignored: the member may have been heard from since.
    constexpr duration voteLifetime = std::chrono::seconds(3);

    // Minimum time between two votes on one member sent to one router. Proposals
    // are repeated about every second.
    constexpr duration answerInterval = std::chrono::milliseconds(400);

}

suspension_votes::suspension_votes(member_ref self, const peer_monitor& monitor)
    : m_self(std::move(self))
    , m_monitor(monitor)
{
}

void suspension_votes::documentApplied(const document& applied)
{
    m_members.clear();
    for (const auto& [vm, listed] : applied.members)
        m_members.emplace(vm, listed.start);
    m_roster = applied.roster;
    std::erase_if(m_votes, [this](const auto& entry) { return !isMember(entry.first); });
    std::erase_if(m_answered, [this](const auto& entry) { return !isMember(entry.first); });
}

std::vector<member_ref> suspension_votes::proposalReceived(
    const member_ref& from, const suspend& proposal, time_point now)
{
    std::vector<member_ref> agreed;
    for (const member_ref& proposed : proposal.proposed) {
        if (!isMember(proposed) || proposed == m_self)
            continue;
        if (isWitness(from))
            m_votes[proposed][from] = now;
        if (!isWitness(m_self) || !isLost(proposed, now))
            continue;
        m_votes[proposed][m_self] = now;
        const auto [answered, isFirst] = m_answered[proposed].try_emplace(from, now);
        if (!isFirst && now - answered->second < answerInterval)
            continue;
        answered->second = now;
        agreed.push_back(proposed);
    }
    return agreed;
}

std::vector<member_ref> suspension_votes::agreedSuspensions(time_point now) const
{
    std::vector<member_ref> decided;
    const auto sets = witnessSets(m_roster);
    for (const auto& [candidate, votes] : m_votes) {
        const member_ref& member = candidate;
        const bool isDecided
            = std::all_of(sets.begin(), sets.end(), [this, &member, now](const std::vector<member_ref>& witnesses) {
                  const auto count = std::count_if(witnesses.begin(), witnesses.end(),
                      [this, &member, now](const member_ref& witness) { return hasVote(witness, member, now); });
                  return static_cast<std::size_t>(count) >= majorityOf(witnesses.size());
              });
        if (isDecided)
            decided.push_back(candidate);
    }
    return decided;
}

bool suspension_votes::isWitness(const member_ref& candidate) const
{
    const auto isNamedIn = [&candidate](const std::vector<member_ref>& witnesses) {
        return std::find(witnesses.begin(), witnesses.end(), candidate) != witnesses.end();
    };
    return isNamedIn(m_roster.witnesses) || isNamedIn(m_roster.previous);
}

bool suspension_votes::isMember(const member_ref& candidate) const
{
    const auto listed = m_members.find(candidate.vm);
    return listed != m_members.end() && listed->second == candidate.start;
}

bool suspension_votes::isLost(const member_ref& candidate, time_point now) const
{
    return m_monitor.state(candidate.vm, now) == peer_state::lost
        && m_monitor.newestIncarnation(candidate.vm) <= candidate.start;
}

bool suspension_votes::hasVote(const member_ref& witness, const member_ref& candidate, time_point now) const
{
    const auto votes = m_votes.find(candidate);
    if (votes == m_votes.end())
        return false;
    const auto vote = votes->second.find(witness);
    return vote != votes->second.end() && now - vote->second <= voteLifetime;
}

}
