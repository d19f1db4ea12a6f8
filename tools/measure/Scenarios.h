/// \file
/// The measurements that the program offers.

#pragma once

#include <cstddef>
#include <cstdint>

#include "Figures.h"

namespace pimentoladder::measure {

/// Fairness gap against its bound and the baseline. Not thread-safe.
void measureFairness(std::uint64_t seed, figure_printer& printer);

/// Use of the limits in force while work waits. Not thread-safe.
void measureUtilisation(std::uint64_t seed, figure_printer& printer);

/// Control messages, cost of a decision at several sizes, and the causal
/// matrix against counters for each owner. Not thread-safe.
void measureControl(std::uint64_t seed, figure_printer& printer);

/// Processor time and memory of one shard scheduler by number of routers.
void measureCapacity(std::uint64_t seed, figure_printer& printer);

/// Messages, processor time, memory and table calls of whole router cores, at
/// one number of routers (8, 40, 120 or 340) or, with zero, at all.
/// Not thread-safe.
void measureRouters(std::uint64_t seed, std::size_t routers, figure_printer& printer);

/// Reads and writes of the table in quiet time, right after an outage and in a
/// rolling restart; zero routers means 340. Not thread-safe.
void measureTable(std::uint64_t seed, std::size_t routers, figure_printer& printer);

/// Bytes and age of an n-squared causal matrix and of counters for each owner.
void measureCausalMatrix(std::uint64_t seed, figure_printer& printer);

}
