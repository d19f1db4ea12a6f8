/// \file
/// Remembers which server last served a prompt prefix.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "pimentoladder/Base/Ids.h"

namespace pimentoladder {

/// Bounded map from the hash of a prompt prefix to the server that last served
/// it. Evicts the prefix that was inserted first. Not thread-safe; call on the
/// loop's thread.
class prefix_affinity {
public:
    explicit prefix_affinity(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Records that \p server serves \p prefix. A \p prefix of 0 means none.
    void recordServer(std::uint64_t prefix, const server_id& server);

    /// Returns whether \p server was the last to serve \p prefix.
    bool wasLastServedBy(std::uint64_t prefix, const server_id& server) const;

private:
    std::size_t m_capacity;
    std::unordered_map<std::uint64_t, server_id> m_servers;
    std::deque<std::uint64_t> m_insertionOrder;
};

}
