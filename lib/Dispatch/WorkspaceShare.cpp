#include "pimentoladder/Dispatch/WorkspaceShare.h"

#include <algorithm>

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    // Maximum age of an observation; older ones say nothing about a server's queue.
    constexpr duration observationLifetime = 1500ms;
    // Weight of one router's observation in the smoothed delay; several routers report in
    // each interval.
    constexpr double observationGain = 0.3;
    // Maximum age of the fleet's sums.
    constexpr duration fleetLifetime = 2s;

}

double maxMinLevel(std::vector<double> demands, double capacity)
{
    std::sort(demands.begin(), demands.end());
    double remaining = capacity;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const double equalShare = remaining / static_cast<double>(demands.size() - i);
        if (demands[i] > equalShare)
            return equalShare;
        remaining -= demands[i];
    }
    return demands.empty() ? capacity : demands.back();
}

void usage_window::add(time_point now, const workspace_id& workspace, workspace_usage used)
{
    const std::int64_t index = now.time_since_epoch() / slotLength;
    slot& present = m_slots[static_cast<std::size_t>(index) % slotCount];
    if (present.index != index)
        present = slot { index, {} };
    workspace_usage& sum = present.used[workspace];
    sum.asked += used.asked;
    sum.admitted += used.admitted;
}

workspace_usages usage_window::sums(time_point now) const
{
    const std::int64_t present = now.time_since_epoch() / slotLength;
    workspace_usages all;
    for (const slot& each : m_slots) {
        if (each.index < 0 || each.index + static_cast<std::int64_t>(slotCount) <= present)
            continue;
        for (const auto& [workspace, used] : each.used) {
            all[workspace].asked += used.asked;
            all[workspace].admitted += used.admitted;
        }
    }
    return all;
}

void usage_aggregator::onReport(time_point now, const member_ref& from, const usage_report& reported)
{
    std::erase_if(m_reporters, [&](const auto& each) { return now - each.second.heardAt > usage_window::length; });
    const auto [found, isNew] = m_reporters.try_emplace(from);
    found->second.heardAt = now;
    std::erase_if(m_servers, [&](const auto& each) { return now - each.second.seenAt > usage_window::length; });
    found->second.pendingTokens.clear();
    for (const server_observation& seen : reported.observed) {
        observe(now, seen);
        found->second.pendingTokens[seen.server] = seen.pendingTokens;
    }
    for (const usage_entry& entry : reported.entries) {
        workspace_usage& counted = found->second.counted[entry.workspace];
        const workspace_usage grown { entry.asked - counted.asked, entry.admitted - counted.admitted };
        counted = { entry.asked, entry.admitted };
        // The counters of a first report may include usage from before the window.
        if (!isNew)
            m_window.add(now, entry.workspace, grown);
    }
}

void usage_aggregator::observe(time_point now, const server_observation& seen)
{
    const auto [found, isNew] = m_servers.try_emplace(seen.server, observed_server { seen, now });
    if (isNew)
        return;
    observed_server& known = found->second;
    const double kept = now - known.seenAt > observationLifetime ? 0 : 1 - observationGain;
    const double delay = static_cast<double>(known.smoothed.delay.count()) * kept + static_cast<double>(seen.delay.count()) * (1 - kept);
    known.smoothed = seen;
    known.smoothed.delay = duration(static_cast<duration::rep>(delay));
    known.seenAt = now;
}

usage_totals usage_aggregator::totals(time_point now) const
{
    usage_totals all;
    all.routers = static_cast<std::uint32_t>(m_reporters.size());
    for (const auto& [workspace, used] : m_window.sums(now))
        all.entries.push_back({ workspace, std::max(used.asked, 0.0), std::max(used.admitted, 0.0) });
    std::map<server_id, double> pending;
    for (const auto& [from, each] : m_reporters) {
        if (now - each.heardAt > observationLifetime)
            continue;
        for (const auto& [server, tokens] : each.pendingTokens)
            pending[server] += tokens;
    }
    for (const auto& [id, server] : m_servers) {
        if (now - server.seenAt > observationLifetime)
            continue;
        all.observed.push_back(server.smoothed);
        all.observed.back().pendingTokens = pending[id];
    }
    return all;
}

void workspace_share::record(time_point now, const workspace_id& workspace, workspace_usage used)
{
    m_local.add(now, workspace, used);
    for (workspace_usages* each : { &m_counters, &m_fleet }) {
        (*each)[workspace].asked += used.asked;
        (*each)[workspace].admitted += used.admitted;
    }
}

void workspace_share::recordAsked(time_point now, const workspace_id& workspace, double tokens)
{
    record(now, workspace, { tokens, 0 });
}

void workspace_share::recordAdmitted(time_point now, const workspace_id& workspace, double tokens)
{
    record(now, workspace, { 0, tokens });
}

usage_report workspace_share::report() const
{
    usage_report made;
    for (const auto& [workspace, used] : m_counters)
        made.entries.push_back({ workspace, used.asked, used.admitted });
    return made;
}

void workspace_share::setFleet(time_point now, const usage_totals& totals)
{
    m_fleetAt = now;
    m_fleet.clear();
    for (const usage_entry& entry : totals.entries)
        m_fleet[entry.workspace] = { entry.asked, entry.admitted };
}

workspace_usages workspace_share::fleetUsage(time_point now, std::size_t routers) const
{
    if (m_fleetAt && now - *m_fleetAt <= fleetLifetime)
        return m_fleet;
    workspace_usages scaled = m_local.sums(now);
    for (auto& [workspace, used] : scaled) {
        used.asked *= static_cast<double>(routers);
        used.admitted *= static_cast<double>(routers);
    }
    return scaled;
}

double workspace_share::utilisation(time_point now, const workspace_id& workspace, double tokens, double nominalCapacity, std::size_t routers) const
{
    if (nominalCapacity <= 0)
        return 0;
    const workspace_usages usage = fleetUsage(now, routers);
    std::vector<double> demands;
    double admitted = 0;
    for (const auto& [id, used] : usage) {
        demands.push_back(used.asked);
        admitted += used.admitted;
    }
    const double nominal = nominalCapacity * std::chrono::duration<double>(usage_window::length).count();
    const double level = maxMinLevel(std::move(demands), std::max(nominal, admitted));
    const auto own = usage.find(workspace);
    return level <= 0 ? 0 : ((own == usage.end() ? 0 : own->second.admitted) + tokens) / level;
}

}
