#include "pimentoladder/Outcome/RetryBudget.h"

#include <doctest/doctest.h>

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

int takeAll(retry_budget& budget, time_point now, const pool_id& pool)
{
    int taken = 0;
    while (taken < 1000 && budget.tryAcquireRetry(now, pool))
        ++taken;
    return taken;
}

}

// Guards against retries that multiply the load during an outage.
TEST_CASE("retries stay at a tenth of the requests during an outage")
{
    retry_budget budget;
    const pool_id pool("p");
    int retries = 0;
    for (int i = 0; i < 6000; ++i) {
        const time_point now { i * 10ms };
        budget.recordRequest(now, pool);
        retries += budget.tryAcquireRetry(now, pool);
        retries += budget.tryAcquireRetry(now, pool);
    }
    CHECK(retries >= 500);
    CHECK(retries <= 610);
}

// Guards against a pool with little traffic that may never retry, a budget that is
// not replenished, and an outage of one pool that exhausts another's budget.
TEST_CASE("the minimum is replenished after the window and kept per pool")
{
    retry_budget budget;
    CHECK(takeAll(budget, time_point { 100s }, pool_id("a")) == 3);
    CHECK(takeAll(budget, time_point { 100s }, pool_id("b")) == 3);
    CHECK(takeAll(budget, time_point { 105s }, pool_id("a")) == 0);
    CHECK(takeAll(budget, time_point { 110s }, pool_id("a")) == 3);
}

// Guards against counting the requests of an expired slot.
TEST_CASE("requests older than the window do not count")
{
    retry_budget budget;
    const pool_id pool("p");
    for (int i = 0; i < 1000; ++i)
        budget.recordRequest(time_point { 100s }, pool);
    CHECK(takeAll(budget, time_point { 130s }, pool) == 3);
}
