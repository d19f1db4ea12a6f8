#include "pimentoladder/Fairness/ServiceOrder.h"

namespace pimentoladder {

double least_virtual_time::rank(const service_candidate& candidate) const
{
    return candidate.virtualTime;
}

double arrival_order::rank(const service_candidate& candidate) const
{
    return static_cast<double>(candidate.oldestArrival);
}

}
