/// \file
/// Plan of the load to generate.

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
    std::string key; ///< API key, sent as bearer token.
    double rate = 0; ///< Requests per second, independent of whether earlier ones have ended.
    std::uint32_t concurrency = 0; ///< Requests in flight; when one ends, the next is sent.
    std::string method = "GET";
    std::string path;
    std::uint32_t bodyBytes = 0; ///< Length of the prompt in the body of a POST.
    std::uint32_t sharedPrefixBytes = 0; ///< Length of the prompt prefix common to all requests.
    std::uint32_t minTokens = 0; ///< Lower bound of the uniformly distributed output tokens; the engine chooses if `maxTokens` is 0.
    std::uint32_t maxTokens = 0;
    double costHint = 0; ///< Value of X-Cost-Hint; 0: not sent.
    bool isStreaming = false; ///< Whether a complete answer must end with the engine's end line.
    bool hasIdempotencyKey = false;
    std::uint32_t repeats = 0; ///< How often a request without a complete answer is resubmitted, with the same key and body.
    double duplicateShare = 0; ///< Fraction of answered requests that are submitted a second time.
    duration startAfter {}; ///< Offset from the start of the run.
    duration stopAfter {}; ///< Offset from the start of the run; zero: the end of the run.
};

struct plan {
    duration length = std::chrono::seconds(10);
    duration timeout = std::chrono::seconds(30); ///< For one request.
    std::uint64_t seed = 1;
    std::vector<std::string> targets; ///< Routers as "IP:port", used in round-robin order.
    std::vector<workspace_load> workspaces;
};

/// Parses the YAML form of a plan, described in docs/load.md.
/// Errors: `invalidArgument`, with line and column. Thread-safe.
result<plan> parsePlan(const std::string& text);

/// Checks that a plan can be run. Errors: `invalidArgument`, with the reason.
/// Thread-safe.
result<void> checkPlan(const plan& checked);

}
