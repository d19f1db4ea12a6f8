/// \file
/// What load to produce.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Time.h"

namespace pimentoladder::load {

/// The load of one workspace. Exactly one of `rate` and `concurrency` is above
/// zero: open loop with exponential gaps, or closed loop.
struct workspace_load {
    std::string name;
    std::string key; ///< Sent as bearer token.
    double rate = 0; ///< Requests per second, whether or not earlier ones have ended.
    std::uint32_t concurrency = 0; ///< Requests in flight; each is followed by the next.
    std::string method = "GET";
    std::string path;
    std::uint32_t bodyBytes = 0; ///< Length of the prompt in the body of a POST.
    std::uint32_t sharedPrefixBytes = 0; ///< Start of the prompt that all requests share.
    std::uint32_t minTokens = 0; ///< Hidden cost, drawn evenly; 0: left to the engine.
    std::uint32_t maxTokens = 0;
    double costHint = 0; ///< Value of X-Cost-Hint; 0: none.
    bool isStreaming = false; ///< Whether a whole answer must end with the engine's last line.
    bool hasIdempotencyKey = false;
    std::uint32_t repeats = 0; ///< How often a request that got no answer is submitted again, with the same key and body.
    double duplicateShare = 0; ///< Share of answered requests that are submitted once more.
    duration startAfter {}; ///< From the start of the run.
    duration stopAfter {}; ///< From the start of the run; zero: its end.
};

struct plan {
    duration length = std::chrono::seconds(10);
    duration timeout = std::chrono::seconds(30); ///< For one request.
    std::uint64_t seed = 1;
    std::vector<std::string> targets; ///< Routers as "IP:port"; requests take turns.
    std::vector<workspace_load> workspaces;
};

/// Parses the YAML form of a plan, described in docs/load.md.
/// Errors: `invalidArgument`, with line and column. Thread-safe.
result<plan> parsePlan(const std::string& text);

/// Returns what is wrong with a plan, or success. Thread-safe.
result<void> checkPlan(const plan& checked);

}
