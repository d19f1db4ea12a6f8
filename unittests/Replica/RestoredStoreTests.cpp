#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "Fixture.h"

using namespace pimentoladder;
using namespace pimentoladder::replica_test;

namespace {

published_row makeRow(const std::string& key, const std::string& value, store_position position)
{
    return { key, value, position, false };
}

std::string valueOf(const row_replica& replica, const std::string& key)
{
    const published_row* row = replica.find(key);
    return row ? row->value : "";
}

std::size_t countWith(const fleet& of, const std::string& key, const std::string& value)
{
    return static_cast<std::size_t>(std::count_if(of.routers.begin(), of.routers.end(), [&](const auto& each) {
        const auto found = each->rows.find(key);
        return found != each->rows.end() && found->second == value;
    }));
}

bool isConfirmed(const relay_actions& actions)
{
    return std::any_of(actions.begin(), actions.end(), [](const relay_action& each) { return std::holds_alternative<basis_confirmed>(each); });
}

/// Relay of a single router, whose reads the test answers.
struct lone_router {
    lone_router() { relay.setMembers({ { vm_id("r"), incarnation(1), data_centre_id("a"), {} } }); }

    relay_actions read(followed_table table, rows_page page)
    {
        now += 700ms;
        relay.onTick(now);
        return relay.onRead(now, table, page);
    }

    any_change rules;
    row_relay relay { vm_id("r"), data_centre_id("a"), rules, {}, 1 };
    time_point now { 100s };
};

rows_page makePage(std::uint64_t newest, std::uint64_t era, std::vector<published_row> rows = {})
{
    return { std::move(rows), revision(newest), store_era(era) };
}

}

// Guards against a router that drops what is written after the store was restored,
// because the store counts from an earlier revision.
TEST_CASE("rows of a later era are applied although their revision is lower")
{
    const any_change rules;
    row_replica replica(0, rules);
    replica.applyWhole({ makeRow("config", "16", at(90, 1)) }, at(100, 1));
    replica.applyWhole({ makeRow("config", "13", at(60, 2)) }, at(70, 2));
    replica.apply({ makeRow("config", "17", at(75, 2)) }, at(75, 2));
    CHECK(valueOf(replica, "config") == "17");
    CHECK(replica.position() == at(75, 2));
    CHECK(replica.retained().empty());
}

// Guards against a configuration that comes back older from the copy, or while its writer
// repeats the versions that the copy lacks.
TEST_CASE("a configuration in force stays until its writer has repeated it")
{
    const any_change rules;
    row_replica replica(0, rules);
    replica.applyWhole({ makeRow("config", "16", at(90, 1)) }, at(100, 1));
    CHECK(replica.applyWhole({ makeRow("config", "13", at(60, 2)) }, at(70, 2)).inForce.empty());
    CHECK(valueOf(replica, "config") == "16");
    CHECK(replica.findStored("config")->value == "13");
    for (const std::uint64_t version : { 14, 15, 16 }) {
        CHECK(replica.apply({ makeRow("config", std::to_string(version), at(60 + version, 2)) }, at(60 + version, 2)).inForce.empty());
        CHECK(valueOf(replica, "config") == "16");
    }
    CHECK(replica.retained().empty());
}

// Guards against servers that left, or that are leaving, and are taken for new ones.
TEST_CASE("a copy brings back neither deleted rows nor earlier states of a server")
{
    const any_change rules;
    row_replica replica(1, rules);
    replica.applyWhole({ makeRow("gone", "5 ready", at(50, 1)), makeRow("leaving", "5 ready", at(51, 1)) }, at(60, 1));
    replica.apply({ { "gone", {}, at(70, 1), true }, makeRow("leaving", "9 draining", at(71, 1)) }, at(71, 1));
    const auto copy = std::vector { makeRow("gone", "5 ready", at(50, 2)), makeRow("leaving", "5 ready", at(51, 2)), makeRow("new", "1", at(52, 2)) };
    const row_changes changes = replica.applyWhole(copy, at(60, 2));
    REQUIRE(changes.inForce.size() == 1);
    CHECK(changes.inForce[0].key == "new");
    CHECK(changes.dropped == 2);
    CHECK_FALSE(replica.find("gone"));
    CHECK(valueOf(replica, "leaving") == "9 draining");
    // A server that registers again is in use again.
    replica.apply({ makeRow("gone", "6 ready", at(61, 2)) }, at(61, 2));
    CHECK(valueOf(replica, "gone") == "6 ready");
}

