/// \file
/// A test router with only the freshness logic, and documents for it.

#pragma once

#include <map>
#include <string>
#include <vector>

#include "pimentoladder/Freshness/AcceptanceTracker.h"
#include "pimentoladder/Freshness/FreshnessTracker.h"
#include "pimentoladder/Freshness/RosterPlanner.h"
#include "pimentoladder/Freshness/SuspensionSet.h"

namespace pimentoladder {

inline vm_id vmNumber(std::size_t index)
{
    return vm_id("vm" + std::to_string(index));
}

inline member_ref refNumber(std::size_t index, std::uint64_t start = 1)
{
    return { vmNumber(index), incarnation(start) };
}

inline std::vector<member_ref> refNumbers(std::size_t first, std::size_t end)
{
    std::vector<member_ref> refs;
    for (std::size_t index = first; index < end; ++index)
        refs.push_back(refNumber(index));
    return refs;
}

/// Returns a document with members `vm0` and following, four data centres and
/// the first \p witnesses members as witnesses.
inline document makeDocument(std::uint64_t at, std::size_t members, std::size_t witnesses)
{
    document made;
    made.at = revision(at);
    for (std::size_t index = 0; index < members; ++index) {
        const data_centre_id dataCentre("dc" + std::to_string(index % 4));
        made.members.emplace(vmNumber(index), member { vmNumber(index), incarnation(1), dataCentre, {} });
    }
    made.roster.witnesses = refNumbers(0, witnesses);
    return made;
}

struct test_router {
    explicit test_router(member_ref ref, std::uint64_t firstSequence = 0)
        : self(std::move(ref))
        , freshness(self, suspended, {}, 1)
        , acceptance(self, suspended)
        , planner({ .size = 3, .completionDelay = std::chrono::seconds(3), .proposalDelay = {} }, 1)
        , sequence(firstSequence)
    {
    }

    heartbeat beat(const vm_id& peer, time_point now)
    {
        const freshness_statement stated = freshness.statement(now);
        freshness.probeSent(peer, ++sequence, now);
        return { sequence, now, received[peer], stated.applied, stated.suspendedDigest, stated.basisAge,
            stated.suspensionAge };
    }

    void receive(const member_ref& from, const heartbeat& arrived, time_point now)
    {
        received[from.vm] = arrived.sequence;
        freshness.heartbeatReceived(from, arrived, now);
        acceptance.heartbeatReceived(from, arrived);
        updateAcceptance(now);
    }

    void receive(const member_ref& from, const suspend& stated, time_point now)
    {
        acceptance.suspendReceived(from, stated);
        suspended.merge(stated.suspended, stated.listedBy);
        freshness.suspensionsMerged(now);
        updateAcceptance(now);
    }

    void apply(const document& applied, time_point now)
    {
        if (applied.at <= current.at)
            return;
        current = applied;
        suspended.documentApplied(applied);
        freshness.documentApplied(applied, now);
        acceptance.documentApplied(applied, now);
        updateAcceptance(now);
    }

    suspend statedSet() const { return { {}, suspended.members(), suspended.listedBy() }; }

    void updateAcceptance(time_point now) { acceptance.update(freshness.isFresh(now), now); }

    member_ref self;
    document current;
    suspension_set suspended;
    freshness_tracker freshness;
    acceptance_tracker acceptance;
    roster_planner planner;
    std::uint64_t sequence;
    std::map<vm_id, std::uint64_t> received;
};

/// Sends a heartbeat and delivers it immediately.
inline void exchange(test_router& from, test_router& to, time_point now)
{
    to.receive(from.self, from.beat(to.self.vm, now), now);
}

}
