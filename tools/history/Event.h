/// \file
/// Events of a history, independent of their encoding. docs/history.md describes
/// them.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder::history {

enum class event_kind {
    // Written by load clients.
    invoked,
    answered,
    refused,
    broken,
    // Written by stand-ins of backend servers.
    serverStarted,
    serverCrashed,
    serverCold,
    serverWarm,
    executionStarted,
    executionEnded,
    executionDetached,
    executionResumed,
    // Written by routers.
    routerStarted,
    inForce,
    limitInForce,
    shutdownBegun,
    shutdownEnded,
    // Written by test drivers.
    accepted,
    withdrawn,
    restored,
    routerAddress,
    routerKilled,
    routerUnreachable,
    routerReachable,
};

/// Returns the kind of the given snake-case name, or nothing. Thread-safe.
std::optional<event_kind> eventKind(std::string_view name);

/// One event. A kind uses the fields that docs/history.md lists for it; the
/// others are empty.
struct event {
    time_point at;
    event_kind kind = event_kind::invoked;
    std::string source; ///< Name of the process that wrote the event.
    std::string id; ///< Id of a caller's request.
    std::string workspace;
    std::string key; ///< Idempotency key.
    std::string method;
    std::string target; ///< Address of the router that received the request.
    std::string server;
    std::string router;
    std::string execution;
    std::string result;
    std::string digest;
    std::string reason;
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0;
    std::uint64_t limit = 0;
    std::uint64_t cutRequests = 0;
    int status = 0;
    bool isNotRun = false;
};

/// Events in order of time.
using event_list = std::vector<event>;

/// Sorts by time. Events of equal time keep their order. Thread-safe.
void sortByTime(event_list& events);

}
