#include <doctest/doctest.h>

#include "Fixture.h"

using namespace pimentoladder;
using namespace pimentoladder::replica_test;

namespace {

published_row makeRow(const std::string& key, const std::string& value, std::uint64_t position)
{
    return { key, value, at(position), false };
}

}

// Guards against a row that reverts to an older value when a slow reader's update arrives
// late.
TEST_CASE("an older revision of a row is ignored")
{
    const any_change rules;
    row_replica replica(0, rules);
    CHECK(replica.apply({ makeRow("a", "new", 5) }, at(5)).inForce.size() == 1);
    CHECK(replica.apply({ makeRow("a", "old", 4) }, at(4)).inForce.empty());
    CHECK(replica.position() == at(5));
}

// Guards against rows that remain although a complete read no longer contains them, and
// against a late complete read that removes newer rows.
TEST_CASE("a complete table removes rows that it does not contain, unless they are newer")
{
    const any_change rules;
    row_replica replica(0, rules);
    replica.applyWhole({ makeRow("a", "1", 1), makeRow("b", "1", 2) }, at(2));
    replica.apply({ makeRow("c", "1", 9) }, at(9));
    const auto changed = replica.applyWhole({ makeRow("a", "1", 1) }, at(7)).inForce;
    REQUIRE(changed.size() == 1);
    CHECK(changed[0].key == "b");
    CHECK(changed[0].isDeleted);
    std::size_t present = 0;
    replica.forEachRow([&](const published_row&) { ++present; });
    CHECK(present == 2);
}

// Guards against updates full of rows that were only rewritten as heartbeats.
TEST_CASE("a peer gets only rows with a significant change")
{
    const any_change rules;
    row_replica replica(0, rules);
    replica.applyWhole({ makeRow("a", "1", 1), makeRow("b", "1", 2) }, at(2));
    replica.apply({ makeRow("a", "1", 3), makeRow("b", "2", 4) }, at(4));
    const table_update update = replica.updateSince(at(2));
    CHECK_FALSE(update.isWhole);
    REQUIRE(update.rows.size() == 1);
    CHECK(update.rows[0].key == "b");
    CHECK(update.to == at(4));
    CHECK(replica.updateSince({}).isWhole);
}

// Guards against a peer that never learns of a deletion before the first read of the router that it follows.
TEST_CASE("a replica claims no knowledge of deletions before its first complete table")
{
    const any_change rules;
    row_replica started(0, rules);
    started.applyWhole({ makeRow("a", "1", 1) }, at(5));
    CHECK(started.updateSince(at(3)).isWhole);
    CHECK_FALSE(started.updateSince(at(5)).isWhole);
    row_replica peer(0, rules);
    peer.applyWhole({ makeRow("a", "1", 1), makeRow("b", "1", 2) }, at(3));
    const table_update update = started.updateSince(peer.position());
    peer.applyWhole(update.rows, update.to);
    CHECK(peer.find("b") == nullptr);
}

// Guards against a deleted row that an older update brings back, although a complete table lacked it.
TEST_CASE("a row that a complete table lacks does not come back with an older update")
{
    const any_change rules;
    row_replica replica(0, rules);
    replica.applyWhole({ makeRow("a", "1", 1) }, at(5));
    CHECK(replica.apply({ makeRow("b", "1", 2) }, at(3)).inForce.empty());
    CHECK(replica.applyWhole({ makeRow("a", "1", 1), makeRow("b", "1", 2) }, at(3)).inForce.empty());
    CHECK(replica.find("b") == nullptr);
    CHECK(replica.apply({ makeRow("b", "2", 6) }, at(6)).inForce.size() == 1);
}

// Guards against a peer that keeps a row written between two deletions, of which this replica saw only the deletions.
TEST_CASE("a peer learns of a second deletion in a row")
{
    const any_change rules;
    row_replica replica(0, rules);
    replica.applyWhole({ makeRow("a", "1", 1) }, at(1));
    replica.apply({ { "a", {}, at(2), true } }, at(2));
    const row_changes again = replica.apply({ { "a", {}, at(4), true } }, at(4));
    CHECK(again.inForce.empty());
    CHECK(again.stored.size() == 1);
    row_replica peer(0, rules);
    peer.applyWhole({ makeRow("a", "2", 3) }, at(3));
    peer.apply(replica.updateSince(at(3)).rows, at(4));
    CHECK(peer.find("a") == nullptr);
}

// Guards against a peer that keeps a row which was written and deleted while this replica missed the changes.
TEST_CASE("a replica that missed changes sends the complete table to peers that saw some of them")
{
    const any_change rules;
    row_replica replica(0, rules);
    replica.applyWhole({ makeRow("a", "1", 1) }, at(2));
    replica.apply({ makeRow("a", "2", 3) }, at(3));
    replica.applyWhole({ makeRow("a", "2", 3) }, at(9));
    CHECK(replica.updateSince(at(1)).isWhole);
    CHECK_FALSE(replica.updateSince(at(2)).isWhole);
    CHECK_FALSE(replica.updateSince(at(3)).isWhole);
    CHECK(replica.updateSince(at(5)).isWhole);
    CHECK_FALSE(replica.updateSince(at(9)).isWhole);
    replica.applyWhole({ makeRow("a", "2", 3) }, at(20));
    CHECK(replica.updateSince(at(5)).isWhole);
    CHECK_FALSE(replica.updateSince(at(9)).isWhole);
    CHECK(replica.updateSince(at(10)).isWhole);
}
