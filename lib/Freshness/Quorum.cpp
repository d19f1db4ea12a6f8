#include "pimentoladder/Freshness/Quorum.h"

namespace pimentoladder {

std::vector<std::reference_wrapper<const std::vector<member_ref>>> witnessSets(const witness_roster& roster)
{
    std::vector<std::reference_wrapper<const std::vector<member_ref>>> sets { roster.witnesses };
    if (!roster.previous.empty())
        sets.emplace_back(roster.previous);
    return sets;
}

}
