/// \file
/// Checks a history against the promises of docs/design.md, section 1.2.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "history/HistoryIndex.h"
#include "pimentoladder/Base/Time.h"

namespace pimentoladder::history {

/// Delays that the design allows.
struct check_settings {
    duration withdrawalDelay = std::chrono::seconds(3); ///< P4 and P8: until no new work starts.
    duration inForceDelay = std::chrono::seconds(5); ///< P10: until an accepted change is in force.
    /// P3: how long a request may still start with a grant issued under an earlier
    /// limit: the lifetime of a grant plus its transit time to the server.
    duration limitDelay = std::chrono::milliseconds(1100);
    duration shutdownMargin = std::chrono::seconds(1); ///< P9: from the end of a router until its callers notice.
};

/// A violation of a promise.
struct violation {
    time_point at;
    std::string message;
};

/// Result of the check of one promise. If `checked` is zero, the promise was not
/// tested.
struct check_result {
    std::string_view promise;
    std::uint64_t checked = 0; ///< Cases in the history to which the promise applied.
    std::vector<violation> violations;
};

/// Checks P3 to P10 and returns the result of each, in order. Thread-safe.
std::vector<check_result> checkHistory(const history_index& index, const check_settings& settings);

/// Returns the maximum over all servers of the requests in flight above the cold
/// limit while the server was cold. This is a measurement, not a check.
/// Thread-safe.
std::uint64_t coldOverload(const history_index& index);

}
