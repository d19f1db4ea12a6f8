#include "pimentoladder/Dispatch/WorkspaceShare.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "pimentoladder/Dispatch/EstimateError.h"

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    // Maximum age of an observation; older ones say nothing about a server's queue.
    constexpr duration observationLifetime = 1500ms;
    // Weight of one router's observation in the smoothed delay; several routers report in
    // each interval.
    constexpr double observationGain = 0.3;
    // Age up to which this router's usage is added to the fleet's sums.
    constexpr duration fleetLifetime = 2s;
    // Maximum age of the fleet's sums. Old ones still tell the usual rates, while this
    // router's usage says nothing about workspaces with callers elsewhere.
    constexpr duration maxFleetAge = 10s;
    // Time after which a router that has not reported is forgotten.
    constexpr duration reporterLifetime = 4s;
    // What was learnt of a server's speed is forgotten after this time without a sample.
    constexpr duration serverSpeedLifetime = 60s;
    // Pools whose speed is learnt; each takes some 300 bytes, and 100 in each message.
    constexpr std::size_t maxPools = 64;
    // Sums below this part of what the ones before have decayed to are of a reader that has
    // just started; sums of different readers differ by the reports on the way.
    constexpr double minCompleteness = 0.7;
    // Multiple of its share of what was served up to which a workspace's usage is remembered.
    constexpr double maxRememberedShares = 2;
    constexpr duration forgetInterval = 100ms;
    // Requests that a workspace may be ahead of the others: fewer say nothing about how the
    // fleet's service is shared out.
    constexpr double burstRequests = 3;
    // Requests that a workspace must be entitled to, so that one that just begins does not count as
    // refused what has not been decided yet.
    constexpr double minEntitledRequests = 2;

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

namespace {

    /// Returns the max-min share of a workspace, whatever it asks for itself.
    double shareOf(const workspace_usages& usage, const workspace_id& workspace, double capacity)
    {
        std::vector<double> demands { std::numeric_limits<double>::infinity() };
        for (const auto& [id, used] : usage) {
            if (id != workspace)
                demands.push_back(used.asked);
        }
        return maxMinLevel(std::move(demands), capacity);
    }

    double admittedOf(const workspace_usages& usage)
    {
        double sum = 0;
        for (const auto& [id, used] : usage)
            sum += used.admitted;
        return sum;
    }

}

double usage_decay::keptAfter(duration age)
{
    return std::exp(-std::chrono::duration<double>(age) / timeConstant);
}

workspace_usage usage_decay::decayed(time_point now, const timed_usage& last)
{
    const double kept = keptAfter(now - last.at);
    return { last.used.asked * kept, last.used.admitted * kept };
}

void usage_decay::add(time_point now, const workspace_id& workspace, workspace_usage used)
{
    timed_usage& sum = m_sums[workspace];
    const workspace_usage before = decayed(now, sum);
    sum = { { before.asked + used.asked, before.admitted + used.admitted }, now };
}

workspace_usages usage_decay::sums(time_point now) const
{
    workspace_usages all;
    for (const auto& [workspace, last] : m_sums) {
        if (now - last.at <= lifetime)
            all[workspace] = decayed(now, last);
    }
    return all;
}

void usage_decay::forgetAdmittedBeyond(time_point now, const workspace_id& workspace, double most)
{
    const auto found = m_sums.find(workspace);
    if (found == m_sums.end() || decayed(now, found->second).admitted <= most)
        return;
    found->second = { { decayed(now, found->second).asked, most }, now };
}

