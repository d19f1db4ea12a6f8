// Several coordinators with a store that holds conditional writes, in virtual time.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "pimentoladder/Rollout/RolloutCoordinator.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

constexpr time_point start { 1000s };
constexpr duration step = 20ms;
constexpr duration linkDelay = 20ms;
constexpr duration callDelay = 20ms; // One way to the store.
const pool_id chat("chat");
const pool_id embed("embed");

enum class lost_answer {
    no,
    notPerformed,
    performed,
    performedLate,
};

// Routers, the store and the messages between them. Checks in each step what must hold always.
class fleet {
public:
    explicit fleet(std::size_t routers)
    {
        for (std::size_t i = 0; i < routers; ++i) {
            m_readers.push_back(vm_id("r" + std::to_string(i)));
            boot(i, 1);
        }
        setReaders(m_readers);
    }

    void order(const pool_id& pool, revision at, duration length)
    {
        m_orders[pool] = { at, { pool, "v2", length } };
        for (std::size_t i = 0; i < m_routers.size(); ++i)
            later(i, linkDelay, [this, i, pool, at, length] { take(i, core(i).onOrder(m_now, at, { pool, "v2", length })); });
    }

    void removeOrder(const pool_id& pool)
    {
        m_orders.erase(pool);
        for (std::size_t i = 0; i < m_routers.size(); ++i)
            later(i, linkDelay, [this, i, pool] { take(i, core(i).onOrderRemoved(m_now, pool)); });
    }

    void setReaders(const std::vector<vm_id>& readers)
    {
        m_readers = readers;
        for (const router& each : m_routers)
            each.core->setReaders(readers, m_routers.size());
    }

    void kill(std::size_t index) { m_routers[index].isAlive = false; }

    void restart(std::size_t index)
    {
        boot(index, m_routers[index].number + 1);
        core(index).setReaders(m_readers, m_routers.size());
        for (const auto& [pool, order] : m_orders)
            take(index, core(index).onOrder(m_now, order.first, order.second));
    }

    void freeze(std::size_t index, duration length) { m_routers[index].frozenUntil = m_now + length; }
    void takeStoreAway(duration length) { m_storeAwayUntil = m_now + length; }
    void loseNextAnswer(lost_answer how) { m_lose = how; }

    void run(duration length)
    {
        const time_point end = m_now + length;
        for (; m_now < end; m_now += step) {
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                const auto event = m_events.extract(m_events.begin());
                event.mapped()();
            }
            for (std::size_t i = 0; i < m_routers.size(); ++i) {
                if (isRunning(i))
                    runRouter(i);
            }
            checkPermits();
        }
    }

    // Index of the router whose commits the store holds; the last one if there is none.
    std::size_t owner(const pool_id& pool) const
    {
        const auto row = m_rows.find(pool);
        for (std::size_t i = 0; i < m_routers.size(); ++i) {
            if (row != m_rows.end() && row->second.first.owner == core(i).self)
                return i;
        }
        return m_routers.size() - 1;
    }

    rollout_state state(const pool_id& pool) const { return m_rows.at(pool).first.state; }
    const rollout_record& row(const pool_id& pool) const { return m_rows.at(pool).first; }

    bool everyRouterEnded(const pool_id& pool, revision at, rollout_state state) const
    {
        for (std::size_t i = 0; i < m_routers.size(); ++i) {
            if (!m_routers[i].isAlive)
                continue;
            bool hasEnded = false;
            for (const rollout_permit& permit : core(i).permits(m_now).entries)
                hasEnded = hasEnded || (permit.pool == pool && permit.order == at && permit.state == state);
            if (!hasEnded)
                return false;
        }
        return true;
    }

    bool isFaulty = false;
    bool hasServers = true;
    std::size_t reads = 0;
    std::size_t losses = 0;
    std::vector<std::string> faults; ///< What must never happen.

