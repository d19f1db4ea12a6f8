/// \file
/// Heartbeat schedule, incarnations and suspicion.

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

/// Silence after which a lost member is removed or suspended.
constexpr duration removalDelay = std::chrono::seconds(3);

/// Time limits of `peer_monitor`.
struct monitor_settings {
    duration interval = std::chrono::milliseconds(400); ///< Mean time between heartbeats to one peer.
    /// Mean time between heartbeats to a peer that is no neighbour: a router that
    /// asks for grants, or the owner that gives them. One lost heartbeat does not
    /// make it lost.
    duration otherInterval = std::chrono::milliseconds(1200);
    double jitter = 0.2; ///< Share of the interval by which heartbeats vary.
    duration suspectAfter = std::chrono::milliseconds(1200);
    duration lostAfter = removalDelay;
    /// A longer gap between two ticks means that this process was paused. The
    /// pause is not counted as silence of its peers.
    duration stallLimit = std::chrono::milliseconds(800);
};

enum class peer_state {
    unknown, ///< Not watched.
    alive,
    suspected,
    lost,
};

/// Schedules heartbeats and watches who is silent.
///
/// Preconditions on time: as for `freshness_tracker`; heartbeats are made with
/// a time read after the last one was received.
///
/// Not thread-safe; call on the loop's thread.
class peer_monitor {
public:
    peer_monitor(member_ref self, const monitor_settings& settings, std::uint64_t seed);

    /// Sets the peers to which heartbeats are sent unasked. Peers that send
    /// heartbeats themselves are answered too, at `otherInterval`, until they are lost.
    void setNeighbours(const std::set<vm_id>& neighbours, time_point now);

    /// Advances the clock. Call at least every half `stallLimit`.
    void tick(time_point now);

    /// Returns whether a frame of this sender may be used, and remembers its
    /// incarnation. Frames of an incarnation older than the newest seen are
    /// to be dropped.
    bool admit(const member_ref& from, time_point now);

    /// Takes in a heartbeat. Returns whether it is new; a late, repeated or
    /// outdated one is to be dropped.
    bool heartbeatReceived(const member_ref& from, const heartbeat& beat, time_point now);

    /// Returns the peers to which a heartbeat is due, and plans the next ones.
    std::vector<vm_id> heartbeatsDue(time_point now);

    /// Returns a time not after the one at which the next heartbeat is due; none
    /// without peers.
    std::optional<time_point> nextDue() const { return m_nextDue; }

    /// Makes the next heartbeat to \p peer, to be sent at once.
    heartbeat makeHeartbeat(const vm_id& peer, const freshness_statement& statement, time_point now);

    peer_state state(const vm_id& peer, time_point now) const;

    /// Returns for how long a watched peer has been silent, pauses of this
    /// process excluded; none if it is not watched.
    std::optional<duration> silence(const vm_id& peer, time_point now) const;

    /// Returns the newest incarnation seen; zero if none.
    incarnation newestIncarnation(const vm_id& peer) const;

    /// Returns a time on the clock of \p owner that is never before its present
    /// time; none before its first answer.
    std::optional<time_point> latestClock(const member_ref& owner, time_point now) const;

private:
    struct sent_probe {
        std::uint64_t sequence = 0;
        time_point sentAt;
    };
    struct peer_record {
        incarnation start;
        bool isNeighbour = false;
        time_point lastHeard; // Or when watching began.
        time_point nextBeat;
        time_point receivedAt; // When the heartbeat with sequence `received` came.
        std::uint64_t received = 0; // Highest sequence received.
        std::deque<sent_probe> probes;
        remote_clock clock;
    };

    duration nextWait(const peer_record& watched);
    void noteDue(time_point at);
    peer_record& watch(const vm_id& vm, time_point now);
    time_point heardAt(const peer_record& watched, time_point now) const;
    bool isAnswered(const peer_record& watched, time_point now) const;

    member_ref m_self;
    monitor_settings m_settings;
    random_source m_random;
    std::map<vm_id, peer_record> m_peers;
    std::uint64_t m_sequence; // Starts at random, so that no echo to an earlier incarnation fits.
    std::optional<time_point> m_lastTick;
    std::optional<time_point> m_nextDue; // Kept, because a scan of all peers after each event costs most of a witness's time.
};

}
