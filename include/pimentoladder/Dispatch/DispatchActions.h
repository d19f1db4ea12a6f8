/// \file
/// Input of the dispatcher (requests and response heads) and the actions that it
/// returns for the front end to execute.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Dispatch/FleetView.h"
#include "pimentoladder/Dispatch/SendWindow.h"
#include "pimentoladder/Dispatch/ServerCondition.h"
#include "pimentoladder/Dispatch/ServingPlan.h"
#include "pimentoladder/Outcome/CrashAttribution.h"
#include "pimentoladder/Outcome/Refusal.h"

namespace pimentoladder {

/// A caller's request as parsed by the front end.
struct inbound_request {
    std::string callerId; ///< Identifies the request in logs, at the caller and at the servers.
    std::string host;
    std::string path; ///< Without query.
    std::optional<std::string> keyDigest; ///< Lower-case hexadecimal SHA-256 of the caller's key.
    std::optional<duration> timeLeft; ///< Remaining time for which the caller waits.
    std::optional<prompt_work> prompt;
    std::optional<std::uint64_t> resumeAfter; ///< Id of the last event that the caller received, if it resumes a stream.
    std::string resumedId {}; ///< `callerId` of the attempt that brought the first event of that stream; empty if the caller names none.
    std::uint64_t contentHash = 0; ///< Hash of method, target and body.
};

/// Head of a backend server's response.
struct served_head {
    int status = 0;
    bool isFromExpectedAttempt = true; ///< False if the response carries the id of another attempt, or none although the request has one.
    bool isNotExecuted = false; ///< The server reports that it did not run the request.
    bool isMisdirected = false; ///< The address now belongs to another server, which did not run the request.
    bool isAuthentic = false; ///< Carries the server's signature.
    bool isEventStream = false; ///< A success whose body is a stream of events.
    std::optional<reported_load> load;
    std::string unreadableLoad {}; ///< Report of the load that has no defined meaning, as received, if there is one.
    named_limit limit;
    bool isLeaving = false; ///< The server announces that it leaves.
    std::optional<duration> retryAfter {}; ///< Time for which a refusal asks for no further request.
    std::string unreadableNotice {}; ///< Header of a notice that has no defined meaning, as received.