private:
    struct named_core : rollout_coordinator {
        named_core(const vm_id& vm, incarnation number)
            : rollout_coordinator(vm, number, {})
            , self(vm)
        {
        }
        vm_id self;
    };
    struct router {
        std::unique_ptr<named_core> core;
        std::uint64_t number = 1;
        bool isAlive = true;
        bool isOwner = false;
        time_point frozenUntil {};
        time_point nextSend {};
        std::map<pool_id, rollout_evidence> seen;
    };

    named_core& core(std::size_t index) { return *m_routers[index].core; }
    const named_core& core(std::size_t index) const { return *m_routers[index].core; }
    bool isRunning(std::size_t index) const { return m_routers[index].isAlive && m_routers[index].frozenUntil <= m_now; }

    void boot(std::size_t index, std::uint64_t incarnationNumber)
    {
        if (index == m_routers.size())
            m_routers.emplace_back();
        m_routers[index] = router {};
        m_routers[index].number = incarnationNumber;
        m_routers[index].core = std::make_unique<named_core>(vm_id("r" + std::to_string(index)), incarnation(incarnationNumber));
        for (const pool_id& pool : { chat, embed })
            core(index).setServers(pool, hasServers ? 2 : 0, 2);
    }

    // Runs \p event at a router; one that is frozen then handles it when it wakes.
    void later(std::size_t index, duration after, const std::function<void()>& event) { later(index, m_routers[index].number, after, event); }

    // Only for the process that was started with the number \p incarnationNumber.
    void later(std::size_t index, std::uint64_t incarnationNumber, duration after, const std::function<void()>& event)
    {
        m_events.emplace(m_now + after, [this, index, incarnationNumber, event] {
            const router& at = m_routers[index];
            if (!at.isAlive || at.number != incarnationNumber)
                return;
            if (at.frozenUntil > m_now)
                later(index, incarnationNumber, at.frozenUntil - m_now, event);
            else
                event();
        });
    }

    void runRouter(std::size_t index)
    {
        router& at = m_routers[index];
        const auto due = core(index).nextDeadline(m_now);
        if (due && *due <= m_now)
            take(index, core(index).onTick(m_now));
        if (m_now < at.nextSend)
            return;
        at.nextSend = m_now + 200ms;
        sendPermits(index);
        rollout_report report;
        for (const auto& [pool, order] : m_orders) {
            rollout_evidence& seen = at.seen[pool];
            if (seen.order != order.first)
                seen = { pool, order.first, 0, 0, { { "chat", false, 0, 0, 0, 0, 3, 0 }, { "chat", true, 0, 0, 0, 0, 0, 0 } } };
            double share = 0;
            for (const rollout_permit& permit : core(index).permits(m_now).entries)
                share = permit.pool == pool ? permit.share : share;
            const auto target = static_cast<std::uint64_t>(share * 20 + 0.9);
            seen.requests += 20;
            for (rollout_tally& tally : seen.tallies) {
                const std::uint64_t count = tally.isTarget ? target : 20 - target;
                tally.sent += count;
                tally.answers += count;
                tally.failures += tally.isTarget && isFaulty ? count : 0;
                tally.servers |= count > 0 ? 3U : 0U;
                tally.faultyServers |= tally.isTarget && isFaulty && count > 0 ? 3U : 0U;
            }
            report.rollouts.push_back(seen);
        }
        const member_ref from { core(index).self, incarnation(at.number) };
        for (std::size_t i = 0; i < m_routers.size(); ++i)
            later(i, linkDelay, [this, i, from, report] { take(i, core(i).onReport(m_now, from, report)); });
    }

    void sendPermits(std::size_t index)
    {
        // Owners send to all; others pass on in one direction, since an age does not count the time in transit.
        const rollout_permits sent = core(index).permits(m_now);
        for (std::size_t i = m_routers[index].isOwner ? 0 : index; i < m_routers.size(); ++i) {
            if (i != index)
                later(i, linkDelay, [this, i, sent] { take(i, core(i).onPermits(m_now, sent)); });
        }
    }

    void take(std::size_t index, const rollout_actions& actions)
    {
        for (const rollout_action& action : actions) {
            if (std::holds_alternative<permits_changed>(action))
                sendPermits(index);
            if (std::holds_alternative<read_rollouts>(action))
                read(index);
            if (const auto* commit = std::get_if<commit_rollout>(&action))
                write(index, *commit);
            const auto* event = std::get_if<rollout_event>(&action);
            if (!event)
                continue;
            losses += event->kind == "rollout_lost" ? 1 : 0;
            m_routers[index].isOwner = event->kind != "rollout_lost" && (event->kind == "rollout_owned" || m_routers[index].isOwner);
        }
    }

    void read(std::size_t index)
    {
        ++reads;
        m_events.emplace(m_now + callDelay, [this, index, number = m_routers[index].number] {
            result<std::vector<std::pair<rollout_record, revision>>> rows;
            if (m_now < m_storeAwayUntil) {
                rows = makeError(error_kind::unavailable, "the store is away");
            } else {
                for (const auto& [pool, row] : m_rows)
                    rows->push_back(row);
            }
            later(index, number, callDelay, [this, index, rows] { take(index, core(index).onRead(m_now, rows)); });
        });
    }

    void write(std::size_t index, const commit_rollout& commit)
    {
        const lost_answer lost = std::exchange(m_lose, lost_answer::no);
        const auto answer = [this, index, number = m_routers[index].number, pool = commit.record.pool](duration after, const result<revision>& outcome) {
            later(index, number, after, [this, index, pool, outcome] { take(index, core(index).onCommitted(m_now, pool, outcome)); });
        };
        if (lost != lost_answer::no)
            answer(300ms, makeError(error_kind::outcomeUnknown, "the answer was lost"));
        if (lost == lost_answer::notPerformed)
            return;
        m_events.emplace(m_now + (lost == lost_answer::performedLate ? 2s : callDelay), [this, commit, answer, lost] {
            const result<revision> outcome = perform(commit);
            if (lost == lost_answer::no)
                answer(callDelay, outcome);
        });
    }

    result<revision> perform(const commit_rollout& commit)
    {
        if (m_now < m_storeAwayUntil)
            return makeError(error_kind::unavailable, "the store is away");
        const pool_id& pool = commit.record.pool;
        const auto row = m_rows.find(pool);
        if ((row == m_rows.end() ? revision() : row->second.second) != commit.expected)
            return makeError(error_kind::conflict, "the row has changed");
        if (row != m_rows.end() && row->second.first.order == commit.record.order) {
            if (row->second.first.state != rollout_state::inProgress)
                faults.emplace_back("a final state was written over");
            if (row->second.first.token > commit.record.token)
                faults.emplace_back("a token decreased");
        }
        if (row != m_rows.end() && row->second.first.order > commit.record.order)
            faults.emplace_back("an older order replaced a newer one");
        if ((commit.record.state != rollout_state::inProgress) && !commit.publishesState)
            faults.emplace_back("a final state was not published");
        m_rows[pool] = { commit.record, revision(++m_revision) };
        return revision(m_revision);
    }

    // Permits that are in force at the same time must agree, and final states never change.
    void checkPermits()
    {
        std::map<std::pair<pool_id, revision>, fencing_token> inForce;
        for (std::size_t i = 0; i < m_routers.size(); ++i) {
            if (!m_routers[i].isAlive)
                continue;
            for (const rollout_permit& permit : core(i).permits(m_now).entries) {
                if (permit.state != rollout_state::inProgress) {
                    if (m_final.try_emplace({ permit.pool, permit.order }, permit.state).first->second != permit.state)
                        faults.emplace_back("a final state changed");
                    continue;
                }
                if (inForce.try_emplace({ permit.pool, permit.order }, permit.token).first->second != permit.token)
                    faults.emplace_back("permits of two owners are in force");
                const auto key = std::tuple(permit.pool, permit.order, permit.token, permit.sequence);
                if (m_shares.try_emplace(key, permit.share).first->second != permit.share)
                    faults.emplace_back("two shares have the same token and sequence");
            }
        }
    }

    time_point m_now = start;
    std::vector<router> m_routers;
    std::vector<vm_id> m_readers;
    std::map<pool_id, std::pair<revision, rollout_order>> m_orders;
    std::map<pool_id, std::pair<rollout_record, revision>> m_rows;
    std::uint64_t m_revision = 100;
    std::multimap<time_point, std::function<void()>> m_events;
    time_point m_storeAwayUntil {};
    lost_answer m_lose = lost_answer::no;
    std::map<std::pair<pool_id, revision>, rollout_state> m_final;
    std::map<std::tuple<pool_id, revision, fencing_token, std::uint64_t>, double> m_shares;
};

