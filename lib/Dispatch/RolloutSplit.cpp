#include "pimentoladder/Dispatch/RolloutSplit.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    // Servers of the target version that take its requests at a small share: enough to tell a
    // fault of the version from a fault of one server.
    constexpr double minTargetServers = 4;
    // Servers beyond the share, so that those of the target version are not loaded above the others.
    constexpr double targetServersPerShare = 1.25;
    // From this share on all servers of the target version take requests.
    constexpr double wholeTargetShare = 0.8;
    // An answer is slow if it takes longer than this multiple of the expected time, and the margin.
    constexpr int slowFactor = 3;
    constexpr duration slowMargin = 150ms;
    // Weight of an answer in the usual delay of its route.
    constexpr double usualGain = 0.05;
    // Resolution of the draw.
    constexpr std::size_t drawSteps = std::size_t { 1 } << 30;
    // Bits of a set of servers in a tally.
    constexpr std::uint64_t serverBits = 64;

    bool isFinal(rollout_state state)
    {
        return state != rollout_state::inProgress;
    }

    bool isUsed(const rollout_tally& tally)
    {
        return tally.sent > 0;
    }

}

rollout_split::rollout_split(const fleet_view& fleet, rollout_limits limits, std::uint64_t seed)
    : m_fleet(fleet)
    , m_limits(limits)
    , m_random(seed)
{
}

void rollout_split::setOrder(revision at, const rollout_order& order)
{
    const auto known = m_pools.find(order.pool);
    if (known != m_pools.end() && known->second.order == at)
        return;
    pool_state state;
    state.order = at;
    state.version = order.version;
    if (const auto early = m_early.find(order.pool); early != m_early.end() && early->second.permit.order <= at) {
        if (early->second.permit.order == at)
            state.held = early->second;
        m_early.erase(early);
    }
    m_pools.insert_or_assign(order.pool, std::move(state));
}

void rollout_split::endOrder(const pool_id& pool)
{
    m_pools.erase(pool);
}

bool rollout_split::isNewer(const rollout_permit& left, const rollout_permit& right)
{
    return std::tie(left.order, left.token, left.sequence) > std::tie(right.order, right.token, right.sequence);
}

void rollout_split::keep(std::optional<held_permit>& held, const held_permit& received)
{
    if (!held || isNewer(received.permit, held->permit))
        held = received;
    else if (!isNewer(held->permit, received.permit))
        held->confirmedAt = std::max(held->confirmedAt, received.confirmedAt);
}

void rollout_split::keepEarly(const held_permit& received)
{
    const auto known = m_early.find(received.permit.pool);
    if (known != m_early.end()) {
        std::optional<held_permit> held = known->second;
        keep(held, received);
        known->second = *held;
        return;
    }
    if (m_early.size() >= maxEarlyPermits)
        m_early.erase(std::min_element(m_early.begin(), m_early.end(), [](const auto& left, const auto& right) { return left.second.confirmedAt < right.second.confirmedAt; }));
    m_early.emplace(received.permit.pool, received);
}

void rollout_split::setPermits(time_point now, const rollout_permits& received)
{
    for (const rollout_permit& each : received.entries) {
        const held_permit permit { each, now - std::max(each.age, duration::zero()), now };
        const auto found = m_pools.find(each.pool);
        if (found != m_pools.end() && found->second.order == each.order)
            keep(found->second.held, permit);
        else if (found == m_pools.end() || each.order > found->second.order)
            keepEarly(permit);
    }
}

std::optional<rollout_rule> rollout_split::ruleOf(time_point now, const pool_id& pool) const
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end())
        return std::nullopt;
    rollout_rule rule { found->second.version };
    const auto& held = found->second.held;
    if (!held)
        return rule;
    rule.state = held->permit.state;
    if (rule.state == rollout_state::completed && now - held->learntAt >= settledTime)
        return std::nullopt;
    if (isFinal(rule.state))
        rule.share = rule.state == rollout_state::completed ? 1 : 0;
    else if (now - held->confirmedAt < m_limits.permitLifetime && held->permit.share > 0)
        rule.share = std::min(held->permit.share, 1.0);
    return rule;
}

void rollout_split::recordRequest(const pool_id& pool)
{
    if (const auto found = m_pools.find(pool); found != m_pools.end())
        ++found->second.requests;
}

bool rollout_split::draw(double share)
{
    return static_cast<double>(m_random.index(drawSteps)) < share * static_cast<double>(drawSteps);
}

std::optional<server_subset> rollout_split::firstServers(const pool_id& pool, double share)
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end() || share >= wholeTargetShare)
        return std::nullopt;
    pool_state& state = found->second;
    const std::uint64_t key = hashName(pool.value());
    // Reading the access index may build it, which does not change its version.
    const access_index& access = m_fleet.access();
    if (state.rankedVersion != m_fleet.accessVersion()) {
        state.rankedVersion = m_fleet.accessVersion();
        state.ranks.clear();
        for (const auto& [id, server] : m_fleet.servers()) {
            if (server.pool == pool && server.softwareVersion == state.version && access.isInService(id))
                state.ranks.push_back(rendezvousWeight(hashName(id.value()), key));
        }
        std::sort(state.ranks.begin(), state.ranks.end(), std::greater<>());
    }
    const auto wanted = std::max(minTargetServers, std::ceil(targetServersPerShare * share * static_cast<double>(state.ranks.size())));
    const auto count = static_cast<std::size_t>(wanted);
    if (count >= state.ranks.size())
        return std::nullopt;
    return server_subset { key, state.ranks[count - 1] };
}

