#include "pimentoladder/Dispatch/FleetLimits.h"

namespace pimentoladder {

void fleet_limits::merge(time_point now, const server_rate_limits& reported)
{
    for (const server_rate_limit& each : reported.entries) {
        const time_point at = now - each.age;
        const auto [known, isNew] = m_limits.try_emplace(each.server, timed_limit { each, at });
        if (!isNew && at > known->second.at)
            known->second = { each, at };
    }
    std::erase_if(m_limits, [now](const auto& each) { return now - each.second.at > lifetime; });
}

server_rate_limits fleet_limits::newest(time_point now) const
{
    server_rate_limits all;
    for (const auto& [id, known] : m_limits) {
        if (now - known.at > lifetime)
            continue;
        all.entries.push_back(known.limit);
        all.entries.back().age = now - known.at;
    }
    return all;
}

}
