/// \file
/// Configuration of the relay of the store's rows, derived from one bound on their age.

#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// Tables that routers replicate. The values are the tables' indexes on the wire.
enum class followed_table : std::uint32_t {
    operators,
    servers,
    members,
};
inline constexpr std::size_t followedTableCount = 3;

/// Exponential backoff with jitter after failed reads: each further failure in a row
/// doubles the pause, which counts from the start of the failed read.
struct retry_pauses {
    duration first {};
    duration longest {};
    double jitter = 0; ///< Share of a pause by which it may be shorter or longer.

    duration longestWithJitter() const { return std::chrono::duration_cast<duration>(longest * (1 + jitter)); }
};

/// Configuration of the relay. The defaults are those of `relayLimitsFor` at 2 s.
struct relay_limits {
    std::size_t minReaders = 3; ///< Minimum number of routers that read the store for the others; there is at least one in each data centre.
    std::array<duration, followedTableCount> wait { std::chrono::milliseconds(400), {}, {} }; ///< How long the store may hold each read until a row changes.
    std::array<duration, followedTableCount> pause { std::chrono::milliseconds(600), std::chrono::milliseconds(600), std::chrono::seconds(3) }; ///< Minimum time between the starts of two reads.
    duration followInterval = std::chrono::milliseconds(400); ///< Interval between two messages to the source.
    duration hedgeDelay = std::chrono::milliseconds(150); ///< Time without an answer after which the next reader is asked too.
    duration sourceTimeout = std::chrono::milliseconds(1200); ///< Time without a message after which a source or a follower counts as lost.
    duration maxBasisAge = std::chrono::milliseconds(1600); ///< Age of the last confirmation above which a router reads the store itself, and above which a reader has lost the store.
    duration sourceCooldown = std::chrono::seconds(4); ///< How long a lost source is not followed again, and a reader that has not answered is asked last.
    duration startGrace = std::chrono::milliseconds(500); ///< Time at the start to connect to a reader before this router reads the store itself.
    duration outageAge = std::chrono::seconds(2); ///< Time without a confirmation of the servers above which their registrations may have expired because the store was unavailable.
    duration longestReturn = std::chrono::seconds(1); ///< Longest time from a failed read to the next one of a router that no reader answers.
    duration latestEnd = std::chrono::seconds(1); ///< An outage counts as over at most this long after the start of the last failed read, so that removals after it are in force in time although this router noticed its end late.
    duration recoveryNoticePeriod = std::chrono::seconds(3); ///< How long followers are told that the store has recovered from an outage.
    duration sourceCooldownWithoutStore = std::chrono::milliseconds(500); ///< How long a source that reports that it has lost the store is not followed again.
    duration restoredHold = std::chrono::seconds(60); ///< How long rows that were in force stay in force after the store was restored from a copy, unless they are written again.
    duration absentServerHold = std::chrono::milliseconds(1900); ///< The same for servers that the copy lacks; live ones have registered again by then.
    retry_pauses readerRetry { std::chrono::milliseconds(200), std::chrono::milliseconds(400), 0.5 }; ///< Backoff of readers, of routers with followers, and of any router that has read the table within `maxBasisAge`.
    retry_pauses loneRetry { std::chrono::milliseconds(200), std::chrono::microseconds(666'667), 0.5 }; ///< Backoff of a router that no reader answers, and that therefore notices the end of an outage by its own reads only: at most `longestReturn`.
    retry_pauses otherRetry { std::chrono::seconds(2), std::chrono::seconds(2), 0.05 }; ///< Backoff of any other router. Long from the start, since hundreds of them would call a store that is down, but bounded: a reader that answers need not have the store when this router has.
};

/// Returns limits under which the rows of a router are at most \p maxRowAge old while the
/// store answers it within a tenth of that. \p maxRowAge is positive. Thread-safe.
///
/// At maxBasisAge (0.8 of the bound) a router reads the store, whatever its source does, so
/// that no wait for a reader adds to another one. While a source answers, rows are 0.7 of the
/// bound old at most: the interval between two reads (0.3), the time for which the store may
/// hold a read (0.2) and the interval between two questions to the source (0.2).
relay_limits relayLimitsFor(duration maxRowAge);

}
