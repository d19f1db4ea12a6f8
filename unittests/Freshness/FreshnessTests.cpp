#include <memory>
#include <set>

#include <doctest/doctest.h>

#include "TestRouter.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

const time_point start { 1000s };

suspend setOf(std::vector<member_ref> members, std::uint64_t listedBy = 1)
{
    return { {}, std::move(members), revision(listedBy) };
}

heartbeat stating(std::uint64_t applied, std::uint64_t digest = 0)
{
    heartbeat stated;
    stated.applied = revision(applied);
    stated.suspendedDigest = digest;
    return stated;
}

}

// Guards against a router that stays fresh on the answers of a minority partition,
// and against refusing work while a majority answers.
TEST_CASE("only the majority side of a partition is fresh")
{
    std::vector<std::unique_ptr<test_router>> routers;
    for (std::size_t index = 0; index < 5; ++index) {
        routers.push_back(std::make_unique<test_router>(refNumber(index)));
        routers.back()->apply(makeDocument(1, 5, 5), start);
    }
    for (int round = 0; round < 10; ++round) {
        for (std::size_t from = 0; from < 5; ++from) {
            for (std::size_t to = 0; to < 5; ++to) {
                if (from != to && (from < 2) == (to < 2))
                    exchange(*routers[from], *routers[to], start + round * 400ms);
            }
        }
    }
    CHECK_FALSE(routers[0]->freshness.isFresh(start + 4s));
    CHECK(routers[2]->freshness.isOwnerFresh(start + 4s));
}

// Guards against a peer with an outdated basis keeping others fresh after a
// partition, and against two routers that keep each other fresh.
TEST_CASE("a basis relayed by a peer keeps its age")
{
    test_router first(refNumber(3));
    test_router second(refNumber(4));
    first.apply(makeDocument(1, 5, 3), start);
    second.apply(makeDocument(1, 5, 3), start);
    first.freshness.pollAnswered(revision(1), start, start);
    for (int round = 0; round < 10; ++round) {
        exchange(first, second, start + round * 300ms);
        exchange(second, first, start + round * 300ms);
    }
    CHECK(second.freshness.basis() <= start);
    CHECK(second.freshness.isFresh(start + 1s));
    CHECK_FALSE(second.freshness.isFresh(start + 2001ms));
    CHECK_FALSE(first.freshness.statement(start + 2001ms).basisAge);
}

// Guards against a paused router that acts as soon as it resumes, or on the answers
// that were queued for it in the meantime.
TEST_CASE("a resumed router is not fresh until a new probe is answered")
{
    test_router paused(refNumber(0));
    test_router peer(refNumber(1));
    paused.apply(makeDocument(1, 2, 2), start);
    peer.apply(makeDocument(1, 2, 2), start);
    exchange(paused, peer, start);
    const heartbeat queued = peer.beat(paused.self.vm, start + 10ms);
    const time_point resumed = start + 10s;
    paused.receive(peer.self, queued, resumed);
    CHECK_FALSE(paused.freshness.isFresh(resumed));
    exchange(paused, peer, resumed);
    exchange(peer, paused, resumed + 5ms);
    CHECK(paused.freshness.isOwnerFresh(resumed + 5ms));
}

// Guards against late and repeated answers that advance the basis or set it back.
TEST_CASE("late and repeated heartbeats do not change the basis")
{
    test_router asking(refNumber(0));
    asking.apply(makeDocument(1, 2, 2), start);
    const heartbeat first = asking.beat(vmNumber(1), start);
    const heartbeat second = asking.beat(vmNumber(1), start + 400ms);
    heartbeat answer = stating(1);
    answer.echoSequence = second.sequence;
    asking.receive(refNumber(1), answer, start + 500ms);
    CHECK(asking.freshness.basis() == start + 400ms);
    asking.receive(refNumber(1), answer, start + 900ms);
    answer.echoSequence = first.sequence;
    asking.receive(refNumber(1), answer, start + 950ms);
    CHECK(asking.freshness.basis() == start + 400ms);
}

