#include "pimentoladder/Router/FleetCoordinator.h"

#include <algorithm>
#include <utility>

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    constexpr duration tickInterval = 100ms;
    // Members and roster are checked at this interval and not with every heartbeat,
    // because a witness of 340 routers sends 850 heartbeats a second.
    constexpr duration housekeepingInterval = 100ms;
    // Heartbeats that fall due within this time are sent together.
    constexpr duration heartbeatBatch = 10ms;
    // Relayed evidence keeps the freshness basis recent without any router reading
    // the table. This slower poll finds a change whose writer failed before it
    // announced the change.
    constexpr duration backstopPollInterval = 5s;
    constexpr duration ownRowInterval = 1s; ///< Minimum time between writes of the member row.
    constexpr duration rosterInterval = 1s; ///< Minimum time between proposals of a roster.

    bool isElapsed(const std::optional<time_point>& last, duration interval, time_point now)
    {
        return !last || now - *last >= interval;
    }

    member_ref refOf(const member& of)
    {
        return { of.vm, of.start };
    }

}

/// State that belongs to one incarnation of this router.
struct fleet_coordinator::tracking {
    tracking(const member_ref& self, const suspension_set& known, std::uint64_t seed)
        : suspended(known)
        , freshness(self, suspended, {}, seed)
        , acceptance(self, suspended)
        , monitor(self, {}, seed + 1)
        , removals(self, {}, seed + 2)
        , rosters({}, seed + 3)
        , votes(self, monitor)
    {
    }

    suspension_set suspended;
    freshness_tracker freshness;
    acceptance_tracker acceptance;
    peer_monitor monitor;
    removal_planner removals;
    roster_planner rosters;
    suspension_votes votes;
    std::optional<time_point> polledAt;
};

fleet_coordinator::fleet_coordinator(router_identity identity, std::uint64_t seed)
    : m_identity(std::move(identity))
    , m_seed(seed)
    , m_random(seed)
    , m_directory(m_identity.self.vm, m_identity.self.peerLocation, m_identity.seeds)
    , m_tracking(std::make_unique<tracking>(refOf(m_identity.self), suspension_set(), seed))
{
}

fleet_coordinator::~fleet_coordinator() = default;

member_ref fleet_coordinator::self() const
{
    return refOf(m_identity.self);
}

bool fleet_coordinator::acceptSender(const member_ref& from, time_point now)
{
    return m_tracking->monitor.acceptSender(from, now);
}

void fleet_coordinator::onHeartbeat(const member_ref& from, const heartbeat& received, time_point now, router_actions& out)
{
    if (!m_tracking->monitor.heartbeatReceived(from, received, now))
        return;
    m_tracking->freshness.heartbeatReceived(from, received, now);
    m_tracking->acceptance.heartbeatReceived(from, received);
    m_peerStatuses[from] = { received.applied, received.basisAge };
    if (received.suspendedDigest != m_tracking->suspended.digest() && !m_tracking->suspended.isEmpty()) {
        const suspend stated { {}, m_tracking->suspended.members(), m_tracking->suspended.listedBy() };
        out.push_back(send_message { from.vm, stated });
    }
    refreshAcceptance(now);
    sendFetch(now, out);
}

void fleet_coordinator::onRevisionAnnounce(const member_ref& from, const revision_announce& announced, time_point now, router_actions& out)
{
    m_tracking->freshness.revisionAnnounced(from.vm, announced.at);
    sendFetch(now, out);
}

void fleet_coordinator::onConfigRequest(const member_ref& from, const config_request& asked, router_actions& out)
{
    if (asked.have < current().at) {
        out.push_back(send_message { from.vm, m_replica.updateSince(asked.have) });
        return;
    }
    // A change is announced before this router has read its rows. The peer gets
    // them as soon as they arrive, so that its request does not time out.
    m_pendingConfigRequests[from.vm] = asked.have;
}

void fleet_coordinator::onConfigUpdate(const config_update& update, time_point now, router_actions& out)
{
    applyUpdate(update, now, out);
}

void fleet_coordinator::onSuspend(const member_ref& from, const suspend& stated, time_point now, router_actions& out)
{
    m_tracking->acceptance.suspendReceived(from, stated);
    const std::vector<member_ref> agreed = m_tracking->votes.proposalReceived(from, stated, now);
    if (!agreed.empty() && from != self())
        out.push_back(send_message { from.vm, suspend { agreed, m_tracking->suspended.members(), current().at } });
    std::vector<member_ref> merged = m_tracking->votes.agreedSuspensions(now);
    const revision listedBy = std::max(stated.listedBy, current().at);
    merged.insert(merged.end(), stated.suspended.begin(), stated.suspended.end());
    mergeSuspensions(merged, merged.size() > stated.suspended.size() ? listedBy : stated.listedBy, now, out);
}

