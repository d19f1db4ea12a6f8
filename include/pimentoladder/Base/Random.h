/// \file
/// Seeded random numbers for decisions that must replay.

#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// A source of random numbers. Two sources with one seed give the same
/// sequence. Not thread-safe; call on the loop's thread.
class random_source {
public:
    explicit random_source(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// Returns an index below \p size. Precondition: `size > 0`.
    std::size_t index(std::size_t size);

    /// Returns a duration drawn evenly from `base * (1 - share)` to
    /// `base * (1 + share)`. Precondition: `0 <= share <= 1`.
    duration jittered(duration base, double share);

private:
    std::mt19937_64 m_engine;
};

}
