/// \file
/// Request rate at one server that all routers keep together, without an owner.

#pragma once

#include <cstddef>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// Splits the rate that a server takes among a few routers, which are the first in the
/// rendezvous order of the server. Each router derives this from its own view of the
/// members, so that routers whose views differ may number more than `senders`; the
/// rate holds as long as they number at most `shares`.
struct fleet_rate {
    double perSecond = 0; ///< From all routers together.
    std::size_t senders = 1; ///< Number of routers that may send to the server.
    double shares = 1; ///< Number of parts into which the rate is split.
    double tolerance = 0; ///< By how much of `spacing` a request of one router may be early.

    /// Returns the mean time between two requests of one router. Precondition: `perSecond > 0`. Thread-safe.
    duration spacing() const
    {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(shares / perSecond));
    }
};

}
