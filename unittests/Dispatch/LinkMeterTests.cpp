#include "pimentoladder/Dispatch/LinkMeter.h"

#include <cstdint>

#include <doctest/doctest.h>

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

/// Moves bytes at constant rates, sampled every 50 ms.
link_use useAfter(link_meter& meter, time_point& now, duration span, std::uint64_t receivedPerSecond, std::uint64_t sentPerSecond)
{
    static constexpr std::uint64_t samplesPerSecond = 20;
    const auto samples = span / 50ms;
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
    meter.onSample(now, received, sent);
    for (std::int64_t i = 0; i < samples; ++i) {
        now += 50ms;
        received += receivedPerSecond / samplesPerSecond;
        sent += sentPerSecond / samplesPerSecond;
        meter.onSample(now, received, sent);
    }
    return meter.use();
}

}

// Guards against a full link that nothing reports.
TEST_CASE("the use of a link is told for each direction")
{
    link_meter meter(10e6);
    time_point now { 100s };
    const link_use full = useAfter(meter, now, 2s, 1'180'000, 40'000);
    CHECK(full.received == doctest::Approx(1).epsilon(0.02));
    CHECK(full.sent == doctest::Approx(0.034).epsilon(0.05));
}

// Guards against a division by a rate that the platform does not state, and by the time between
// two samples of the same moment.
TEST_CASE("an unknown rate or samples at one moment give no use")
{
    link_meter unknown(0);
    time_point now { 100s };
    CHECK(useAfter(unknown, now, 1s, 1'000'000, 1'000'000).received == 0);
    link_meter meter(10e6);
    meter.onSample(now, 0, 0);
    meter.onSample(now, 1'000'000, 0);
    CHECK(meter.use().received == 0);
}
