#include "Scenarios.h"

#include <algorithm>

#include "FleetSimulation.h"

namespace pimentoladder::measure {

using namespace std::chrono_literals;

namespace {

    constexpr std::size_t modelPool = 0;
    constexpr std::size_t portalPool = 1;
    constexpr std::size_t workspaceCount = 16;
    constexpr std::size_t largeWorkspaces = 3;
    constexpr std::size_t smallOutstanding = 40;
    constexpr std::size_t largeOutstanding = 240;
    constexpr std::size_t floodFactor = 50;
    constexpr double utilisationTarget = 0.98;
    constexpr double baselineRatioTarget = 10;

    // The current fleet: twelve model servers and four portal servers.
    simulation_shape currentFleet()
    {
        simulation_shape shape;
        shape.pools.push_back({ "model", 12, 2, 8, 50, 800, 50ms, 2ms, 40ms });
        shape.pools.push_back({ "portal", 4, 2, 16, 1, 1, 20ms, 10ms, 5ms });
        for (std::size_t i = 0; i < workspaceCount; ++i) {
            const std::size_t outstanding = i < largeWorkspaces ? largeOutstanding : smallOutstanding;
            workspace_load& load = shape.workspaces.emplace_back();
            load.outstanding = { outstanding, 0 };
            load.homeRouter = (i * 5) % shape.routers;
        }
        return shape;
    }

    simulation_shape withPortal(simulation_shape shape)
    {
        for (workspace_load& load : shape.workspaces)
            load.outstanding[portalPool] = load.outstanding[modelPool];
        return shape;
    }

    // Returns an upper bound of the cost units that a pool serves per second.
    double unitsPerSecond(const pool_shape& pool)
    {
        const double perUnit = std::chrono::duration<double>(pool.timePerUnit).count();
        const double perRequest = std::chrono::duration<double>(pool.baseTime).count() / pool.largestCost;
        return static_cast<double>(pool.servers * pool.ceiling) / (perUnit + perRequest);
    }

    double exchangeTerm(const simulation_shape& shape)
    {
        double capacity = 0;
        for (const pool_shape& pool : shape.pools)
            capacity += unitsPerSecond(pool);
        return capacity * std::chrono::duration<double>(shape.exchangeInterval).count();
    }

    struct gap_case {
        std::string name;
        simulation_shape shape {};
        bool hasSeveralOwners = false; ///< The bound includes the counter exchange term.
    };

    void measureGap(const gap_case& measured, std::uint64_t seed, figure_printer& printer)
    {
        const simulation_result fair = fleet_simulation(measured.shape, seed).run();
        const bool isModelUsed = measured.shape.workspaces.front().outstanding[modelPool] > 0;
        const double largestCost = measured.shape.pools[isModelUsed ? modelPool : portalPool].largestCost;
        double bound = 2 * largestCost + fair.largestChargeError;
        if (measured.hasSeveralOwners)
            bound += exchangeTerm(measured.shape);
        const std::string prefix = "fairness." + measured.name;
        printer.print({ prefix + ".largest_unknown", fair.largestChargeError, "units" });
        printer.print({ prefix + ".gap", fair.gap, "units", target_kind::atMost, bound });
        // Bound that takes the signs of the charge errors into account. The
        // owner serves the workspace with the least charge first, so a receives a
        // grant only while service(a) + error(a) is at most service(b) + error(b).
        if (!measured.hasSeveralOwners)
            printer.print({ prefix + ".gap_by_error", fair.gap, "units", target_kind::atMost, 2 * largestCost + fair.errorGap });
        printer.print({ prefix + ".gap_at_start", fair.gapAtStart, "units" });
        printer.print({ prefix + ".least_share_of_mean", fair.leastShare, "ratio" });
        if (measured.shape.ownerFailsAt)
            return;
        simulation_shape baselineShape = measured.shape;
        baselineShape.kind = admission_kind::baseline;
        const simulation_result baseline = fleet_simulation(baselineShape, seed).run();
        printer.print({ prefix + ".baseline_gap", baseline.gap, "units" });
        printer.print({ prefix + ".baseline_least_share_of_mean", baseline.leastShare, "ratio" });
        printer.print({ prefix + ".baseline_to_gap", baseline.gap / fair.gap, "ratio", target_kind::atLeast,
            baselineRatioTarget });
    }

    gap_case floodCase()
    {
        gap_case scenario { "flood", currentFleet() };
        scenario.shape.workspaces[0].outstanding[modelPool] = floodFactor * smallOutstanding;
        return scenario;
    }