// Guards against an evacuation that ends because the copy lacks it, and one that returns
// because the copy has it.
TEST_CASE("rows without an order stay in force, present or deleted, until they are written again")
{
    const any_change rules;
    row_replica replica(0, rules);
    replica.applyWhole({ makeRow("evacuate/a", "x", at(50, 1)) }, at(60, 1));
    replica.apply({ { "evacuate/a", {}, at(70, 1), true }, makeRow("evacuate/b", "x", at(71, 1)) }, at(71, 1));
    CHECK(replica.applyWhole({ makeRow("evacuate/a", "x", at(50, 2)) }, at(60, 2)).inForce.empty());
    CHECK_FALSE(replica.find("evacuate/a"));
    CHECK(replica.find("evacuate/b"));
    replica.apply({ { "evacuate/a", {}, at(61, 2), true }, makeRow("evacuate/b", "x", at(62, 2)) }, at(62, 2));
    CHECK(replica.retained().empty());
    CHECK(replica.apply({ makeRow("evacuate/a", "x", at(63, 2)) }, at(63, 2)).inForce.size() == 1);
}

// Guards against a second copy that is compared with the first instead of with the rows in
// force, and against rows that a further copy brings back.
TEST_CASE("rows in force stay in force over two restorations in a row")
{
    const any_change rules;
    row_replica replica(0, rules);
    replica.applyWhole({ makeRow("config", "16", at(90, 1)), makeRow("gone", "3", at(91, 1)) }, at(100, 1));
    replica.apply({ { "gone", {}, at(101, 1), true } }, at(101, 1));
    replica.applyWhole({ makeRow("config", "13", at(60, 2)) }, at(70, 2));
    // The era may rise by more than one.
    replica.applyWhole({ makeRow("config", "15", at(80, 4)), makeRow("gone", "3", at(81, 4)) }, at(95, 4));
    CHECK(valueOf(replica, "config") == "16");
    CHECK_FALSE(replica.find("gone"));
    CHECK(replica.findStored("config")->value == "15");
}

// Guards against late data of the era before.
TEST_CASE("rows and tables of an earlier era are ignored")
{
    const any_change rules;
    row_replica replica(0, rules);
    replica.applyWhole({ makeRow("a", "1", at(1, 2)) }, at(5, 2));
    CHECK(replica.apply({ makeRow("a", "2", at(9, 1)) }, at(9, 1)).inForce.empty());
    CHECK(replica.applyWhole({}, at(9, 1)).inForce.empty());
    CHECK(replica.position() == at(5, 2));
    CHECK(valueOf(replica, "a") == "1");
}

// Guards against routers that differ for ever because some of them know only the copy.
TEST_CASE("the store's rows are accepted at the end of the retention")
{
    const any_change rules;
    row_replica replica(0, rules);
    replica.applyWhole({ makeRow("config", "16", at(90, 1)), makeRow("lost", "1", at(91, 1)) }, at(100, 1));
    replica.apply({ { "old", {}, at(101, 1), true } }, at(101, 1));
    replica.applyWhole({ makeRow("config", "13", at(60, 2)), makeRow("old", "1", at(61, 2)) }, at(70, 2));
    const auto absent = replica.acceptAbsent();
    REQUIRE(absent.size() == 1);
    CHECK((absent[0].key == "lost" && absent[0].isDeleted));
    CHECK(valueOf(replica, "config") == "16");
    CHECK(replica.acceptStored().size() == 2);
    CHECK(valueOf(replica, "config") == "13");
    CHECK(valueOf(replica, "old") == "1");
    CHECK(replica.retained().empty());
}

