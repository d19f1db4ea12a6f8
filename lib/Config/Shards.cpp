#include "pimentoladder/Config/Shards.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include <xxhash.h>

namespace pimentoladder {

namespace {

    // Average number of servers in a shard when a pool needs several. The slack
    // up to shardSize lets most servers get their preferred shard, so that adding
    // a server rarely displaces another.
    constexpr std::size_t targetShardSize = 14;

    std::uint64_t rendezvousHash(std::string_view key, std::string_view node)
    {
        return XXH3_64bits_withSeed(node.data(), node.size(), XXH3_64bits(key.data(), key.size()));
    }

    std::size_t shardCount(std::size_t servers)
    {
        return servers <= shardSize ? 1 : (servers + targetShardSize - 1) / targetShardSize;
    }

    struct shard_preference {
        std::uint64_t hash = 0;
        std::size_t shard = 0;

        bool operator<(const shard_preference& other) const
        {
            return std::tie(hash, shard) < std::tie(other.hash, other.shard);
        }
    };

    struct candidate_server {
        const server_id* id = nullptr;
        std::vector<shard_preference> preferences; // Sorted ascending: the most preferred shard is last.
    };

    // A server tentatively assigned to a shard. When the shard is over capacity,
    // the assignment with the lowest hash is dropped.
    struct shard_assignment {
        std::uint64_t hash = 0;
        candidate_server* server = nullptr;

        bool operator<(const shard_assignment& other) const
        {
            return std::tie(hash, *server->id) < std::tie(other.hash, *other.server->id);
        }
    };

    candidate_server rankShards(const server_id& id, const std::vector<shard>& shards)
    {
        candidate_server candidate { &id, {} };
        candidate.preferences.reserve(shards.size());
        for (std::size_t i = 0; i < shards.size(); ++i)
            candidate.preferences.push_back({ rendezvousHash(id.value(), shards[i].id.value()), i });
        std::sort(candidate.preferences.begin(), candidate.preferences.end());
        return candidate;
    }

    // Gale-Shapley deferred acceptance: the result does not depend on the order of
    // the servers, and adding or removing a server displaces only a short chain of
    // others.
    void assignServers(std::vector<candidate_server>& candidates, std::vector<shard>& shards)
    {
        std::vector<std::set<shard_assignment>> assignments(shards.size());
        std::vector<candidate_server*> unassigned;
        unassigned.reserve(candidates.size());
        for (auto& candidate : candidates)
            unassigned.push_back(&candidate);
        while (!unassigned.empty()) {
            candidate_server* candidate = unassigned.back();
            unassigned.pop_back();
            const shard_preference best = candidate->preferences.back();
            candidate->preferences.pop_back();
            auto& held = assignments[best.shard];
            held.insert({ best.hash, candidate });
            if (held.size() <= shardSize)
                continue;
            unassigned.push_back(held.begin()->server);
            held.erase(held.begin());
        }
        for (std::size_t i = 0; i < shards.size(); ++i) {
            for (const auto& assignment : assignments[i])
                shards[i].servers.push_back(*assignment.server->id);
            std::sort(shards[i].servers.begin(), shards[i].servers.end());
        }
    }

    std::vector<shard> shardsOfPool(const pool_id& pool, const std::vector<const server_id*>& servers)
    {
        std::vector<shard> shards(shardCount(servers.size()));
        for (std::size_t i = 0; i < shards.size(); ++i) {
            shards[i].id = shard_id(pool.value() + '#' + std::to_string(i));
            shards[i].pool = pool;
        }
        std::vector<candidate_server> candidates;
        candidates.reserve(servers.size());
        for (const auto* id : servers)
            candidates.push_back(rankShards(*id, shards));
        assignServers(candidates, shards);
        return shards;
    }

}

member_ref shardOwner(const shard_id& id, const document& source, const std::set<member_ref>& suspended)
{
    member_ref owner;
    std::uint64_t highest = 0;
    for (const auto& [vm, member] : source.members) {
        const std::uint64_t hash = rendezvousHash(id.value(), vm.value());
        const bool isFirst = owner.vm.isEmpty() || hash > highest;
        if (!isFirst || suspended.contains({ vm, member.start }))
            continue;
        owner = { vm, member.start };
        highest = hash;
    }
    return owner;
}

shard_map::shard_map(const document& source, const std::set<member_ref>& suspended)
{
    std::map<pool_id, std::vector<const server_id*>> serversByPool;
    for (const auto& [id, server] : source.servers)
        serversByPool[server.pool].push_back(&id);
    for (const auto& [pool, servers] : serversByPool) {
        for (auto& entry : shardsOfPool(pool, servers)) {
            entry.owner = shardOwner(entry.id, source, suspended);
            m_shards.push_back(std::move(entry));
        }
    }
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
        m_byId.emplace(m_shards[i].id, i);
        for (const auto& server : m_shards[i].servers)
            m_byServer.emplace(server, i);
    }
}

const shard* shard_map::find(const shard_id& id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? nullptr : &m_shards[found->second];
}

const shard* shard_map::shardOf(const server_id& server) const
{
    const auto found = m_byServer.find(server);
    return found == m_byServer.end() ? nullptr : &m_shards[found->second];
}

}
