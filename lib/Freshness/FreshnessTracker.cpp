#include "pimentoladder/Freshness/FreshnessTracker.h"

#include <algorithm>

#include "pimentoladder/Freshness/Quorum.h"

namespace pimentoladder {

namespace {

    // Unanswered probes to keep for each peer: over 6 s of heartbeats, well beyond
    // the window in which an answer can still advance the basis.
    constexpr std::size_t maxProbes = 16;

    // Maximum number of table reads whose revision has not been applied yet.
    constexpr std::size_t maxTableReads = 8;

}

freshness_tracker::freshness_tracker(
    member_ref self, const suspension_set& suspended, const freshness_settings& settings, std::uint64_t seed)
    : m_self(std::move(self))
    , m_suspended(suspended)
    , m_settings(settings)
    , m_random(seed)
    , m_pollAge(settings.pollAge)
    , m_pollInterval(settings.pollInterval)
{
}

void freshness_tracker::probeSent(const vm_id& peer, std::uint64_t sequence, time_point now)
{
    std::deque<sent_probe>& probes = m_peers[peer].probes;
    probes.push_back({ sequence, now });
    if (probes.size() > maxProbes)
        probes.pop_front();
}

void freshness_tracker::heartbeatReceived(const member_ref& from, const heartbeat& beat, time_point now)
{
    peer_record& sender = m_peers[from.vm];
    if (from.start < sender.start)
        return;
    if (from.start > sender.start) {
        // A restarted peer has lost the state that its previous incarnation acknowledged.
        sender.start = from.start;
        sender.newest.reset();
        sender.stated = {};
    }
    sender.stated = std::max(sender.stated, beat.applied);
    learnRevision(from.vm, beat.applied);

    const auto echoed = std::find_if(sender.probes.begin(), sender.probes.end(),
        [&beat](const sent_probe& probe) { return probe.sequence == beat.echoSequence; });
    if (echoed == sender.probes.end())
        return;
    sender.newest = answer { echoed->sentAt,
        { beat.applied, beat.suspendedDigest, beat.basisAge, beat.suspensionAge } };
    // Another answer to this or an earlier probe cannot advance the basis further.
    sender.probes.erase(sender.probes.begin(), std::next(echoed));
    reevaluate(now);
}

void freshness_tracker::revisionAnnounced(const vm_id& from, revision at)
{
    peer_record& sender = m_peers[from];
    sender.stated = std::max(sender.stated, at);
    learnRevision(from, at);
}

void freshness_tracker::pollSent(time_point now)
{
    m_lastPoll = now;
    // The jitter lets one router poll first; its heartbeats then make polls by the
    // others unnecessary.
    m_pollInterval = m_settings.pollInterval + m_random.jittered(m_settings.pollInterval / 4, 1);
    m_pollAge = m_settings.pollAge + m_random.jittered(m_settings.pollAge / 4, 1);
}

void freshness_tracker::pollAnswered(revision at, time_point sentAt, time_point now)
{
    learnRevision(vm_id {}, at);
    m_tableReads.push_back({ sentAt, at });
    if (m_tableReads.size() > maxTableReads)
        m_tableReads.pop_front();
    reevaluate(now);
}

void freshness_tracker::documentApplied(const document& applied, time_point now)
{
    if (applied.at < m_applied)
        return;
    m_applied = applied.at;
    m_roster = applied.roster;
    learnRevision(vm_id {}, applied.at);
    m_fetchSentAt.reset();
    m_fetchTried.clear();
    m_peerFetches = 0;
    reevaluate(now);
}

void freshness_tracker::suspensionsMerged(time_point now)
{
    reevaluate(now);
}

void freshness_tracker::fetchSent(const fetch_target& target, time_point now)
{
    m_fetchSentAt = now;
    if (target.from.isEmpty()) {
        m_peerFetches = 0;
        // After every peer has failed, try them all again.
        if (!untriedPeer())
            m_fetchTried.clear();
        return;
    }
    ++m_peerFetches;
    m_fetchTried.insert(target.from);
}

bool freshness_tracker::isFresh(time_point now) const
{
    return ageWithinWindow(m_basis, now).has_value();
}

bool freshness_tracker::isOwnerFresh(time_point now) const
{
    return isFresh(now) && ageWithinWindow(m_suspensionBasis, now).has_value();
}

freshness_statement freshness_tracker::statement(time_point now) const
{
    return { m_applied, m_suspended.digest(), ageWithinWindow(m_basis, now), ageWithinWindow(m_suspensionBasis, now) };
}

bool freshness_tracker::isPollDue(time_point now) const
{
    if (m_lastPoll && now - *m_lastPoll < m_pollInterval)
        return false;
    return !m_basis || now - *m_basis > m_pollAge;
}

std::optional<fetch_target> freshness_tracker::fetchDue(time_point now) const
{
    if (m_known <= m_applied)
        return std::nullopt;
    if (m_fetchSentAt && now - *m_fetchSentAt < m_settings.fetchTimeout)
        return std::nullopt;
    const bool isTableTurn = m_peerFetches >= m_settings.peerFetches;
    return fetch_target { m_known, isTableTurn ? vm_id() : untriedPeer().value_or(vm_id()) };
}

std::optional<vm_id> freshness_tracker::untriedPeer() const
{
    if (!m_announcer.isEmpty() && !m_fetchTried.contains(m_announcer))
        return m_announcer;
    for (const auto& [vm, candidate] : m_peers) {
        if (candidate.stated >= m_known && !m_fetchTried.contains(vm))
            return vm;
    }
    return std::nullopt;
}

bool freshness_tracker::isDocumentCurrent(const answer& from) const
{
    return from.statement.applied <= m_applied;
}

bool freshness_tracker::isSuspensionCurrent(const answer& from) const
{
    // The peer may have dropped entries that its document supersedes, so covering
    // its set is sufficient only once that document is applied.
    return isDocumentCurrent(from) && m_suspended.covers(from.statement.suspendedDigest);
}

std::optional<time_point> freshness_tracker::quorumBasis(answer_test isCurrent, time_point now) const
{
    std::optional<time_point> basis;
    for (const std::vector<member_ref>& witnesses : witnessSets(m_roster)) {
        std::vector<time_point> answeredAt;
        for (const member_ref& witness : witnesses) {
            if (witness == m_self) {
                answeredAt.push_back(now);
                continue;
            }
            const auto found = m_peers.find(witness.vm);
            if (found == m_peers.end() || found->second.start != witness.start || !found->second.newest)
                continue;
            if ((this->*isCurrent)(*found->second.newest))
                answeredAt.push_back(found->second.newest->probeSentAt);
        }
        const std::optional<time_point> reached = nthLargest(std::move(answeredAt), majorityOf(witnesses.size()));
        if (!reached)
            return std::nullopt;
        basis = basis ? std::min(*basis, *reached) : *reached;
    }
    return basis;
}

std::optional<time_point> freshness_tracker::relayBasis(answer_test isCurrent, age_member age) const
{
    std::optional<time_point> basis;
    for (const auto& [vm, candidate] : m_peers) {
        if (!candidate.newest || !(this->*isCurrent)(*candidate.newest))
            continue;
        const std::optional<duration> stated = candidate.newest->statement.*age;
        if (stated && *stated >= duration::zero())
            advance(basis, candidate.newest->probeSentAt - *stated);
    }
    return basis;
}

void freshness_tracker::advance(std::optional<time_point>& basis, std::optional<time_point> candidate)
{
    if (candidate && (!basis || *candidate > *basis))
        basis = candidate;
}

void freshness_tracker::reevaluate(time_point now)
{
    for (const table_read& read : m_tableReads) {
        if (read.at <= m_applied)
            advance(m_basis, read.sentAt);
    }
    std::erase_if(m_tableReads, [this](const table_read& read) { return read.at <= m_applied; });

    advance(m_basis, quorumBasis(&freshness_tracker::isDocumentCurrent, now));
    advance(m_basis, relayBasis(&freshness_tracker::isDocumentCurrent, &freshness_statement::basisAge));
    advance(m_suspensionBasis, quorumBasis(&freshness_tracker::isSuspensionCurrent, now));
    advance(m_suspensionBasis, relayBasis(&freshness_tracker::isSuspensionCurrent, &freshness_statement::suspensionAge));
}

void freshness_tracker::learnRevision(const vm_id& from, revision at)
{
    if (at <= m_known)
        return;
    m_known = at;
    // Peers that did not answer stay marked as tried. Otherwise, with frequent
    // changes and a link that works in one direction only, every fetch would go to
    // the same unreachable peer.
    m_announcer = from;
}

std::optional<duration> freshness_tracker::ageWithinWindow(
    const std::optional<time_point>& basis, time_point now) const
{
    if (!basis || now - *basis > m_settings.window)
        return std::nullopt;
    return now - *basis;
}

}