// Guards against two routers that pass retained rows to each other for ever, each after it has accepted the store's.
TEST_CASE("rows whose retention has ended are not retained again")
{
    const any_change rules;
    row_replica replica(0, rules);
    replica.applyWhole({ makeRow("config", "16", at(90, 1)), makeRow("lost", "1", at(91, 1)) }, at(100, 1));
    replica.applyWhole({ makeRow("config", "13", at(60, 2)) }, at(70, 2));
    replica.acceptAbsent();
    CHECK(replica.adoptRetained({ makeRow("lost", "1", at(91, 1)) }, at(70, 2)).empty());
    CHECK(replica.adoptRetained({ makeRow("config", "17", at(95, 1)) }, at(70, 2)).size() == 1);
    replica.acceptStored();
    CHECK(replica.adoptRetained({ makeRow("config", "17", at(95, 1)) }, at(70, 2)).empty());
    CHECK(valueOf(replica, "config") == "13");
    CHECK(replica.retained().empty());
}

// Guards against retained rows that are passed on as if the store held them.
TEST_CASE("a peer of another era gets the store's complete table without retained rows")
{
    const any_change rules;
    row_replica replica(0, rules);
    replica.applyWhole({ makeRow("config", "16", at(90, 1)), makeRow("lost", "1", at(91, 1)) }, at(100, 1));
    replica.applyWhole({ makeRow("config", "13", at(60, 2)) }, at(70, 2));
    const table_update update = replica.updateSince(at(100, 1));
    CHECK(update.isWhole);
    CHECK(update.to == at(70, 2));
    REQUIRE(update.rows.size() == 1);
    CHECK(update.rows[0].value == "13");
    // The deletion of "lost" was never seen, so an incremental update would lack it.
    CHECK(replica.updateSince(at(65, 2)).isWhole);
}

// Guards against a router that was restarted after the restoration and adopts rows that
// the store's later ones have superseded.
TEST_CASE("retained rows of a peer are adopted unless they were written again since")
{
    const any_change rules;
    row_replica replica(0, rules);
    replica.applyWhole({ makeRow("config", "13", at(60, 2)), makeRow("gone", "1", at(61, 2)) }, at(70, 2));
    replica.apply({ makeRow("later", "8", at(80, 2)) }, at(80, 2));
    const std::vector<published_row> retained { makeRow("config", "16", at(90, 1)), { "gone", "1", at(91, 1), true }, makeRow("later", "7", at(92, 1)), makeRow("lost", "1", at(93, 1)) };
    CHECK(replica.adoptRetained(retained, at(71, 1)).empty());
    CHECK(replica.adoptRetained(retained, at(71, 2)).size() == 3);
    CHECK(valueOf(replica, "config") == "16");
    CHECK_FALSE(replica.find("gone"));
    CHECK(valueOf(replica, "later") == "8");
    CHECK(valueOf(replica, "lost") == "1");
    CHECK(replica.adoptRetained({ makeRow("config", "15", at(89, 1)) }, at(71, 2)).empty());
}

// Guards against routes that are not served after a restoration, whether or not the store
// still rejects the old position (410).
TEST_CASE("a configuration written after a restoration reaches all routers")
{
    for (const int writes : { 0, 30 }) {
        fleet all(12);
        all.store.era = store_era(1);
        all.store.put(followed_table::operators, "config", "1");
        const fake_store copy = all.store;
        for (int i = 2; i <= 9; ++i)
            all.store.put(followed_table::operators, "config", std::to_string(i));
        all.run(3s);
        REQUIRE(countWith(all, "config", "9") == 12);
        all.store.restoreFrom(copy);
        // With many writes, the new revisions pass the positions that routers hold.
        for (int i = 0; i < writes; ++i)
            all.store.put(followed_table::servers, "s", std::to_string(i + 1));
        all.run(1s);
        CHECK(countWith(all, "config", "9") == 12);
        all.store.put(followed_table::operators, "config", "10");
        all.run(1500ms);
        CHECK(countWith(all, "config", "10") == 12);
        for (const auto& each : all.routers)
            CHECK(each->relay.replica(followed_table::servers).position().era == store_era(2));
    }
}

// Guards against reads of whole tables by every router at the same time.
TEST_CASE("a restoration costs one read of each table per reader")
{
    fleet all(30);
    all.store.era = store_era(1);
    all.store.put(followed_table::operators, "config", "1");
    all.run(4s);
    for (const auto& each : all.routers)
        each->wholeReads = 0;
    const fake_store copy = all.store;
    all.store.restoreFrom(copy);
    all.run(5s);
    std::uint64_t reads = 0;
    for (const auto& each : all.routers) {
        reads += each->wholeReads;
        CHECK(each->eraChanges.size() == followedTableCount);
    }
    CHECK(reads <= 3 * followedTableCount);
}

