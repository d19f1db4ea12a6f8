/// \file
/// Partitions the backend servers of each pool into shards and assigns each
/// shard to a member. Both depend only on the document and the suspended
/// members, so that all routers compute the same result.

#pragma once

#include <cstddef>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pimentoladder/Config/Document.h"

namespace pimentoladder {

/// Maximum number of servers in one shard.
inline constexpr std::size_t shardSize = 16;

/// Servers of one pool whose capacity one member allocates.
struct shard {
    shard_id id;
    pool_id pool;
    std::vector<server_id> servers; ///< In order of id; leaving ones included.
    member_ref owner; ///< Empty if no member may own the shard.

    bool operator==(const shard&) const = default;
};

/// All shards with their owners.
///
/// Servers rank shards, and shards rank members, by rendezvous hashing. When a
/// server is added or removed, nearly all other servers of its pool keep their
/// shards; when a member is added or removed, only the shards that it owns or
/// owned change owner.
/// Not thread-safe; call on the loop's thread.
class shard_map {
public:
    shard_map() = default;

    /// Members in \p suspended own no shard; an entry applies only to the
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

/// Returns the owner of shard \p id: the member with the highest rendezvous hash
/// among those not suspended, or an empty reference if there is none.
/// Thread-safe.
member_ref shardOwner(const shard_id& id, const document& source, const std::set<member_ref>& suspended);

}
