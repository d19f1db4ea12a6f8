/// \file
/// What the dispatcher is told about requests and answers, and what it asks its
/// surroundings to do.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Dispatch/ServerCondition.h"
#include "pimentoladder/Dispatch/ServingPlan.h"
#include "pimentoladder/Outcome/Refusal.h"

namespace pimentoladder {

/// A caller's request as the front end has read it.
struct inbound_request {
    std::string callerId; ///< Names the request in logs, at callers and at servers.
    std::string host;
    std::string path; ///< Without query.
    std::optional<std::string> keyDigest; ///< Lower-case hexadecimal SHA-256 of the caller's key.
    std::optional<duration> timeLeft; ///< How long the caller will wait.
    std::optional<prompt_work> prompt;
    std::optional<std::uint64_t> resumeAfter; ///< Last event that the caller has, of a stream that it resumes.
};

/// Head of a backend server's answer.
struct served_head {
    int status = 0;
    bool isFromExpectedAttempt = true; ///< False if the answer names another attempt.
    bool isRefusedUnrun = false; ///< The server states that it did not run the request.
    bool isOtherServer = false; ///< Another server has the address now; it did not run the request.
    bool isAuthentic = false; ///< Bears the server's signature.
    std::optional<stated_load> load;
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

/// Stop an attempt and drop what it still delivers.
struct cancel_dispatch {
    request_number request;
    attempt_number attempt;
};

/// Pass on the head, or the bytes, that the dispatcher is being told of.
struct pass_head {
    request_number request;
};
struct pass_bytes {
    request_number request;
};

/// End the caller's answer as whole.
struct end_response {
    request_number request;
};

/// Break off the caller's answer so that it cannot be taken for whole.
struct break_response {
    request_number request;
};

/// Give the caller an answer that no backend server gave.
struct refuse_inbound {
    request_number request;
    refusal_kind kind {};
    duration retryAfter {}; ///< Zero: none is stated.
};

/// The record of one choice of server.
struct dispatch_decision {
    request_number request;
    attempt_number attempt;
    std::string callerId;
    std::string routeName;
    workspace_id workspace;
    server_id server;
    duration expectedFirstEvent {};
    double unreadTokens = 0;
    std::size_t candidates = 0;
    std::uint32_t attemptsSoFar = 0;
    double shareFill = 0; ///< Above 1: the workspace is beyond its fair share.
    bool isCold = false;
    revision planVersion;
    duration basisAge {};
};

/// The record of one attempt's end.
struct attempt_outcome {
    request_number request;
    attempt_number attempt;
    std::string callerId;
    server_id server;
    std::string_view result;
    int status = 0;
    duration sinceSent {};
};

/// The record of one request's end.
struct request_outcome {
    request_number request;
    std::string callerId;
    std::string routeName;
    workspace_id workspace;
    std::string_view result; ///< served, refused, broken or abandoned.
    std::string_view reason; ///< Name of the refusal; empty otherwise.
    std::uint32_t attempts = 0;
    double tokens = 0; ///< Counted against the workspace's share; zero without a prompt.
    double shareFill = 0; ///< Above 1: the workspace is beyond its fair share.
    duration expectedFirstEvent {}; ///< Of the best server, where the request was refused for its load.
    std::optional<duration> firstEvent;
    duration longestPause {};
    duration total {};
    duration objective {};
};

using dispatch_action = std::variant<open_dispatch, cancel_dispatch, pass_head, pass_bytes, end_response,
    break_response, refuse_inbound, dispatch_decision, attempt_outcome, request_outcome>;
using dispatch_actions = std::vector<dispatch_action>;

}
