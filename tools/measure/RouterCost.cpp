#include "Scenarios.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <string>

#include "CoreFleet.h"
#include "pimentoladder/Wire/MessageCodec.h"

namespace pimentoladder::measure {

using namespace std::chrono_literals;

namespace {

    constexpr duration formationTime = 4s; ///< Covers the freshness window, the grant lifetime and the fetch of the document.
    constexpr duration idleTime = 2s;
    constexpr duration loadWarmUp = 2s;
    constexpr duration peakTime = 2s;
    constexpr std::size_t currentRouters = 8;
    constexpr double currentBytesTarget = 2000;
    constexpr double projectedBytesTarget = 12000;
    constexpr double coreShareTarget = 0.017;
    constexpr double memoryTarget = 64e6;
    constexpr double readsTarget = 2000;
    constexpr double writesTarget = 300;

    double usedMemory()
    {
        const auto info = mallinfo2();
        return static_cast<double>(info.uordblks + info.hblkhd);
    }

    double seconds(duration length) { return std::chrono::duration<double>(length).count(); }

    void printTable(const std::string& prefix, const core_fleet& fleet, duration length, figure_printer& printer)
    {
        const table_calls calls = fleet.tableCalls();
        printer.print({ prefix + ".table_reads", static_cast<double>(calls.reads) / seconds(length), "1/s" });
        printer.print({ prefix + ".table_writes", static_cast<double>(calls.writes) / seconds(length), "1/s" });
        printer.print({ prefix + ".table_reads_busiest_second", static_cast<double>(calls.mostReadsInSecond), "1/s", target_kind::atMost, readsTarget });
        printer.print({ prefix + ".table_writes_busiest_second", static_cast<double>(calls.mostWritesInSecond), "1/s", target_kind::atMost, writesTarget });
    }

    void printTraffic(const std::string& prefix, const core_fleet& fleet, duration length, figure_printer& printer)
    {
        const auto& costs = fleet.costs();
        const double routers = static_cast<double>(costs.size());
        const double target = costs.size() <= currentRouters ? currentBytesTarget : projectedBytesTarget;
        router_cost sum;
        for (const router_cost& cost : costs) {
            for (std::size_t kind = 0; kind < messageKindCount; ++kind) {
                sum.messages[kind] += cost.messages[kind];
                sum.bytes[kind] += cost.bytes[kind];
            }
        }
        const auto busiest = std::ranges::max_element(costs, {}, &router_cost::allBytes);
        printer.print({ prefix + ".bytes_mean", static_cast<double>(sum.allBytes()) / routers / seconds(length), "bytes/s", target_kind::atMost, target });
        printer.print({ prefix + ".bytes_busiest", static_cast<double>(busiest->allBytes()) / seconds(length), "bytes/s", target_kind::atMost, target });
        printer.print({ prefix + ".messages_mean", static_cast<double>(sum.allMessages()) / routers / seconds(length), "1/s" });
        printer.print({ prefix + ".messages_busiest", static_cast<double>(busiest->allMessages()) / seconds(length), "1/s" });
        for (std::size_t kind = 0; kind < messageKindCount; ++kind) {
            if (sum.messages[kind] == 0)
                continue;
            const std::string name = prefix + "." + std::string(messageKindName(kind));
            printer.print({ name + ".bytes_mean", static_cast<double>(sum.bytes[kind]) / routers / seconds(length), "bytes/s" });
            printer.print({ name + ".bytes_busiest", static_cast<double>(busiest->bytes[kind]) / seconds(length), "bytes/s" });
            printer.print({ name + ".messages_mean", static_cast<double>(sum.messages[kind]) / routers / seconds(length), "1/s" });
        }
    }

    void printTime(const std::string& prefix, const core_fleet& fleet, duration length, figure_printer& printer)
    {
        static constexpr std::array<const char*, workKinds> names { "requests", "admission", "control" };
        const auto& costs = fleet.costs();
        for (std::size_t kind = 0; kind < workKinds; ++kind) {
            duration sum {};
            duration most {};
            for (const router_cost& cost : costs) {
                sum += cost.time[kind];
                most = std::max(most, cost.time[kind]);
            }
            const bool isControl = kind == static_cast<std::size_t>(work_kind::control);
            const std::string name = prefix + ".core_share_" + names[kind];
            const target_kind target = isControl ? target_kind::atMost : target_kind::none;
            printer.print({ name + "_mean", seconds(sum) / static_cast<double>(costs.size()) / seconds(length), "ratio", target, coreShareTarget });
            printer.print({ name + "_busiest", seconds(most) / seconds(length), "ratio", target, coreShareTarget });
        }
    }

    void printPhase(const std::string& prefix, const core_fleet& fleet, duration length, figure_printer& printer)
    {
        printTraffic(prefix, fleet, length, printer);
        printTime(prefix, fleet, length, printer);
        printTable(prefix, fleet, length, printer);
    }

