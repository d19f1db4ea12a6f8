// Removals of servers around outages of the store.

#include <doctest/doctest.h>

#include "Fixture.h"

using namespace pimentoladder;
using namespace pimentoladder::replica_test;

namespace {

constexpr duration maxRowAge = 2s;

void putServers(fleet& all, int count)
{
    for (int i = 0; i < count; ++i)
        all.store.put(followed_table::servers, "server-" + std::to_string(i), "1");
}

void setAccess(fleet& all, store_access access)
{
    for (const auto& each : all.routers)
        each->access = access;
}

std::size_t routersWith(const fleet& of, const std::string& server)
{
    return static_cast<std::size_t>(std::count_if(of.routers.begin(), of.routers.end(), [&](const auto& each) {
        return !each->isFrozen && each->hasInForce(server, of.now);
    }));
}

/// Returns whether each router but frozen ones has \p server in force throughout \p length.
bool isKeptFor(fleet& all, const std::string& server, duration length)
{
    const auto live = static_cast<std::size_t>(std::count_if(all.routers.begin(), all.routers.end(), [](const auto& each) { return !each->isFrozen; }));
    for (const time_point end = all.now + length; all.now < end; all.run(20ms)) {
        if (routersWith(all, server) != live)
            return false;
    }
    return true;
}

}

// Guards against servers that are kept after their removal since a read failed in an outage of long ago (review/9).
TEST_CASE("an outage that is over delays no removal")
{
    for (const auto how : { store_access::refuses, store_access::silent }) {
        fleet all(12);
        all.storeTime = 20ms;
        putServers(all, 4);
        all.run(4s);
        setAccess(all, how);
        all.run(4500ms);
        setAccess(all, store_access::answers);
        all.run(10s);
        all.store.remove(followed_table::servers, "server-0");
        for (const fleet_router& each : all.routers.front()->relay.readers()) {
            all.at(each.vm).isFrozen = true;
            all.closeLinksTo(each.vm);
        }
        all.run(100ms);
        all.store.remove(followed_table::servers, "server-1");
        all.run(maxRowAge);
        CHECK(routersWith(all, "server-0") == 0);
        CHECK(routersWith(all, "server-1") == 0);
    }
}

// Guards against one rejected read of one reader that is taken for an outage by all its followers.
TEST_CASE("rejected calls of one reader delay no removal")
{
    for (const duration rejectedFor : { duration(150ms), duration(300ms), duration(800ms), duration(4500ms) }) {
        for (int phase = 0; phase < 30; ++phase) {
            CAPTURE(rejectedFor.count());
            CAPTURE(phase);
            fleet all(12);
            all.storeTime = 20ms;
            putServers(all, 2);
            all.run(4s + phase * 20ms);
            router& rejected = all.at(all.routers.front()->relay.readers().front().vm);
            rejected.access = store_access::refuses;
            all.run(rejectedFor / 2);
            all.store.remove(followed_table::servers, "server-0");
            all.run(rejectedFor - rejectedFor / 2);
            rejected.access = store_access::answers;
            all.store.remove(followed_table::servers, "server-1");
            all.run(maxRowAge);
            CHECK(routersWith(all, "server-0") == 0);
            CHECK(routersWith(all, "server-1") == 0);
        }
    }
}

// Guards against servers that are lost to routers because their registrations expired while the store was down.
TEST_CASE("servers whose registrations expired in an outage stay until they can register again")
{
    for (const std::size_t size : { 3, 28, 295 }) {
        for (const duration length : { duration(2400ms), duration(3600ms), duration(9s) }) {
            for (const bool hasReaders : { true, false }) {
                CAPTURE(size);
                CAPTURE(length.count());
                CAPTURE(hasReaders);
                fleet all(size, size > 28 ? 6 : 1);
                all.storeTime = 20ms;
                putServers(all, 2);
                all.run(4s);
                setAccess(all, store_access::refuses);
                if (!hasReaders && size > 3) {
                    for (const fleet_router& each : all.routers.front()->relay.readers()) {
                        all.at(each.vm).isFrozen = true;
                        all.closeLinksTo(each.vm);
                    }
                }
                all.run(length - 20ms);
                all.store.remove(followed_table::servers, "server-0");
                all.run(20ms);
                setAccess(all, store_access::answers);
                CHECK(isKeptFor(all, "server-0", 1800ms));
                CHECK(isKeptFor(all, "server-1", 1800ms));
            }
        }
    }
}

namespace {

constexpr std::array slowLinks { slow_link { 1s, 1s, 8s }, slow_link { 2500ms, 3s, 9s }, slow_link { 5s, 6s, 14s }, slow_link { 8s, 4s, 14s } };

std::vector<router*> followersOf(fleet& all, std::size_t count)
{
    std::vector<router*> found;
    const auto& readers = all.routers.front()->relay.readers();
    for (const auto& each : all.routers) {
        const bool isReader = std::any_of(readers.begin(), readers.end(), [&](const fleet_router& reader) { return reader.vm == each->vm; });
        if (!isReader && found.size() < count)
            found.push_back(each.get());
    }
    return found;
}

/// Checks that a server whose registration expires in an outage stays in force for the time to
/// register again, where rows may be 4 s old.
void checkKeptAtLongBound(duration outage)
{
    for (int phase = 0; phase < 40; ++phase) {
        CAPTURE(outage.count());
        CAPTURE(phase);
        fleet all(18, 6, relayLimitsFor(2 * maxRowAge));
        all.storeTime = 20ms;
        putServers(all, 2);
        all.run(4s + phase * 40ms);
        setAccess(all, store_access::refuses);
        all.run(outage - 20ms);
        all.store.remove(followed_table::servers, "server-0");
        all.run(20ms);
        setAccess(all, store_access::answers);
        CHECK(isKeptFor(all, "server-0", 1800ms));
    }
}

std::size_t recoveriesAt(const fleet& all)
{
    std::size_t sum = 0;
    for (const auto& each : all.routers)
        sum += each->recoveries;
    return sum;
}

}

