/// \file
/// Position in the history of the platform's store.

#pragma once

#include <compare>

#include "pimentoladder/Base/Ids.h"

namespace pimentoladder {

/// A revision of the store together with the era that it was counted in.
///
/// The store gives out revisions again in a new era, so positions of different eras are
/// unordered: every comparison of them except `!=` is false. Thread-safe.
struct store_position {
    store_era era;
    revision at;

    bool operator==(const store_position&) const = default;

    friend std::partial_ordering operator<=>(const store_position& left, const store_position& right)
    {
        if (left.era != right.era)
            return std::partial_ordering::unordered;
        return left.at <=> right.at;
    }
};

}
