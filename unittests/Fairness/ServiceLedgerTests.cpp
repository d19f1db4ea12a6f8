#include "pimentoladder/Fairness/ServiceLedger.h"

#include <algorithm>
#include <set>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pimentoladder;

namespace {

const shard_id shard("model#0");
const workspace_id riga("riga");
const workspace_id school("school");

member_ref owner(const char* vm, std::uint64_t start)
{
    return { vm_id(vm), incarnation(start) };
}

}

// Guards against an owner restart that resets the service which a workspace has received.
TEST_CASE("a restarted owner recovers its counters from its peers")
{
    service_ledger before(owner("a", 1));
    service_ledger peer(owner("b", 1));
    before.charge(riga, 100);
    before.credit(riga, 30);
    peer.merge(before.takeChanges(owner("b", 1)));
    peer.charge(riga, 5);

    service_ledger after(owner("a", 2));
    after.merge(peer.takeChanges(owner("a", 2)));
    CHECK(after.service(riga) == 75);
    after.charge(riga, 1);
    peer.merge(after.takeChanges(owner("b", 1)));
    CHECK(peer.service(riga) == 76);
}

// Guards against counters that stay unknown to a peer because their owner was lost after
// it had sent them to only one other peer.
TEST_CASE("adopted counters are sent to peers that missed them")
{
    service_ledger lost(owner("a", 1));
    service_ledger informed(owner("b", 1));
    service_ledger uninformed(owner("c", 1));
    uninformed.merge(informed.takeChanges(owner("c", 1)));
    lost.charge(riga, 8);
    informed.merge(lost.takeChanges(owner("b", 1)));
    uninformed.merge(informed.takeChanges(owner("c", 1)));
    CHECK(uninformed.service(riga) == 0);
    informed.resendCountersOf(owner("a", 1));
    uninformed.merge(informed.takeChanges(owner("c", 1)));
    CHECK(uninformed.service(riga) == 8);
}

// Guards against control traffic that grows with all workspaces instead of the active ones.
TEST_CASE("only changed counters are sent again")
{
    service_ledger ledger(owner("a", 1));
    for (int i = 0; i < 100; ++i)
        ledger.charge(workspace_id(std::to_string(i)), 1);
    CHECK(ledger.takeChanges(owner("b", 1)).entries.size() == 100);
    CHECK(ledger.takeChanges(owner("b", 1)).entries.empty());
    ledger.charge(workspace_id("7"), 1);
    ledger.charge(workspace_id("7"), 1);
    ledger.liftTo(shard, riga, 3);
    const service_counters changes = ledger.takeChanges(owner("b", 1));
    CHECK(changes.entries.size() == 1);
    CHECK(changes.lifts.size() == 1);
    ledger.resendAllTo(owner("b", 1));
    CHECK(ledger.takeChanges(owner("b", 1)).entries.size() == 100);
}

// Guards against a lift at one shard that puts the workspace behind at another.
TEST_CASE("a lift counts at its own shard only and respects the weight")
{
    service_ledger ledger(owner("a", 1));
    ledger.setWeight(riga, 4);
    ledger.charge(riga, 8);
    ledger.liftTo(shard, riga, 50);
    CHECK(ledger.virtualTime(shard, riga) == 50);
    CHECK(ledger.virtualTime(shard_id("portal#0"), riga) == 2);
    ledger.liftTo(shard, riga, 40);
    CHECK(ledger.virtualTime(shard, riga) == 50);
}

// Guards against values that depend on the order, loss or repetition of messages.
TEST_CASE("merging is independent of order and repetition, and loss only makes values stale")
{
    const bool isHeld = rc::check("counters converge", [] {
        service_ledger sender(owner("a", 1));
        std::vector<service_counters> sent;
        double charged = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(-20, 100));
        for (const int step : steps) {
            if (step >= 0)
                sender.charge(riga, step);
            if (step < 0)
                sender.credit(riga, -step);
            charged += step;
            sender.liftTo(shard, riga, step);
            sent.push_back(sender.takeChanges(owner("b", 1)));
        }
        const auto picks = *rc::gen::container<std::vector<std::size_t>>(
            rc::gen::inRange<std::size_t>(0, std::max<std::size_t>(sent.size(), 1)));
        service_ledger receiver(owner("b", 1));
        for (const std::size_t pick : picks) {
            if (pick < sent.size())
                receiver.merge(sent[pick]);
        }
        if (!sent.empty())
            receiver.merge(sent.back());
        RC_ASSERT(receiver.service(riga) == charged);
        service_counters all = sender.takeChanges(owner("c", 1));
        receiver.merge(all);
        receiver.merge(all);
        RC_ASSERT(receiver.virtualTime(shard, riga) == sender.virtualTime(shard, riga));
    });
    CHECK(isHeld);
}

// Guards against two owners that rank a workspace which waits at both, each without the
// service given by the other.
TEST_CASE("owners at which a workspace waits exchange its counter every round")
{
    service_ledger left(owner("a", 1));
    service_ledger right(owner("b", 1));
    const auto exchange = [&](const std::set<workspace_id>& waiting) {
        left.beginRound();
        right.beginRound();
        const service_counters sent = left.takeNeededChanges(owner("b", 1), waiting, false);
        right.merge(sent, owner("a", 1));
        left.merge(right.takeNeededChanges(owner("a", 1), waiting, false), owner("b", 1));
        return sent;
    };
    exchange({});
    // The workspace is served at both and waits at none, so neither needs the counter.
    left.charge(riga, 5);
    right.charge(riga, 7);
    CHECK(exchange({}).entries.empty());
    CHECK(right.service(riga) == 7);

    exchange({ riga });
    CHECK(left.service(riga) == 12);
    CHECK(right.service(riga) == 12);
    for (std::uint64_t round = 0; round < 3 * service_ledger::resendRounds; ++round) {
        left.charge(riga, 1);
        right.charge(riga, 1);
        exchange({ riga });
        CHECK(left.service(riga) == right.service(riga));
    }
    // The exchange ends some time after the workspace last waited.
    for (std::uint64_t round = 0; round <= 2 * service_ledger::interestRounds; ++round)
        exchange({});
    left.charge(riga, 1);
    CHECK(exchange({}).entries.empty());
}

// Guards against a lost owner whose lifts and counters no peer holds.
TEST_CASE("the successor gets every counter and lift")
{
    service_ledger ledger(owner("a", 1));
    ledger.takeNeededChanges(owner("b", 1), {}, true);
    ledger.takeNeededChanges(owner("c", 1), {}, false);
    ledger.charge(school, 2);
    ledger.liftTo(shard, riga, 3);
    ledger.beginRound();
    const service_counters kept = ledger.takeNeededChanges(owner("b", 1), {}, true);
    CHECK(kept.entries.size() == 1);
    CHECK(kept.lifts.size() == 1);
    const service_counters spared = ledger.takeNeededChanges(owner("c", 1), {}, false);
    CHECK(spared.entries.empty());
    CHECK(spared.lifts.empty());
}
