#include <array>
#include <bit>
#include <cstdint>
#include <iostream>
#include <memory>
#include <variant>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "TestRouter.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

// One step of a schedule: an operation and its operands, each reduced modulo the
// number of choices available at that point.
using step = std::array<std::uint8_t, 4>;

// How often the invariants were checked non-trivially, and how often rare
// operations ran, over all schedules.
struct coverage {
    std::size_t freshWithAccepted = 0;
    std::size_t ownersWithSuspension = 0;
    std::size_t rosterChanges = 0;
    std::size_t restarts = 0;
};

constexpr std::size_t stepCount = 150;

coverage covered;

class schedule {
public:
    schedule()
    {
        table.push_back(makeDocument(1, size, 3));
        for (std::size_t index = 0; index < size; ++index) {
            routers.push_back(std::make_unique<test_router>(refNumber(index)));
            routers.back()->apply(table.back(), now);
        }
    }

    void run(const step& next)
    {
        static constexpr std::array<void (schedule::*)(const step&), 16> operations { &schedule::send, &schedule::send,
            &schedule::deliver, &schedule::deliver, &schedule::wait, &schedule::wait, &schedule::exchangeHeartbeats,
            &schedule::exchangeHeartbeats, &schedule::exchangeHeartbeats, &schedule::commit, &schedule::copyDocument,
            &schedule::poll, &schedule::restart, &schedule::suspendMember, &schedule::changeRoster,
            &schedule::exchangeHeartbeats };
        (this->*operations[next[0] % operations.size()])(next);
        for (const auto& each : routers)
            each->updateAcceptance(now);
        check();
    }

private:
    static constexpr std::size_t size = 5;

    struct table_read {
        time_point sentAt;
        revision at;
    };
    struct in_flight {
        member_ref from;
        std::size_t to;
        std::variant<heartbeat, suspend, table_read> content;
    };

    test_router& router(std::uint8_t operand) { return *routers[operand % size]; }

    void send(const step& next)
    {
        test_router& from = router(next[1]);
        if (next[3] % 4 == 0)
            messages.push_back({ from.self, next[2] % size, from.statedSet() });
        else
            messages.push_back({ from.self, next[2] % size, from.beat(vmNumber(next[2] % size), now) });
    }