// Guards against counting a restarted witness, which has lost the state that it
// acknowledged.
TEST_CASE("a restarted witness counts neither for the basis nor for acceptance")
{
    test_router router(refNumber(0));
    router.apply(makeDocument(2, 3, 3), start);
    const member_ref restarted = refNumber(1, 2);
    heartbeat answer = stating(2);
    answer.echoSequence = router.beat(restarted.vm, start).sequence;
    router.receive(restarted, answer, start);
    CHECK_FALSE(router.freshness.basis());
    CHECK(router.acceptance.accepted() == revision {});
    // Only the new member row confirms the death of the previous incarnation.
    document listed = makeDocument(3, 3, 3);
    listed.members.at(restarted.vm).start = restarted.start;
    router.apply(listed, start);
    CHECK(router.acceptance.accepted() == revision(3));
}

// Guards against reporting a change as accepted while a majority that never saw it
// can still form, and against counting a dead witness twice.
TEST_CASE("an accepted change is known to every possible majority")
{
    test_router router(refNumber(8));
    router.apply(makeDocument(5, 9, 8), start);
    for (std::size_t index = 0; index < 3; ++index)
        router.receive(refNumber(index), stating(5), start);
    CHECK(router.acceptance.accepted() == revision {});
    vm_list list;
    for (std::size_t index = 0; index < 9; ++index)
        list.live.insert(vmNumber(index));
    router.acceptance.vmListReceived(list, start);
    list.live.erase(vmNumber(0));
    router.acceptance.vmListReceived(list, start + 1s);
    router.updateAcceptance(start + 1s);
    CHECK(router.acceptance.accepted() == revision {});
    list.live.erase(vmNumber(7));
    router.acceptance.vmListReceived(list, start + 2s);
    router.updateAcceptance(start + 2s);
    CHECK(router.acceptance.accepted() == revision(5));
    CHECK(router.acceptance.acceptedAt(revision(4)) == start + 2s);
}

// Guards against declaring a witness dead because its VM is too new for the delayed
// list, or because the list is empty.
TEST_CASE("a VM that was never listed counts as dead only after a delay")
{
    test_router router(refNumber(0));
    router.apply(makeDocument(1, 3, 3), start);
    const vm_list withoutWitness { { vmNumber(0), vmNumber(2) }, {} };
    router.acceptance.vmListReceived({}, start);
    router.acceptance.vmListReceived(withoutWitness, start);
    CHECK_FALSE(router.acceptance.isConfirmedDead(refNumber(1)));
    router.acceptance.vmListReceived(withoutWitness, start + vmAbsenceDelay);
    CHECK(router.acceptance.isConfirmedDead(refNumber(1)));
}

// Guards against a router that reaches only the table and acts as shard owner
// without knowing of suspensions made while the others could not reach the table.
TEST_CASE("the table alone lets a router take work but not own")
{
    test_router router(refNumber(0));
    router.apply(makeDocument(1, 3, 3), start);
    CHECK(router.freshness.isPollDue(start));
    router.freshness.pollSent(start);
    CHECK_FALSE(router.freshness.isPollDue(start + 799ms));
    router.freshness.pollAnswered(revision(2), start, start + 5ms);
    CHECK_FALSE(router.freshness.isFresh(start + 5ms));
    CHECK(router.freshness.fetchDue(start + 5ms) == fetch_target { revision(2), vm_id {} });
    router.apply(makeDocument(2, 3, 3), start + 9ms);
    CHECK(router.freshness.basis() == start);
    CHECK_FALSE(router.freshness.isOwnerFresh(start + 9ms));
}

// Guards against fetching repeatedly from a peer that does not answer.
TEST_CASE("a fetch goes to the announcer, then to others, then to the table")
{
    test_router router(refNumber(0));
    router.apply(makeDocument(1, 3, 3), start);
    router.freshness.revisionAnnounced(vmNumber(2), revision(7));
    router.freshness.revisionAnnounced(vmNumber(1), revision(7));
    time_point now = start;
    for (const vm_id& expected : { vmNumber(2), vmNumber(1), vm_id {}, vmNumber(2) }) {
        const auto target = router.freshness.fetchDue(now);
        REQUIRE(target);
        CHECK(target->from == expected);
        router.freshness.fetchSent(*target, now);
        CHECK_FALSE(router.freshness.fetchDue(now + 499ms));
        now += 500ms;
    }
}