rollout_split::route_evidence* rollout_split::evidenceOf(const open_attempt& attempt)
{
    const auto found = m_pools.find(attempt.pool);
    if (found == m_pools.end() || found->second.order != attempt.order)
        return nullptr;
    return &found->second.routes[attempt.route];
}

void rollout_split::onSent(time_point now, const rollout_attempt& sent)
{
    const auto found = m_pools.find(sent.pool);
    // An attempt is asked for again if it takes another connection.
    if (found == m_pools.end() || m_attempts.contains(sent.attempt))
        return;
    pool_state& state = found->second;
    open_attempt opened;
    opened.pool = sent.pool;
    opened.order = state.order;
    const bool hasOwnTally = state.routes.contains(sent.route) || state.routes.size() < maxRoutes;
    opened.route = hasOwnTally ? sent.route : std::string();
    opened.isTarget = sent.version == state.version;
    // Routes that are counted together have no usual delay.
    opened.setsUsual = !opened.isTarget && !sent.isCold && hasOwnTally;
    opened.serverBit = std::uint64_t { 1 } << (hashName(sent.server.value()) % serverBits);
    opened.sentAt = now;
    opened.reading = sent.reading;
    route_evidence& evidence = state.routes[opened.route];
    ++evidence.sides.at(opened.isTarget ? 1 : 0).sent;
    // What is expected of a server includes the delay learnt from its late answers, which would
    // hide a version that is always late. So no more is expected than of the other versions.
    auto expected = sent.expected;
    if (evidence.usualDelay)
        expected = std::min(expected.value_or(duration::max()), sent.reading + *evidence.usualDelay);
    if (expected && !sent.isCold) {
        opened.overdueAt = now + slowFactor * *expected + slowMargin;
        m_overdue.insert({ *opened.overdueAt, sent.attempt });
    }
    m_attempts.emplace(sent.attempt, std::move(opened));
}

void rollout_split::count(open_attempt& attempt, route_evidence& evidence, bool hasFailed, bool isSlow)
{
    attempt.isCounted = true;
    rollout_tally& tally = evidence.sides.at(attempt.isTarget ? 1 : 0);
    ++tally.answers;
    tally.servers |= attempt.serverBit;
    if (hasFailed)
        ++tally.failures;
    else if (isSlow)
        ++tally.slow;
    if (hasFailed || isSlow)
        tally.faultyServers |= attempt.serverBit;
}

void rollout_split::onAnswer(time_point now, attempt_number attempt, bool hasFailed)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    open_attempt& answered = found->second;
    const bool isSlow = answered.overdueAt && now > *answered.overdueAt;
    if (answered.overdueAt)
        m_overdue.erase({ *answered.overdueAt, attempt });
    route_evidence* evidence = evidenceOf(answered);
    if (!evidence)
        return;
    if (std::exchange(answered.setsUsual, false) && !hasFailed) {
        const duration delay = std::max(now - answered.sentAt - answered.reading, duration::zero());
        auto& usual = evidence->usualDelay;
        usual = usual ? *usual + std::chrono::duration_cast<duration>((delay - *usual) * usualGain) : delay;
    }
    if (!answered.isCounted)
        count(answered, *evidence, hasFailed, isSlow);
}

void rollout_split::onGivenUp(attempt_number attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() || !found->second.overdueAt || found->second.isCounted)
        return;
    if (route_evidence* evidence = evidenceOf(found->second))
        count(found->second, *evidence, false, true);
}

void rollout_split::onEnded(attempt_number attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    if (found->second.overdueAt)
        m_overdue.erase({ *found->second.overdueAt, attempt });
    m_attempts.erase(found);
}

void rollout_split::onTick(time_point now)
{
    while (!m_overdue.empty() && m_overdue.begin()->first < now) {
        open_attempt& late = m_attempts.at(m_overdue.begin()->second);
        m_overdue.erase(m_overdue.begin());
        if (route_evidence* evidence = evidenceOf(late))
            count(late, *evidence, false, true);
    }
}

std::optional<time_point> rollout_split::nextDeadline() const
{
    if (m_overdue.empty())
        return std::nullopt;
    // An answer that comes exactly at its time is not late.
    return m_overdue.begin()->first + duration(1);
}

rollout_report rollout_split::evidence() const
{
    rollout_report report;
    for (const auto& [pool, state] : m_pools) {
        if (state.held && isFinal(state.held->permit.state))
            continue;
        rollout_evidence& each = report.rollouts.emplace_back();
        each.pool = pool;
        each.order = state.order;
        each.requests = state.requests;
        for (const auto& [route, counted] : state.routes) {
            for (std::size_t side = 0; side < counted.sides.size(); ++side) {
                if (!isUsed(counted.sides.at(side)))
                    continue;
                rollout_tally& tally = each.tallies.emplace_back(counted.sides.at(side));
                tally.route = route;
                tally.isTarget = side == 1;
            }
        }
    }
    return report;
}

}