constexpr revision first(1);
constexpr revision second(2);

void checkEnd(const fleet& routers, const pool_id& pool, revision at, rollout_state expected)
{
    CHECK(routers.faults == std::vector<std::string> {});
    CHECK(routers.state(pool) == expected);
    CHECK(routers.everyRouterEnded(pool, at, expected));
}

rollout_state endOf(bool isFaulty) { return isFaulty ? rollout_state::reverted : rollout_state::completed; }

}

// Guards against a roll-out that has no owner, and an owner that changes without a fault.
TEST_CASE("one router owns a roll-out to its end")
{
    for (const bool isFaulty : { false, true }) {
        fleet routers(5);
        routers.isFaulty = isFaulty;
        routers.order(chat, first, 12s);
        routers.run(12s);
        checkEnd(routers, chat, first, endOf(isFaulty));
        CHECK(routers.losses == 0);
        CHECK(routers.row(chat).token == fencing_token(1));
    }
}

// Guards against a roll-out that stops with its owner, or two owners.
TEST_CASE("another reader takes over from an owner that was killed at any step")
{
    for (duration at = 0ms; at < 12s; at += 140ms) {
        for (const bool isFaulty : { false, true }) {
            CAPTURE(at / 1ms);
            fleet routers(4);
            routers.isFaulty = isFaulty;
            routers.order(chat, first, 12s);
            routers.run(at);
            routers.kill(at == 0ms ? 0 : routers.owner(chat));
            routers.run(std::max<duration>(12s - at, 3s));
            checkEnd(routers, chat, first, endOf(isFaulty));
        }
    }
}

