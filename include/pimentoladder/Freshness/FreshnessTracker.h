/// \file
/// Decides whether this router's state is recent enough to act on.

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
#include "pimentoladder/Freshness/SuspensionSet.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// A router is fresh while its basis is at most this old.
constexpr duration freshnessWindow = std::chrono::seconds(2);

/// Time limits of `freshness_tracker`.
struct freshness_settings {
    duration window = freshnessWindow;
    duration pollAge = std::chrono::milliseconds(800); ///< Age of the basis above which the table is polled.
    duration pollInterval = std::chrono::milliseconds(800); ///< Minimum time between two polls.
    duration fetchTimeout = std::chrono::milliseconds(500); ///< Time after which a fetch is retried at another source.
    int peerFetches = 2; ///< Unsuccessful fetches from peers before one from the table.
};

/// The freshness of a heartbeat's sender, as stated in the heartbeat.
struct freshness_statement {
    revision applied;
    std::uint64_t suspendedDigest = 0;
    std::optional<duration> basisAge;
    std::optional<duration> suspensionAge;
};

/// Source from which to fetch the rows up to a revision.
struct fetch_target {
    revision wanted;
    vm_id from; ///< A peer; empty for the table.

    bool operator==(const fetch_target&) const = default;
};

/// Tracks the basis: the latest time t such that this router has applied every
/// change accepted before t.
///
/// There are two bases. The basis for the document is advanced by table reads,
/// by a majority of witnesses and by fresh peers. The basis for suspensions is
/// advanced by witnesses and peers only, because a suspension is accepted
/// without the table. So a router that reaches only the table may take work, but
/// must not act as owner.
///
/// Preconditions on time: the clock is read before a probe is sent and after any
/// other event, and the times passed in never decrease.
///
/// Not thread-safe; call on the loop's thread.
class freshness_tracker {
public:
    /// \p suspended must outlive the tracker. \p seed drives the jitter of polls.
    freshness_tracker(member_ref self, const suspension_set& suspended, const freshness_settings& settings,
        std::uint64_t seed);

    /// Records a probe (a heartbeat) about to be sent to \p peer.
    void probeSent(const vm_id& peer, std::uint64_t sequence, time_point now);

    /// Processes a heartbeat. Heartbeats of an older incarnation, and answers
    /// older than one already received, do not change the basis.
    void heartbeatReceived(const member_ref& from, const heartbeat& beat, time_point now);

    /// Records that \p from has announced a committed revision.
    void revisionAnnounced(const vm_id& from, revision at);

    /// Records that a read of the table's revision is about to be sent.
    void pollSent(time_point now);

    /// Processes the answer to the revision read that was sent at \p sentAt.
    void pollAnswered(revision at, time_point sentAt, time_point now);

    /// Records that the document is applied at `applied.at`. Older documents
    /// are ignored.
    void documentApplied(const document& applied, time_point now);

    /// Re-evaluates after the suspension set has changed or been merged with a peer's.
    void suspensionsMerged(time_point now);

    /// Records a request for rows sent to \p target.
    void fetchSent(const fetch_target& target, time_point now);

    /// Returns whether this router may take new work.
    bool isFresh(time_point now) const;

    /// Returns whether this router may act as owner of a shard: it is fresh
    /// for the document and for suspensions.
    bool isOwnerFresh(time_point now) const;

    /// Returns the basis for the document; none until it has been established.
    std::optional<time_point> basis() const { return m_basis; }

    /// Returns the basis for suspensions; none until it has been established.
    std::optional<time_point> suspensionBasis() const { return m_suspensionBasis; }

    /// Returns the statement for heartbeats. An age that exceeds the window is absent.
    freshness_statement statement(time_point now) const;

    /// Returns whether the table's revision should be read now.
    bool isPollDue(time_point now) const;

    /// Returns where to fetch from if a revision above the applied one is known
    /// and no fetch is in progress.
    std::optional<fetch_target> fetchDue(time_point now) const;

    revision applied() const { return m_applied; }

    /// Returns the highest revision known to be committed.
    revision known() const { return m_known; }

private:
    struct sent_probe {
        std::uint64_t sequence = 0;
        time_point sentAt;
    };
    // The newest probe that a peer answered. The statement was made after `probeSentAt`.
    struct answer {
        time_point probeSentAt;
        freshness_statement statement;
    };
    struct peer_record {
        incarnation start;
        std::deque<sent_probe> probes;
        std::optional<answer> newest;
        revision stated;
    };
    struct table_read {
        time_point sentAt;
        revision at;
    };
    using answer_test = bool (freshness_tracker::*)(const answer&) const;
    using age_member = std::optional<duration> freshness_statement::*;

    bool isDocumentCurrent(const answer& from) const;
    bool isSuspensionCurrent(const answer& from) const;
    std::optional<time_point> quorumBasis(answer_test isCurrent, time_point now) const;
    std::optional<time_point> relayBasis(answer_test isCurrent, age_member age) const;
    static void advance(std::optional<time_point>& basis, std::optional<time_point> candidate);
    void reevaluate(time_point now);
    std::optional<vm_id> untriedPeer() const;
    void learnRevision(const vm_id& from, revision at);
    std::optional<duration> ageWithinWindow(const std::optional<time_point>& basis, time_point now) const;

    member_ref m_self;
    const suspension_set& m_suspended;
    freshness_settings m_settings;
    random_source m_random;
    std::map<vm_id, peer_record> m_peers;
    std::deque<table_read> m_tableReads; // Reads that returned a revision not yet applied.
    witness_roster m_roster;
    revision m_applied;
    revision m_known;
    vm_id m_announcer; // Peer that first announced `m_known`; empty for the table.
    std::optional<time_point> m_basis;
    std::optional<time_point> m_suspensionBasis;
    std::optional<time_point> m_lastPoll;
    duration m_pollAge;
    duration m_pollInterval;
    std::optional<time_point> m_fetchSentAt;
    std::set<vm_id> m_fetchTried;
    int m_peerFetches = 0; ///< Fetches from peers since the last applied document or fetch from the table.
};

}