void fleet_coordinator::onLinkOpened(const member_ref& peer, time_point now, router_actions& out)
{
    if (!acceptSender(peer, now))
        return;
    const heartbeat outgoing = m_tracking->monitor.makeHeartbeat(peer.vm, m_tracking->freshness.statement(now), now);
    m_tracking->freshness.probeSent(peer.vm, outgoing.sequence, now);
    out.push_back(send_message { peer.vm, outgoing });
}

void fleet_coordinator::onPeerIdentified(const endpoint& location, const vm_id& vm)
{
    m_directory.peerIdentified(location, vm);
}

void fleet_coordinator::onRevisionPolled(const result<revision>& answer, time_point sentAt, time_point now, router_actions& out)
{
    m_isTableFailing = !answer;
    if (!answer)
        return;
    m_tracking->freshness.pollAnswered(*answer, sentAt, now);
    sendFetch(now, out);
}

void fleet_coordinator::onRowsFetched(const rows_result& answer, time_point now, router_actions& out)
{
    m_isTableFailing = !answer;
    if (answer)
        applyUpdate(*answer, now, out);
}

void fleet_coordinator::onCommitted(transaction_number transactionNumber, const result<revision>& answer, time_point now, router_actions& out)
{
    m_pendingCommits.erase(transactionNumber);
    const bool isConflict = !answer && answer.error().kind == error_kind::conflict;
    m_isTableFailing = !answer && !isConflict;
    if (!answer) {
        sendPoll(now, out);
        return;
    }
    committed(*answer, now, out);
}

void fleet_coordinator::committed(revision at, time_point now, router_actions& out)
{
    m_tracking->freshness.revisionAnnounced(vm_id(), at);
    broadcast(revision_announce { at }, out);
    sendFetch(now, out);
}

void fleet_coordinator::onVmList(const vm_list& list, time_point now)
{
    m_vms = list;
    m_directory.vmListReceived(list);
    m_tracking->acceptance.vmListReceived(list, now);
    m_tracking->monitor.setNeighbours(m_directory.neighbours(), now);
}

void fleet_coordinator::onTick(time_point now, router_actions& out)
{
    sendHeartbeats(now, out);
    if (m_tracking->freshness.isPollDue(now) || isElapsed(m_tracking->polledAt, m_backstopPollDelay, now))
        sendPoll(now, out);
    sendFetch(now, out);
    refreshAcceptance(now);
    if (!isFresh(now) || !isElapsed(m_lastHousekeepingAt, housekeepingInterval, now))
        return;
    m_lastHousekeepingAt = now;
    writeOwnRow(now, out);
    writeRoster(now, out);
    removeLostMembers(now, out);
}

time_point fleet_coordinator::nextDeadline(time_point now) const
{
    const time_point tick = now + tickInterval;
    const time_point heartbeatDue = m_tracking->monitor.nextDue().value_or(tick);
    return std::min(tick, m_lastHeartbeatsAt ? std::max(heartbeatDue, *m_lastHeartbeatsAt + heartbeatBatch) : heartbeatDue);
}

void fleet_coordinator::leave()
{
    m_isLeaving = true;
    m_lastHousekeepingAt.reset();
}

bool fleet_coordinator::hasLeft() const
{
    return !isSelfListed();
}

bool fleet_coordinator::isFresh(time_point now) const
{
    return !m_isSuperseded && m_tracking->freshness.isFresh(now);
}

bool fleet_coordinator::isOwnerFresh(time_point now) const
{
    return isFresh(now) && m_tracking->freshness.isOwnerFresh(now) && isSelfListed() && !suspended().contains(self());
}

time_point fleet_coordinator::ownerFreshUntil() const
{
    const auto basis = m_tracking->freshness.basis();
    const auto suspensionBasis = m_tracking->freshness.suspensionBasis();
    if (!basis || !suspensionBasis || !isSelfListed() || m_isSuperseded || suspended().contains(self()))
        return time_point::min();
    return std::min(*basis, *suspensionBasis) + freshnessWindow;
}

std::optional<duration> fleet_coordinator::basisAge(time_point now) const
{
    const auto basis = m_tracking->freshness.basis();
    return basis ? std::optional(now - *basis) : std::nullopt;
}

std::optional<time_point> fleet_coordinator::acceptedAt(revision at) const
{
    return m_tracking->acceptance.acceptedAt(at);
}

revision fleet_coordinator::accepted() const
{
    return m_tracking->acceptance.accepted();
}

