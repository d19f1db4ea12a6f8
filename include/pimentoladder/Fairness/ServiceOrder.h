/// \file
/// Strategies for the order in which backlogged workspaces are served.

#pragma once

#include <cstdint>

namespace pimentoladder {

/// What a strategy sees of one backlogged workspace.
struct service_candidate {
    double virtualTime = 0; ///< At the shard that decides.
    std::uint64_t oldestArrival = 0; ///< Arrival number of the oldest waiting request at the shard.
};

/// Orders backlogged workspaces; the least rank is served first.
/// Thread-safe, as strategies hold no state.
class service_order {
public:
    virtual ~service_order() = default;

    virtual double rank(const service_candidate& candidate) const = 0;
};

/// Serves the workspace with the least virtual time: fair sharing.
class least_virtual_time : public service_order {
public:
    double rank(const service_candidate& candidate) const override;
};

/// Serves the oldest request first. The baseline of the measurements.
class arrival_order : public service_order {
public:
    double rank(const service_candidate& candidate) const override;
};

}
