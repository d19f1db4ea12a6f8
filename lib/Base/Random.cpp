#include "pimentoladder/Base/Random.h"

#include <cassert>

namespace pimentoladder {

std::size_t random_source::index(std::size_t size)
{
    assert(size > 0 && "an empty range has no index");
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(m_engine);
}

duration random_source::jittered(duration base, double share)
{
    assert(share >= 0 && share <= 1 && "jitter is a share of the base");
    const double factor = std::uniform_real_distribution<double>(1 - share, 1 + share)(m_engine);
    return std::chrono::duration_cast<duration>(base * factor);
}

}