// Guards against a router that keeps an old document for as long as changes
// continue, because its peers reach it but it does not reach them.
TEST_CASE("a fetch reaches the table and every peer while newer revisions arrive")
{
    test_router router(refNumber(0));
    router.apply(makeDocument(1, 6, 6), start);
    std::vector<vm_id> asked;
    std::uint64_t announced = 1;
    for (time_point now = start; now < start + 5s; now += 100ms) {
        router.freshness.revisionAnnounced(vmNumber(1 + announced % 5), revision(announced + 1));
        ++announced;
        for (std::size_t peer = 1; peer < 6; ++peer)
            router.freshness.revisionAnnounced(vmNumber(peer), revision(announced));
        const auto target = router.freshness.fetchDue(now);
        if (!target)
            continue;
        router.freshness.fetchSent(*target, now);
        asked.push_back(target->from);
    }
    REQUIRE(asked.size() == 10);
    CHECK(asked[2] == vm_id {}); // 1 s after the first.
    CHECK(asked[5] == vm_id {});
    CHECK(std::set<vm_id>(asked.begin(), asked.end()).size() == 6);
}

// Guards against a suspended member that misses its own suspension: the basis must
// not advance before the peer's set is merged.
TEST_CASE("concurrent suspensions merge in any order before the basis advances")
{
    suspension_set left;
    suspension_set right;
    left.add(refNumber(1), revision(1));
    right.add(refNumber(2), revision(1));
    CHECK_FALSE(left.covers(right.digest()));
    const auto leftMembers = left.members();
    CHECK(left.merge(right.members(), revision(1)));
    CHECK(right.merge(leftMembers, revision(1)));
    CHECK_FALSE(right.merge(leftMembers, revision(1)));
    CHECK(left.digest() == right.digest());
    CHECK(left.covers(suspension_set::digestOf({ refNumber(2) })));

    test_router asking(refNumber(0));
    asking.apply(makeDocument(1, 2, 2), start);
    heartbeat answer = stating(1, left.digest());
    answer.echoSequence = asking.beat(vmNumber(1), start).sequence;
    asking.receive(refNumber(1), answer, start);
    CHECK(asking.freshness.isFresh(start));
    CHECK_FALSE(asking.freshness.isOwnerFresh(start));
    asking.receive(refNumber(1), setOf(left.members()), start);
    CHECK(asking.freshness.isOwnerFresh(start));
}

// Guards against dropping the suspension of a member that this router's older
// document does not list yet, and against keeping it after the member's removal.
TEST_CASE("only a document that is new enough supersedes a suspension")
{
    suspension_set suspended;
    document older = makeDocument(4, 1, 1);
    suspended.documentApplied(older);
    CHECK(suspended.merge({ refNumber(1) }, revision(5)));
    suspended.documentApplied(makeDocument(5, 2, 1));
    CHECK(suspended.contains(refNumber(1)));
    suspended.documentApplied(makeDocument(6, 1, 1));
    CHECK(suspended.isEmpty());
    CHECK_FALSE(suspended.merge({ refNumber(1) }, revision(5)));
}

// Guards against treating a peer's smaller set as complete without the document
// that superseded the missing entries.
TEST_CASE("an answer counts for suspensions only with the peer's document")
{
    test_router asking(refNumber(0));
    asking.apply(makeDocument(1, 2, 2), start);
    heartbeat answer = stating(2);
    answer.echoSequence = asking.beat(vmNumber(1), start).sequence;
    asking.receive(refNumber(1), answer, start);
    CHECK_FALSE(asking.freshness.suspensionBasis());
    asking.apply(makeDocument(2, 2, 2), start);
    CHECK(asking.freshness.suspensionBasis() == start);
}

