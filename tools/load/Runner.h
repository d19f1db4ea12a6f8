/// \file
/// Runs a load plan and records the outcomes that callers see.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "load/Plan.h"
#include "load/Report.h"
#include "load/RequestFactory.h"
#include "support/HistoryWriter.h"
#include "support/HttpClient.h"

namespace pimentoladder::load {

/// Classification of an answer from the caller's point of view.
struct answer_outcome {
    outcome_kind kind = outcome_kind::broken;
    std::string detail; ///< Refusal kind or how the connection failed.
    bool isNotRun = false; ///< Whether a refusal states that the request did not run.
    std::uint64_t cost = 0;
};

/// Classifies an answer: an error whose JSON body has a `kind` is a refusal by a
/// router, and a stream without the engine's end line is incomplete.
/// Thread-safe.
answer_outcome classifyAnswer(const tools::client_answer& answer, bool isStreaming);

/// Not thread-safe; call on the loop's thread.
class load_runner {
public:
    /// The plan has passed `checkPlan`. \p client distinguishes the ids of
    /// several load clients. The references outlive the runner.
    load_runner(tools::loop& events, tools::history_writer& history, plan work, const std::string& client);

    /// Starts the load. \p onEnd is called when the length of the plan has elapsed
    /// and every request has ended.
    void start(std::function<void()> onEnd);

    /// Returns the statistics so far as JSON, in the form that docs/load.md
    /// describes.
    nlohmann::json report() const;

private:
    struct workspace_run {
        request_factory requests;
        load_statistics statistics;
        time_point endsAt;
    };

    void startWorkspace(workspace_run& run);
    /// Sends the open-loop request that is due at \p due, and those after it.
    void scheduleArrival(workspace_run& run, time_point due);
    void sendNew(workspace_run& run, time_point due);
    void send(workspace_run& run, planned_request planned, time_point due);
    void onAnswer(workspace_run& run, const planned_request& sent, const std::string& target, time_point due, const tools::client_answer& answer);
    /// Schedules another submission of a request if the plan requires it. Returns
    /// whether it did.
    bool resubmitIfPlanned(workspace_run& run, const planned_request& sent, outcome_kind ended);
    void checkEnd();

    tools::loop& m_loop;
    tools::history_writer& m_history;
    plan m_plan;
    tools::http_client m_client;
    std::vector<std::unique_ptr<workspace_run>> m_runs;
    std::size_t m_nextTarget = 0;
    std::size_t m_inFlight = 0;
    time_point m_startedAt;
    std::function<void()> m_onEnd;
};

}
