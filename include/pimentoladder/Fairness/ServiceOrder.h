/// \file
/// Strategies for the order in which backlogged workspaces are served.

#pragma once

#include <cstdint>

namespace pimentoladder {

/// Input of a strategy: one backlogged workspace.
struct service_candidate {
    double virtualTime = 0; ///< At the shard to be scheduled.
    std::uint64_t oldestArrival = 0; ///< Arrival number of the oldest waiting request at the shard.
};

/// Ranks backlogged workspaces; the one with the least rank is served first.
/// Thread-safe, as strategies hold no state.
class service_order {
public:
    virtual ~service_order() = default;

    virtual double rank(const service_candidate& candidate) const = 0;
};

/// Serves the workspace with the least virtual time first (fair sharing).
class least_virtual_time : public service_order {
public:
    double rank(const service_candidate& candidate) const override;
};

/// Serves the oldest request first. The baseline in measurements.
class arrival_order : public service_order {
public:
    double rank(const service_candidate& candidate) const override;
};

}
