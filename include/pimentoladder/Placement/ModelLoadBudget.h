/// \file
/// Share of the weight store's load rate that one shard may use.

#pragma once

#include <cstddef>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// Token bucket for the loads that the owner of one shard orders.
///
/// Every shard of a model pool gets the fleet's rate divided by the number of
/// such shards. The bucket holds one load at most and is empty when an ownership
/// begins, so all owners together order at most `rate * T + shards` loads in
/// any time T, and their rates never sum to more than the fleet's rate. An
/// increase in the number of shards applies at once; a decrease applies only
/// when every fresh router has applied it, because otherwise the rates could sum
/// to more. Not thread-safe; call on the loop's thread.
class model_load_budget {
public:
    /// \p loadsPerSecond is the rate of the whole fleet; above 0.
    model_load_budget(double loadsPerSecond, time_point startsAt);

    /// Sets the number of shards that share the rate. \p isSettled states that
    /// every fresh router has applied the configuration document with this number.
    void setShards(std::size_t shards, bool isSettled, time_point now);

    /// Takes the token for one load. Returns false if there is none.
    [[nodiscard]] bool take(time_point now);

    /// Returns whether `take` would succeed.
    bool hasLoadBudget(time_point now) const;

    /// Returns the loads per second that this shard may order.
    double rate() const;

private:
    double availableLoads(time_point now) const;

    double m_loadsPerSecond;
    std::size_t m_shards = 0; ///< Zero until the number is known; no load is allowed until then.
    double m_loads = 0;
    time_point m_refilledAt;
};

}
