/// \file
/// Majority and order statistics over a roster of witnesses.

#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "pimentoladder/Config/Document.h"

namespace pimentoladder {

/// Returns the smallest majority of \p size witnesses. Thread-safe.
constexpr std::size_t majorityOf(std::size_t size)
{
    return size / 2 + 1;
}

/// Returns the sets of witnesses that must each satisfy a rule: the witnesses
/// and, while a change of the roster is in progress, the previous ones. The
/// result refers to \p roster. Thread-safe.
std::vector<std::reference_wrapper<const std::vector<member_ref>>> witnessSets(const witness_roster& roster);

/// Returns the \p n-th largest of \p values, that is, the highest bound that at
/// least \p n of them reach; none if there are fewer values. Precondition: `n > 0`.
/// Thread-safe.
template <typename T>
std::optional<T> nthLargest(std::vector<T> values, std::size_t n)
{
    if (values.size() < n)
        return std::nullopt;
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(n - 1);
    std::nth_element(values.begin(), position, values.end(), std::greater<T> {});
    return *position;
}

}
