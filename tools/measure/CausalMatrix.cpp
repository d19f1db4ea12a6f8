#include "Scenarios.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "pimentoladder/Base/Random.h"

namespace pimentoladder::measure {

namespace {

    constexpr double counterBytes = 8;
    // An entry of a counter message: owner and workspace as indexes into a shared
    // list (4 bytes each), and two counters.
    constexpr double entryBytes = 4 + 4 + 2 * counterBytes;
    constexpr double exchangeSeconds = 0.25;
    constexpr double delaySeconds = 0.0015;
    constexpr double simulatedSeconds = 60;

    struct fleet_size {
        std::size_t routers;
        std::size_t owners;
        double requestsPerSecond;
        double changedWorkspaces; ///< Counters that one owner changes in one exchange interval.
    };

    // Returns the mean age, in seconds, of an owner's information about another
    // owner if every message between a router and an owner carries the sender's
    // whole matrix, including what it has learned from others.
    double matrixAge(const fleet_size& size, random_source& random)
    {
        // Nodes with an index below `owners` are both owner and router; times are in
        // seconds.
        std::vector<std::vector<double>> known(size.routers, std::vector<double>(size.owners, 0));
        const double step = 1 / size.requestsPerSecond;
        double ageSum = 0;
        std::size_t samples = 0;
        const auto merge = [&](std::size_t to, std::size_t from, double now) {
            if (from < size.owners)
                known[from][from] = now;
            for (std::size_t i = 0; i < size.owners; ++i)
                known[to][i] = std::max(known[to][i], known[from][i] - (i == to ? 1e9 : 0));
        };
        for (double now = 0; now < simulatedSeconds; now += step) {
            const std::size_t router = random.index(size.routers);
            const std::size_t owner = random.index(size.owners);
            if (router == owner)
                continue;
            merge(owner, router, now);
            merge(router, owner, now);
            if (now < simulatedSeconds / 2)
                continue;
            const std::size_t other = random.index(size.owners);
            if (other == owner)
                continue;
            ageSum += now - known[owner][other] + 2 * delaySeconds;
            ++samples;
        }
        return samples == 0 ? 0 : ageSum / static_cast<double>(samples);
    }

    void measureSize(const fleet_size& size, random_source& random, figure_printer& printer)
    {
        const double routers = static_cast<double>(size.routers);
        const double owners = static_cast<double>(size.owners);
        const std::string prefix = "causal.routers_" + std::to_string(size.routers);
        printer.print({ prefix + ".matrix_bytes_per_message", routers * routers * counterBytes, "bytes" });
        // Each request takes two messages: an acquire and a grant.
        printer.print({ prefix + ".matrix_bytes_per_router",
            routers * routers * counterBytes * 2 * size.requestsPerSecond / routers, "bytes/s" });
        printer.print({ prefix + ".matrix_mean_age", matrixAge(size, random), "s" });
        const double message = size.changedWorkspaces * entryBytes;
        printer.print({ prefix + ".counters_bytes_per_message", message, "bytes" });
        printer.print({ prefix + ".counters_bytes_per_router",
            message * owners * (owners - 1) / exchangeSeconds / routers, "bytes/s" });
        printer.print({ prefix + ".counters_mean_age", exchangeSeconds / 2 + delaySeconds, "s" });
    }

}

void measureCausalMatrix(std::uint64_t seed, figure_printer& printer)
{
    random_source random(seed);
    measureSize({ 8, 2, 100, 16 }, random, printer);
    // 3,600 requests/s over 60 shards; an owner serves 60 * 0.25 s = 15 requests
    // in an interval, so it changes at most as many counters.
    measureSize({ 340, 60, 3600, 15 }, random, printer);
}

}
