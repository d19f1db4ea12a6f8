#include "pimentoladder/Config/Shards.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include <xxhash.h>

namespace pimentoladder {

namespace {

    // Servers for each shard when a pool needs several. The gap to shardSize
    // lets most servers have their preferred shard, so that one more server
    // rarely displaces another.
    constexpr std::size_t targetShardSize = 14;

    std::uint64_t rendezvousHash(std::string_view holder, std::string_view candidate)
    {
        return XXH3_64bits_withSeed(candidate.data(), candidate.size(), XXH3_64bits(holder.data(), holder.size()));
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
        std::vector<shard_preference> preferences; // Best last.
    };

    // A server held by a shard. The least one gives way to a better one.
    struct shard_seat {
        std::uint64_t hash = 0;
        candidate_server* server = nullptr;

        bool operator<(const shard_seat& other) const
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

    // Deferred acceptance: its result does not depend on the order of the
    // servers, and one server more or less displaces only a short chain.
    void seatServers(std::vector<candidate_server>& candidates, std::vector<shard>& shards)
    {
        std::vector<std::set<shard_seat>> seats(shards.size());
        std::vector<candidate_server*> unseated;
        unseated.reserve(candidates.size());
        for (auto& candidate : candidates)
            unseated.push_back(&candidate);
        while (!unseated.empty()) {
            candidate_server* candidate = unseated.back();
            unseated.pop_back();
            const shard_preference best = candidate->preferences.back();
            candidate->preferences.pop_back();
            auto& held = seats[best.shard];
            held.insert({ best.hash, candidate });
            if (held.size() <= shardSize)
                continue;
            unseated.push_back(held.begin()->server);
            held.erase(held.begin());
        }
        for (std::size_t i = 0; i < shards.size(); ++i) {
            for (const auto& seat : seats[i])
                shards[i].servers.push_back(*seat.server->id);
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
        seatServers(candidates, shards);
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
