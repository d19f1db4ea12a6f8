#include "pimentoladder/Membership/PeerMonitor.h"

#include <algorithm>
#include <utility>

namespace pimentoladder {

namespace {

    // Unanswered probes to keep for each peer: over 6 s of heartbeats.
    constexpr std::size_t maxProbes = 16;

    // Silence after which the record of a peer that is not a neighbour is removed.
    constexpr duration forgetAfter = std::chrono::minutes(10);

    constexpr std::size_t sequenceRange = std::size_t { 1 } << 62;

}

peer_monitor::peer_monitor(member_ref self, const monitor_settings& settings, std::uint64_t seed)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_random(seed)
    , m_sequence(m_random.index(sequenceRange))
{
}

void peer_monitor::setNeighbours(const std::set<vm_id>& neighbours, time_point now)
{
    for (auto& [vm, watched] : m_peers)
        watched.isNeighbour = false;
    for (const vm_id& vm : neighbours) {
        if (vm == m_self.vm)
            continue;
        peer_record& watched = watch(vm, now);
        // A peer that was not a neighbour was scheduled at the longer interval.
        if (!watched.isNeighbour)
            watched.nextHeartbeatAt = std::min(watched.nextHeartbeatAt, now + m_settings.interval);
        watched.isNeighbour = true;
        lowerNextDue(watched.nextHeartbeatAt);
    }
}

void peer_monitor::tick(time_point now)
{
    for (auto& [vm, watched] : m_peers)
        watched.lastHeard = adjustedLastHeard(watched, now);
    m_lastTick = now;
    std::erase_if(m_peers, [now](const auto& entry) {
        return !entry.second.isNeighbour && now - entry.second.lastHeard > forgetAfter;
    });
}

bool peer_monitor::acceptSender(const member_ref& from, time_point now)
{
    if (from.vm == m_self.vm)
        return false;
    peer_record& sender = watch(from.vm, now);
    if (from.start < sender.start)
        return false;
    if (from.start > sender.start) {
        sender.start = from.start;
        sender.lastHeard = now;
        sender.received = 0;
        sender.receivedAt = {};
        sender.clock = {};
    }
    return true;
}

bool peer_monitor::heartbeatReceived(const member_ref& from, const heartbeat& beat, time_point now)
{
    if (!acceptSender(from, now))
        return false;
    peer_record& sender = m_peers.at(from.vm);
    if (beat.sequence <= sender.received)
        return false;
    // The first probe is answered at once: without an answer the peer has no
    // bound on this router's clock and cannot use any grant.
    if (sender.received == 0)
        sender.nextHeartbeatAt = now;
    sender.received = beat.sequence;
    sender.receivedAt = now;
    sender.lastHeard = now;
    lowerNextDue(sender.nextHeartbeatAt);

    const auto echoed = std::find_if(sender.probes.begin(), sender.probes.end(),
        [&beat](const sent_probe& probe) { return probe.sequence == beat.echoSequence; });
    if (echoed != sender.probes.end()) {
        // The peer's clock read this when the probe reached it, or later.
        sender.clock.answered(beat.sentAt - beat.echoHeld, echoed->sentAt);
        sender.probes.erase(sender.probes.begin(), std::next(echoed));
    }
    return true;
}

std::vector<vm_id> peer_monitor::heartbeatsDue(time_point now)
{
    std::vector<vm_id> due;
    m_nextDue.reset();
    for (auto& [vm, watched] : m_peers) {
        if (!isHeartbeatTarget(watched, now))
            continue;
        if (watched.nextHeartbeatAt <= now) {
            due.push_back(vm);
            watched.nextHeartbeatAt = now + nextWait(watched);
        }
        lowerNextDue(watched.nextHeartbeatAt);
    }
    return due;
}

duration peer_monitor::nextWait(const peer_record& watched)
{
    return m_random.jittered(watched.isNeighbour ? m_settings.interval : m_settings.nonNeighbourInterval, m_settings.jitter);
}

void peer_monitor::lowerNextDue(time_point at)
{
    m_nextDue = m_nextDue ? std::min(*m_nextDue, at) : at;
}

heartbeat peer_monitor::makeHeartbeat(const vm_id& peer, const freshness_statement& statement, time_point now)
{
    peer_record& receiver = watch(peer, now);
    const std::uint64_t sequence = ++m_sequence;
    receiver.probes.push_back({ sequence, now });
    if (receiver.probes.size() > maxProbes)
        receiver.probes.pop_front();
    receiver.nextHeartbeatAt = now + nextWait(receiver);
    return { sequence, now, receiver.received, statement.applied, statement.suspendedDigest, statement.basisAge,
        statement.suspensionAge, receiver.received == 0 ? duration::zero() : now - receiver.receivedAt };
}

peer_state peer_monitor::state(const vm_id& peer, time_point now) const
{
    const std::optional<duration> silent = silence(peer, now);
    if (!silent)
        return peer_state::unknown;
    if (*silent >= m_settings.lostAfter)
        return peer_state::lost;
    return *silent >= m_settings.suspectAfter ? peer_state::suspected : peer_state::alive;
}

std::optional<duration> peer_monitor::silence(const vm_id& peer, time_point now) const
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end())
        return std::nullopt;
    return now - adjustedLastHeard(found->second, now);
}

incarnation peer_monitor::newestIncarnation(const vm_id& peer) const
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? incarnation {} : found->second.start;
}

std::optional<time_point> peer_monitor::clockUpperBound(const member_ref& owner, time_point now) const
{
    const auto found = m_peers.find(owner.vm);
    if (found == m_peers.end() || found->second.start != owner.start)
        return std::nullopt;
    return found->second.clock.upperBoundAt(now);
}

peer_monitor::peer_record& peer_monitor::watch(const vm_id& vm, time_point now)
{
    const auto [entry, isNew] = m_peers.try_emplace(vm);
    if (isNew) {
        entry->second.lastHeard = now;
        entry->second.nextHeartbeatAt = now;
        lowerNextDue(now);
    }
    return entry->second;
}

time_point peer_monitor::adjustedLastHeard(const peer_record& watched, time_point now) const
{
    // While paused, this process could not receive heartbeats.
    if (!m_lastTick || now - *m_lastTick <= m_settings.stallLimit)
        return watched.lastHeard;
    return std::min(now, watched.lastHeard + (now - *m_lastTick));
}

bool peer_monitor::isHeartbeatTarget(const peer_record& watched, time_point now) const
{
    return watched.isNeighbour || now - adjustedLastHeard(watched, now) < m_settings.lostAfter;
}

}
