/// \file
/// Program `pimentoladder-load`; docs/load.md describes it.

#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>
#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "load/Runner.h"

ABSL_FLAG(std::string, plan, "", "YAML file with the plan; --targets, --length and --seed replace its values");
ABSL_FLAG(std::string, targets, "", "routers as IP:port, separated by commas");
ABSL_FLAG(absl::Duration, length, absl::ZeroDuration(), "length of the run");
ABSL_FLAG(std::uint64_t, seed, 0, "seed of all random numbers; 0: from the plan");
ABSL_FLAG(std::string, client, "load", "name that distinguishes the ids of several load clients");
ABSL_FLAG(std::string, history, "", "file for the history; default: none");
ABSL_FLAG(std::string, report, "", "file for the report; default: standard output");

ABSL_FLAG(std::string, workspace, "workspace", "without a plan: name of the workspace");
ABSL_FLAG(std::string, key, "", "without a plan: API key of the workspace");
ABSL_FLAG(double, rate, 0, "without a plan: requests per second, open loop");
ABSL_FLAG(std::uint32_t, concurrency, 0, "without a plan: requests in flight, closed loop");
ABSL_FLAG(std::string, method, "GET", "without a plan: method");
ABSL_FLAG(std::string, path, "/index/uv", "without a plan: path");
ABSL_FLAG(std::uint32_t, body_bytes, 0, "without a plan: length of the prompt in the body");
ABSL_FLAG(std::uint32_t, tokens, 0, "without a plan: hidden cost in tokens");
ABSL_FLAG(double, cost_hint, 0, "without a plan: value of X-Cost-Hint");
ABSL_FLAG(bool, streaming, false, "without a plan: whether answers are streams");
ABSL_FLAG(bool, idempotency_key, false, "without a plan: whether requests carry an idempotency key");

namespace pimentoladder::load {
namespace {

    workspace_load workspaceFromFlags()
    {
        workspace_load workspace;
        workspace.name = absl::GetFlag(FLAGS_workspace);
        workspace.key = absl::GetFlag(FLAGS_key);
        workspace.rate = absl::GetFlag(FLAGS_rate);
        workspace.concurrency = absl::GetFlag(FLAGS_concurrency);
        workspace.method = absl::GetFlag(FLAGS_method);
        workspace.path = absl::GetFlag(FLAGS_path);
        workspace.bodyBytes = absl::GetFlag(FLAGS_body_bytes);
        workspace.minTokens = absl::GetFlag(FLAGS_tokens);
        workspace.maxTokens = absl::GetFlag(FLAGS_tokens);
        workspace.costHint = absl::GetFlag(FLAGS_cost_hint);
        workspace.isStreaming = absl::GetFlag(FLAGS_streaming);
        workspace.hasIdempotencyKey = absl::GetFlag(FLAGS_idempotency_key);
        return workspace;
    }

    result<plan> readPlan()
    {
        const std::string path = absl::GetFlag(FLAGS_plan);
        if (path.empty()) {
            plan made;
            made.workspaces.push_back(workspaceFromFlags());
            return made;
        }
        std::ifstream file(path);
        if (!file)
            return makeError(error_kind::notFound, "cannot read plan " + path + "; check its path");
        std::ostringstream text;
        text << file.rdbuf();
        return parsePlan(text.str());
    }

    result<plan> planFromFlags()
    {
        result<plan> made = readPlan();
        if (!made)
            return made;
        if (!absl::GetFlag(FLAGS_targets).empty())
            made->targets = absl::StrSplit(absl::GetFlag(FLAGS_targets), ',');
        if (absl::GetFlag(FLAGS_length) > absl::ZeroDuration())
            made->length = absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_length));
        if (absl::GetFlag(FLAGS_seed) > 0)
            made->seed = absl::GetFlag(FLAGS_seed);
        const result<void> checked = checkPlan(*made);
        if (!checked)
            return tl::unexpected(checked.error());
        return made;
    }

    void writeReport(const nlohmann::json& report)
    {
        const std::string path = absl::GetFlag(FLAGS_report);
        if (path.empty()) {
            std::cout << report.dump(2) << '\n';
            return;
        }
        std::ofstream(path) << report.dump(2) << '\n';
    }

    int run()
    {
        const result<plan> work = planFromFlags();
        if (!work) {
            std::cerr << work.error().message << '\n';
            return 2;
        }
        const std::string historyPath = absl::GetFlag(FLAGS_history);
        tools::loop events;
        events.stopOnSignals();
        tools::history_writer history(historyPath.empty() ? "/dev/null" : historyPath, absl::GetFlag(FLAGS_client));
        load_runner runner(events, history, *work, absl::GetFlag(FLAGS_client));
        runner.start([&events] { events.stop(); });
        events.run();
        writeReport(runner.report());
        return 0;
    }

}
}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Generates load on routers and reports latency, throughput and errors; see docs/load.md.");
    absl::ParseCommandLine(argc, argv);
    try {
        return pimentoladder::load::run();
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n';
        return 1;
    }
}