// Guards against a decision by a router that was paused past its lease.
TEST_CASE("an owner that wakes after its lease decides nothing")
{
    for (duration at = 100ms; at < 12s; at += 170ms) {
        CAPTURE(at / 1ms);
        fleet routers(4);
        routers.order(chat, first, 12s);
        routers.run(at);
        const std::size_t owner = routers.owner(chat);
        routers.freeze(owner, 4s);
        routers.run(std::max<duration>(12s - at, 5s));
        checkEnd(routers, chat, first, rollout_state::completed);
    }
}

// Guards against authority that is counted from the answer of a commit, or that does not end.
TEST_CASE("an owner's authority ends with its lease, counted from the time it sent its commit")
{
    rollout_coordinator owner(vm_id("a"), incarnation(1), {});
    owner.setReaders({ vm_id("a") }, 1);
    owner.setServers(chat, 2, 2);
    owner.onOrder(start, first, { chat, "v2", 12s });
    SUBCASE("the answer is late")
    {
        owner.onCommitted(start + 1400ms, chat, revision(10));
        CHECK(owner.permits(start + 1400ms).entries.empty());
    }
    SUBCASE("the owner was paused")
    {
        owner.onCommitted(start + 100ms, chat, revision(10));
        CHECK(owner.permits(start + 1300ms).entries.size() == 1);
        const rollout_actions actions = owner.onTick(start + 1400ms);
        CHECK(owner.permits(start + 1400ms).entries.empty());
        for (const rollout_action& action : actions) {
            CHECK_FALSE(std::holds_alternative<commit_rollout>(action));
            CHECK_FALSE(std::holds_alternative<rollout_event>(action));
        }
    }
}

// Guards against a write whose outcome is unknown and that is taken for done, undone, or repeated.
TEST_CASE("a lost answer of a commit leaves one owner and one end")
{
    for (const lost_answer how : { lost_answer::notPerformed, lost_answer::performed, lost_answer::performedLate }) {
        for (duration at = 0ms; at < 12s; at += 110ms) {
            CAPTURE(at / 1ms);
            fleet routers(4);
            routers.order(chat, first, 12s);
            routers.run(at);
            routers.loseNextAnswer(how);
            routers.run(std::max<duration>(12s - at, 5s));
            checkEnd(routers, chat, first, rollout_state::completed);
        }
    }
}

