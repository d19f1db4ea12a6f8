/// \file
/// Counting rules over a roster of witnesses.

#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "pimentoladder/Config/Document.h"

namespace pimentoladder {

/// Returns how many of \p size witnesses form a majority. Thread-safe.
constexpr std::size_t majorityOf(std::size_t size)
{
    return size / 2 + 1;
}

/// Returns the sets of witnesses that must each satisfy a rule: the witnesses
/// and, while a change of the roster is in progress, the previous ones. The
/// result refers to \p roster. Thread-safe.
std::vector<std::reference_wrapper<const std::vector<member_ref>>> witnessSets(const witness_roster& roster);

/// Returns the value that at least \p count of \p values reach, or nothing if
/// there are fewer values. Precondition: `count > 0`. Thread-safe.
template <typename T>
std::optional<T> reachedBy(std::vector<T> values, std::size_t count)
{
    if (values.size() < count)
        return std::nullopt;
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(count - 1);
    std::nth_element(values.begin(), position, values.end(), std::greater<T> {});
    return *position;
}

}
