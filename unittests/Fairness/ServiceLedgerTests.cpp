#include "pimentoladder/Fairness/ServiceLedger.h"

#include <algorithm>
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

// Guards against an owner restart that gives a workspace its past service anew.
TEST_CASE("counters of a restarted owner come back from its peers")
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

// Guards against the loss of an owner whose last counters reached only one peer.
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
    informed.adoptCounters(owner("a", 1));
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
    ledger.restateTo(owner("b", 1));
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
TEST_CASE("merging is free of order and repetition, and loss only makes values older")
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
