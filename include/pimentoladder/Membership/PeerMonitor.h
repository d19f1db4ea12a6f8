/// \file
/// Heartbeat schedule, incarnation tracking and failure detection.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Random.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Config/Document.h"
#include "pimentoladder/Freshness/FreshnessTracker.h"
#include "pimentoladder/Membership/RemoteClock.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// Time without a heartbeat after which a member counts as lost, so that it may be
/// removed or suspended.
constexpr duration removalDelay = std::chrono::seconds(3);

/// Time limits of `peer_monitor`.
struct monitor_settings {
    duration interval = std::chrono::milliseconds(400); ///< Mean time between heartbeats to one peer.
    /// Mean time between heartbeats to a peer that is not a neighbour: a router that
    /// requests grants, or the owner that issues them. Short enough that one dropped
    /// heartbeat does not make the peer count as lost.
    duration nonNeighbourInterval = std::chrono::milliseconds(1200);
    double jitter = 0.2; ///< Fraction of the interval by which heartbeats vary.
    duration suspectAfter = std::chrono::milliseconds(1200);
    duration lostAfter = removalDelay;
    /// A longer gap between two ticks means that this process was paused. The pause
    /// does not count towards the silence of its peers.
    duration stallLimit = std::chrono::milliseconds(800);
};

enum class peer_state {
    unknown, ///< Not monitored.
    alive,
    suspected,
    lost,
};

/// Schedules heartbeats and detects silent peers.
///
/// Preconditions on time: as for `freshness_tracker`; the time passed to
/// `makeHeartbeat` is read after the last heartbeat was received.
///
/// Not thread-safe; call on the loop's thread.
class peer_monitor {
public:
    peer_monitor(member_ref self, const monitor_settings& settings, std::uint64_t seed);

    /// Sets the peers that always receive heartbeats. Other peers that send
    /// heartbeats are answered at `nonNeighbourInterval` until they are lost.
    void setNeighbours(const std::set<vm_id>& neighbours, time_point now);

    /// Advances the clock. Call at least every half `stallLimit`.
    void tick(time_point now);

    /// Returns whether to process frames of this sender, and records its
    /// incarnation. The caller must drop frames of an incarnation older than the
    /// newest seen.
    bool acceptSender(const member_ref& from, time_point now);

    /// Processes a heartbeat. Returns whether it is new; the caller must drop a late,
    /// repeated or outdated one.
    bool heartbeatReceived(const member_ref& from, const heartbeat& beat, time_point now);

    /// Returns the peers to which a heartbeat is due, and schedules the next ones.
    std::vector<vm_id> heartbeatsDue(time_point now);

    /// Returns a lower bound on the time at which the next heartbeat is due; none
    /// without peers.
    std::optional<time_point> nextDue() const { return m_nextDue; }

    /// Creates the next heartbeat to \p peer, to be sent immediately.
    heartbeat makeHeartbeat(const vm_id& peer, const freshness_statement& statement, time_point now);

    peer_state state(const vm_id& peer, time_point now) const;

    /// Returns for how long a monitored peer has been silent, excluding pauses of
    /// this process; none if it is not monitored.
    std::optional<duration> silence(const vm_id& peer, time_point now) const;

    /// Returns the newest incarnation seen; zero if none.
    incarnation newestIncarnation(const vm_id& peer) const;

    /// Returns an upper bound on the current time of \p owner's clock; none before
    /// its first answer.
    std::optional<time_point> clockUpperBound(const member_ref& owner, time_point now) const;

private:
    struct sent_probe {
        std::uint64_t sequence = 0;
        time_point sentAt;
    };
    struct peer_record {
        incarnation start;
        bool isNeighbour = false;
        time_point lastHeard; // Initially, when monitoring began.
        time_point nextHeartbeatAt;
        time_point receivedAt; // When the heartbeat with sequence `received` arrived.
        std::uint64_t received = 0; // Highest sequence received.
        std::deque<sent_probe> probes;
        remote_clock clock;
    };

    duration nextWait(const peer_record& watched);
    void lowerNextDue(time_point at);
    peer_record& watch(const vm_id& vm, time_point now);
    time_point adjustedLastHeard(const peer_record& watched, time_point now) const;
    bool isHeartbeatTarget(const peer_record& watched, time_point now) const;

    member_ref m_self;
    monitor_settings m_settings;
    random_source m_random;
    std::map<vm_id, peer_record> m_peers;
    std::uint64_t m_sequence; // Starts at a random value, so that echoes to an earlier incarnation do not match.
    std::optional<time_point> m_lastTick;
    std::optional<time_point> m_nextDue; // Cached, because scanning all peers after each event took most of a witness's CPU time.
};

}
