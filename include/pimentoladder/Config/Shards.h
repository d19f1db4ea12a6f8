/// \file
/// How the backend servers of each pool form shards, and which member owns
/// each shard. Both are functions of the document and the suspended members.

#pragma once

#include <cstddef>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pimentoladder/Config/Document.h"

namespace pimentoladder {

/// Most servers of one shard.
inline constexpr std::size_t shardSize = 16;

/// Servers of one pool that one owner allocates.
struct shard {
    shard_id id;
    pool_id pool;
    std::vector<server_id> servers; ///< In order of id; leaving ones included.
    member_ref owner; ///< Empty if there is no member.

    bool operator==(const shard&) const = default;
};

/// Every shard with its owner.
///
/// A server prefers shards, and a shard prefers members, in the order of their
/// rendezvous hash. When a server is added or removed, the shards of its pool
/// keep nearly all others; when a member is added or removed, only the shards
/// that it owns or owned move.
/// Not thread-safe; call on the loop's thread.
class shard_map {
public:
    shard_map() = default;

    /// Members in \p suspended own no shard; an entry counts only for the
    /// incarnation that it names.
    shard_map(const document& source, const std::set<member_ref>& suspended);

    /// Returns all shards, by pool and then by index.
    const std::vector<shard>& shards() const { return m_shards; }

    /// Returns the shard, or null. Does not allocate.
    const shard* find(const shard_id& id) const;

    /// Returns the shard that holds the server, or null. Does not allocate.
    const shard* shardOf(const server_id& server) const;

private:
    std::vector<shard> m_shards;
    std::unordered_map<shard_id, std::size_t> m_byId;
    std::unordered_map<server_id, std::size_t> m_byServer;
};

/// Returns the member that owns \p id: the first in rendezvous order among the
/// members that are not suspended, or an empty reference if there is none.
/// Thread-safe.
member_ref shardOwner(const shard_id& id, const document& source, const std::set<member_ref>& suspended);

}
