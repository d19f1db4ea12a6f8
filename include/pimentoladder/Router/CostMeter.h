/// \file
/// Strategies that measure the cost of a request while its response arrives.

#pragma once

#include <cstddef>
#include <string_view>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Config/Document.h"

namespace pimentoladder {

/// Properties of a request that determine its cost.
struct cost_inputs {
    std::size_t requestBytes = 0;
    cost_units defaultCost = 1;
};

/// Measures the cost of requests to one kind of pool. Stateless and therefore
/// thread-safe.
class cost_meter {
public:
    virtual ~cost_meter() = default;

    /// Returns the cost of a request that was sent, before any response arrives.
    virtual cost_units costWhenSent(const cost_inputs& inputs) const = 0;

    /// Returns the additional cost of \p bytes of the response body.
    virtual cost_units costOfBytes(std::string_view bytes) const = 0;
};

/// Returns the meter for pools of this kind, which has static storage duration.
/// In model pools a request costs its tokens: those of the prompt, estimated from
/// its size, and one for each line of the streamed response. In other pools it
/// costs the pool's default.
const cost_meter& costMeterFor(pool_kind kind);

}
