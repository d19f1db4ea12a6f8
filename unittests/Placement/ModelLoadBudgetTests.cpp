#include "pimentoladder/Placement/ModelLoadBudget.h"

#include <algorithm>
#include <map>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

constexpr double fleetRate = 2;
const time_point start { 100s };

/// The budgets of all shards; each owner loads whenever its budget allows.
struct greedy_fleet {
    std::map<std::size_t, model_load_budget> shards;
    std::vector<time_point> loads;
    time_point now = start;

    void own(std::size_t shard) { shards.insert_or_assign(shard, model_load_budget(fleetRate, now)); }

    void run(duration length)
    {
        for (const time_point end = now + length; now < end; now += 50ms) {
            for (auto& [shard, budget] : shards) {
                if (budget.take(now))
                    loads.push_back(now);
            }
        }
    }

    double sumOfRates() const
    {
        double sum = 0;
        for (const auto& [shard, budget] : shards)
            sum += budget.rate();
        return sum;
    }
};

}

// Guards against owners that together exceed the weight store's rate, also when
// shards move to other owners or their number changes.
TEST_CASE("all owners together keep to the rate of the weight store")
{
    rc::check("loads in any time T are at most rate * T + shards", [] {
        greedy_fleet fleet;
        std::size_t count = *rc::gen::inRange<std::size_t>(1, 8);
        std::size_t mostShards = count;
        for (std::size_t i = 0; i < count; ++i)
            fleet.own(i);
        for (auto& [shard, budget] : fleet.shards)
            budget.setShards(count, true, fleet.now);
        for (int step = 0; step < 20; ++step) {
            const auto moved = *rc::gen::inRange<std::size_t>(0, count);
            switch (*rc::gen::inRange(0, 3)) {
            case 0: // A shard moves to a new owner, which starts with an empty budget.
                fleet.own(moved);
                fleet.shards.at(moved).setShards(count, true, fleet.now);
                break;
            case 1: // A shard is added; its owner acts only after all others know the new number.
                ++count;
                for (auto& [shard, budget] : fleet.shards)
                    budget.setShards(count, false, fleet.now);
                fleet.own(count - 1);
                fleet.shards.at(count - 1).setShards(count, false, fleet.now);
                break;
            case 2: // A shard is removed; some owners learn of it later.
                if (count == 1)
                    break;
                for (auto& [shard, budget] : fleet.shards)
                    budget.setShards(count - 1, false, fleet.now);
                fleet.run(500ms);
                RC_ASSERT(fleet.sumOfRates() <= fleetRate + 1e-9);
                --count;
                fleet.shards.erase(count);
                for (auto& [shard, budget] : fleet.shards)
                    budget.setShards(count, true, fleet.now);
                break;
            }
            mostShards = std::max(mostShards, count);
            RC_ASSERT(fleet.sumOfRates() <= fleetRate + 1e-9);
            fleet.run(std::chrono::milliseconds(*rc::gen::inRange(50, 3000)));
        }
        for (std::size_t first = 0; first < fleet.loads.size(); ++first) {
            for (std::size_t last = first; last < fleet.loads.size(); ++last) {
                const double seconds = std::chrono::duration<double>(fleet.loads[last] - fleet.loads[first]).count();
                RC_ASSERT(static_cast<double>(last - first + 1) <= fleetRate * seconds + static_cast<double>(mostShards) + 1e-6);
            }
        }
    });
}

// Guards against an owner that starts with unused loads from before it owned the shard.
TEST_CASE("a budget starts empty and holds one load at most")
{
    model_load_budget budget(fleetRate, start);
    CHECK_FALSE(budget.take(start + 10s));
    budget.setShards(4, true, start + 10s);
    CHECK_FALSE(budget.take(start + 11900ms));
    CHECK(budget.take(start + 12s));
    CHECK(budget.take(start + 60s));
    CHECK_FALSE(budget.take(start + 60s));
}
