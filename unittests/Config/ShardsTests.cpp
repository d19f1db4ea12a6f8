#include "pimentoladder/Config/Shards.h"

#include <random>

#include <doctest/doctest.h>

using namespace pimentoladder;

namespace {

void addServer(document& target, std::size_t number)
{
    const server_id id("s" + std::to_string(number));
    target.servers[id].id = id;
    target.servers[id].pool = pool_id("p");
}

void addMember(document& target, std::size_t number)
{
    const vm_id vm("vm" + std::to_string(number));
    target.members[vm] = { vm, incarnation(1), {}, {} };
}

std::size_t countMovedServers(const shard_map& before, const shard_map& after)
{
    std::size_t moved = 0;
    for (const auto& shard : before.shards()) {
        for (const auto& server : shard.servers) {
            const auto* now = after.shardOf(server);
            moved += now && now->id != shard.id;
        }
    }
    return moved;
}

}

// Guards against oversized shards, servers in no shard, and pools that are split
// although they fit one shard.
TEST_CASE("every server is in one shard of at most 16")
{
    document source;
    addMember(source, 1);
    for (std::size_t servers = 1; servers <= 100; ++servers) {
        addServer(source, servers);
        const shard_map map(source, {});
        std::size_t held = 0;
        for (const auto& shard : map.shards()) {
            CHECK(shard.servers.size() <= shardSize);
            CHECK(map.find(shard.id) == &shard);
            CHECK(shard.owner.vm == vm_id("vm1"));
            held += shard.servers.size();
        }
        CHECK(held == servers);
        CHECK((servers > shardSize || map.shards().size() == 1));
    }
}

// Guards against slow start restarting on many servers when one is added or
// removed, because a server that moves to another shard starts cold.
TEST_CASE("adding a server moves few others")
{
    document source;
    for (std::size_t i = 0; i < 71; ++i)
        addServer(source, i);
    const shard_map before(source, {});
    std::size_t total = 0;
    for (std::size_t i = 1000; i < 1200; ++i) {
        document changed = source;
        addServer(changed, i);
        const shard_map after(changed, {});
        REQUIRE(after.shards().size() == before.shards().size());
        const std::size_t moved = countMovedServers(before, after);
        CHECK(moved < before.shards().size());
        total += moved;
    }
    MESSAGE("servers moved by 200 single additions: " << total);
    CHECK(total <= 200);
}

// Guards against shards that change owner needlessly, and against a suspension
// that applies to a later incarnation of the member.
TEST_CASE("only the shards of a lost member change owner")
{
    document source;
    for (std::size_t i = 0; i < 890; ++i)
        addServer(source, i);
    for (std::size_t i = 0; i < 340; ++i)
        addMember(source, i);
    const shard_map before(source, {});
    const member_ref lost = before.shards().front().owner;
    const shard_map suspended(source, { lost });
    document removed = source;
    removed.members.erase(lost.vm);
    const shard_map after(removed, {});
    CHECK(after.shards() == suspended.shards());
    for (std::size_t i = 0; i < before.shards().size(); ++i) {
        const auto& owner = before.shards()[i].owner;
        CHECK((after.shards()[i].owner == owner) == (owner != lost));
    }
    source.members[lost.vm].start = incarnation(2);
    CHECK(shard_map(source, { lost }).shards().front().owner == member_ref { lost.vm, incarnation(2) });

    source.members.clear();
    CHECK(shard_map(source, {}).shards().front().owner.vm.isEmpty());
}
