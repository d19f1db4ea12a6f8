#include "pimentoladder/Dispatch/ServerSelector.h"

#include <algorithm>
#include <array>
#include <bit>
#include <utility>

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    // Penalty for a server in another data centre: 1.4 ms of latency each way, and the cost
    // of the traffic between data centres.
    constexpr duration otherDataCentreDelay = 4ms;
    // Penalty for each rank in a prefix's rendezvous order, so that all routers overflow to
    // the same server.
    constexpr duration delayPerRank = 8ms;

    // After a server's rest the number of routers that may send to it doubles at this interval,
    // so that they do not all return at once.
    constexpr duration returnInterval = 125ms;

    // Leaving servers that are remembered while they are not registered; each takes about 100 bytes.
    constexpr std::size_t maxUnregisteredLeaving = 4096;

    // Samples of servers' speeds in one report. At 340 routers and three reports a second, readers
    // get 4,000 a second, which teaches them each pool within a second.
    constexpr std::size_t maxSamples = 4;
    // Age of the fleet's observations up to which they tell which servers have a queue.
    constexpr duration observationLifetime = 1s;

    // Weight of a request in the smoothed run time of its pool.
    constexpr double runTimeGain = 0.05;

    constexpr std::uint64_t fnvOffset = 0xcbf29ce484222325;
    constexpr std::uint64_t fnvPrime = 0x100000001b3;

}

std::uint64_t hashName(const std::string& name)
{
    std::uint64_t hash = fnvOffset;
    for (const char c : name)
        hash = (hash ^ static_cast<unsigned char>(c)) * fnvPrime;
    return hash;
}

std::uint64_t rendezvousWeight(std::uint64_t nameHash, std::uint64_t key)
{
    // Finaliser of the splitmix64 generator; spreads adjacent keys over all bits.
    std::uint64_t hash = nameHash ^ (key * 0x9e3779b97f4a7c15);
    hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9;
    hash = (hash ^ (hash >> 27)) * 0x94d049bb133111eb;
    return hash ^ (hash >> 31);
}

server_selector::server_selector(const fleet_view& fleet, selection_limits limits, std::uint64_t seed)
    : m_fleet(fleet)
    , m_limits(std::move(limits))
    , m_random(seed)
{
}

void server_selector::retain(const std::map<server_id, registered_server>& registered)
{
    const auto isGone = [&](const auto& entry) { return !registered.contains(entry.first); };
    std::erase_if(m_conditions, isGone);
    if (m_leaving.size() > registered.size() + maxUnregisteredLeaving)
        std::erase_if(m_leaving, isGone);
    m_knownVersion.reset();
}

void server_selector::reset(const server_id& server)
{
    m_conditions.erase(server);
    m_knownVersion.reset();
    const registered_server* registered = m_fleet.findServer(server);
    const auto rest = m_rests.find(server);
    if (registered && rest != m_rests.end() && rest->second.start == registered->start)
        m_conditions[server].rest(rest->second.until);
}

bool server_selector::setLeaving(time_point now, const server_id& server, incarnation start)
{
    const registered_server* registered = m_fleet.findServer(server);
    if (registered && registered->start != start)
        return false;
    const auto [known, isNew] = m_leaving.try_emplace(server, departure { start, now });
    if (!isNew && known->second.start == start)
        return false;
    known->second = { start, now };
    return true;
}

bool server_selector::isLeaving(const server_id& server) const
{
    const auto found = m_leaving.find(server);
    if (found == m_leaving.end())
        return false;
    const registered_server* registered = m_fleet.findServer(server);
    return !registered || registered->start == found->second.start;
}

std::optional<duration> server_selector::setResting(time_point now, const server_id& server, incarnation start, duration wanted)
{
    const registered_server* registered = m_fleet.findServer(server);
    if (!registered || registered->start != start)
        return std::nullopt;
    const duration time = std::min(wanted, m_limits.maxRest);
    m_conditions[server].rest(now + time);
    std::erase_if(m_rests, [now](const auto& each) { return each.second.until <= now; });
    timed_rest& rest = m_rests[server];
    rest = { start, rest.start == start ? std::max(rest.until, now + time) : now + time };
    return time;
}

duration server_selector::returnDelay(const server_id& server) const
{
    return returnInterval * std::bit_width(rankAmongRouters(hashName(server.value())));
}

send_window server_selector::sendWindow(time_point now, const server_id& server, time_point openedAt) const
{
    if (!m_fleet.access().isInService(server))
        return { hold_reason::outOfService };
    if (isLeaving(server))
        return { hold_reason::leaving };
    const auto known = m_conditions.find(server);
    if (known != m_conditions.end() && known->second.isResting(now, openedAt))
        return { hold_reason::resting };
    return {};
}

