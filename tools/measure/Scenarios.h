/// \file
/// The measurements that the program offers.

#pragma once

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

/// Bytes and age of an n-squared causal matrix and of counters for each owner.
void measureCausalMatrix(std::uint64_t seed, figure_printer& printer);

}
