/// \file
/// Admission control for requests with a prompt.

#pragma once

#include <optional>

#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Dispatch/WorkspaceShare.h"

namespace pimentoladder {

/// Estimates for a request at the best available server.
struct prompt_estimate {
    duration objective {}; ///< Target time to the first event.
    duration expectedFirstEvent {}; ///< Includes the time to read the prompt.
    double uncachedTokens = 0; ///< Prompt tokens that the server would have to read.
    double ownTokens = 0; ///< Prompt tokens that are not shared with other requests.
    share_use share; ///< That the workspace has used.
    duration loopLag {}; ///< Lag of this router's event loop.
    bool isRequestLimited = false; ///< The server is short of requests rather than of time to read prompts.
    duration baseTime {}; ///< Part of `expectedFirstEvent` that the server needs for any request.
    std::optional<duration> ownTime {}; ///< Part of it that an idle server would need, with the base time; nothing: that of the usual speed.
};

/// Returns whether the request is to be sent. The first event must be expected within
/// a fraction of the objective, apart from the base time. A workspace that exceeds its share gets a smaller
/// fraction, and its requests go only to servers that have the shared parts of the
/// prompt in their cache, or that take few requests. Thread-safe.
bool shouldAdmitPrompt(const prompt_estimate& estimate);

/// Returns whether a request that `shouldAdmitPrompt` refuses is to be sent all the same, although
/// its first event is expected late: its workspace was admitted much less than it asked for within
/// its share, while others use the engines. The less it was admitted, the later the first event
/// may be, up to a multiple of the objective. Thread-safe.
bool shouldAdmitLatePrompt(const prompt_estimate& estimate);

}
