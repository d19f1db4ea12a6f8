/// \file
/// Seeded random numbers, so that decisions can be reproduced.

#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// A pseudo-random number generator. Two generators with the same seed produce the
/// same sequence. Not thread-safe; call on the loop's thread.
class random_source {
public:
    explicit random_source(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// Returns a uniformly distributed index below \p size. Precondition: `size > 0`.
    std::size_t index(std::size_t size);

    /// Returns a duration distributed uniformly from `base * (1 - share)` to
    /// `base * (1 + share)`. Precondition: `0 <= share <= 1`.
    duration jittered(duration base, double share);

private:
    std::mt19937_64 m_engine;
};

}
