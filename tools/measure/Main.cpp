#include <cstdint>
#include <iostream>
#include <map>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "Scenarios.h"

ABSL_FLAG(std::string, what, "fairness", "what to measure: fairness, utilisation, control, capacity or table");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the simulation");
ABSL_FLAG(std::size_t, routers, 0, "number of routers; for capacity 8, 40, 120, 340 or 0 for all of these, for table any number or 0 for 340");

namespace {

using measurement = void (*)(std::uint64_t, pimentoladder::measure::figure_printer&);

void measureRouters(std::uint64_t seed, pimentoladder::measure::figure_printer& printer)
{
    pimentoladder::measure::measureRouters(seed, absl::GetFlag(FLAGS_routers), printer);
}

void measureTable(std::uint64_t seed, pimentoladder::measure::figure_printer& printer)
{
    pimentoladder::measure::measureTable(seed, absl::GetFlag(FLAGS_routers), printer);
}

constexpr int exitTargetMissed = 1;
constexpr int exitUsage = 2;

}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Measures admission and control cost in simulated time and prints JSON lines.");
    absl::ParseCommandLine(argc, argv);
    const std::map<std::string, measurement> measurements {
        { "fairness", &pimentoladder::measure::measureFairness },
        { "utilisation", &pimentoladder::measure::measureUtilisation },
        { "control", &pimentoladder::measure::measureControl },
        { "capacity", &measureRouters },
        { "table", &measureTable },
    };
    const std::string what = absl::GetFlag(FLAGS_what);
    const auto found = measurements.find(what);
    if (found == measurements.end()) {
        std::cerr << "unknown measurement \"" << what << "\"; use fairness, utilisation, control, capacity or table\n";
        return exitUsage;
    }
    pimentoladder::measure::figure_printer printer(absl::GetFlag(FLAGS_seed));
    found->second(absl::GetFlag(FLAGS_seed), printer);
    return printer.areAllMet() ? 0 : exitTargetMissed;
}