// Guards against rows of the earlier era that are taken for the later one's, from a feed
// that waited or an answer that was late.
TEST_CASE("changes of another era than the replica's lead to a complete read")
{
    lone_router router;
    router.read(followed_table::operators, makePage(100, 1, { makeRow("config", "9", at(90, 1)) }));
    router.read(followed_table::servers, makePage(100, 1));
    const auto dropped = router.read(followed_table::operators, makePage(120, 2, { makeRow("config", "3", at(110, 2)) }));
    CHECK_FALSE(isConfirmed(dropped));
    const row_replica& operators = router.relay.replica(followed_table::operators);
    CHECK(operators.position() == at(100, 1));
    // The answer of the earlier era to a read that was sent before is ignored.
    CHECK_FALSE(isConfirmed(router.relay.onRead(router.now, followed_table::servers, makePage(130, 1, { makeRow("s", "1", at(125, 1)) }))));
    CHECK_FALSE(router.relay.replica(followed_table::servers).find("s"));
    const auto actions = router.relay.onTick(router.now);
    CHECK(std::count_if(actions.begin(), actions.end(), [](const relay_action& each) {
        const auto* read = std::get_if<read_table>(&each);
        return read && read->isWhole;
    }) == 2);
    router.relay.onRead(router.now, followed_table::operators, makePage(121, 2, { makeRow("config", "3", at(60, 2)) }));
    CHECK(operators.position() == at(121, 2));
    CHECK(valueOf(operators, "config") == "9");
}

// Guards against rows that go back when the store names an earlier era, or none at all.
TEST_CASE("answers of an earlier era count as failed reads")
{
    for (const std::uint64_t era : { 0, 1 }) {
        lone_router router;
        router.read(followed_table::operators, makePage(100, 2, { makeRow("config", "9", at(90, 2)) }));
        router.read(followed_table::servers, makePage(100, 2));
        std::size_t lost = 0;
        for (int i = 0; i < 3; ++i) {
            const auto actions = router.read(followed_table::operators, makePage(200, era, { makeRow("config", "5", at(190, era)) }));
            CHECK_FALSE(isConfirmed(actions));
            lost += static_cast<std::size_t>(std::count_if(actions.begin(), actions.end(), [](const relay_action& each) { return std::holds_alternative<store_lost>(each); }));
        }
        CHECK(lost == 1);
        CHECK(valueOf(router.relay.replica(followed_table::operators), "config") == "9");
        CHECK(isConfirmed(router.read(followed_table::operators, makePage(101, 2))) == false);
        CHECK(router.relay.replica(followed_table::operators).position() == at(101, 2));
    }
}

// Guards against a reader that answers a follower of the later era with the earlier one.
TEST_CASE("a reader learns of a later era from a follower's message")
{
    lone_router reader;
    reader.read(followed_table::operators, makePage(100, 1));
    reader.read(followed_table::servers, makePage(100, 1));
    follow_rows asked { 1, { { 0, at(40, 2) }, { 1, at(40, 2) } } };
    const auto actions = reader.relay.onMessage(reader.now, { vm_id("f"), incarnation(1) }, asked);
    for (const relay_action& each : actions) {
        const auto* sent = std::get_if<send_to_router>(&each);
        if (!sent)
            continue;
        CHECK(std::get<rows_update>(sent->content).era == store_era(1));
        CHECK(std::get<rows_update>(sent->content).tables.empty());
    }
    // The answer to the read in progress is still of the earlier era.
    reader.relay.onRead(reader.now, followed_table::operators, makePage(101, 1));
    const auto next = reader.relay.onTick(reader.now);
    CHECK(std::any_of(next.begin(), next.end(), [](const relay_action& each) {
        const auto* read = std::get_if<read_table>(&each);
        return read && read->isWhole && read->table == followed_table::operators;
    }));
}

