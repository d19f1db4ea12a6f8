#include <doctest/doctest.h>

#include "pimentoladder/Telemetry/LineAllowance.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

// Guards against a log that grows with the load, and against lines that are omitted
// without being counted.
TEST_CASE("lines beyond the limit of a second are omitted and counted")
{
    line_allowance allowance(3);
    const time_point now { 100s };
    for (int i = 0; i < 3; ++i)
        CHECK(allowance.take(now + i * 10ms));
    CHECK_FALSE(allowance.take(now + 500ms));
    CHECK_FALSE(allowance.take(now + 999ms));
    // The count is reported only once the second is over: more lines may be omitted.
    CHECK(allowance.takeOmitted(now + 999ms) == 0);
    CHECK(allowance.takeOmitted(now + 1s) == 2);
    CHECK(allowance.takeOmitted(now + 1s) == 0);
    CHECK(allowance.take(now + 1s));
    CHECK(allowance.totalOmitted() == 2);
}
