/// \file
/// What connections have moved and how long they took to open.

#pragma once

#include <cstdint>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// Bytes of all connections of a server or a client since its start, without those of TCP and IP.
struct byte_counts {
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
};

/// Connections that a client has tried to open.
struct connect_counts {
    std::uint64_t opened = 0;
    std::uint64_t timedOut = 0;
    duration longest {}; ///< Time that one of those opened has taken.
};

}
