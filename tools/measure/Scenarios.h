/// \file
/// The measurements of pimentoladder-measure.

#pragma once

#include <cstddef>
#include <cstdint>

#include "Figures.h"

namespace pimentoladder::measure {

/// Measures the fairness gap and compares it with its bound and with the baseline.
/// Not thread-safe.
void measureFairness(std::uint64_t seed, figure_printer& printer);

/// Measures the utilisation of the limits in force while work waits. Not
/// thread-safe.
void measureUtilisation(std::uint64_t seed, figure_printer& printer);

/// Measures control messages and the cost of a decision at several fleet sizes, and
/// compares a causal matrix with counters per owner. Not thread-safe.
void measureControl(std::uint64_t seed, figure_printer& printer);

/// Measures processor time and memory of one shard scheduler by number of routers.
void measureCapacity(std::uint64_t seed, figure_printer& printer);

/// Measures messages, processor time, memory and table calls of router cores for one
/// number of routers (8, 40, 120 or 340), or for each of them if \p routers is zero.
/// Not thread-safe.
void measureRouters(std::uint64_t seed, std::size_t routers, figure_printer& printer);

/// Measures the reads and writes of the table without load, right after an outage of
/// the table and in a rolling restart; zero routers means 340. Not thread-safe.
void measureTable(std::uint64_t seed, std::size_t routers, figure_printer& printer);

/// Compares message size and information age of an n-squared causal matrix with
/// those of counters per owner.
void measureCausalMatrix(std::uint64_t seed, figure_printer& printer);

}
