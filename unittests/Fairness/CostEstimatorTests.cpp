#include "pimentoladder/Fairness/CostEstimator.h"

#include <cmath>
#include <limits>

#include <doctest/doctest.h>

using namespace pimentoladder;

namespace {

const workspace_id riga("riga");
const pool_id pool("model");

}

// Guards against a workspace that gains service by giving hints ten times too low.
TEST_CASE("a hint off by ten either way is learned within twenty requests")
{
    for (const double factor : { 0.1, 10.0 }) {
        cost_estimator estimator;
        for (int i = 0; i < 20; ++i)
            estimator.observe(riga, pool, 100 * factor, 100);
        CHECK(std::abs(estimator.estimate(riga, pool, 100 * factor) - 100) < 5);
    }
}

// Guards against a workspace that first earns a low ratio and then sends costly requests.
TEST_CASE("a changed ratio is learned again")
{
    cost_estimator estimator;
    for (int i = 0; i < 1000; ++i)
        estimator.observe(riga, pool, 100, 10);
    for (int i = 0; i < 100; ++i)
        estimator.observe(riga, pool, 100, 1000);
    CHECK(estimator.ratio(riga, pool) > 9.5);
}

// Guards against hints that are zero, infinite or NaN, which would make charges meaningless.
TEST_CASE("invalid and extreme hints and costs give finite estimates above zero")
{
    cost_estimator estimator;
    const double infinity = std::numeric_limits<double>::infinity();
    for (const double hint : { 0.0, -5.0, infinity, std::nan(""), 1e300 }) {
        estimator.observe(riga, pool, hint, 7);
        estimator.observe(riga, pool, hint, infinity);
        CHECK(std::isfinite(estimator.estimate(riga, pool, hint)));
        CHECK(estimator.estimate(riga, pool, hint) > 0);
    }
}

// Guards against one workspace's hints that change the charges of another.
TEST_CASE("ratios are kept apart by workspace and pool")
{
    cost_estimator estimator;
    estimator.observe(riga, pool, 1, 10);
    CHECK(estimator.ratio(workspace_id("school"), pool) == 1);
    CHECK(estimator.ratio(riga, pool_id("portal")) == 1);
}

// Guards against wrong charges where the error of the hints depends on their size.
TEST_CASE("the ratio of small hints does not change the charge of large ones")
{
    cost_estimator estimator;
    for (int i = 0; i < 20; ++i) {
        estimator.observe(riga, pool, 10, 100);
        estimator.observe(riga, pool, 1000, 100);
    }
    CHECK(std::abs(estimator.estimate(riga, pool, 10) - 100) < 1);
    CHECK(std::abs(estimator.estimate(riga, pool, 1000) - 100) < 1);
}
