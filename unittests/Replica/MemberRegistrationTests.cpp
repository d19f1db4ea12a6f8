#include <algorithm>
#include <deque>
#include <map>
#include <set>

#include <doctest/doctest.h>

#include "Fixture.h"
#include "pimentoladder/Codec/MemberJson.h"

using namespace pimentoladder;
using namespace pimentoladder::replica_test;

namespace {

fleet_router makeMember(const std::string& name)
{
    return { vm_id(name), incarnation(7), data_centre_id("a"), { "10.0.0.1", 7400 } };
}

store_position position(std::uint64_t era, std::uint64_t at)
{
    return { store_era(era), revision(at) };
}

published_row row(const std::string& key, const std::string& value, std::uint64_t era, std::uint64_t at)
{
    return { key, value, position(era, at), false };
}

/// Routers with replicas of their own, which all knew the same table of era 1.
struct registered_fleet {
    explicit registered_fleet(std::size_t size)
    {
        std::vector<published_row> table { row("fleet-key", keyInUse, 1, 1) };
        for (std::size_t i = 0; i < size; ++i) {
            const fleet_router self = makeMember("r" + std::to_string(i));
            table.push_back(row("router/" + self.vm.value(), codec.encode(self), 1, 2 + i));
            registrations.emplace_back(self, "proposed-key-of-" + self.vm.value(), codec);
        }
        for (std::size_t i = 0; i < size; ++i) {
            replicas.emplace_back(2, significance);
            replicas[i].applyWhole(table, position(1, size + 2));
            CHECK_FALSE(registrations[i].next(now, replicas[i]));
        }
    }

    // Runs each router's timer, which has a phase of its own, until \p length has passed. The store
    // answers at once; the routers do not learn what it holds.
    void run(duration length)
    {
        const time_point end = now + length;
        for (; now < end; now += 5ms) {
            for (std::size_t i = gone; i < registrations.size(); ++i) {
                if (now < dueAt[i])
                    continue;
                const auto write = registrations[i].next(now, replicas[i]);
                const duration untilTurn = registrations[i].nextWriteAt() - now;
                dueAt[i] = now + (untilTurn > 0ms ? std::min<duration>(untilTurn, 250ms) : 250ms);
                if (!write)
                    continue;
                writes.push_back({ now, *write });
                registrations[i].onWritten(now, {});
            }
        }
    }

    std::size_t peakIn(duration window) const
    {
        std::size_t peak = 0;
        for (const auto& first : writes) {
            const auto isInside = [&](const auto& each) { return each.first >= first.first && each.first < first.first + window; };
            peak = std::max(peak, static_cast<std::size_t>(std::count_if(writes.begin(), writes.end(), isInside)));
        }
        return peak;
    }

    const std::string keyInUse = "0123456789abcdef";
    const any_change significance;
    const member_json_codec codec;
    std::deque<member_registration> registrations;
    std::deque<row_replica> replicas;
    std::size_t gone = 0; ///< Number of routers, from the first, that have ended.
    std::map<std::size_t, time_point> dueAt;
    std::vector<std::pair<time_point, member_row_write>> writes;
    time_point now { 100s };
};

}

// Guards against two keys in one fleet, and against a router that is not registered.
TEST_CASE("the key is proposed only while there is none, then the router's row is written")
{
    const any_change rules;
    const member_json_codec codec;
    row_replica members(2, rules);
    member_registration registration(makeMember("r1"), "0123456789abcdef", codec);
    time_point now { 100s };
    CHECK_FALSE(registration.next(now, members));
    members.applyWhole({}, position(1, 1));
    const auto key = registration.next(now, members);
    REQUIRE(key);
    CHECK(key->mustBeAbsent);
    CHECK_FALSE(registration.next(now, members));

    // Another router's key was written first; the result of this router's write is
    // irrelevant.
    CHECK(registration.onWritten(now, makeError(error_kind::conflict, "the row already exists")));
    members.applyWhole({ row("fleet-key", "fedcba9876543210", 1, 2) }, position(1, 2));
    CHECK(member_registration::fleetKey(members) == "fedcba9876543210");
    now += 1s;
    const auto own = registration.next(now, members);
    REQUIRE(own);
    CHECK(own->key == "router/r1");
    CHECK_FALSE(own->mustBeAbsent);
    CHECK(registration.onWritten(now, {}));
    members.apply({ row(own->key, own->value, 1, 3) }, position(1, 3));
    now += 1s;
    CHECK_FALSE(registration.next(now, members));
}