void usage_aggregator::onReport(time_point now, const member_ref& from, const usage_report& reported)
{
    std::erase_if(m_reporters, [&](const auto& each) { return now - each.second.heardAt > reporterLifetime; });
    const auto [found, isNew] = m_reporters.try_emplace(from);
    found->second.heardAt = now;
    std::erase_if(m_servers, [&](const auto& each) { return now - each.second.seenAt > reporterLifetime; });
    found->second.lateness = reported.lateness;
    found->second.pendingTokens.clear();
    for (const server_observation& seen : reported.observed) {
        observe(now, seen);
        found->second.pendingTokens[seen.server] = seen.pendingTokens;
    }
    std::erase_if(m_serverSpeeds, [&](const auto& each) { return now - each.second.learntAt > serverSpeedLifetime; });
    for (const speed_sample& sample : reported.samples)
        learn(now, sample);
    for (const usage_entry& entry : reported.entries) {
        workspace_usage& counted = found->second.counted[entry.workspace];
        const workspace_usage grown { entry.asked - counted.asked, entry.admitted - counted.admitted };
        counted = { entry.asked, entry.admitted };
        // The counters of a first report may include usage of long ago.
        if (!isNew)
            m_sums.add(now, entry.workspace, grown);
    }
    if (now - m_excessForgottenAt >= forgetInterval)
        forgetExcess(now);
}

void usage_aggregator::forgetExcess(time_point now)
{
    m_excessForgottenAt = now;
    const workspace_usages usage = m_sums.sums(now);
    const double served = admittedOf(usage);
    for (const auto& [workspace, used] : usage)
        m_sums.forgetAdmittedBeyond(now, workspace, maxRememberedShares * shareOf(usage, workspace, served));
}

void usage_aggregator::learn(time_point now, const speed_sample& sample)
{
    if (!m_poolSpeeds.contains(sample.pool) && m_poolSpeeds.size() >= maxPools)
        return;
    learnt_server& server = m_serverSpeeds[sample.server];
    // A router that has not heard of a restart still reports the former start.
    if (sample.start < server.start)
        return;
    if (sample.start != server.start)
        server = { sample.start, {}, now };
    server.learntAt = now;
    pool_speed& pool = m_poolSpeeds[sample.pool];
    const server_work work { sample.tokens, sample.tokens, sample.running, sample.plainInProgress };
    server.speed.record(now, work, sample.taken, pool);
    pool.record(now, work, sample.taken);
}

void usage_aggregator::observe(time_point now, const server_observation& seen)
{
    const auto [found, isNew] = m_servers.try_emplace(seen.server, observed_server { seen.delay, now, {}, {} });
    observed_server& known = found->second;
    if (!isNew) {
        const double kept = now - known.seenAt > observationLifetime ? 0 : 1 - observationGain;
        const double delay = static_cast<double>(known.delay.count()) * kept + static_cast<double>(seen.delay.count()) * (1 - kept);
        known.delay = duration(static_cast<duration::rep>(delay));
        known.seenAt = now;
    }
    // The routers' reports of a server's load are of different ages.
    if (!seen.loadAge || now - *seen.loadAge <= known.loadAt)
        return;
    known.load = { seen.running, seen.waiting };
    known.loadAt = now - *seen.loadAge;
}

