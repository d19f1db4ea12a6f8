#include "Figures.h"

#include <iostream>

#include <nlohmann/json.hpp>

namespace pimentoladder::measure {

namespace {

    bool isMet(const figure& measured)
    {
        if (measured.kind == target_kind::atMost)
            return measured.value <= measured.target;
        if (measured.kind == target_kind::atLeast)
            return measured.value >= measured.target;
        return true;
    }

}

void figure_printer::print(const figure& measured)
{
    nlohmann::ordered_json line;
    line["name"] = measured.name;
    line["value"] = measured.value;
    line["unit"] = measured.unit;
    if (measured.kind != target_kind::none) {
        line["target"] = (measured.kind == target_kind::atMost ? "<= " : ">= ") + nlohmann::json(measured.target).dump();
        line["met"] = isMet(measured);
    }
    line["seed"] = m_seed;
    std::cout << line.dump() << '\n';
    m_areAllMet = m_areAllMet && isMet(measured);
}

}
