#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "pimentoladder/Membership/PeerDirectory.h"
#include "pimentoladder/Membership/PeerMonitor.h"
#include "pimentoladder/Membership/RemoteClock.h"
#include "pimentoladder/Membership/RemovalPlanner.h"
#include "pimentoladder/Membership/SuspensionVotes.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

const time_point start { 1000s };

vm_id vmNumber(std::size_t index)
{
    return vm_id("vm" + std::to_string(1000 + index));
}

member_ref refNumber(std::size_t index, std::uint64_t incarnationNumber = 5)
{
    return { vmNumber(index), incarnation(incarnationNumber) };
}

document makeDocument(std::size_t members, std::size_t witnesses)
{
    document made;
    made.at = revision(1);
    for (std::size_t index = 0; index < members; ++index) {
        const auto port = static_cast<std::uint16_t>(7000 + index);
        made.members.emplace(vmNumber(index), member { vmNumber(index), incarnation(5), {}, { "127.0.0.1", port } });
        if (index < witnesses)
            made.roster.witnesses.push_back(refNumber(index));
    }
    return made;
}

heartbeat beatNumber(std::uint64_t sequence)
{
    heartbeat beat;
    beat.sequence = sequence;
    return beat;
}

// Returns a monitor of a full mesh that starts to monitor all members at `start`.
peer_monitor makeMonitor(std::size_t self, std::size_t members)
{
    peer_monitor monitor(refNumber(self), {}, 1);
    monitor.tick(start);
    std::set<vm_id> neighbours;
    for (std::size_t index = 0; index < members; ++index)
        neighbours.insert(vmNumber(index));
    monitor.setNeighbours(neighbours, start);
    return monitor;
}

void tickUntil(peer_monitor& monitor, time_point from, time_point end)
{
    for (time_point now = from; now <= end; now += 100ms)
        monitor.tick(now);
}

}

// Guards against heartbeat traffic per router that grows with the fleet, and against
// pairs in which only one side sends.
TEST_CASE("neighbour sets are bounded and symmetric")
{
    std::set<vm_id> members;
    for (std::size_t index = 0; index < 340; ++index)
        members.insert(vmNumber(index));
    const witness_roster roster = makeDocument(340, 9).roster;
    for (const vm_id& self : members) {
        const std::set<vm_id> neighbours = heartbeatNeighbours(self, members, roster);
        CHECK_FALSE(neighbours.contains(self));
        CHECK((neighbours.size() <= 17 || neighbours.size() == 339));
        for (const vm_id& other : neighbours)
            CHECK(heartbeatNeighbours(other, members, roster).contains(self));
    }
    const std::set<vm_id> few(members.begin(), std::next(members.begin(), 16));
    CHECK(heartbeatNeighbours(vmNumber(3), few, {}).size() == 15);
}

// Guards against a replaced VM that finds no peers, and against links to removed VMs.
TEST_CASE("targets come from seeds, document and VM list")
{
    peer_directory directory(vmNumber(0), { "127.0.0.1", 7000 }, { { "127.0.0.1", 7000 }, { "127.0.0.1", 7002 } });
    CHECK(directory.targets() == std::vector { peer_target { {}, { "127.0.0.1", 7002 } } });
    directory.documentApplied(makeDocument(3, 3));
    CHECK(directory.targets().size() == 2);
    directory.vmListReceived({ { vmNumber(0), vmNumber(1) }, {} });
    CHECK(directory.targets().size() == 2);
    directory.vmListReceived({ { vmNumber(0) }, {} });
    CHECK(directory.targets() == std::vector { peer_target { vmNumber(2), { "127.0.0.1", 7002 } } });
    CHECK(directory.locate(vmNumber(1)) == endpoint { "127.0.0.1", 7001 });
}

// Guards against frames of an older incarnation, and late or repeated heartbeats,
// that make a silent peer look alive.
TEST_CASE("old incarnations and repeated heartbeats are dropped")
{
    peer_monitor monitor = makeMonitor(0, 2);
    CHECK(monitor.heartbeatReceived(refNumber(1, 6), beatNumber(9), start));
    CHECK_FALSE(monitor.heartbeatReceived(refNumber(1, 6), beatNumber(9), start + 1s));
    CHECK_FALSE(monitor.heartbeatReceived(refNumber(1, 6), beatNumber(8), start + 1s));
    CHECK_FALSE(monitor.acceptSender(refNumber(1, 5), start + 1s));
    CHECK(monitor.silence(vmNumber(1), start + 500ms) == 500ms);
    CHECK(monitor.heartbeatReceived(refNumber(1, 7), beatNumber(1), start + 1s));
    CHECK(monitor.newestIncarnation(vmNumber(1)) == incarnation(7));
    CHECK_FALSE(monitor.acceptSender(refNumber(0), start));
}

