#include "pimentoladder/Telemetry/Metrics.h"

#include <doctest/doctest.h>

using namespace pimentoladder;
using namespace std::chrono_literals;

// Guards against counters that restart from zero when a label set is used again.
TEST_CASE("metrics accumulate for each label set")
{
    metrics values;
    values.count("refusals_total", { { "kind", "not_fresh" } });
    values.count("refusals_total", { { "kind", "not_fresh" } }, 2);
    values.set("limit", { { "server", "m1" } }, 4);
    values.observe("queue_seconds", {}, 2ms);
    const std::string text = values.text();
    CHECK(text.find("refusals_total{kind=\"not_fresh\"} 3") != std::string::npos);
    CHECK(text.find("limit{server=\"m1\"} 4") != std::string::npos);
    CHECK(text.find("queue_seconds_bucket{le=\"0.003\"} 1") != std::string::npos);
}
