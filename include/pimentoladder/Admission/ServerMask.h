/// \file
/// Sets of the servers of one shard.

#pragma once

#include <cstddef>
#include <cstdint>

namespace pimentoladder {

/// Servers of one shard as bits, by their number within the shard.
using server_mask = std::uint64_t;

/// Shards are at most this large; the design uses 16.
constexpr std::size_t maxShardServers = 64;

/// Returns the set of the one server \p number. Thread-safe.
constexpr server_mask maskOf(std::size_t number)
{
    return server_mask { 1 } << number;
}

}