// Guards against detecting the loss of a peer too early or too late.
TEST_CASE("silence leads to suspicion and then to loss")
{
    peer_monitor monitor = makeMonitor(0, 2);
    tickUntil(monitor, start, start + 3s);
    CHECK(monitor.state(vmNumber(1), start + 1199ms) == peer_state::alive);
    CHECK(monitor.state(vmNumber(1), start + 1200ms) == peer_state::suspected);
    CHECK(monitor.state(vmNumber(1), start + 3s) == peer_state::lost);
    CHECK(monitor.state(vmNumber(7), start + 3s) == peer_state::unknown);
}

// Guards against a resumed router that counts its own pause as silence of its
// peers, before or after its first tick.
TEST_CASE("a pause of this process does not count as silence of its peers")
{
    peer_monitor monitor = makeMonitor(0, 2);
    const time_point resumed = start + 60s;
    CHECK(monitor.state(vmNumber(1), resumed) == peer_state::alive);
    monitor.tick(resumed);
    CHECK(monitor.state(vmNumber(1), resumed) == peer_state::alive);
    tickUntil(monitor, resumed, resumed + 3s);
    CHECK(monitor.state(vmNumber(1), resumed + 3s) == peer_state::lost);
}

// Guards against synchronised heartbeats across the fleet, and against never
// answering peers that are not neighbours.
TEST_CASE("heartbeats are jittered and answer every peer that sends them")
{
    peer_monitor monitor = makeMonitor(0, 3);
    std::map<vm_id, std::vector<time_point>> sent;
    monitor.heartbeatReceived(refNumber(9), beatNumber(1), start);
    for (time_point now = start; now < start + 10s; now += 1ms) {
        for (const vm_id& peer : monitor.heartbeatsDue(now)) {
            sent[peer].push_back(now);
            monitor.makeHeartbeat(peer, {}, now);
        }
        monitor.tick(now);
    }
    CHECK(sent.at(vmNumber(1)).size() == doctest::Approx(25).epsilon(0.1));
    CHECK(sent.at(vmNumber(1)) != sent.at(vmNumber(2)));
    CHECK(sent.at(vmNumber(9)).back() < start + 3s);
    // A peer that is not a neighbour is answered at once, and then every 1.2 s with a
    // jitter of a fifth.
    const std::vector<time_point>& answers = sent.at(vmNumber(9));
    CHECK(answers.front() == start);
    CHECK(answers.size() >= 3);
    CHECK(answers.size() <= 4);
    for (std::size_t i = 1; i < answers.size(); ++i)
        CHECK(answers[i] - answers[i - 1] <= 1440ms);
}

// Guards against using a delayed grant after its expiry on the owner's clock, for
// any clock offset, message delays and clock drift.
TEST_CASE("the upper bound on a peer's clock is never below its clock")
{
    const auto property = [] {
        const auto delays = *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 3'000'000));
        const duration offset = std::chrono::microseconds(*rc::gen::inRange(-1'000'000'000, 1'000'000'000));
        const int drift = *rc::gen::inRange(-400, 400); // Parts per million.
        // This router's clock is exact; the peer's clock has an offset and drifts.
        const auto peerClock = [&](time_point at) { return at + offset + (at - start) * drift / 1'000'000; };
        remote_clock clock;
        time_point now = start;
        for (std::size_t index = 0; index + 2 < delays.size(); index += 3) {
            const time_point probeSentAt = now;
            const time_point answeredAt = probeSentAt + std::chrono::microseconds(delays[index]);
            now = answeredAt + std::chrono::microseconds(delays[index + 1]);
            clock.answered(peerClock(answeredAt), probeSentAt);
            now += std::chrono::microseconds(delays[index + 2]);
            RC_ASSERT(*clock.upperBoundAt(now) >= peerClock(now));
        }
    };
    rc::detail::TestParams params;
    params.seed = 5;
    params.maxSuccess = 500;
    CHECK(rc::detail::checkTestable(property, rc::detail::TestMetadata {}, params).template is<rc::detail::SuccessResult>());
}

// Guards against treating grants as expired because the owner's answer waited for its
// next heartbeat.
TEST_CASE("the time for which a probe was held does not loosen the bound on a clock")
{
    peer_monitor asking = makeMonitor(0, 3);
    peer_monitor answering = makeMonitor(1, 4);
    const heartbeat probe = asking.makeHeartbeat(vmNumber(1), {}, start);
    answering.heartbeatReceived(refNumber(0), probe, start + 1ms);
    const heartbeat answer = answering.makeHeartbeat(vmNumber(0), {}, start + 1200ms);
    CHECK(answer.echoHeld == 1199ms);
    asking.heartbeatReceived(refNumber(1), answer, start + 1201ms);
    const auto bound = asking.clockUpperBound(refNumber(1), start + 1201ms);
    CHECK(bound >= start + 1201ms);
    CHECK(bound < start + 1203ms);
}