void server_selector::refreshKnown()
{
    const access_index& access = m_fleet.access();
    if (m_knownVersion == m_fleet.accessVersion())
        return;
    m_knownVersion = m_fleet.accessVersion();
    m_known.clear();
    for (const backend_server* each : access.servers()) {
        const registered_server* registered = m_fleet.findServer(each->id);
        if (registered) {
            const pool_speed& speed = m_speeds[registered->pool];
            m_conditions[each->id].setPoolSpeed(m_limits.usesServerSpeed ? &speed : nullptr);
        }
        m_known.push_back({ &m_conditions[each->id], hashName(each->id.value()), registered ? registered->slots : 0 });
    }
}

void server_selector::recordRun(const pool_id& pool, duration occupied)
{
    const auto [found, isNew] = m_runTimes.try_emplace(pool, occupied);
    if (!isNew)
        found->second += std::chrono::duration_cast<duration>((occupied - found->second) * runTimeGain);
}

std::vector<server_observation> server_selector::takeObservations(time_point now)
{
    std::vector<server_observation> taken;
    for (auto& [id, condition] : m_conditions) {
        if (const auto seen = condition.takeObservation(now, id))
            taken.push_back(*seen);
    }
    return taken;
}

std::vector<speed_sample> server_selector::takeSamples(time_point now)
{
    std::vector<speed_sample> taken;
    if (!m_limits.usesServerSpeed)
        return taken;
    const bool areQueuesKnown = m_observedAt && now - *m_observedAt <= observationLifetime;
    for (auto& [id, condition] : m_conditions) {
        auto sample = condition.takeSample(now);
        const registered_server* registered = m_fleet.findServer(id);
        if (!sample || !registered || !areQueuesKnown)
            continue;
        sample->server = id;
        sample->start = registered->start;
        sample->pool = registered->pool;
        taken.push_back(std::move(*sample));
    }
    if (taken.size() > maxSamples) {
        // Another part of the servers comes first each time.
        m_sampleOffset = (m_sampleOffset + maxSamples) % taken.size();
        std::rotate(taken.begin(), taken.begin() + static_cast<std::ptrdiff_t>(m_sampleOffset), taken.end());
        taken.resize(maxSamples);
    }
    return taken;
}

void server_selector::adoptSpeeds(const std::vector<pool_speed_entry>& speeds)
{
    for (const pool_speed_entry& each : speeds) {
        if (const auto known = m_speeds.find(each.pool); known != m_speeds.end())
            known->second.adopt(each.milliseconds);
    }
}

void server_selector::observedByFleet(time_point now, const std::vector<server_observation>& seen)
{
    m_observedAt = now;
    for (const server_observation& each : seen) {
        const registered_server* registered = m_fleet.findServer(each.server);
        if (!registered)
            continue;
        server_observation current = each;
        const bool isUsed = m_limits.usesServerSpeed && each.learnt && each.learnt->start == registered->start;
        if (!isUsed)
            current.learnt.reset();
        m_conditions[each.server].observedByFleet(now, current);
    }
}

std::vector<server_rate_limit> server_selector::ownLimits(time_point now) const
{
    std::vector<server_rate_limit> own;
    for (const auto& [id, condition] : m_conditions) {
        if (const auto limit = condition.ownLimit(now, id))
            own.push_back(*limit);
    }
    return own;
}

std::vector<server_rate_limit> server_selector::limitsSeenByFleet(time_point now, const std::vector<server_rate_limit>& seen)
{
    std::vector<server_rate_limit> changed;
    for (const server_rate_limit& each : seen) {
        if (m_fleet.findServer(each.server) && m_conditions[each.server].limitSeenByFleet(now, each))
            changed.push_back(each);
    }
    return changed;
}

std::vector<server_hold> server_selector::ownHolds(time_point now) const
{
    std::vector<server_hold> own;
    for (const auto& [id, left] : m_leaving) {
        if (now - left.announcedAt < maxReportedHold)
            own.push_back({ id, left.start, true, left.announcedAt + maxReportedHold - now });
    }
    for (const auto& [id, condition] : m_conditions) {
        const registered_server* registered = m_fleet.findServer(id);
        if (registered && condition.restLeft(now) > duration::zero())
            own.push_back({ id, registered->start, false, condition.restLeft(now) });
    }
    return own;
}

