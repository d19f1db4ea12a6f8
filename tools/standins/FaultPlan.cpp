#include "standins/FaultPlan.h"

#include <algorithm>
#include <array>
#include <utility>

namespace pimentoladder::standins {

namespace {

    constexpr std::array<std::pair<std::string_view, fault_kind>, 22> kindNames { {
        { "outage", fault_kind::outage },
        { "hang", fault_kind::hang },
        { "refuse", fault_kind::refuse },
        { "latency", fault_kind::latency },
        { "lost_answer", fault_kind::lostAnswer },
        { "late_effect", fault_kind::lateEffect },
        { "reset", fault_kind::reset },
        { "truncate", fault_kind::truncate },
        { "stall", fault_kind::stall },
        { "cold", fault_kind::cold },
        { "stop_forward", fault_kind::stopForward },
        { "stop_backward", fault_kind::stopBackward },
        { "drop_new", fault_kind::dropNew },
        { "drop_history", fault_kind::dropHistory },
        { "restore", fault_kind::restore },
        { "era_header", fault_kind::eraHeader },
        { "reset_all", fault_kind::resetAll },
        { "request_limit", fault_kind::requestLimit },
        { "endless", fault_kind::endless },
        { "turn_away", fault_kind::turnAway },
        { "failure", fault_kind::failure },
        { "announce_leaving", fault_kind::announceLeaving },
    } };

    constexpr std::size_t probabilitySteps = 1'000'000;

}

std::optional<fault_kind> faultKind(std::string_view name)
{
    for (const auto& [text, kind] : kindNames) {
        if (text == name)
            return kind;
    }
    return std::nullopt;
}

void fault_plan::clear(std::string_view target)
{
    std::erase_if(m_faults, [&](const fault& entry) { return target.empty() || entry.target == target; });
}

std::optional<fault> fault_plan::take(fault_kind kind, std::string_view target, time_point now)
{
    std::erase_if(m_faults, [&](const fault& entry) { return entry.expiresAt && *entry.expiresAt <= now; });
    for (auto entry = m_faults.begin(); entry != m_faults.end(); ++entry) {
        if (entry->kind != kind || !target.starts_with(entry->target))
            continue;
        const double drawn = static_cast<double>(m_random.index(probabilitySteps)) / probabilitySteps;
        if (drawn >= entry->probability)
            continue;
        fault injected = *entry;
        if (entry->count > 0 && --entry->count == 0)
            m_faults.erase(entry);
        return injected;
    }
    return std::nullopt;
}

}
