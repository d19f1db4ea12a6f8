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

/// The times that the design allows.
struct check_settings {
    duration withdrawalDelay = std::chrono::seconds(3); ///< P4 and P8: until no new work starts.
    duration inForceDelay = std::chrono::seconds(5); ///< P10: until an accepted change is in force.
    /// P3: how long a grant given under an earlier limit may still be started;
    /// the lifetime of a grant and its way to the server.
    duration limitDelay = std::chrono::milliseconds(1100);
    duration shutdownMargin = std::chrono::seconds(1); ///< P9: from a router's end until its callers notice.
};

/// A breach of a promise.
struct violation {
    time_point at;
    std::string message;
};

/// The result for one promise. Nothing was tested if `checked` is zero.
struct verdict {
    std::string_view promise;
    std::uint64_t checked = 0; ///< Cases in the history to which the promise applied.
    std::vector<violation> violations;
};

/// Checks P3 to P10 and returns a verdict for each, in order. Thread-safe.
std::vector<verdict> checkHistory(const history_index& index, const check_settings& settings);

/// Returns the greatest work in flight that each cold start saw beyond what the
/// server bears when cold, over all servers; a measurement, no verdict.
/// Thread-safe.
std::uint64_t coldOverload(const history_index& index);

}