std::vector<server_hold> server_selector::holdsSeenByFleet(time_point now, const std::vector<server_hold>& seen)
{
    std::vector<server_hold> changed;
    for (const server_hold& each : seen) {
        const registered_server* registered = m_fleet.findServer(each.server);
        if (!registered || registered->start != each.start || each.left <= duration::zero())
            continue;
        server_hold applied = each;
        applied.left = std::min(each.left, maxReportedHold);
        const duration delay = each.isLeaving ? duration::zero() : returnDelay(each.server);
        if (m_conditions[each.server].avoid(now, now + applied.left + delay))
            changed.push_back(applied);
    }
    return changed;
}

std::optional<fleet_rate> server_selector::coldRate(const pool_id& pool) const
{
    const pool_profile* profile = m_fleet.profileOf(pool);
    if (!profile || profile->coldRequestsPerSecond <= 0)
        return std::nullopt;
    return fleet_rate { profile->coldRequestsPerSecond, m_limits.coldSenders, static_cast<double>(m_limits.coldShares), 0 };
}

/// Returns whether this router may start an attempt at a server in service.
send_window server_selector::startWindow(time_point now, const server_id& server, const server_condition& known, const std::optional<fleet_rate>& cold, const selection_request& wanted) const
{
    if (isLeaving(server))
        return { hold_reason::leaving };
    send_window window;
    if (known.hasRest())
        window = known.restWindow(now, returnDelay(server));
    auto limit = known.limitRate(now, m_routers.size());
    if (limit && wanted.limited == limited_servers::only)
        limit->tolerance = wanted.limitTolerance;
    const std::array<std::pair<std::optional<fleet_rate>, hold_reason>, 2> rates { { { known.isCold(now) ? cold : std::nullopt, hold_reason::cold }, { limit, hold_reason::limited } } };
    for (const auto& [rate, reason] : rates) {
        if (!rate)
            continue;
        if (!isAmongOwners(hashName(server.value()), rate->senders))
            return { hold_reason::otherSenders };
        if (const time_point next = known.nextStart(*rate); next > window.opensAt.value_or(now))
            window = { reason, next };
    }
    return window;
}

double server_selector::usableThroughput(time_point now, double nominal, double tokensPerRequest) const
{
    std::size_t engines = 0;
    std::size_t unlimited = 0;
    std::vector<double> limits;
    for (const auto& [id, server] : m_fleet.servers()) {
        const pool_profile* profile = m_fleet.profileOf(server.pool);
        if (!profile || profile->kind != pool_kind::model)
            continue;
        ++engines;
        const auto known = m_conditions.find(id);
        const auto limit = known == m_conditions.end() ? std::nullopt : known->second.limitRate(now, m_routers.size());
        if (limit)
            limits.push_back(limit->perSecond * tokensPerRequest);
        else
            ++unlimited;
    }
    if (limits.empty())
        return nominal;
    const double perEngine = nominal / static_cast<double>(engines);
    double usable = perEngine * static_cast<double>(unlimited);
    for (const double each : limits)
        usable += std::min(perEngine, each);
    return usable;
}

send_window server_selector::earliestWindow(time_point now, const selection_request& wanted)
{
    const auto cold = coldRate(wanted.pool);
    send_window first { hold_reason::outOfService };
    refreshKnown();
    m_fleet.access().forEachReachableServer(wanted.workspace, wanted.pool, [&](const backend_server& server, std::size_t position) {
        if (!hasWantedVersion(server.id, wanted))
            return;
        const send_window window = startWindow(now, server.id, *m_known[position].condition, cold, wanted);
        const bool isTimeKnown = window.isOpen() || window.opensAt;
        const time_point opensAt = window.opensAt.value_or(now);
        const bool isEarlier = isTimeKnown && !first.isOpen() && (!first.opensAt || opensAt < *first.opensAt);
        if (isEarlier || (!isTimeKnown && first.reason == hold_reason::outOfService))
            first = window;
    });
    return first;
}

std::size_t server_selector::rankAmongRouters(std::uint64_t key) const
{
    const std::uint64_t own = rendezvousWeight(hashName(m_limits.self.value()), key);
    const auto before = std::count_if(m_routers.begin(), m_routers.end(), [&](const vm_id& each) { return rendezvousWeight(hashName(each.value()), key) > own; });
    return static_cast<std::size_t>(before);
}

bool server_selector::hasWantedVersion(const server_id& server, const selection_request& wanted) const
{
    if (!wanted.versions)
        return true;
    const registered_server* registered = m_fleet.findServer(server);
    return registered && wanted.versions->allows(registered->softwareVersion);
}