usage_totals usage_aggregator::totals(time_point now) const
{
    usage_totals all;
    all.routers = static_cast<std::uint32_t>(m_reporters.size());
    for (const auto& [workspace, used] : m_sums.sums(now))
        all.entries.push_back({ workspace, std::max(used.asked, 0.0), std::max(used.admitted, 0.0) });
    std::map<server_id, double> pending;
    std::map<pool_id, std::vector<duration>> lateness;
    for (const auto& [from, each] : m_reporters) {
        if (now - each.heardAt > observationLifetime)
            continue;
        for (const auto& [server, tokens] : each.pendingTokens)
            pending[server] += tokens;
        for (const pool_lateness& late : each.lateness)
            lateness[late.pool].push_back(late.late);
    }
    for (const auto& [id, server] : m_servers) {
        if (now - server.seenAt > observationLifetime)
            continue;
        server_observation summed { id, server.delay, server.load.running, server.load.waiting, pending[id] };
        if (now - server.loadAt <= observationLifetime)
            summed.loadAge = now - server.loadAt;
        if (const auto learnt = m_serverSpeeds.find(id); learnt != m_serverSpeeds.end() && learnt->second.speed.isKnown())
            summed.learnt = learnt_slowness { learnt->second.start, learnt->second.speed.slowness(now) };
        all.observed.push_back(summed);
    }
    for (auto& [pool, values] : lateness)
        all.lateness.push_back({ pool, lowerMedian(std::move(values)) });
    for (const auto& [pool, speed] : m_poolSpeeds)
        all.speeds.push_back({ pool, { speed.values().begin(), speed.values().end() } });
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

bool workspace_share::isIncomplete(time_point now, const usage_totals& totals) const
{
    if (!m_fleetAt || now - *m_fleetAt > fleetLifetime)
        return false;
    double before = 0;
    for (const auto& [workspace, used] : m_sums)
        before += used.asked;
    double present = 0;
    for (const usage_entry& entry : totals.entries)
        present += entry.asked;
    const double least = before * usage_decay::keptAfter(now - *m_fleetAt);
    return present < least * minCompleteness;
}

void workspace_share::setFleet(time_point now, const usage_totals& totals)
{
    if (isIncomplete(now, totals))
        return;
    m_fleetAt = now;
    m_fleet.clear();
    for (const usage_entry& entry : totals.entries)
        m_fleet[entry.workspace] = { entry.asked, entry.admitted };
    m_sums = m_fleet;
    m_servedShares.clear();
}

workspace_usages workspace_share::fleetUsage(time_point now, std::size_t routers) const
{
    if (m_fleetAt && now - *m_fleetAt <= fleetLifetime)
        return m_fleet;
    workspace_usages scaled = m_local.sums(now);
    if (m_fleetAt && now - *m_fleetAt <= maxFleetAge) {
        for (const auto& [id, used] : m_sums) {
            workspace_usage& known = scaled[id];
            known = { std::max(known.asked, used.asked), std::max(known.admitted, used.admitted) };
        }
        return scaled;
    }
    for (auto& [workspace, used] : scaled) {
        used.asked *= static_cast<double>(routers);
        used.admitted *= static_cast<double>(routers);
    }
    return scaled;
}

share_use workspace_share::use(time_point now, const workspace_id& workspace, double tokens, double nominalCapacity, std::size_t routers)
{
    share_use result;
    setUseOfServed(now, workspace, tokens, result);
    if (nominalCapacity <= 0)
        return result;
    const workspace_usages usage = fleetUsage(now, routers);
    const double capacity = std::max(nominalCapacity * usage_decay::timeConstant.count(), admittedOf(usage));
    const auto own = usage.find(workspace);
    const double used = (own == usage.end() ? 0 : own->second.admitted) + tokens;
    const double entitled = shareOf(usage, workspace, capacity);
    std::vector<double> demands;
    for (const auto& [id, each] : usage)
        demands.push_back(each.asked);
    const double level = maxMinLevel(std::move(demands), capacity);
    result.ofCapacity = entitled <= 0 ? 0 : used / entitled;
    result.ofLargest = level <= 0 ? 0 : std::min(used / level, 1.0);
    return result;
}

void workspace_share::setUseOfServed(time_point now, const workspace_id& workspace, double tokens, share_use& result)
{
    const bool hasSums = m_fleetAt && now - *m_fleetAt <= maxFleetAge;
    const workspace_usages usage = hasSums ? m_sums : m_local.sums(now);
    // The requests of a burst come before the sums that contain them.
    const workspace_usages& latest = hasSums ? m_fleet : usage;
    const auto current = latest.find(workspace);
    if (current == latest.end())
        return;
    // The sums change only when they are received.
    const auto known = hasSums ? m_servedShares.find(workspace) : m_servedShares.end();
    const double share = known == m_servedShares.end() ? shareOf(usage, workspace, admittedOf(usage)) : known->second;
    if (hasSums)
        m_servedShares[workspace] = share;
    if (const auto own = usage.find(workspace); own != usage.end())
        result.ofServed = own->second.admitted / std::max(share + burstRequests * tokens, 1.0);
    const double entitled = std::min(current->second.asked, share);
    if (entitled > minEntitledRequests * tokens)
        result.ofEntitled = std::min(current->second.admitted / entitled, 1.0);
}

}
