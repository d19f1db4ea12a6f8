/// \file
/// Faults that tests order at a stand-in.

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

/// What goes wrong. docs/standins.md says which role offers which fault.
enum class fault_kind {
    outage, ///< The connection is cut before the request takes effect.
    hang, ///< The request takes no effect and is never answered.
    refuse, ///< 503 with Retry-After; the request takes no effect.
    latency, ///< The request waits before it takes effect.
    lostAnswer, ///< The request takes effect and the connection is cut.
    lateEffect, ///< The connection is cut and the request takes effect later.
    reset, ///< A stream is cut by a TCP reset; it can be resumed.
    truncate, ///< A stream is closed without its closing chunk and is forgotten.
    stall, ///< A stream sends no further token.
    cold, ///< The engine becomes cold at once.
    stopForward, ///< The relay passes no byte from the caller on.
    stopBackward, ///< The relay passes no byte to the caller.
    dropNew, ///< The relay closes new connections.
    dropHistory, ///< The store forgets the changes before now.
    resetAll, ///< The relay resets every open connection at once.
};

/// Returns the kind of the given snake-case name, or nothing. Thread-safe.
std::optional<fault_kind> faultKind(std::string_view name);

/// One order. The default applies to every request until it is cleared.
struct fault {
    fault_kind kind = fault_kind::outage;
    std::string target; ///< Namespace or path prefix it is limited to; empty: all.
    std::uint32_t count = 0; ///< How often it strikes; 0: without limit.
    double probability = 1;
    std::uint32_t afterTokens = 0; ///< Tokens that a stream sends before it is struck.
    bool isAnnounced = true; ///< Whether load reports show a cold engine as cold.
    duration latency {}; ///< For `latency` and `lateEffect`.
    std::optional<time_point> expiresAt;
};

/// The faults in force. Not thread-safe; call on the loop's thread.
class fault_plan {
public:
    explicit fault_plan(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void add(fault entry) { m_faults.push_back(std::move(entry)); }

    /// Removes the faults limited to \p target, or all if it is empty.
    void clear(std::string_view target);

    /// Returns the first fault of this kind that strikes a request to \p target,
    /// and counts it as used.
    std::optional<fault> take(fault_kind kind, std::string_view target, time_point now);

private:
    random_source m_random;
    std::vector<fault> m_faults;
};

}
