/// \file
/// Sum of what the routers have reported on one roll-out.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// Answers of one side of a roll-out.
struct rollout_counts {
    std::uint64_t sent = 0;
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
    std::uint64_t slow = 0;

    std::uint64_t faults() const { return failures + slow; }
    rollout_counts& operator+=(const rollout_counts& added);
    rollout_counts operator-(const rollout_counts& earlier) const;
};

/// Answers of both sides.
struct rollout_comparison {
    rollout_counts target;
    rollout_counts current;

    rollout_comparison& operator+=(const rollout_comparison& added);
    rollout_comparison operator-(const rollout_comparison& earlier) const;
};

/// What all routers have seen since the order.
struct rollout_totals {
    std::uint64_t requests = 0;
    std::uint64_t inProgress = 0; ///< Attempts at servers of other versions.
    std::map<std::string, rollout_comparison> routes;
    rollout_comparison all; ///< Sum over the routes.
};

/// How the faulty answers are spread over the target's servers. A pair is a router and a
/// server that has answered it.
struct rollout_fault_spread {
    unsigned servers = 0;
    unsigned faultyServers = 0;
    unsigned otherFaultyPairs = 0; ///< Without the server that is faulty at the most routers.
    std::size_t routers = 0; ///< That have reported.
};

/// Keeps the newest report of each router on one order. A router that restarts counts from
/// zero again, so what it reported before is kept and added. Not thread-safe.
class rollout_evidence_sum {
public:
    /// Time without a report after which a router's evidence is out of date.
    static constexpr duration recentTime = std::chrono::seconds(3);

    void add(time_point now, const member_ref& from, const rollout_evidence& reported);
    rollout_totals totals() const;

    rollout_fault_spread spread() const;

    /// Returns the age of the oldest newest report among the routers that reported within
    /// `recentTime`.
    duration age(time_point now) const;

    /// Returns the number of routers that reported within `recentTime`.
    std::size_t recentRouters(time_point now) const;

private:
    struct source {
        incarnation start;
        time_point receivedAt;
        rollout_evidence newest;
    };

    std::map<vm_id, source> m_sources;
    rollout_totals m_earlierStarts; ///< Last counts of routers that have restarted since.
};

}
