/// \file
/// Results of a measurement, printed as JSON lines.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace pimentoladder::measure {

/// Which values of a figure meet its target.
enum class target_kind {
    none, ///< The figure has no target.
    atMost,
    atLeast,
};

struct figure {
    std::string name;
    double value = 0;
    std::string unit;
    target_kind kind = target_kind::none;
    double target = 0;
};

/// Prints figures and records whether all of them met their targets.
/// Not thread-safe.
class figure_printer {
public:
    explicit figure_printer(std::uint64_t seed)
        : m_seed(seed)
    {
    }

    void print(const figure& measured);

    bool areAllMet() const { return m_areAllMet; }

private:
    std::uint64_t m_seed;
    bool m_areAllMet = true;
};

}
