/// \file
/// This router's participation in the fleet: its replica of the document, its
/// freshness, its membership and its view of the other members.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pimentoladder/Freshness/AcceptanceTracker.h"
#include "pimentoladder/Freshness/FreshnessTracker.h"
#include "pimentoladder/Freshness/RosterPlanner.h"
#include "pimentoladder/Freshness/SuspensionSet.h"
#include "pimentoladder/Freshness/VmList.h"
#include "pimentoladder/Membership/PeerDirectory.h"
#include "pimentoladder/Membership/PeerMonitor.h"
#include "pimentoladder/Membership/RemovalPlanner.h"
#include "pimentoladder/Membership/SuspensionVotes.h"
#include "pimentoladder/Router/Actions.h"
#include "pimentoladder/Router/DocumentReplica.h"

namespace pimentoladder {

/// Identity of a router at start-up and the addresses of peers to contact first.
struct router_identity {
    member self;
    std::vector<endpoint> seeds;
};

/// Result of reading rows from the table.
using rows_result = result<config_update>;

/// What a peer reported about itself in its latest heartbeat.
struct peer_status {
    revision applied;
    std::optional<duration> basisAge;
};

/// Keeps this router's document and membership synchronised with the fleet. Event
/// handlers append the resulting actions to `out`. Not thread-safe; call on the
/// loop's thread.
class fleet_coordinator {
public:
    fleet_coordinator(router_identity identity, std::uint64_t seed);
    ~fleet_coordinator();

    /// Records the incarnation of a frame's sender. Returns false if a newer
    /// incarnation is known; the frame must then be dropped.
    bool acceptSender(const member_ref& from, time_point now);

    void onHeartbeat(const member_ref& from, const heartbeat& received, time_point now, router_actions& out);
    void onRevisionAnnounce(const member_ref& from, const revision_announce& announced, time_point now, router_actions& out);
    void onConfigRequest(const member_ref& from, const config_request& asked, router_actions& out);
    void onConfigUpdate(const config_update& update, time_point now, router_actions& out);
    void onSuspend(const member_ref& from, const suspend& stated, time_point now, router_actions& out);
    void onLinkOpened(const member_ref& peer, time_point now, router_actions& out);
    void onPeerIdentified(const endpoint& location, const vm_id& vm);

    void onRevisionPolled(const result<revision>& answer, time_point sentAt, time_point now, router_actions& out);
    void onRowsFetched(const rows_result& answer, time_point now, router_actions& out);
    void onCommitted(transaction_number transactionNumber, const result<revision>& answer, time_point now, router_actions& out);
    void onVmList(const vm_list& list, time_point now);

    /// Sends due heartbeats, polls and fetches, and writes due changes of the own
    /// member row, the roster and lost members' rows.
    void onTick(time_point now, router_actions& out);

    /// Returns when `onTick` is due.
    time_point nextDeadline(time_point now) const;

    /// This router has committed a change of the document at revision \p at.
    void committed(revision at, time_point now, router_actions& out);

    /// Starts to leave the fleet. The member row is deleted and not written again.
    void leave();

    /// Returns whether the member row is gone, or never existed.
    bool hasLeft() const;

    const document& current() const { return m_replica.current(); }
    member_ref self() const;
    const router_identity& identity() const { return m_identity; }

    /// Returns whether this router may take new work.
    bool isFresh(time_point now) const;

    /// Returns whether this router may act as owner: it is fresh, also for
    /// suspensions, listed as a member under its current incarnation, and not
    /// suspended.
    bool isOwnerFresh(time_point now) const;

    /// Returns until when `isOwnerFresh` holds if no further evidence arrives.
    time_point ownerFreshUntil() const;

    /// Returns the age of the freshness basis; none without one.
    std::optional<duration> basisAge(time_point now) const;

    /// Returns a time by which revision \p at had been accepted; none if it is
    /// not known to be accepted.
    std::optional<time_point> acceptedAt(revision at) const;

    /// Returns the highest revision known to be accepted.
    revision accepted() const;

    /// Returns a time by which the suspension of \p member had been accepted;
    /// none if it is not known to be accepted.
    std::optional<time_point> suspensionAcceptedAt(const member_ref& member) const;

    /// Returns the suspended members.
    const suspension_set& suspended() const;

    /// Returns the routers to which links are to be kept open.
    std::vector<peer_target> targets() const { return m_directory.targets(); }

    /// Returns the address on which a router listens for peers.
    std::optional<endpoint> locate(const vm_id& vm) const { return m_directory.locate(vm); }

    /// Returns the members that are not suspended.
    std::vector<member> activeMembers() const;

    /// Returns what \p peer last reported under this incarnation; none if it
    /// has not.
    std::optional<peer_status> peerStatusOf(const member_ref& peer) const;

    peer_state stateOf(const vm_id& peer, time_point now) const;

    /// Returns an upper bound on the present time of the clock of \p owner.
    std::optional<time_point> clockUpperBound(const member_ref& owner, time_point now) const;

    /// Returns whether \p router may still have requests in progress: it is
    /// false once a newer incarnation of it is known.
    bool mayHaveRequestsInProgress(const member_ref& router) const;

    const vm_list& vms() const { return m_vms; }

private:
    struct tracking;

    void rejoin(time_point now, router_actions& out);
    void applyUpdate(const config_update& update, time_point now, router_actions& out);
    void documentApplied(time_point now, router_actions& out);
    void checkOwnRow(time_point now, router_actions& out);
    void refreshAcceptance(time_point now);
    void sendHeartbeat(const vm_id& peer, time_point now, router_actions& out);
    void sendHeartbeats(time_point now, router_actions& out);
    void sendPoll(time_point now, router_actions& out);
    void sendFetch(time_point now, router_actions& out);
    void writeOwnRow(time_point now, router_actions& out);
    void writeRoster(time_point now, router_actions& out);
    void removeLostMembers(time_point now, router_actions& out);
    void proposeSuspension(const member_ref& lost, time_point now, router_actions& out);
    void mergeSuspensions(const std::vector<member_ref>& members, revision listedBy, time_point now, router_actions& out);
    void broadcast(const message& content, router_actions& out) const;
    void commit(const std::string& key, std::optional<document_value> value, router_actions& out);
    bool isSelfListed() const;

    router_identity m_identity;
    std::uint64_t m_seed;
    random_source m_random;
    document_replica m_replica;
    peer_directory m_directory;
    vm_list m_vms;
    std::unique_ptr<tracking> m_tracking; ///< State of one incarnation.
    std::map<member_ref, peer_status> m_peerStatuses;
    std::map<vm_id, revision> m_pendingConfigRequests; ///< Revision held by each peer that asked for rows which this router has not read yet.
    std::map<transaction_number, std::string> m_pendingCommits; ///< Row key of each commit in progress.
    std::uint64_t m_lastTransactionNumber = 0;
    duration m_backstopPollDelay {}; ///< Time after the last poll at which the next one is due in any case.
    std::optional<time_point> m_lastOwnRowWriteAt;
    std::optional<time_point> m_lastRosterWriteAt;
    std::optional<time_point> m_lastHousekeepingAt; ///< When members and roster were last checked.
    std::optional<time_point> m_lastHeartbeatsAt; ///< When heartbeats were last sent.
    bool m_isTableFailing = false; ///< The last call to the table failed.
    bool m_wasListed = false; ///< Has been a member under the current incarnation.
    bool m_isLeaving = false;
    bool m_isSuperseded = false; ///< A newer incarnation of this router is a member.
};

}