// Guards against checking a grant's expiry with the clock of the owner's previous
// incarnation.
TEST_CASE("a remote clock belongs to one incarnation")
{
    peer_monitor monitor = makeMonitor(0, 2);
    heartbeat answer = beatNumber(1);
    answer.echoSequence = monitor.makeHeartbeat(vmNumber(1), {}, start).sequence;
    answer.sentAt = start + 500s;
    REQUIRE(monitor.heartbeatReceived(refNumber(1), answer, start + 300ms));
    CHECK(monitor.clockUpperBound(refNumber(1), start + 400ms) >= start + 500s + 400ms);
    CHECK(monitor.clockUpperBound(refNumber(1), start + 400ms) < start + 500s + 401ms);
    CHECK_FALSE(monitor.clockUpperBound(refNumber(1, 6), start + 400ms));
    monitor.acceptSender(refNumber(1, 6), start + 500ms);
    CHECK_FALSE(monitor.clockUpperBound(refNumber(1, 6), start + 500ms));
}

// Guards against a router that is partitioned from all peers and removes them, and
// against a lost member that stays in the document, or stays active during a table
// outage.
TEST_CASE("lost members are removed, or suspended while the table is down")
{
    peer_monitor monitor = makeMonitor(0, 3);
    tickUntil(monitor, start, start + 1s);
    monitor.heartbeatReceived(refNumber(2), beatNumber(1), start + 1s);
    const time_point now = start + 3500ms;
    tickUntil(monitor, start + 1s, now);
    const document current = makeDocument(3, 3);
    suspension_set suspended;
    acceptance_tracker accepted(refNumber(0), suspended);
    removal_planner planner(refNumber(0), { .wait = 0s }, 1);
    const auto dueAt = [&](const removal_preconditions& position, time_point at) {
        return planner.due(current, monitor, suspended, accepted, position, at);
    };
    CHECK(dueAt({ true, false, true }, now).empty());
    CHECK(dueAt({ true, true, true }, now) == std::vector { removal { removal_kind::removeRow, refNumber(1) } });
    CHECK(dueAt({ true, true, true }, now + 100ms).empty());
    CHECK(dueAt({ true, true, false }, now + 2s).at(0) == removal { removal_kind::proposeSuspension, refNumber(1) });
    suspended.add(refNumber(1), revision(1));
    for (const removal& action : dueAt({ true, true, false }, now + 5s))
        CHECK(action.member != refNumber(1));

    // A member that is confirmed dead is removed by any fresh router.
    accepted.vmListReceived({ { vmNumber(0), vmNumber(2) }, {} }, start);
    accepted.documentApplied(current, start);
    accepted.vmListReceived({ { vmNumber(0), vmNumber(1), vmNumber(2) }, {} }, start);
    accepted.vmListReceived({ { vmNumber(0), vmNumber(2) }, {} }, start);
    CHECK(dueAt({ true, false, true }, now + 10s) == std::vector { removal { removal_kind::removeRow, refNumber(1) } });
}

// Guards against one router with a bad link that suspends a healthy member, and
// against witnesses that answer each other's votes endlessly.
TEST_CASE("only a majority of witnesses that do not hear a member suspends it")
{
    const document current = makeDocument(5, 3);
    peer_monitor silent = makeMonitor(0, 5);
    peer_monitor hearing = makeMonitor(1, 5);
    const time_point now = start + 3s;
    tickUntil(silent, start, now);
    tickUntil(hearing, start, now);
    hearing.heartbeatReceived(refNumber(4), beatNumber(1), now);
    suspension_votes votes(refNumber(0), silent);
    suspension_votes dissentingVotes(refNumber(1), hearing);
    votes.documentApplied(current);
    dissentingVotes.documentApplied(current);

    const suspend proposal { { refNumber(4) }, {}, revision(1) };
    CHECK(dissentingVotes.proposalReceived(refNumber(3), proposal, now).empty());
    CHECK(votes.proposalReceived(refNumber(3), proposal, now) == proposal.proposed);
    CHECK(votes.proposalReceived(refNumber(3), proposal, now + 1ms).empty());
    CHECK(votes.agreedSuspensions(now).empty());
    // Neither a router that is not a witness nor an earlier incarnation has a vote.
    votes.proposalReceived(refNumber(2, 4), proposal, now);
    CHECK(votes.agreedSuspensions(now).empty());
    votes.proposalReceived(refNumber(2), proposal, now);
    CHECK(votes.agreedSuspensions(now) == proposal.proposed);
    CHECK(votes.agreedSuspensions(now + 4s).empty());

    document later = current;
    later.members.erase(vmNumber(4));
    votes.documentApplied(later);
    CHECK(votes.agreedSuspensions(now).empty());
}
