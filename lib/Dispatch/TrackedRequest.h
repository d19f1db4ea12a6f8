/// \file
/// State of one caller's request at the dispatcher.

#pragma once

#include <cstdint>
#include <optional>
#include <set>

#include "pimentoladder/Dispatch/Dispatcher.h"

namespace pimentoladder {

/// A request from its arrival to the end of its answer, with its present attempt.
struct dispatcher::tracked_request {
    request_number number;
    inbound_request received;
    route target;
    workspace_id workspace;
    bool hasKey = false; ///< Admitted by a key, which may be withdrawn.
    pool_id pool;
    double tokens = 0; ///< Counted against the workspace's share.
    time_point receivedAt;
    time_point deadline; ///< Of the caller or of the route, whichever is earlier.

    attempt_number attempt; ///< Zero: none is open.
    server_id server;
    time_point openedAt;
    time_point progressAt; ///< Sent, or last event.
    bool isSent = false;
    bool isDenied = false; ///< This router withheld the first byte.
    bool hasCallerClosed = false; ///< Seen at the caller's socket before the event.
    bool isPassing = false; ///< The open attempt's bytes go to the caller.
    bool hasWaited = false; ///< Patience ran out, and no other server could take over.
    int status = 0;

    std::uint32_t runs = 0; ///< Attempts that may have run.
    bool hasRetry = false; ///< Taken from the budget for the next attempt.
    std::set<server_id> met;
    bool hasHead = false; ///< The caller has the head of the answer.
    std::optional<std::uint64_t> lastEvent;
    std::optional<duration> firstEvent;
    duration longestPause {};
    duration expectedFirstEvent {};
    double unreadTokens = 0;
    double shareFill = 0; ///< Part of its workspace's share that is used up.
    std::optional<time_point> wakeAt;

    bool isRepeatable() const { return target.repeat != repeat_policy::atMostOnce; }
    bool isResumable() const { return target.isStream && target.repeat == repeat_policy::resumable; }
};

}
