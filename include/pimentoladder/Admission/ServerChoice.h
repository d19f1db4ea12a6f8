/// \file
/// Strategies that choose among backend servers with free capacity.

#pragma once

#include <cstddef>
#include <span>

#include "pimentoladder/Base/Random.h"

namespace pimentoladder {

/// Input of a strategy: one eligible server with free capacity.
struct server_candidate {
    std::size_t server = 0; ///< Index within the shard.
    double loadFraction = 0; ///< Work in progress divided by the limit.
    bool isLocal = false; ///< In the data centre of the requesting router.
    bool hasPrefix = false; ///< Likely to hold the request's prompt prefix in its cache.
};

/// Chooses a server for one request. Not thread-safe; call on the loop's thread.
class server_choice {
public:
    virtual ~server_choice() = default;

    /// Returns the position of the chosen candidate.
    /// Precondition: \p candidates is not empty.
    virtual std::size_t choose(std::span<const server_candidate> candidates, random_source& random) const = 0;
};

/// Among servers whose load is within a margin of the least load, prefers local
/// servers, then servers with the prefix, then the least load. Ties are broken
/// at random.
class local_then_prefix : public server_choice {
public:
    /// \p margin is the load fraction by which a preferred server may exceed
    /// the least loaded one.
    explicit local_then_prefix(double margin = 0.25)
        : m_margin(margin)
    {
    }

    std::size_t choose(std::span<const server_candidate> candidates, random_source& random) const override;

private:
    double m_margin;
};

/// Chooses the least loaded server, ties at random. The baseline in measurements.
class least_load : public server_choice {
public:
    std::size_t choose(std::span<const server_candidate> candidates, random_source& random) const override;
};

}
