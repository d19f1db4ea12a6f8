/// \file
/// Faults that tests inject into a stand-in.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Random.h"
#include "pimentoladder/Base/Time.h"

namespace pimentoladder::standins {

/// Kinds of injected faults. docs/standins.md lists the faults of each role.
enum class fault_kind {
    outage, ///< The connection is cut before the request takes effect.
    hang, ///< The request takes no effect and is never answered.
    refuse, ///< Answers 503 with Retry-After; the request takes no effect.
    latency, ///< The request is delayed before it takes effect.
    lostAnswer, ///< The request takes effect, then the connection is cut without an answer.
    lateEffect, ///< The connection is cut and the request takes effect later.
    reset, ///< A stream is cut by a TCP reset; it can be resumed.
    truncate, ///< A stream is closed without its closing chunk and cannot be resumed.
    stall, ///< A stream stops sending tokens but stays open.
    cold, ///< The engine becomes cold at once.
    stopForward, ///< The relay forwards no bytes from the caller to the target.
    stopBackward, ///< The relay forwards no bytes from the target to the caller.
    dropNew, ///< The relay closes new connections.
    dropHistory, ///< The store discards its change history up to now.
    restore, ///< The store is away, then comes back from a copy.
    eraHeader, ///< The store names other eras than its own in its answers, or none.
    resetAll, ///< The relay resets every open connection at once.
    requestLimit, ///< The backend server names a request limit in its responses.
    endless, ///< A stream sends bytes without end that complete no event.
    turnAway, ///< The backend server answers 503 with Retry-After and does not run the request.
    failure, ///< The backend server runs the request and answers 500.
    announceLeaving, ///< The backend server announces in its responses that it leaves; its registration stays as it is.
};

/// Returns the kind of the given snake-case name, or nothing. Thread-safe.
std::optional<fault_kind> faultKind(std::string_view name);

/// An injected fault. By default it applies to every request until it is
/// cleared.
struct fault {
    fault_kind kind = fault_kind::outage;
    std::string target; ///< Namespace or path prefix that the fault is limited to; empty: all.
    std::uint32_t count = 0; ///< How many requests it applies to; 0: unlimited.
    double probability = 1; ///< That the fault applies to a matching request.
    std::uint32_t afterTokens = 0; ///< Tokens that a stream sends before the fault applies.
    bool isAnnounced = true; ///< Whether load reports show a cold engine as cold.
    double perSecond = 0; ///< For `requestLimit`.
    duration latency {}; ///< For `latency` and `lateEffect`; for `turnAway`, the value of Retry-After.
    duration age {}; ///< Of the copy, for `restore`.
    std::vector<std::string> values; ///< Of the header, once for each, for `eraHeader`.
    std::optional<time_point> expiresAt;
};

/// The active faults. Not thread-safe; call on the loop's thread.
class fault_plan {
public:
    explicit fault_plan(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void add(fault entry) { m_faults.push_back(std::move(entry)); }

    /// Removes the faults whose target is \p target, or all if it is empty.
    void clear(std::string_view target);

    /// Returns the first fault of this kind that applies to a request to
    /// \p target and decrements its remaining count.
    std::optional<fault> take(fault_kind kind, std::string_view target, time_point now);

private:
    random_source m_random;
    std::vector<fault> m_faults;
};

}
