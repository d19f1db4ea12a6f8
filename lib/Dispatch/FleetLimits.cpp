#include "pimentoladder/Dispatch/FleetLimits.h"

#include <algorithm>

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
    for (const server_hold& each : reported.holds) {
        const time_point until = now + std::min<duration>(each.left, lifetime);
        const auto [known, isNew] = m_holds.try_emplace({ each.server, each.isLeaving }, timed_hold { each, until });
        if (!isNew && (known->second.hold.start != each.start || until > known->second.until))
            known->second = { each, until };
    }
    std::erase_if(m_holds, [now](const auto& each) { return each.second.until <= now; });
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
    for (const auto& [key, known] : m_holds) {
        if (known.until <= now)
            continue;
        all.holds.push_back(known.hold);
        all.holds.back().left = known.until - now;
    }
    return all;
}

}
