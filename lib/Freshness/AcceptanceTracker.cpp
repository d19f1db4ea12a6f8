#include "pimentoladder/Freshness/AcceptanceTracker.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "pimentoladder/Freshness/Quorum.h"

namespace pimentoladder {

namespace {

    // Accepted revisions to keep. For an evicted one the acceptance time of a later
    // one is returned, which only makes a caller wait longer.
    constexpr std::size_t maxAccepted = 64;

    bool contains(const std::vector<member_ref>& witnesses, const member_ref& candidate)
    {
        return std::find(witnesses.begin(), witnesses.end(), candidate) != witnesses.end();
    }

    bool isSameSet(std::vector<member_ref> left, std::vector<member_ref> right)
    {
        std::sort(left.begin(), left.end());
        std::sort(right.begin(), right.end());
        return left == right;
    }

    // Returns whether every set that the later roster requires was already required.
    bool isNoStricter(const witness_roster& later, const witness_roster& before)
    {
        const auto earlierSets = witnessSets(before);
        const auto laterSets = witnessSets(later);
        return std::all_of(laterSets.begin(), laterSets.end(), [&earlierSets](const std::vector<member_ref>& set) {
            return std::any_of(earlierSets.begin(), earlierSets.end(),
                [&set](const std::vector<member_ref>& earlier) { return isSameSet(earlier, set); });
        });
    }

}

acceptance_tracker::acceptance_tracker(member_ref self, const suspension_set& suspended)
    : m_self(std::move(self))
    , m_suspended(suspended)
{
}

void acceptance_tracker::heartbeatReceived(const member_ref& from, const heartbeat& beat)
{
    acknowledgement& known = m_acknowledged[from];
    known.applied = std::max(known.applied, beat.applied);
    if (beat.suspendedDigest == 0 || beat.suspendedDigest != m_suspended.digest())
        return;
    for (const member_ref& member : m_suspended.members())
        known.suspended.insert(member);
}

void acceptance_tracker::suspendReceived(const member_ref& from, const suspend& stated)
{
    m_acknowledged[from].suspended.insert(stated.suspended.begin(), stated.suspended.end());
}

void acceptance_tracker::documentApplied(const document& applied, time_point now)
{
    if (applied.at < m_applied)
        return;
    // The new set may have acknowledged later than the old set accepted, so the
    // acceptance times are no longer valid.
    if (!isNoStricter(applied.roster, m_roster))
        m_suspensionsAccepted.clear();
    m_applied = applied.at;
    m_roster = applied.roster;
    m_members.clear();
    for (const auto& [vm, listed] : applied.members)
        m_members.emplace(vm, listed.start);
    forgetFormerWitnesses();
    updateRevision(now);
}

void acceptance_tracker::vmListReceived(const vm_list& list, time_point now)
{
    // A list without this router's own VM is outdated or truncated.
    if (!list.contains(m_self.vm))
        return;
    m_listReceivedAt = now;
    for (const std::vector<member_ref>& witnesses : witnessSets(m_roster)) {
        for (const member_ref& witness : witnesses)
            m_presence.try_emplace(witness.vm);
    }
    for (const std::set<vm_id>* listed : { &list.live, &list.leaving }) {
        for (const vm_id& vm : *listed)
            m_presence[vm] = { .wasListed = true, .absentSince = std::nullopt };
    }
    for (auto& [vm, presence] : m_presence) {
        if (!list.contains(vm) && !presence.absentSince)
            presence.absentSince = now;
    }
    std::erase_if(m_presence, [this, &list](const auto& entry) {
        return !list.contains(entry.first) && !isWitnessVm(entry.first) && !m_members.contains(entry.first);
    });
}

void acceptance_tracker::update(bool isFresh, time_point now)
{
    updateRevision(now);
    updateSuspensions(isFresh, now);
}

revision acceptance_tracker::accepted() const
{
    return m_accepted.empty() ? revision {} : m_accepted.back().at;
}

std::optional<time_point> acceptance_tracker::acceptedAt(revision at) const
{
    const auto found = std::find_if(
        m_accepted.begin(), m_accepted.end(), [at](const acceptance& known) { return known.at >= at; });
    if (found == m_accepted.end())
        return std::nullopt;
    return found->since;
}

std::optional<time_point> acceptance_tracker::suspensionAcceptedAt(const member_ref& member) const
{
    const auto found = m_suspensionsAccepted.find(member);
    if (found == m_suspensionsAccepted.end())
        return std::nullopt;
    return found->second;
}

bool acceptance_tracker::isConfirmedDead(const member_ref& witness) const
{
    const auto listed = m_members.find(witness.vm);
    if (listed != m_members.end() && listed->second > witness.start)
        return true;
    const auto presence = m_presence.find(witness.vm);
    if (presence == m_presence.end() || !presence->second.absentSince)
        return false;
    return presence->second.wasListed || *m_listReceivedAt - *presence->second.absentSince >= vmAbsenceDelay;
}

bool acceptance_tracker::isWitnessVm(const vm_id& vm) const
{
    for (const std::vector<member_ref>& witnesses : witnessSets(m_roster)) {
        for (const member_ref& witness : witnesses) {
            if (witness.vm == vm)
                return true;
        }
    }
    return false;
}

std::size_t acceptance_tracker::acknowledgementsNeeded(const std::vector<member_ref>& witnesses) const
{
    const std::size_t dead = static_cast<std::size_t>(std::count_if(witnesses.begin(), witnesses.end(),
        [this](const member_ref& witness) { return isConfirmedDead(witness); }));
    const std::size_t blocking = witnesses.size() + 1 - majorityOf(witnesses.size());
    return blocking > dead ? blocking - dead : 0;
}

std::optional<revision> acceptance_tracker::acceptedIn(const std::vector<member_ref>& witnesses) const
{
    const std::size_t needed = acknowledgementsNeeded(witnesses);
    if (needed == 0)
        return m_applied;
    std::vector<revision> stated;
    for (const member_ref& witness : witnesses) {
        const auto found = m_acknowledged.find(witness);
        if (witness == m_self)
            stated.push_back(m_applied);
        else if (found != m_acknowledged.end() && !isConfirmedDead(witness))
            stated.push_back(std::min(found->second.applied, m_applied));
    }
    return nthLargest(std::move(stated), needed);
}

bool acceptance_tracker::isSuspensionAcceptedIn(
    const std::vector<member_ref>& witnesses, const member_ref& member) const
{
    const auto holding = std::count_if(witnesses.begin(), witnesses.end(), [this, &member](const member_ref& witness) {
        return !isConfirmedDead(witness) && holdsSuspension(witness, member);
    });
    return static_cast<std::size_t>(holding) >= acknowledgementsNeeded(witnesses);
}

bool acceptance_tracker::holdsSuspension(const member_ref& witness, const member_ref& member) const
{
    if (witness == m_self)
        return m_suspended.contains(member);
    const auto found = m_acknowledged.find(witness);
    return found != m_acknowledged.end() && found->second.suspended.contains(member);
}

void acceptance_tracker::updateRevision(time_point now)
{
    revision reached = m_applied;
    for (const std::vector<member_ref>& witnesses : witnessSets(m_roster))
        reached = std::min(reached, acceptedIn(witnesses).value_or(revision {}));
    if (reached <= accepted())
        return;
    m_accepted.push_back({ reached, now });
    if (m_accepted.size() > maxAccepted)
        m_accepted.pop_front();
}

void acceptance_tracker::updateSuspensions(bool isFresh, time_point now)
{
    std::erase_if(
        m_suspensionsAccepted, [this](const auto& entry) { return !m_suspended.contains(entry.first); });
    if (!isFresh)
        return;
    const auto sets = witnessSets(m_roster);
    for (const member_ref& member : m_suspended.members()) {
        const bool isAccepted = std::all_of(sets.begin(), sets.end(),
            [this, &member](const std::vector<member_ref>& set) { return isSuspensionAcceptedIn(set, member); });
        if (isAccepted)
            m_suspensionsAccepted.emplace(member, now);
    }
}

void acceptance_tracker::forgetFormerWitnesses()
{
    std::erase_if(m_acknowledged, [this](const auto& entry) {
        const auto listed = m_members.find(entry.first.vm);
        const bool isMember = listed != m_members.end() && listed->second == entry.first.start;
        return !isMember && !contains(m_roster.witnesses, entry.first) && !contains(m_roster.previous, entry.first);
    });
}

}
