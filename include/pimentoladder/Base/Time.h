/// \file
/// Time types shared by all libraries.

#pragma once

#include <chrono>
#include <cstdint>

namespace pimentoladder {

/// The clock of all time points in this code base: monotonic, and it also advances
/// while the VM is suspended.
///
/// The core receives time points as arguments. Only the event loop reads the
/// clock, so this type has no `now()`.
struct fleet_clock {
    using rep = std::int64_t;
    using period = std::nano;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<fleet_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required of clock types
};

using time_point = fleet_clock::time_point;
using duration = fleet_clock::duration;

}