// Guards against one unreadable row that hides the other members.
TEST_CASE("unreadable rows are skipped")
{
    const any_change rules;
    const member_json_codec codec;
    row_replica members(2, rules);
    const member_registration registration(makeMember("r1"), "0123456789abcdef", codec);
    members.applyWhole({ row("router/r1", codec.encode(makeMember("r1")), 1, 1), row("router/r2", "{}", 1, 2), row("router/r3", "x", 1, 3) }, position(1, 3));
    const auto listed = registration.list(members);
    REQUIRE(listed.size() == 1);
    CHECK(listed[0] == makeMember("r1"));
}

// Guards against all routers that write at the same moment after a restoration, and against routers that stay unregistered.
TEST_CASE("91 routers write their rows again at once, but not at the same moment")
{
    registered_fleet fleet(91);
    fleet.run(250ms);
    CHECK(fleet.writes.empty());
    for (row_replica& each : fleet.replicas)
        each.applyWhole({}, position(2, 1));
    fleet.run(3s);
    std::set<std::string> written;
    std::size_t keyWrites = 0;
    for (const auto& [at, write] : fleet.writes) {
        CHECK(at < time_point(100s) + 1s);
        if (write.key != "fleet-key") {
            CHECK_FALSE(write.mustBeAbsent);
            CHECK(written.insert(write.key).second);
            continue;
        }
        ++keyWrites;
        CHECK(write.mustBeAbsent);
        CHECK(write.value == fleet.keyInUse);
    }
    CHECK(written.size() == 91);
    CHECK(keyWrites >= 1);
    CHECK(keyWrites <= 3);
    // The store accepts 300 writes per second.
    CHECK(fleet.peakIn(100ms) <= 30);
}

// Guards against a fleet without a key after the routers that write it again first have ended.
TEST_CASE("the key in use is written again although the first routers are gone")
{
    registered_fleet fleet(8);
    for (row_replica& each : fleet.replicas)
        each.applyWhole({}, position(2, 1));
    fleet.gone = 4;
    fleet.run(4s);
    const auto isKey = [](const auto& each) { return each.second.key == "fleet-key"; };
    CHECK(std::none_of(fleet.writes.begin(), fleet.writes.end(), isKey));
    fleet.run(3s);
    const auto found = std::find_if(fleet.writes.begin(), fleet.writes.end(), isKey);
    REQUIRE(found != fleet.writes.end());
    CHECK(found->second.value == fleet.keyInUse);
}

// Guards against writes after each restoration although the copy has the rows.
TEST_CASE("rows that the copy has are not written again")
{
    registered_fleet fleet(4);
    for (std::size_t i = 0; i < 4; ++i) {
        std::vector<published_row> copy;
        fleet.replicas[i].forEachRow([&](const published_row& each) { copy.push_back({ each.key, each.value, { store_era(2), each.position.at }, false }); });
        fleet.replicas[i].applyWhole(copy, position(2, 5));
    }
    fleet.run(6s);
    CHECK(fleet.writes.empty());
}

// Guards against a row that stays missing because its write was acknowledged before a restoration that undid it.
TEST_CASE("a write that ends after a restoration is known is made again")
{
    registered_fleet fleet(1);
    row_replica& members = fleet.replicas[0];
    member_registration& registration = fleet.registrations[0];
    members.applyWhole({ row("fleet-key", fleet.keyInUse, 2, 1) }, position(2, 1));
    REQUIRE(registration.next(fleet.now, members));
    members.applyWhole({ row("fleet-key", fleet.keyInUse, 3, 1) }, position(3, 1));
    CHECK_FALSE(registration.next(fleet.now, members));
    CHECK_FALSE(registration.onWritten(fleet.now, {}));
    const auto again = registration.next(fleet.now, members);
    REQUIRE(again);
    CHECK(again->key == "router/r0");
}

// Guards against a call storm while the store does not take the row.
TEST_CASE("a failed write is made again after a pause, and the table is read again")
{
    registered_fleet fleet(1);
    row_replica& members = fleet.replicas[0];
    member_registration& registration = fleet.registrations[0];
    members.applyWhole({ row("fleet-key", fleet.keyInUse, 2, 1) }, position(2, 1));
    REQUIRE(registration.next(fleet.now, members));
    CHECK(registration.onWritten(fleet.now, makeError(error_kind::outcomeUnknown, "no answer")));
    CHECK_FALSE(registration.next(fleet.now + 400ms, members));
    CHECK(registration.next(fleet.now + 600ms, members));
}
