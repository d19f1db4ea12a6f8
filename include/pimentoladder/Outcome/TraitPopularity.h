/// \file
/// Traits of requests, and how common they are.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// Returns the trait as logs and operators see it: its kind and its hexadecimal id.
/// Thread-safe.
std::string traitText(const request_trait& trait);

/// The traits of one request. A trait that is not listed is never suspected.
struct traits_of_request {
    fingerprint request; ///< Identifies equal requests; zero: none.
    std::vector<request_trait> traits; ///< The request itself, then the shared parts of its prompt in order.
};

/// Estimates which fraction of the recent requests has a trait, in fixed memory: a
/// count-min sketch whose counters are halved regularly.
/// Not thread-safe; call on the loop's thread.
class trait_popularity {
public:
    void record(time_point now, const traits_of_request& request);

    /// Returns the fraction of the recent requests that have the trait, and a small
    /// default value while few requests are known.
    double fractionOf(const request_trait& trait) const;

private:
    static constexpr std::size_t rows = 2;
    static constexpr std::size_t columns = 4096;

    static std::size_t columnOf(const request_trait& trait, std::size_t row);

    std::array<std::array<std::uint32_t, columns>, rows> m_counters {};
    std::uint32_t m_requests = 0;
    time_point m_halvedAt;
};

}
