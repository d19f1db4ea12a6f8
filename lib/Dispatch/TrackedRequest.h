/// \file
/// State of one caller's request at the dispatcher.

#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>

#include "pimentoladder/Dispatch/Dispatcher.h"

namespace pimentoladder {

/// A request from its arrival to the end of its response, with its current attempt.
struct dispatcher::tracked_request {
    request_number number;
    inbound_request received;
    route target;
    workspace_id workspace;
    bool hasKey = false; ///< Admitted by a key, which may be revoked.
    pool_id pool;
    traits_of_request traits;
    std::optional<request_trait> quarantinedBy; ///< Trait for which it was refused.
    bool isTrial = false; ///< Sent although a trait of it is quarantined.
    double tokens = 0; ///< Counted against the workspace's share.
    time_point receivedAt;
    time_point deadline; ///< The earlier of the caller's and the route's.

    attempt_number attempt; ///< Zero: no attempt is open.
    server_id server;
    incarnation serverStart; ///< Registered when the attempt was opened.
    endpoint serverLocation;
    std::string serverVersion; ///< Registered when the attempt was opened.
    time_point openedAt;
    time_point progressAt; ///< Time at which the request was sent, or of the last event.
    bool isSent = false;
    bool isAtColdServer = false; ///< When the attempt was opened.
    duration expectedAnswer {}; ///< Expected time to the first event of the open attempt.
    bool isDenied = false; ///< This router withheld the first byte.
    bool hasCallerClosed = false; ///< Detected at the caller's socket before `onCallerDisconnected`.
    bool isForwarding = false; ///< The open attempt's bytes are forwarded to the caller.
    bool hasBegun = false; ///< The open attempt has sent a response head or, for a stream, an event.
    bool isWaitingForDeadline = false; ///< A timeout passed and no other server was available; the attempt may run until the deadline.
    int status = 0;
    std::size_t refusalBytes = 0; ///< Body bytes of a response that says that the request was not run.
    std::string_view refusal; ///< Result of the open attempt if its response says that the request was not run; otherwise empty.

    std::uint32_t runs = 0; ///< Attempts that may have run.
    bool hasReservedRetry = false; ///< A retry for the next attempt has been taken from the budget.
    std::set<server_id> triedServers;
    bool hasHead = false; ///< The head of a response has been forwarded to the caller.
    bool isEventStream = false; ///< That response is an event stream.
    std::optional<std::uint64_t> lastEvent;
    std::optional<duration> firstEvent;
    /// Server, incarnation and software version that sent the first event of the stream.
    struct stream_origin {
        server_id server;
        incarnation start;
        std::string version;
    };
    std::optional<stream_origin> origin;
    duration longestPause {};
    duration expectedFirstEvent {};
    server_id bestServer; ///< That the expected first event is of.
    queue_estimate queue; ///< What the expected first event rests on.
    hold_reason heldBy = hold_reason::none; ///< Why no server took it.
    double uncachedTokens = 0;
    share_use share; ///< That the workspace has used.
    std::optional<time_point> wakeAt;

    bool isRepeatable() const { return target.repeat != repeat_policy::atMostOnce; }
    bool isResumable() const { return target.isStream && target.repeat == repeat_policy::resumable; }
    bool canContinue() const { return isResumable() && isEventStream; }
};

}