// Guards against an owner that goes on without being a reader, where reports no longer reach it.
TEST_CASE("a roll-out passes to the readers that were elected")
{
    fleet routers(6);
    routers.setReaders({ vm_id("r0"), vm_id("r1") });
    routers.order(chat, first, 12s);
    routers.run(3s);
    routers.setReaders({ vm_id("r4"), vm_id("r5") });
    routers.run(9s);
    checkEnd(routers, chat, first, rollout_state::completed);
    CHECK(routers.row(chat).owner > vm_id("r3"));
    CHECK(routers.losses == 1);
}

// Guards against permits or states of an order that is no longer in force.
TEST_CASE("a new order replaces one in progress, and a removed one ends")
{
    fleet routers(4);
    routers.order(chat, first, 12s);
    routers.run(4s);
    routers.order(chat, second, 12s);
    routers.run(12s);
    checkEnd(routers, chat, second, rollout_state::completed);
    CHECK_FALSE(routers.everyRouterEnded(chat, first, rollout_state::completed));

    fleet others(4);
    others.order(chat, first, 12s);
    others.run(4s);
    others.removeOrder(chat);
    others.run(12s);
    CHECK(others.faults.empty());
    CHECK(others.state(chat) == rollout_state::inProgress);
}

// Guards against a roll-out to a version that nobody serves, which would leave the pool without servers.
TEST_CASE("a target without servers is reverted at the deadline")
{
    fleet routers(3);
    routers.hasServers = false;
    for (std::size_t i = 0; i < 3; ++i)
        routers.restart(i);
    routers.order(chat, first, 12s);
    routers.run(11s);
    CHECK(routers.state(chat) == rollout_state::inProgress);
    routers.run(1s);
    checkEnd(routers, chat, first, rollout_state::reverted);
}

// Guards against permits that last while nobody can renew the lease, and a roll-out that does not go on.
TEST_CASE("a roll-out goes on after the store was away")
{
    for (duration at = 0ms; at < 7s; at += 330ms) {
        CAPTURE(at / 1ms);
        fleet routers(4);
        routers.order(chat, first, 12s);
        routers.run(at);
        routers.takeStoreAway(4s);
        routers.run(std::max<duration>(12s - at, 6s));
        checkEnd(routers, chat, first, rollout_state::completed);
    }
}

// Guards against state that two roll-outs share.
TEST_CASE("two roll-outs at once end each by itself")
{
    fleet routers(4);
    routers.order(chat, first, 12s);
    routers.order(embed, second, 20s);
    routers.run(3s);
    routers.kill(routers.owner(chat));
    routers.run(18s);
    checkEnd(routers, chat, first, rollout_state::completed);
    checkEnd(routers, embed, second, rollout_state::completed);
}

// Guards against polling of the store that grows with the number of readers.
TEST_CASE("readers beyond the second poll at a third of the rate")
{
    fleet routers(8);
    routers.order(chat, first, 12s);
    routers.run(5s);
    CHECK(routers.reads <= 5 * 2 * 2 + 5 * 6);
}

// Guards against two owners or two ends under several faults at once.
TEST_CASE("drawn faults never give two owners or two ends")
{
    CHECK(rc::check("one owner and one end", [] {
        fleet routers(5);
        routers.isFaulty = *rc::gen::arbitrary<bool>();
        routers.order(chat, first, 12s);
        const auto faults = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, 4), rc::gen::inRange(10, 2000)));
        for (const auto& [kind, index, time] : faults) {
            const auto which = static_cast<std::size_t>(index);
            if (kind == 0)
                routers.freeze(which, time * 1ms);
            if (kind == 1)
                routers.restart(which);
            if (kind == 2)
                routers.takeStoreAway(time * 1ms);
            if (kind >= 3)
                routers.loseNextAnswer(static_cast<lost_answer>(kind - 2));
            routers.run(time * 1ms);
        }
        routers.run(16s);
        RC_ASSERT(routers.faults.empty());
        RC_ASSERT(routers.state(chat) != rollout_state::inProgress);
        RC_ASSERT(routers.everyRouterEnded(chat, first, routers.state(chat)));
    }));
}