    void measureFleet(const std::string& name, const fleet_size& size, std::uint64_t seed, figure_printer& printer)
    {
        const std::string prefix = "capacity." + name;
        const double before = usedMemory();
        core_fleet fleet(size, seed);
        const double memoryWithFakes = usedMemory();
        fleet.start();
        fleet.run(formationTime);
        fleet.resetCounters(true);
        fleet.run(idleTime);
        printer.print({ prefix + ".idle.ready", static_cast<double>(fleet.readyRouters()), "routers", target_kind::atLeast, static_cast<double>(size.routers) });
        printPhase(prefix + ".idle", fleet, idleTime, printer);
        const double routers = static_cast<double>(size.routers);
        printer.print({ prefix + ".idle.memory_mean", (usedMemory() - memoryWithFakes) / routers, "bytes", target_kind::atMost, memoryTarget });
        fleet.startLoad();
        fleet.run(loadWarmUp);
        fleet.resetCounters(true);
        fleet.run(peakTime);
        printPhase(prefix + ".peak", fleet, peakTime, printer);
        printer.print({ prefix + ".peak.answered", static_cast<double>(fleet.answered()) / seconds(peakTime), "1/s" });
        printer.print({ prefix + ".peak.refused", static_cast<double>(fleet.refused()) / seconds(peakTime), "1/s" });
        // Includes the requests, events and fakes, so this is an upper bound.
        printer.print({ prefix + ".peak.memory_mean", (usedMemory() - before) / routers, "bytes", target_kind::atMost, memoryTarget });
    }

    fleet_size currentFleet() { return { 8, 16, 2, 4, 16, 3, 85, 0 }; }

    // The fleet size projected for two years from now, scaled down to \p routers.
    fleet_size projectedFleet(std::size_t routers)
    {
        constexpr std::size_t allRouters = 340;
        return { routers, 890 * routers / allRouters, std::max<std::size_t>(2, 12 * routers / allRouters), 6, 2000 * routers / allRouters,
            200 * routers / allRouters, 3600.0 * static_cast<double>(routers) / allRouters, 0 };
    }

    void measureScaling(std::uint64_t seed, figure_printer& printer)
    {
        const fleet_size base = projectedFleet(40);
        fleet_size servers = base;
        servers.servers = 4 * base.servers;
        fleet_size workspaces = base;
        workspaces.workspaces = 4 * base.workspaces;
        fleet_size backlogged = base;
        backlogged.backlogged = 2 * base.backlogged;
        fleet_size changes = base;
        changes.changesPerSecond = 2;
        measureFleet("routers_40_servers_416", servers, seed, printer);
        measureFleet("routers_40_workspaces_940", workspaces, seed, printer);
        measureFleet("routers_40_backlogged_46", backlogged, seed, printer);
        measureFleet("routers_40_changes_2_per_s", changes, seed, printer);
    }

}

void measureRouters(std::uint64_t seed, std::size_t routers, figure_printer& printer)
{
    if (routers == 0 || routers == currentRouters)
        measureFleet("routers_8", currentFleet(), seed, printer);
    for (const std::size_t count : { 40, 120, 340 }) {
        if (routers == 0 || routers == count)
            measureFleet("routers_" + std::to_string(count), projectedFleet(count), seed, printer);
    }
    if (routers == 0 || routers == 40)
        measureScaling(seed, printer);
}

void measureTable(std::uint64_t seed, std::size_t routers, figure_printer& printer)
{
    constexpr std::size_t restarted = 250;
    constexpr duration quietTime = 10s;
    constexpr duration betweenRestarts = 200ms;
    constexpr duration outage = 60s;
    constexpr duration afterOutage = 5s;
    // Table calls depend on the routers and the changes, not on the rest of the
    // document, which is small here so that all restarts run in acceptable time.
    fleet_size size = projectedFleet(routers == 0 ? 340 : routers);
    size.servers = 24;
    size.workspaces = 20;
    size.backlogged = 0;
    core_fleet fleet(size, seed);
    const std::string prefix = "table.routers_" + std::to_string(size.routers);
    fleet.start();
    fleet.run(formationTime);
    fleet.resetCounters(false);
    fleet.run(quietTime);
    printTable(prefix + ".quiet", fleet, quietTime, printer);
    fleet.setTableUp(false);
    fleet.run(outage);
    printer.print({ prefix + ".outage.ready", static_cast<double>(fleet.readyRouters()), "routers", target_kind::atLeast, static_cast<double>(size.routers) });
    fleet.setTableUp(true);
    fleet.resetCounters(false);
    fleet.run(afterOutage);
    printTable(prefix + ".after_outage", fleet, afterOutage, printer);
    fleet.resetCounters(false);
    const std::size_t restarts = std::min(restarted, size.routers * restarted / 340);
    for (std::size_t i = 0; i < restarts; ++i) {
        fleet.restart(size.routers - 1 - i);
        fleet.run(betweenRestarts);
    }
    fleet.run(afterOutage);
    printTable(prefix + ".restart", fleet, static_cast<int>(restarts) * betweenRestarts + afterOutage, printer);
    printer.print({ prefix + ".restart.ready", static_cast<double>(fleet.readyRouters()), "routers", target_kind::atLeast, static_cast<double>(size.routers) });
}

}
