/// \file
/// Sets of the servers of one shard.

#pragma once

#include <cstddef>
#include <cstdint>

namespace pimentoladder {

/// Set of servers of one shard; bit i stands for the server with index i.
using server_mask = std::uint64_t;

/// Largest number of servers in a shard; the design uses 16.
constexpr std::size_t maxShardServers = 64;

/// Returns the set that contains only the server with index \p number. Thread-safe.
constexpr server_mask maskOf(std::size_t number)
{
    return server_mask { 1 } << number;
}

}