    gap_case wrongHintsCase()
    {
        gap_case scenario { "hints_off_by_ten", currentFleet() };
        for (std::size_t i = 0; i < workspaceCount; ++i) {
            workspace_load& load = scenario.shape.workspaces[i];
            load.hintFactor = i % 2 == 0 ? 0.1 : 10;
            load.laterHintFactor = 1 / load.hintFactor;
        }
        return scenario;
    }

    gap_case randomHintsCase()
    {
        gap_case scenario { "hints_off_by_ten_at_random", currentFleet() };
        for (workspace_load& load : scenario.shape.workspaces)
            load.isHintRandom = true;
        return scenario;
    }

    gap_case portalCase()
    {
        gap_case scenario { "portal", withPortal(currentFleet()) };
        for (workspace_load& load : scenario.shape.workspaces)
            load.outstanding[modelPool] = 0;
        return scenario;
    }

    gap_case ownerRestartCase()
    {
        gap_case scenario { "owner_restart", currentFleet(), true };
        scenario.shape.ownerFailsAt = 40s;
        return scenario;
    }

}

void measureFairness(std::uint64_t seed, figure_printer& printer)
{
    measureGap({ "steady", currentFleet() }, seed, printer);
    measureGap(floodCase(), seed, printer);
    measureGap(wrongHintsCase(), seed, printer);
    measureGap(randomHintsCase(), seed, printer);
    measureGap(portalCase(), seed, printer);
    measureGap(ownerRestartCase(), seed, printer);
    measureGap({ "two_pools", withPortal(currentFleet()), true }, seed, printer);
}

void measureUtilisation(std::uint64_t seed, figure_printer& printer)
{
    const simulation_shape shape = withPortal(currentFleet());
    simulation_shape baselineShape = shape;
    baselineShape.kind = admission_kind::baseline;
    const simulation_result fair = fleet_simulation(shape, seed).run();
    const simulation_result baseline = fleet_simulation(baselineShape, seed).run();
    for (std::size_t pool = 0; pool < shape.pools.size(); ++pool) {
        const std::string prefix = "utilisation." + shape.pools[pool].name;
        printer.print({ prefix + ".granted", fair.pools[pool].granted, "ratio", target_kind::atLeast, utilisationTarget });
        printer.print({ prefix + ".running", fair.pools[pool].running, "ratio", target_kind::atLeast, utilisationTarget });
        printer.print({ prefix + ".above_true_limit", static_cast<double>(fair.pools[pool].mostAboveLimit), "requests",
            target_kind::atMost, 0 });
        printer.print({ prefix + ".baseline_running", baseline.pools[pool].running, "ratio" });
        printer.print({ prefix + ".baseline_above_true_limit",
            static_cast<double>(baseline.pools[pool].mostAboveLimit), "requests" });
    }
}

namespace {

    void printControl(const std::string& name, const simulation_shape& shape, std::uint64_t seed, figure_printer& printer)
    {
        const simulation_result result = fleet_simulation(shape, seed).run();
        const double seconds = std::chrono::duration<double>(shape.measured).count();
        control_count sum;
        control_count most;
        for (const control_count& sent : result.sentByRouter) {
            sum.messages += sent.messages;
            sum.entries += sent.entries;
            most.messages = std::max(most.messages, sent.messages);
            most.entries = std::max(most.entries, sent.entries);
        }
        const double routers = static_cast<double>(shape.routers);
        const std::string prefix = "control." + name;
        printer.print({ prefix + ".messages_per_router", static_cast<double>(sum.messages) / routers / seconds, "1/s" });
        printer.print({ prefix + ".entries_per_router", static_cast<double>(sum.entries) / routers / seconds, "1/s" });
        printer.print({ prefix + ".messages_busiest_router", static_cast<double>(most.messages) / seconds, "1/s" });
        printer.print({ prefix + ".entries_busiest_router", static_cast<double>(most.entries) / seconds, "1/s" });
        if (result.grants == 0)
            return;
        const double simulated = std::chrono::duration<double>(shape.warmUp + shape.measured).count();
        printer.print({ prefix + ".grants_in_fleet", static_cast<double>(result.grants) / simulated, "1/s" });
        const double micros = std::chrono::duration<double, std::micro>(result.ownerProcessorTime).count();
        printer.print({ prefix + ".owner_time_per_grant", micros / static_cast<double>(result.grants), "us" });
    }

}

void measureControl(std::uint64_t seed, figure_printer& printer)
{
    simulation_shape idle = currentFleet();
    for (workspace_load& load : idle.workspaces)
        load.outstanding = { 0, 0 };
    printControl("idle", idle, seed, printer);
    printControl("backlog_model", currentFleet(), seed, printer);
    printControl("backlog_both_pools", withPortal(currentFleet()), seed, printer);
    measureCapacity(seed, printer);
    measureCausalMatrix(seed, printer);
}

}