// Guards against a successor that relies on a suspension which the witnesses of a
// new roster acknowledged only later, or which it evaluated while not fresh.
TEST_CASE("a suspension is accepted only while fresh and again after a roster change")
{
    test_router successor(refNumber(5));
    successor.apply(makeDocument(1, 6, 3), start);
    successor.suspended.add(refNumber(4), revision(1));
    for (std::size_t index = 0; index < 4; ++index)
        successor.receive(refNumber(index), setOf({ refNumber(4) }), start);
    CHECK_FALSE(successor.acceptance.suspensionAcceptedAt(refNumber(4)));
    successor.freshness.pollAnswered(revision(1), start, start);
    successor.updateAcceptance(start);
    CHECK(successor.acceptance.suspensionAcceptedAt(refNumber(4)) == start);

    document joint = makeDocument(2, 6, 3);
    joint.roster = { refNumbers(1, 4), refNumbers(0, 3) };
    successor.apply(joint, start + 1s);
    CHECK(successor.acceptance.suspensionAcceptedAt(refNumber(4)) == start + 1s);
    document completed = makeDocument(3, 6, 3);
    completed.roster = { refNumbers(1, 4), {} };
    successor.apply(completed, start + 1500ms);
    CHECK(successor.acceptance.suspensionAcceptedAt(refNumber(4)) == start + 1s);
}

// Guards against witnesses that share a data centre and fail together, and
// against replacing witnesses needlessly.
TEST_CASE("witnesses are spread over data centres and kept")
{
    std::vector<member> candidates;
    for (const auto& [vm, listed] : makeDocument(1, 8, 0).members)
        candidates.push_back(listed);
    CHECK(chooseWitnesses(candidates, {}, 9).size() == 8);
    CHECK(chooseWitnesses(candidates, {}, 4) == refNumbers(0, 4));
    CHECK(chooseWitnesses(candidates, refNumbers(4, 8), 4) == refNumbers(4, 8));
    const std::vector<member_ref> unevenlySpread { refNumber(0), refNumber(1), refNumber(4), refNumber(5) };
    CHECK(chooseWitnesses(candidates, unevenlySpread, 4) == refNumbers(0, 4));
}

// Guards against a roster change that never completes, or completes too early,
// when most of the old witnesses die during it.
TEST_CASE("a roster change survives the death of the old majority")
{
    test_router router(refNumber(3));
    document joint = makeDocument(2, 6, 0);
    joint.roster = { refNumbers(3, 6), refNumbers(0, 3) };
    for (std::size_t index = 0; index < 3; ++index)
        joint.members.erase(vmNumber(index));
    router.apply(joint, start);
    router.receive(refNumber(4), stating(2), start);
    const auto plannedAt = [&](time_point now) {
        router.updateAcceptance(now);
        return router.planner.plan(router.current, {}, router.suspended, router.acceptance, now);
    };
    CHECK_FALSE(plannedAt(start));

    // Their rows are deleted, but only the platform's list confirms that they are dead.
    vm_list list { { vmNumber(0), vmNumber(1), vmNumber(2), vmNumber(3), vmNumber(4), vmNumber(5) }, {} };
    router.acceptance.vmListReceived(list, start);
    list.live.erase(vmNumber(0));
    list.live.erase(vmNumber(1));
    router.acceptance.vmListReceived(list, start);
    for (duration waited = 0s; waited < 3s; waited += 500ms)
        CHECK_FALSE(plannedAt(start + waited));
    CHECK(plannedAt(start + 3s) == witness_roster { refNumbers(3, 6), {} });

    // A new witness that is lost during the change is replaced; the old ones are kept.
    joint.at = revision(3);
    joint.members.erase(vmNumber(5));
    joint.members.emplace(vmNumber(6), member { vmNumber(6), incarnation(1), data_centre_id("dc2"), {} });
    router.apply(joint, start + 4s);
    const auto replaced = plannedAt(start + 4s);
    REQUIRE(replaced);
    CHECK(replaced->witnesses == std::vector { refNumber(3), refNumber(4), refNumber(6) });
    CHECK(replaced->previous == refNumbers(0, 3));
}