// Guards against a router with a full link that takes late messages for an outage of the store, and keeps servers that leave.
TEST_CASE("rows that arrive late are no outage of the store")
{
    for (const slow_link& link : slowLinks) {
        for (const auto& [bound, hasRejected] : { std::pair(maxRowAge, false), std::pair(maxRowAge, true), std::pair(2 * maxRowAge, false), std::pair(2 * maxRowAge, true) }) {
            CAPTURE(bound.count());
            CAPTURE(link.peak.count());
            CAPTURE(hasRejected);
            fleet all(18, 6, relayLimitsFor(bound));
            all.storeTime = 20ms;
            putServers(all, 40);
            all.run(4s);
            const std::vector<router*> slow = followersOf(all, 2);
            const auto& readers = all.routers.front()->relay.readers();
            int leaving = 0;
            duration longest {};
            for (duration since {}; since < link.length + 4s; since += 20ms) {
                for (router* each : slow)
                    each->lateness = link.at(since);
                // Half of the readers are rejected by the store, one after the other.
                for (std::size_t i = 0; hasRejected && i < readers.size() / 2; ++i) {
                    const bool isRejected = since >= 2s + i * 100ms && since < 7s + i * 100ms;
                    all.at(readers[i].vm).access = isRejected ? store_access::refuses : store_access::answers;
                }
                if (since % 500ms == 0ms)
                    all.store.remove(followed_table::servers, "server-" + std::to_string(leaving++));
                all.run(20ms);
                for (const auto& each : all.routers) {
                    for (const auto& [server, removed] : each->removals)
                        longest = std::max(longest, removed.due - all.now);
                }
            }
            CHECK(recoveriesAt(all) == 0);
            CHECK(longest <= duration::zero());
        }
    }
}

// Guards against servers that are lost at a longer bound on the age of rows, since a follower takes the end of an outage for much earlier than it was.
TEST_CASE("servers whose registrations expired stay where followers retry rarely")
{
    checkKeptAtLongBound(5s);
}

// Guards against servers that are lost where rows may be older than an outage in which registrations expire.
TEST_CASE("servers whose registrations expired stay although rows may be older than the outage" * doctest::test_suite("short outages"))
{
    for (const duration length : { duration(2400ms), duration(3s), duration(3900ms) })
        checkKeptAtLongBound(length);
}

// Guards against a router that takes the time for which it stood still for an outage.
TEST_CASE("a router that stood still delays no removal once another one answers")
{
    for (int phase = 0; phase < 30; ++phase) {
        CAPTURE(phase);
        fleet all(18, 6);
        all.storeTime = 20ms;
        putServers(all, 2);
        all.run(4s + phase * 20ms);
        router& paused = *followersOf(all, 1).front();
        paused.isFrozen = true;
        all.run(5s);
        all.store.remove(followed_table::servers, "server-0");
        paused.isFrozen = false;
        all.run(1s);
        CHECK_FALSE(paused.hasInForce("server-0", all.now));
        CHECK(paused.recoveries == 0);
    }
}

// Guards against removals that each late message after an outage postpones again.
TEST_CASE("an outage delays a removal once")
{
    for (const slow_link& link : slowLinks) {
        CAPTURE(link.peak.count());
        fleet all(18, 6);
        all.storeTime = 20ms;
        putServers(all, 40);
        all.run(4s);
        duration longest {};
        int leaving = 0;
        for (duration since {}; since < link.length + 4s; since += 20ms) {
            for (router* each : followersOf(all, 2))
                each->lateness = link.at(since);
            const bool isDown = since >= 1s && since < 5s;
            setAccess(all, isDown ? store_access::refuses : store_access::answers);
            if (!isDown && since % 500ms == 0ms)
                all.store.remove(followed_table::servers, "server-" + std::to_string(leaving++));
            all.run(20ms);
            for (const auto& each : all.routers) {
                for (const auto& [server, removed] : each->removals)
                    longest = std::max(longest, removed.due - removed.learntAt);
            }
        }
        CHECK(longest <= removalGrace);
    }
}

// Guards against servers that a router with a full link loses, since their registrations expired in an outage.
TEST_CASE("servers whose registrations expired in an outage stay at routers that hear of it late")
{
    for (const slow_link& link : slowLinks) {
        CAPTURE(link.peak.count());
        fleet all(18, 6);
        all.storeTime = 20ms;
        putServers(all, 4);
        all.run(4s);
        std::size_t fewest = all.routers.size();
        for (duration since {}; since < link.length + 4s; since += 20ms) {
            for (router* each : followersOf(all, 2))
                each->lateness = link.at(since);
            if (since == 2s)
                setAccess(all, store_access::refuses);
            if (since == 6s - 20ms)
                all.store.remove(followed_table::servers, "server-0");
            if (since == 6s)
                setAccess(all, store_access::answers);
            if (since == 7200ms)
                all.store.put(followed_table::servers, "server-0", "2");
            all.run(20ms);
            fewest = std::min(fewest, routersWith(all, "server-0"));
        }
        CHECK(fewest == all.routers.size());
    }
}