    /// Returns whether the server refused the request without running it.
    bool isRefusal() const { return isNotExecuted || isMisdirected; }
};

/// Ids of the events that were received together.
struct event_ids {
    std::optional<std::uint64_t> first; ///< Of the first event, if it has one.
    std::optional<std::uint64_t> last; ///< Of the last event that has one.
};

/// Open an attempt at a backend server.
struct open_dispatch {
    request_number request;
    attempt_number attempt;
    server_id server;
    endpoint location;
    workspace_id workspace; ///< Empty for requests without a key.
    duration timeLeft {};
    std::optional<std::uint64_t> resumeAfter;
};

/// Cancel an attempt and discard what its server still sends.
struct cancel_dispatch {
    request_number request;
    attempt_number attempt;
};

/// Forward to the caller the response head that is being handled.
struct forward_response_head {
    request_number request;
};
/// Forward to the caller the response bytes that are being handled.
struct forward_response_bytes {
    request_number request;
};

/// Complete the caller's response.
struct end_response {
    request_number request;
};

/// Abort the caller's response in such a way that the caller sees that it is incomplete.
struct abort_response {
    request_number request;
};

/// Reject the request with a response of the router's own.
struct refuse_inbound {
    request_number request;
    refusal_kind kind {};
    duration retryAfter {}; ///< Zero: the response has no Retry-After header.
};

/// Log record of one choice of server.
struct dispatch_decision {
    request_number request;
    attempt_number attempt;
    std::string callerId;
    std::string routeName;
    workspace_id workspace;
    server_id server;
    duration expectedFirstEvent {};
    double uncachedTokens = 0;
    std::size_t candidates = 0;
    std::uint32_t attemptsSoFar = 0;
    double shareUtilisation = 0; ///< Of the share of the capacity; above 1, the workspace exceeds it.
    double servedUtilisation = 0; ///< Of the share of what was served.
    double entitledUtilisation = 1; ///< Of what the workspace asked for within that share, what it was admitted.
    bool isCold = false;
    revision planVersion;
    duration basisAge {};
    std::optional<duration> usageAge; ///< Of the fleet's sums of usage; nothing if there are none.
    queue_estimate queue {}; ///< What the expected first event rests on.
    std::string_view rolloutSide {}; ///< Of the server's version in a roll-out: target or current; empty if the pool has no order.
};

/// Log record of the end of an attempt.
struct attempt_outcome {
    request_number request;
    attempt_number attempt;
    std::string callerId;
    server_id server;
    std::string_view result;
    int status = 0;
    duration sinceSent {};
    bool hasBegun = false; ///< The server had sent a response head or, for a stream, an event.
    std::vector<prompt_part> sharedParts; ///< Of the prompt, if the attempt failed before it began.
};

/// Log record of the end of a request.
struct request_outcome {
    request_number request;
    std::string callerId;
    std::string routeName;
    workspace_id workspace;
    std::string_view result; ///< served, refused, broken or abandoned.
    std::string_view reason; ///< Name of the refusal, or empty if the request was not refused.
    std::uint32_t attempts = 0;
    double tokens = 0; ///< Counted against the workspace's share; zero without a prompt.
    double shareUtilisation = 0; ///< Of the share of the capacity; above 1, the workspace exceeds it.
    double servedUtilisation = 0; ///< Of the share of what was served.
    double entitledUtilisation = 1; ///< Of what the workspace asked for within that share, what it was admitted.
    duration expectedFirstEvent {}; ///< At the best server; also set if the request was refused because of load.
    std::optional<duration> firstEvent;
    duration longestPause {};
    duration total {};
    duration objective {};
    std::optional<request_trait> quarantinedBy; ///< Trait for which the request was refused.
    hold_reason heldBy = hold_reason::none; ///< Of the server that would have taken it first, if no server took it.
    std::optional<duration> usageAge; ///< Of the fleet's sums of usage at the end; nothing if there are none.
    server_id bestServer {}; ///< That the expected first event is of; empty if no server was compared.
    queue_estimate queue {}; ///< What the expected first event rests on.
};

/// Log record of a request that is sent to find out whether a quarantined trait still
/// crashes servers.
struct quarantine_trial {
    request_number request;
    std::string callerId;
    request_trait trait;
};

/// Log record of a change in a server's request limit.
struct limit_change {
    server_id server;
    limit_notice notice = limit_notice::none;
    double perSecond = 0;
    std::string text; ///< As received, if it is unreadable.
    bool isOwn = true; ///< Seen in a response to this router; otherwise reported by another one.
    duration age {}; ///< Of the response.
};

/// Close the kept connections to a server: idle ones at once, the others after their response.
struct retire_connections {
    endpoint location;
};

/// Log record of a notice in a server's response on whether it takes requests.
struct hold_change {
    server_id server;
    hold_reason reason = hold_reason::none; ///< None: it takes requests again, or the notice is unreadable.
    duration length {}; ///< For which the server is left alone, if it rests.
    std::string text {}; ///< As received, if it is unreadable.
    bool isOwn = true; ///< Seen in a response to this router; otherwise reported by another one.
};

/// Log record of a server's report of its load that cannot be read. What is known of its load holds.
struct unreadable_load {
    server_id server;
    std::string text; ///< As received, shortened.
};

using dispatch_action = std::variant<open_dispatch, cancel_dispatch, forward_response_head, forward_response_bytes, end_response,
    abort_response, refuse_inbound, dispatch_decision, attempt_outcome, request_outcome, trait_change, quarantine_trial, limit_change,
    retire_connections, hold_change, unreadable_load, removed_server>;
using dispatch_actions = std::vector<dispatch_action>;

}
