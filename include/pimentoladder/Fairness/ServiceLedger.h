/// \file
/// Service received by each workspace over all shard owners, and the virtual
/// time derived from it.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// Counters of one router, shared by all shards that it owns.
///
/// Every stored value only grows and is merged by maximum, so a lost,
/// duplicated or reordered message can make a copy stale but never wrong.
/// Not thread-safe; call on the loop's thread.
class service_ledger {
public:
    /// \p self is the owner under whose name charges and credits are counted.
    explicit service_ledger(member_ref self);

    /// Sets the share of \p workspace; 1 until set. Precondition: `weight > 0`.
    void setWeight(const workspace_id& workspace, double weight);

    /// Counts \p cost units of service. Precondition: `cost >= 0`.
    void charge(const workspace_id& workspace, cost_units cost);

    /// Takes back \p cost units of an earlier charge. Precondition: `cost >= 0`.
    void credit(const workspace_id& workspace, cost_units cost);

    /// Returns service over all owners divided by weight, plus the lift of
    /// the workspace at \p shard.
    double virtualTime(const shard_id& shard, const workspace_id& workspace) const;

    /// Raises the lift at \p shard so that the virtual time is at least
    /// \p target. Never lowers it.
    void liftTo(const shard_id& shard, const workspace_id& workspace, double target);

    /// Returns the highest virtual time at which \p shard has started service.
    double clock(const shard_id& shard) const;

    /// Raises the clock of \p shard to \p virtualTime. Never lowers it.
    void advanceClock(const shard_id& shard, double virtualTime);

    /// Returns service over all owners in cost units.
    cost_units service(const workspace_id& workspace) const;

    /// Merges the counters, lifts and clocks that \p from sent. A counter that
    /// \p from sends under its own name shows that it also needs this router's
    /// counter of the workspace.
    void merge(const service_counters& received, const member_ref& from = {});

    /// Returns what has changed since the last call for \p peer: own counters,
    /// lifts and clocks. The first call for a peer returns everything known,
    /// counters of other owners included.
    service_counters takeChanges(const member_ref& peer);

    /// Begins a round of exchange, in which `takeNeededChanges` is called for every owner.
    void beginRound() { ++m_round; }

    /// Like `takeChanges`, but leaves out what \p peer does not need now.
    ///
    /// A counter is needed by an owner that counts the same workspace, which is
    /// one that has sent its own counter of it within `interestRounds`. The
    /// counter of a workspace in \p waiting is sent to every owner when the
    /// workspace begins to wait, and again every `resendRounds`, so that owners
    /// at which it waits learn of each other in one round. \p isSuccessor states
    /// that the peer takes over a shard of this router if this router is lost.
    /// A successor receives every counter; only successors receive changed lifts
    /// and clocks.
    service_counters takeNeededChanges(const member_ref& peer, const std::set<workspace_id>& waiting, bool isSuccessor);

    static constexpr std::uint64_t resendRounds = 32; ///< 8 s, at four rounds a second.
    static constexpr std::uint64_t interestRounds = 80; ///< 20 s, so that two resent counters may be lost.

    /// Makes the next `takeChanges` for \p peer return everything. Call when
    /// the link to it was replaced.
    void resendAllTo(const member_ref& peer);

    /// Marks the counters of \p owner as changed, so that they are sent to every
    /// peer once more. Call when the owner is lost, because it can no longer send
    /// them itself.
    void resendCountersOf(const member_ref& owner);

    /// Returns the number of merged values that may have changed a virtual time.
    std::uint64_t mergeCount() const { return m_mergeCount; }

    /// Returns the number of counters held, over all owners.
    std::size_t size() const { return m_counters.size(); }

private:
    struct counter_key {
        member_ref owner;
        workspace_id workspace;
        auto operator<=>(const counter_key&) const = default;
    };
    struct lift_key {
        shard_id shard;
        workspace_id workspace;
        auto operator<=>(const lift_key&) const = default;
    };
    struct counter {
        cost_units charged = 0;
        cost_units credited = 0;
        std::uint64_t changedAt = 0;
    };
    struct lift {
        double value = 0;
        std::uint64_t changedAt = 0;
    };
    struct peer_interest {
        std::map<workspace_id, std::uint64_t> lastReceived; ///< Round in which the peer last sent its counter.
        std::map<workspace_id, std::uint64_t> lastSent; ///< Round in which the own counter was last sent because the workspace waits.
        std::set<workspace_id> pendingCounters; ///< Own counters to send because they have become needed.
    };
    using counter_map = std::map<counter_key, counter>;
    using lift_map = std::map<lift_key, lift>;
    struct account {
        double weight = 1;
        cost_units service = 0;
        counter_map::pointer own = nullptr;
    };

    account& ownAccount(const workspace_id& workspace);
    const lift* findLift(const shard_id& shard, const workspace_id& workspace) const;
    lift_map::pointer raiseLift(const shard_id& shard, const workspace_id& workspace, double value);
    void recordChange(counter_map::reference changed);
    void recordChange(lift_map::reference changed);
    void recordReceived(const service_counter& received);
    void mergeCounter(const service_counter& received);

    member_ref m_self;
    counter_map m_counters;
    lift_map m_lifts;
    std::unordered_map<workspace_id, account> m_accounts;
    std::map<std::uint64_t, counter_map::const_pointer> m_counterChanges; ///< By version; the latest change of each counter.
    std::map<std::uint64_t, lift_map::const_pointer> m_liftChanges;
    std::map<member_ref, std::uint64_t> m_sentUpTo;
    std::map<member_ref, peer_interest> m_peerInterest;
    std::uint64_t m_round = 0;
    std::uint64_t m_version = 0;
    std::uint64_t m_mergeCount = 0;
};

}