// Guards against confirmations and rows of the earlier era after a peer has named the later.
TEST_CASE("messages of an earlier era neither change nor confirm anything")
{
    any_change rules;
    row_relay relay(vm_id("f"), data_centre_id("a"), rules, {}, 1);
    const time_point now { 100s };
    relay.setMembers({ { vm_id("a"), incarnation(1), data_centre_id("a"), {}, 9 }, { vm_id("b"), incarnation(1), data_centre_id("a"), {}, 9 }, { vm_id("c"), incarnation(1), data_centre_id("a"), {}, 9 }, { vm_id("f"), incarnation(1), data_centre_id("a"), {}, 1 } });
    relay.onLinkOpened(now, vm_id("a"));
    relay.onTick(now);
    REQUIRE(relay.source() == vm_id("a"));
    const member_ref source { vm_id("a"), incarnation(1) };
    const auto whole = [](std::uint64_t sequence, std::uint64_t era, std::uint64_t to, const std::string& value) {
        rows_update update;
        update.echoSequence = sequence;
        update.basisAge = 10ms;
        update.era = store_era(era);
        update.tables = { { 0, at(0, era), at(to, era), true, { makeRow("config", value, at(to, era)) } }, { 1, at(0, era), at(to, era), true, {} } };
        return update;
    };
    CHECK(isConfirmed(relay.onMessage(now, source, whole(1, 2, 10, "9"))));
    relay.onTick(now + 500ms);
    CHECK_FALSE(isConfirmed(relay.onMessage(now + 500ms, source, whole(2, 1, 50, "5"))));
    CHECK(relay.replica(followed_table::operators).position() == at(10, 2));
    CHECK(valueOf(relay.replica(followed_table::operators), "config") == "9");
    relay.onTick(now + 1s);
    CHECK(isConfirmed(relay.onMessage(now + 1s, source, whole(3, 2, 11, "10"))));
}

// Guards against a router that was restarted after the restoration and knows only the copy.
TEST_CASE("a router that is restarted after a restoration gets the rows in force")
{
    for (std::size_t index = 0; index < 6; ++index) {
        fleet all(6);
        all.store.era = store_era(1);
        all.store.put(followed_table::operators, "config", "1");
        const fake_store copy = all.store;
        all.store.put(followed_table::operators, "config", "9");
        all.store.put(followed_table::operators, "evacuate/a", "x");
        all.run(3s);
        all.store.restoreFrom(copy);
        all.run(2s);
        all.restart(index);
        all.run(2s);
        CHECK(countWith(all, "config", "9") == 6);
        CHECK(countWith(all, "evacuate/a", "x") == 6);
        // The writers never repeat them, so all routers return to the store's rows.
        all.run(60s);
        CHECK(countWith(all, "config", "1") == 6);
        CHECK(countWith(all, "evacuate/a", "x") == 0);
    }
}

// Guards against servers that return at a router that was started after they left.
TEST_CASE("a router that did not see a deletion learns of it from the readers after a restoration")
{
    for (std::size_t index = 0; index < 6; ++index) {
        fleet all(6);
        all.store.era = store_era(1);
        all.store.put(followed_table::operators, "config", "1");
        all.store.put(followed_table::servers, "gone", "1");
        const fake_store copy = all.store;
        all.run(2s);
        all.store.remove(followed_table::servers, "gone");
        all.run(2s);
        all.restart(index);
        all.run(2s);
        all.store.restoreFrom(copy);
        all.run(1s);
        for (const auto& each : all.routers)
            CHECK_FALSE(each->servers.contains("gone"));
    }
}

// Guards against servers that stay in use although they never register again.
TEST_CASE("servers that the copy lacks are gone two seconds after the restoration")
{
    fleet all(6);
    all.store.era = store_era(1);
    all.store.put(followed_table::operators, "config", "1");
    const fake_store copy = all.store;
    all.store.put(followed_table::servers, "alive", "1");
    all.store.put(followed_table::servers, "dead", "1");
    all.run(3s);
    all.store.restoreFrom(copy);
    all.run(1500ms);
    for (const auto& each : all.routers)
        CHECK(each->servers.size() == 2);
    all.store.put(followed_table::servers, "alive", "2");
    all.run(1700ms);
    for (const auto& each : all.routers) {
        CHECK(each->servers.contains("alive"));
        CHECK_FALSE(each->servers.contains("dead"));
    }
}

