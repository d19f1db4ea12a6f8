#include "pimentoladder/Outcome/CrashQuarantine.h"

#include <doctest/doctest.h>

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

constexpr fingerprint crashing(1);
constexpr fingerprint harmless(2);
constexpr time_point start { 1000s };

crash_report lost(const char* server, std::uint64_t serverStart, std::vector<fingerprint> running)
{
    return { server_id(server), incarnation(serverStart), std::move(running) };
}

}

// Guards against a crashing request that keeps taking servers down, and against
// refusing requests that only ran on the same server at the same time.
TEST_CASE("a harmless request beside a crashing one is not refused")
{
    crash_quarantine quarantine;
    quarantine.merge(start, lost("a", 1, { crashing, harmless }));
    CHECK(quarantine.decisionFor(start, crashing) == quarantine_decision::isolate);
    CHECK(quarantine.decisionFor(start, harmless) == quarantine_decision::isolate);

    quarantine.clearSuspicions(harmless);
    quarantine.merge(start + 1s, lost("b", 1, { crashing }));
    CHECK(quarantine.decisionFor(start + 1s, crashing) == quarantine_decision::quarantined);
    CHECK(quarantine.decisionFor(start + 1s, harmless) == quarantine_decision::clear);
}

// Guards against counting one server loss several times because several routers
// report it.
TEST_CASE("reports of one loss count once")
{
    crash_quarantine quarantine;
    for (int i = 0; i < 5; ++i)
        quarantine.merge(start + i * 1s, lost("a", 1, { crashing }));
    CHECK(quarantine.decisionFor(start + 5s, crashing) == quarantine_decision::isolate);
    quarantine.merge(start + 5s, lost("a", 2, { crashing }));
    CHECK(quarantine.decisionFor(start + 5s, crashing) == quarantine_decision::quarantined);
}

// Guards against a late report that puts a request under suspicion again after
// a server has answered it, which showed that it is harmless.
TEST_CASE("a late report does not restore a cleared suspicion")
{
    crash_quarantine quarantine;
    quarantine.merge(start, lost("a", 1, { harmless }));
    quarantine.clearSuspicions(harmless);
    quarantine.merge(start + 1s, lost("a", 1, { harmless }));
    CHECK(quarantine.decisionFor(start + 1s, harmless) == quarantine_decision::clear);
}

// Guards against a quarantine that never expires and against unbounded memory use.
TEST_CASE("suspicions end after their lifetime and are bounded in number")
{
    crash_quarantine quarantine;
    quarantine.merge(start, lost("a", 1, { crashing }));
    quarantine.merge(start, lost("b", 1, { crashing }));
    CHECK(quarantine.decisionFor(start + 9min, crashing) == quarantine_decision::quarantined);
    CHECK(quarantine.decisionFor(start + 10min, crashing) == quarantine_decision::clear);

    std::vector<fingerprint> many;
    for (std::uint64_t i = 1; i <= crash_quarantine::maximumFingerprints + 100; ++i)
        many.emplace_back(i);
    quarantine.merge(start + 20min, lost("c", 1, many));
    CHECK(quarantine.size() == crash_quarantine::maximumFingerprints);
}
