/// \file
/// Strategies that measure the cost of a request while its answer arrives.

#pragma once

#include <cstddef>
#include <string_view>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Config/Document.h"

namespace pimentoladder {

/// Facts of a request that its cost depends on.
struct cost_basis {
    std::size_t requestBytes = 0;
    cost_units defaultCost = 1;
};

/// Measures the cost of requests of one kind of pool. Thread-safe, as meters
/// hold no state.
class cost_meter {
public:
    virtual ~cost_meter() = default;

    /// Returns the cost when the request has been sent and nothing came back.
    virtual cost_units costWhenSent(const cost_basis& basis) const = 0;

    /// Returns the cost that \p bytes of the answer's body add.
    virtual cost_units costOfBytes(std::string_view bytes) const = 0;
};

/// Returns the meter for pools of this kind; it lives as long as the process.
/// Model pools cost tokens: the prompt's, estimated from its size, and one for
/// each line of the streamed answer. Other pools cost their default.
const cost_meter& costMeterFor(pool_kind kind);

}