// Guards against a table of members that loses all rows that did not change, because the
// answer to an incremental read was taken for the complete table.
TEST_CASE("a refresh requested during a read does not change what the answer means")
{
    lone_router router;
    router.read(followed_table::members, makePage(5, 0, { makeRow("router/a", "1", at(4)), makeRow("router/b", "1", at(5)) }));
    router.now += 4s;
    router.relay.onTick(router.now);
    router.relay.refreshMembers();
    router.relay.onRead(router.now, followed_table::members, makePage(6, 0, { makeRow("router/a", "2", at(6)) }));
    CHECK(router.relay.replica(followed_table::members).find("router/b"));
}

namespace {

/// What the writers of a store want it to hold; they write it again after a restoration.
struct writers {
    int version = 1;
    std::set<std::string> evacuated;
    std::map<std::string, int> servers; ///< Sequence of each live server.

    void writeAll(fake_store& store)
    {
        store.put(followed_table::operators, "config", std::to_string(version));
        for (const char* zone : { "a", "b" }) {
            const std::string key = std::string("evacuate/") + zone;
            if (evacuated.contains(key))
                store.put(followed_table::operators, key, "x");
            else
                store.remove(followed_table::operators, key);
        }
        for (auto& [name, sequence] : servers)
            store.put(followed_table::servers, name, std::to_string(++sequence));
    }
};

}

// Guards against any interleaving of writes, restorations, restarts and lost messages after
// which an older configuration is in force, a server that left returns, or routers differ.
TEST_CASE("no interleaving of restorations reverts a configuration or revives a server")
{
    const bool holds = rc::check([] {
        fleet all(5);
        all.store.era = store_era(1);
        writers wanted;
        wanted.servers = { { "s0", 1 }, { "s1", 1 }, { "s2", 1 } };
        wanted.writeAll(all.store);
        all.run(2s);
        std::vector<fake_store> copies { all.store };
        std::set<std::string> left;
        const auto check = [&] {
            for (const auto& each : all.routers) {
                for (const std::string& name : left)
                    RC_ASSERT(!each->servers.contains(name));
                const auto config = each->rows.find("config");
                if (config != each->rows.end())
                    RC_ASSERT(std::stoi(config->second) == wanted.version);
            }
        };
        for (int i = 0; i < 12; ++i) {
            const int step = *rc::gen::inRange(0, 7);
            if (step == 0)
                all.store.put(followed_table::operators, "config", std::to_string(++wanted.version));
            if (step == 1) {
                const std::string name = "s" + std::to_string(*rc::gen::inRange(0, 3));
                if (wanted.servers.erase(name) != 0) {
                    all.store.remove(followed_table::servers, name);
                    left.insert(name);
                }
            }
            if (step == 2)
                copies.push_back(all.store);
            if (step == 3) {
                const fake_store copy = copies[*rc::gen::inRange<std::size_t>(0, copies.size())];
                const store_era era = all.store.era;
                all.store.restoreFrom(copy);
                all.store.era = store_era(era.value() + *rc::gen::inRange<std::uint64_t>(1, 3));
            }
            if (step == 4) {
                all.restart(*rc::gen::inRange<std::size_t>(0, all.routers.size()));
                all.run(600ms);
            }
            if (step == 5 && !all.frames.empty()) {
                // One message is repeated and delivered late.
                all.frames.push_back(all.frames.front());
                all.frames.pop_front();
            }
            if (step == 6 && !all.frames.empty())
                all.frames.pop_front();
            for (auto& [name, sequence] : wanted.servers)
                all.store.put(followed_table::servers, name, std::to_string(++sequence));
            all.run(std::chrono::milliseconds(*rc::gen::inRange(20, 400)));
            // A router that started after a removal learns of it from the readers.
            if (step == 3)
                all.run(1s);
            if (step == 0)
                all.run(2s);
            // A removal in the first moments of an era is noticed at the end of the time in
            // which servers register again.
            if (step == 1)
                all.run(3s);
            check();
        }
        wanted.writeAll(all.store);
        all.run(3s);
        check();
        for (const auto& each : all.routers) {
            RC_ASSERT(each->rows.contains("config"));
            RC_ASSERT(each->servers.size() == wanted.servers.size());
        }
    });
    CHECK(holds);
}
