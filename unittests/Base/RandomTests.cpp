#include "pimentoladder/Base/Random.h"

#include <doctest/doctest.h>

using namespace pimentoladder;
using namespace std::chrono_literals;

// Guards against decisions that cannot be reproduced from their seed.
TEST_CASE("sources with the same seed give the same sequence")
{
    random_source first(7);
    random_source second(7);
    for (int i = 0; i < 100; ++i)
        CHECK(first.index(1000) == second.index(1000));
}

// Guards against jitter that exceeds the documented share.
TEST_CASE("jitter stays within its share")
{
    random_source source(11);
    for (int i = 0; i < 1000; ++i) {
        const duration drawn = source.jittered(100ms, 0.2);
        CHECK(drawn >= 80ms);
        CHECK(drawn <= 120ms);
    }
}
