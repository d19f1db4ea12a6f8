#include "pimentoladder/Outcome/RetryBudget.h"

#include <doctest/doctest.h>

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

int takeAll(retry_budget& budget, time_point now, const pool_id& pool)
{
    int taken = 0;
    while (taken < 1000 && budget.tryTake(now, pool))
        ++taken;
    return taken;
}

}

// Guards against retries that multiply the load while every attempt fails.
TEST_CASE("retries stay at a tenth of the requests during an outage")
{
    retry_budget budget;
    const pool_id pool("p");
    int retries = 0;
    for (int i = 0; i < 6000; ++i) {
        const time_point now { i * 10ms };
        budget.recordRequest(now, pool);
        retries += budget.tryTake(now, pool);
        retries += budget.tryTake(now, pool);
    }
    CHECK(retries >= 500);
    CHECK(retries <= 610);
}

// Guards against a quiet pool that may never retry, a budget that does not
// return, and an outage of one pool that uses up another's budget.
TEST_CASE("the minimum returns after the window and belongs to one pool")
{
    retry_budget budget;
    CHECK(takeAll(budget, time_point { 100s }, pool_id("a")) == 3);
    CHECK(takeAll(budget, time_point { 100s }, pool_id("b")) == 3);
    CHECK(takeAll(budget, time_point { 105s }, pool_id("a")) == 0);
    CHECK(takeAll(budget, time_point { 110s }, pool_id("a")) == 3);
}

// Guards against requests counted in a slot that an older period left behind.
TEST_CASE("requests older than the window do not count")
{
    retry_budget budget;
    const pool_id pool("p");
    for (int i = 0; i < 1000; ++i)
        budget.recordRequest(time_point { 100s }, pool);
    CHECK(takeAll(budget, time_point { 130s }, pool) == 3);
}