    // Delivers a message out of order; some are duplicated and some are lost.
    void deliver(const step& next)
    {
        if (messages.empty())
            return;
        const std::size_t chosen = next[1] % messages.size();
        const in_flight message = messages[chosen];
        if (next[2] % 4 != 0)
            messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(chosen));
        test_router& to = *routers[message.to];
        if (next[3] % 8 == 0 || to.self.vm == message.from.vm)
            return;
        if (const auto* beat = std::get_if<heartbeat>(&message.content))
            to.receive(message.from, *beat, now);
        if (const auto* stated = std::get_if<suspend>(&message.content))
            to.receive(message.from, *stated, now);
        if (const auto* read = std::get_if<table_read>(&message.content))
            to.freshness.pollAnswered(read->at, read->sentAt, now);
    }

    void wait(const step& next) { now += std::chrono::milliseconds(10 + 4 * next[1] * (next[2] % 8 == 0 ? 5 : 1)); }

    // The routers on one side of a partition exchange heartbeats and, in some steps,
    // documents and suspensions.
    void exchangeHeartbeats(const step& next)
    {
        for (int round = 0; round < 2; ++round) {
            forPairs(next[1], [this](test_router& from, test_router& to) { exchange(from, to, now); });
            now += 20ms;
            if (next[2] % 2 == 0)
                forPairs(next[1], [this](test_router& from, test_router& to) { to.apply(from.current, now); });
            if (next[2] % 3 == 0)
                forPairs(next[1], [this](test_router& from, test_router& to) { to.receive(from.self, from.statedSet(), now); });
        }
    }

    template <typename Action>
    void forPairs(std::uint8_t side, Action act)
    {
        for (std::size_t from = 0; from < size; ++from) {
            for (std::size_t to = 0; to < size; ++to) {
                if (from != to && (side >> from & 1) != 0 && (side >> to & 1) != 0)
                    act(*routers[from], *routers[to]);
            }
        }
    }

    document& nextDocument()
    {
        document next = table.back();
        next.at = revision(next.at.value() + 1);
        return table.emplace_back(std::move(next));
    }

    void commit(const step&) { nextDocument(); }

    void copyDocument(const step& next) { router(next[1]).apply(table[next[2] % table.size()], now); }

    void poll(const step& next)
    {
        router(next[1]).freshness.pollSent(now);
        messages.push_back({ {}, next[1] % size, table_read { now, table.back().at } });
    }

    // The router restarts with empty state; sometimes its row is written at once.
    void restart(const step& next)
    {
        if (next[2] % 4 != 0)
            return;
        const std::size_t index = next[1] % size;
        const member_ref restarted { vmNumber(index), incarnation(routers[index]->self.start.value() + 1) };
        routers[index] = std::make_unique<test_router>(restarted, restarted.start.value() << 32U);
        if (next[3] % 2 == 0)
            nextDocument().members.at(restarted.vm).start = restarted.start;
        ++covered.restarts;
    }

    void suspendMember(const step& next)
    {
        test_router& from = router(next[1]);
        const auto listed = from.current.members.find(vmNumber(next[2] % size));
        if (listed == from.current.members.end() || listed->first == from.self.vm)
            return;
        from.suspended.add({ listed->first, listed->second.start }, from.current.at);
        from.freshness.suspensionsMerged(now);
    }

    void changeRoster(const step& next)
    {
        test_router& from = router(next[1]);
        if (!from.freshness.isFresh(now))
            return;
        // The write is conditional on the roster row only; other rows may have changed.
        const bool isUnchanged = from.current.roster == table.back().roster;
        const auto planned = from.planner.plan(from.current, {}, from.suspended, from.acceptance, now);
        if (!planned || !isUnchanged)
            return;
        nextDocument().roster = *planned;
        ++covered.rosterChanges;
    }

    void check()
    {
        for (const auto& each : routers)
            recordAccepted(*each);
        for (const auto& each : routers) {
            if (each->freshness.isFresh(now))
                checkDocument(*each);
            if (each->freshness.isOwnerFresh(now))
                checkSuspensions(*each);
        }
    }

    void recordAccepted(const test_router& observer)
    {
        if (observer.acceptance.accepted() > revision {})
            acceptedAt.try_emplace(observer.acceptance.accepted(), now);
    }

    void checkDocument(const test_router& fresh)
    {
        for (auto known = acceptedAt.rbegin(); known != acceptedAt.rend(); ++known) {
            if (known->second >= now - freshnessWindow)
                continue;
            ++covered.freshWithAccepted;
            RC_ASSERT(fresh.freshness.applied() >= known->first);
            return;
        }
    }

    // An owner must know every suspension that a successor may already rely on.
    void checkSuspensions(const test_router& owner)
    {
        for (const auto& successor : routers) {
            if (!successor->freshness.isOwnerFresh(now))
                continue;
            for (const member_ref& member : successor->suspended.members()) {
                const auto since = successor->acceptance.suspensionAcceptedAt(member);
                if (!since || *since >= now - freshnessWindow)
                    continue;
                ++covered.ownersWithSuspension;
                const auto listed = owner.current.members.find(member.vm);
                const bool isSuperseded = listed == owner.current.members.end() || listed->second.start != member.start;
                RC_ASSERT(isSuperseded || owner.suspended.contains(member));
            }
        }
    }

    time_point now { 1000s };
    std::vector<document> table;
    std::vector<std::unique_ptr<test_router>> routers;
    std::vector<in_flight> messages;
    std::map<revision, time_point> acceptedAt;
};

}

// Guards against a router that takes work, or acts as shard owner, while it lacks a
// change or suspension accepted longer ago than the freshness window. Covers
// relays, restarts, roster changes and delayed, lost and repeated messages.
TEST_CASE("a fresh router has everything accepted before its freshness window")
{
    covered = {};
    const auto property = [] {
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(stepCount, rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
        schedule tested;
        for (const std::uint32_t next : steps)
            tested.run(std::bit_cast<step>(next));
    };
    rc::detail::TestParams params;
    params.seed = 20;
    params.maxSuccess = 300;
    const auto outcome = rc::detail::checkTestable(property, rc::detail::TestMetadata {}, params);
    if (!outcome.template is<rc::detail::SuccessResult>())
        rc::detail::printResultMessage(outcome, std::cerr);
    CHECK(outcome.template is<rc::detail::SuccessResult>());

    MESSAGE("fresh " << covered.freshWithAccepted << ", owners " << covered.ownersWithSuspension << ", rosters "
                     << covered.rosterChanges << ", restarts " << covered.restarts);
    CHECK(covered.freshWithAccepted > 10000);
    CHECK(covered.ownersWithSuspension > 1000);
    CHECK(covered.rosterChanges > 200);
    CHECK(covered.restarts > 200);
}
