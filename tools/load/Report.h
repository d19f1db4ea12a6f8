/// \file
/// Counts and latencies of a load run, without input or output.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder::load {

/// How one request ended, as its caller saw it.
enum class outcome_kind {
    answered, ///< A complete answer from a backend server.
    refused, ///< An answer with a refusal kind.
    broken, ///< No complete answer.
};

struct request_outcome {
    outcome_kind kind = outcome_kind::broken;
    std::string detail; ///< Refusal kind or how the connection failed; empty if answered.
    duration latency {}; ///< From the time at which the request was due.
    std::optional<duration> firstByteLatency;
    std::uint64_t cost = 0; ///< As stated by the engine.
};

struct latency_summary {
    std::uint64_t count = 0;
    duration p50 {};
    duration p90 {};
    duration p99 {};
    duration p999 {};
    duration max {};
};

/// Returns the percentiles of \p samples by the nearest-rank method.
/// Thread-safe.
latency_summary summarize(std::vector<duration> samples);

/// Counts and latencies of one workspace. Not thread-safe; call on the loop's thread.
class load_statistics {
public:
    void countSent() { ++m_sent; }
    void count(const request_outcome& outcome);
    /// Merges the statistics of \p other into this object.
    void add(const load_statistics& other);

    std::uint64_t sent() const { return m_sent; }
    std::uint64_t answered() const { return m_latencies.size(); }
    std::uint64_t cost() const { return m_cost; }
    const std::map<std::string, std::uint64_t>& refused() const { return m_refused; }
    const std::map<std::string, std::uint64_t>& broken() const { return m_broken; }
    latency_summary latency() const { return summarize(m_latencies); }
    latency_summary firstByteLatency() const { return summarize(m_firstByteLatencies); }

private:
    std::uint64_t m_sent = 0;
    std::uint64_t m_cost = 0;
    std::map<std::string, std::uint64_t> m_refused;
    std::map<std::string, std::uint64_t> m_broken;
    std::vector<duration> m_latencies;
    std::vector<duration> m_firstByteLatencies;
};

}