std::optional<time_point> fleet_coordinator::suspensionAcceptedAt(const member_ref& suspendedMember) const
{
    return m_tracking->acceptance.suspensionAcceptedAt(suspendedMember);
}

const suspension_set& fleet_coordinator::suspended() const
{
    return m_tracking->suspended;
}

std::vector<member> fleet_coordinator::activeMembers() const
{
    std::vector<member> active;
    for (const auto& [vm, listed] : current().members) {
        if (!suspended().contains(refOf(listed)))
            active.push_back(listed);
    }
    return active;
}

std::optional<peer_status> fleet_coordinator::peerStatusOf(const member_ref& peer) const
{
    const auto found = m_peerStatuses.find(peer);
    return found == m_peerStatuses.end() ? std::nullopt : std::optional(found->second);
}

peer_state fleet_coordinator::stateOf(const vm_id& peer, time_point now) const
{
    return m_tracking->monitor.state(peer, now);
}

std::optional<time_point> fleet_coordinator::clockUpperBound(const member_ref& owner, time_point now) const
{
    return owner == self() ? now : m_tracking->monitor.clockUpperBound(owner, now);
}

bool fleet_coordinator::mayHaveRequestsInProgress(const member_ref& router) const
{
    if (router == self())
        return true;
    const auto listed = current().members.find(router.vm);
    const bool isReplaced = listed != current().members.end() && listed->second.start > router.start;
    return !isReplaced && m_tracking->monitor.newestIncarnation(router.vm) <= router.start;
}

void fleet_coordinator::applyUpdate(const config_update& update, time_point now, router_actions& out)
{
    const auto applied = m_replica.apply(update);
    if (!applied) {
        out.push_back(report_fault { applied.error() });
        return;
    }
    if (*applied)
        documentApplied(now, out);
    sendFetch(now, out);
}

void fleet_coordinator::documentApplied(time_point now, router_actions& out)
{
    tracking& track = *m_tracking;
    track.suspended.documentApplied(current());
    track.freshness.documentApplied(current(), now);
    track.acceptance.documentApplied(current(), now);
    track.votes.documentApplied(current());
    m_directory.documentApplied(current());
    track.monitor.setNeighbours(m_directory.neighbours(), now);
    std::erase_if(m_peerStatuses, [this](const auto& entry) {
        const auto listed = current().members.find(entry.first.vm);
        return listed == current().members.end() || refOf(listed->second) != entry.first;
    });
    out.push_back(document_applied { current().at });
    for (const auto& [peer, have] : std::exchange(m_pendingConfigRequests, {}))
        out.push_back(send_message { peer, m_replica.updateSince(have) });
    // Acknowledge the revision at once, so that its acceptance does not wait for
    // the next regular heartbeat.
    for (const vm_id& peer : m_directory.neighbours())
        sendHeartbeat(peer, now, out);
    refreshAcceptance(now);
    checkOwnRow(now, out);
}

void fleet_coordinator::checkOwnRow(time_point now, router_actions& out)
{
    const auto listed = current().members.find(m_identity.self.vm);
    if (listed != current().members.end() && listed->second.start > m_identity.self.start) {
        m_isSuperseded = true;
        return;
    }
    if (isSelfListed()) {
        m_wasListed = true;
        return;
    }
    if (m_wasListed && !m_isLeaving)
        rejoin(now, out);
}

void fleet_coordinator::rejoin(time_point now, router_actions& out)
{
    // A removed or suspended incarnation must never own a shard again, because its
    // successor may already be issuing grants.
    m_identity.self.start = incarnation(m_identity.self.start.value() + 1);
    m_wasListed = false;
    m_lastOwnRowWriteAt.reset();
    auto next = std::make_unique<tracking>(self(), m_tracking->suspended, ++m_seed);
    m_tracking = std::move(next);
    m_tracking->freshness.documentApplied(current(), now);
    m_tracking->acceptance.documentApplied(current(), now);
    m_tracking->votes.documentApplied(current());
    m_tracking->monitor.setNeighbours(m_directory.neighbours(), now);
    out.push_back(change_incarnation { m_identity.self.start });
}

void fleet_coordinator::refreshAcceptance(time_point now)
{
    m_tracking->acceptance.update(isFresh(now), now);
}

void fleet_coordinator::sendHeartbeat(const vm_id& peer, time_point now, router_actions& out)
{
    const heartbeat outgoing = m_tracking->monitor.makeHeartbeat(peer, m_tracking->freshness.statement(now), now);
    m_tracking->freshness.probeSent(peer, outgoing.sequence, now);
    out.push_back(send_message { peer, outgoing });
}