bool server_selector::hasServer(const selection_request& wanted) const
{
    bool isFound = false;
    m_fleet.access().forEachReachableServer(wanted.workspace, wanted.pool, [&](const backend_server& server) {
        isFound = isFound || (hasWantedVersion(server.id, wanted) && !isLeaving(server.id));
    });
    return isFound;
}

std::vector<server_selector::candidate> server_selector::candidatesFor(time_point now, const selection_request& wanted, bool isEjectionIgnored)
{
    const auto cold = coldRate(wanted.pool);
    std::vector<candidate> found;
    refreshKnown();
    m_fleet.access().forEachReachableServer(wanted.workspace, wanted.pool, [&](const backend_server& server, std::size_t position) {
        if (!wanted.excluded.empty() && wanted.excluded.contains(server.id))
            return;
        if (!hasWantedVersion(server.id, wanted))
            return;
        if (wanted.subset && rendezvousWeight(m_known[position].nameHash, wanted.subset->key) < wanted.subset->minWeight)
            return;
        server_condition& known = *m_known[position].condition;
        if (known.isLimited(now) != (wanted.limited == limited_servers::only))
            return;
        if (!startWindow(now, server.id, known, cold, wanted).isOpen())
            return;
        if ((known.isEjected(now) || known.isAvoided(now)) && !isEjectionIgnored)
            return;
        found.push_back({ &server, &known, known.isCold(now), m_known[position].nameHash, m_known[position].slots });
    });
    return found;
}

selected_server server_selector::assess(time_point now, const candidate& assessed, const selection_request& wanted, const std::vector<std::uint64_t>& hashes, bool keepsSharedParts) const
{
    selected_server result { assessed.server->id, {}, {}, {}, 0, 0, assessed.isCold, wanted.limited == limited_servers::only };
    const auto runTime = m_runTimes.find(wanted.pool);
    if (runTime != m_runTimes.end() && assessed.slots > 0)
        assessed.condition->setDelayPerWaiting(runTime->second / assessed.slots);
    if (wanted.prompt)
        result.uncachedTokens = assessed.condition->uncachedTokens(*wanted.prompt, hashes);
    if (keepsSharedParts)
        result.uncachedTokens = std::min<double>(result.uncachedTokens, wanted.prompt->parts.back().tokens);
    result.expectedFirstEvent = assessed.condition->expectedFirstEvent(now, result.uncachedTokens);
    result.baseTime = assessed.condition->ownTime(now, 0);
    result.ownTime = assessed.condition->ownTime(now, result.uncachedTokens);
    if (assessed.server->dataCentre != m_limits.ownDataCentre)
        result.expectedFirstEvent += otherDataCentreDelay;
    return result;
}

std::optional<selected_server> server_selector::select(time_point now, const selection_request& wanted)
{
    std::vector<candidate> candidates = candidatesFor(now, wanted, false);
    if (candidates.empty())
        candidates = candidatesFor(now, wanted, true);
    if (candidates.empty())
        return std::nullopt;
    const std::vector<std::uint64_t> hashes = wanted.prompt ? prefixHashes(wanted.prompt->parts) : std::vector<std::uint64_t> {};
    // The last part belongs to this request alone; the part before it is the longest prefix
    // that other requests share.
    const bool hasSharedPart = hashes.size() >= 2;
    if (hasSharedPart) {
        const std::uint64_t shared = hashes[hashes.size() - 2];
        for (candidate& each : candidates)
            each.weight = rendezvousWeight(each.nameHash, shared);
        const std::size_t compared = std::min(candidates.size(), wanted.promptChoices);
        std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(compared), candidates.end(),
            [](const candidate& left, const candidate& right) { return left.weight > right.weight; });
    } else {
        std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(m_random.index(candidates.size())), candidates.end());
    }
    if (wanted.prompt && candidates.size() > wanted.promptChoices)
        candidates.resize(wanted.promptChoices);
    std::optional<selected_server> best;
    duration bestCost {};
    for (std::size_t rank = 0; rank < candidates.size(); ++rank) {
        // The preferred server is assumed to cache the shared parts, whichever router sent
        // them there.
        const selected_server assessed = assess(now, candidates[rank], wanted, hashes, hasSharedPart && rank == 0);
        const duration cost = assessed.expectedFirstEvent + (hasSharedPart ? static_cast<int>(rank) * delayPerRank : duration::zero());
        if (!best || cost < bestCost) {
            best = assessed;
            bestCost = cost;
        }
    }
    best->candidates = candidates.size();
    best->queue = m_conditions[best->server].queue(now);
    return best;
}

}
