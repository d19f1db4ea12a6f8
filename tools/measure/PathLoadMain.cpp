/// \file
/// Program `pimentoladder-path-load`: generates the load of `utils/measure
/// --what=path` on one address and prints the results as one JSON line.

#include <cstdint>
#include <iostream>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <nlohmann/json.hpp>

#include "PathLoad.h"

ABSL_FLAG(std::string, target, "", "address as IP:port");
ABSL_FLAG(std::string, method, "GET", "request method");
ABSL_FLAG(std::string, path, "/index/current", "request path");
ABSL_FLAG(std::string, key, "", "key of the workspace, sent as bearer token");
ABSL_FLAG(std::string, body, "", "request body; empty: none");
ABSL_FLAG(double, rate, 0, "requests per second, open loop; 0: closed loop");
ABSL_FLAG(std::uint32_t, connections, 1, "connections; also the limit of requests in flight");
ABSL_FLAG(std::uint64_t, requests, 1000, "requests to send");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the gaps between requests");

namespace {

using namespace pimentoladder;

std::string buildRequest()
{
    const std::string body = absl::GetFlag(FLAGS_body);
    std::string request = absl::GetFlag(FLAGS_method) + " " + absl::GetFlag(FLAGS_path) + " HTTP/1.1\r\nHost: " + absl::GetFlag(FLAGS_target) + "\r\n";
    if (!absl::GetFlag(FLAGS_key).empty())
        request += "Authorization: Bearer " + absl::GetFlag(FLAGS_key) + "\r\n";
    if (!body.empty())
        request += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    return request + "\r\n" + body;
}

nlohmann::ordered_json milliseconds(const std::vector<duration>& samples)
{
    const load::latency_summary summary = load::summarize(samples);
    const auto convert = [](duration span) { return std::chrono::duration<double, std::milli>(span).count(); };
    return { { "p50", convert(summary.p50) }, { "p99", convert(summary.p99) }, { "max", convert(summary.max) } };
}

int run()
{
    measure::path_plan plan;
    plan.target = tools::parseAddress(absl::GetFlag(FLAGS_target));
    plan.request = buildRequest();
    plan.rate = absl::GetFlag(FLAGS_rate);
    plan.connections = absl::GetFlag(FLAGS_connections);
    plan.requests = absl::GetFlag(FLAGS_requests);
    plan.seed = absl::GetFlag(FLAGS_seed);
    tools::loop events;
    events.stopOnSignals();
    measure::path_load load(events, plan);
    load.start([&events] { events.stop(); });
    events.run();
    const measure::path_figures& seen = load.figures();
    const nlohmann::ordered_json line {
        { "answered", seen.answered },
        { "failed", seen.failed },
        { "seconds", std::chrono::duration<double>(seen.elapsed).count() },
        { "perSecond", static_cast<double>(seen.answered) / std::chrono::duration<double>(seen.elapsed).count() },
        { "latencyMs", milliseconds(seen.latencies) },
        { "firstByteMs", milliseconds(seen.firstBytes) },
    };
    std::cout << line.dump() << '\n';
    return 0;
}

}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Sends requests over keep-alive connections to one address; used by utils/measure --what=path.");
    absl::ParseCommandLine(argc, argv);
    try {
        return run();
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n';
        return 1;
    }
}