void fleet_coordinator::sendHeartbeats(time_point now, router_actions& out)
{
    m_tracking->monitor.tick(now);
    m_lastHeartbeatsAt = now;
    for (const vm_id& peer : m_tracking->monitor.heartbeatsDue(now))
        sendHeartbeat(peer, now, out);
}

void fleet_coordinator::sendPoll(time_point now, router_actions& out)
{
    m_tracking->freshness.pollSent(now);
    m_tracking->polledAt = now;
    m_backstopPollDelay = m_random.jittered(backstopPollInterval, 0.2);
    out.push_back(poll_revision { now });
}

void fleet_coordinator::sendFetch(time_point now, router_actions& out)
{
    const auto target = m_tracking->freshness.fetchDue(now);
    if (!target)
        return;
    m_tracking->freshness.fetchSent(*target, now);
    if (target->from.isEmpty())
        out.push_back(fetch_rows { current().at });
    else
        out.push_back(send_message { target->from, config_request { current().at } });
}

void fleet_coordinator::writeOwnRow(time_point now, router_actions& out)
{
    if (m_isLeaving == !isSelfListed() || !isElapsed(m_lastOwnRowWriteAt, ownRowInterval, now))
        return;
    m_lastOwnRowWriteAt = now;
    const member& own = m_identity.self;
    commit(rowKey(own), m_isLeaving ? std::nullopt : std::optional<document_value>(own), out);
}

void fleet_coordinator::writeRoster(time_point now, router_actions& out)
{
    if (m_isLeaving || !isSelfListed() || !isElapsed(m_lastRosterWriteAt, rosterInterval, now))
        return;
    const auto planned = m_tracking->rosters.plan(current(), m_vms, suspended(), m_tracking->acceptance, now);
    if (!planned)
        return;
    m_lastRosterWriteAt = now;
    commit(rowKey(*planned), *planned, out);
}

void fleet_coordinator::removeLostMembers(time_point now, router_actions& out)
{
    tracking& track = *m_tracking;
    const removal_preconditions position { isFresh(now), isOwnerFresh(now), !m_isTableFailing };
    for (const removal& each : track.removals.due(current(), track.monitor, track.suspended, track.acceptance, position, now)) {
        const auto listed = current().members.find(each.member.vm);
        if (each.kind == removal_kind::proposeSuspension)
            proposeSuspension(each.member, now, out);
        else if (listed != current().members.end() && refOf(listed->second) == each.member)
            commit(rowKey(listed->second), std::nullopt, out);
    }
}

void fleet_coordinator::proposeSuspension(const member_ref& lost, time_point now, router_actions& out)
{
    const suspend proposal { { lost }, suspended().members(), std::max(current().at, suspended().listedBy()) };
    for (const member_ref& witness : current().roster.witnesses) {
        if (witness != self())
            out.push_back(send_message { witness.vm, proposal });
    }
    for (const member_ref& witness : current().roster.previous) {
        if (witness != self())
            out.push_back(send_message { witness.vm, proposal });
    }
    onSuspend(self(), proposal, now, out);
    // The table did not answer, but the failure may have been brief.
    sendPoll(now, out);
}

void fleet_coordinator::mergeSuspensions(const std::vector<member_ref>& members, revision listedBy, time_point now, router_actions& out)
{
    const bool isChanged = m_tracking->suspended.merge(members, listedBy);
    m_tracking->freshness.suspensionsMerged(now);
    refreshAcceptance(now);
    if (!isChanged)
        return;
    broadcast(suspend { {}, suspended().members(), suspended().listedBy() }, out);
    out.push_back(membership_changed {});
    if (suspended().contains(self()))
        rejoin(now, out);
}

void fleet_coordinator::broadcast(const message& content, router_actions& out) const
{
    for (const vm_id& peer : m_directory.neighbours())
        out.push_back(send_message { peer, content });
}

void fleet_coordinator::commit(const std::string& key, std::optional<document_value> value, router_actions& out)
{
    const bool isInProgress = std::any_of(m_pendingCommits.begin(), m_pendingCommits.end(), [&](const auto& entry) { return entry.second == key; });
    if (isInProgress)
        return;
    const transaction_number transactionNumber(++m_lastTransactionNumber);
    m_pendingCommits[transactionNumber] = key;
    out.push_back(commit_rows { transactionNumber, { { key, m_replica.rowRevision(key) } }, { row_change { key, std::move(value), revision() } } });
}

bool fleet_coordinator::isSelfListed() const
{
    const auto listed = current().members.find(m_identity.self.vm);
    return listed != current().members.end() && listed->second.start == m_identity.self.start;
}

}
