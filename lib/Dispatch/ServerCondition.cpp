#include "pimentoladder/Dispatch/ServerCondition.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    // Weight of a new sample in the smoothed delay; about the last five samples dominate.
    constexpr double excessDelayGain = 0.3;
    // Half-life of the smoothed delay, which must decay by itself: no sample arrives when
    // a queue becomes empty.
    constexpr duration excessDelayHalfLife = 1s;
    // Delay by a request that waits for a slot, until the run time and the slots are known.
    constexpr duration usualDelayPerWaiting = 50ms;
    // Maximum age of a load report that is used.
    constexpr duration loadLifetime = 1s;
    // Average fraction of the pending tokens of other routers that is still to be read.
    constexpr double unreadFractionOfPending = 0.5;
    // While this router's last sample is at most this old, it takes precedence over the
    // observations of other routers.
    constexpr duration sampleLifetime = 2s;
    // Within this time the pending tokens of other routers have been read or are reported
    // again.
    constexpr duration fleetLifetime = 1s;
    // Failures in a row before a server is ejected; single failures are common.
    constexpr std::uint32_t failuresToEject = 4;
    constexpr duration ejectionTime = 1s;
    // Ejection time of a server that could not be reached.
    constexpr duration unreachableTime = 400ms;
    // A server that restarts after a crash is cold for seconds, and its registration may
    // still be the one from before the crash.
    constexpr duration suspectedColdTime = 4s;
    // Maximum number of recorded prefixes per engine; each takes tens of bytes.
    constexpr std::size_t maxCachedPrefixes = 4096;

    // Routers that may send to a server with a request limit. Four that take themselves for
    // senders, because their views of the members differ, stay below one and a half
    // times the limit.
    constexpr std::size_t limitSenders = 3;
    // Share of the spacing by which a request may be early, since requests do not arrive
    // just when one is allowed.
    constexpr double limitTolerance = 0.5;
    // Fraction of a limit that is used; the remainder covers requests that arrive closer
    // together than they were sent.
    constexpr double limitFraction = 0.95;
    // Rate at a server that names a lower limit, or zero. Without any request it could
    // not tell that the limit has ended.
    constexpr double minLimitPerSecond = 0.25;
    // Time without a response after which a limit counts as ended.
    constexpr duration limitLifetime = 10s;
    // After the end of a limit the allowed rate doubles at this interval, so that the
    // server does not get all that was held back at once.
    constexpr duration limitDoublingTime = 500ms;
    constexpr duration limitRampTime = 3s;

    // Interval between the trials of one router at a server that has rested, and the time
    // after which a trial without a response is not waited for.
    constexpr duration trialInterval = 500ms;

    duration scaled(duration value, double factor)
    {
        return duration(static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
    }

    // Returns a smoothed delay after exponential decay over the time without samples.
    duration decayed(duration delay, duration elapsed)
    {
        const double halfLives = static_cast<double>(elapsed.count()) / static_cast<double>(excessDelayHalfLife.count());
        return scaled(delay, std::exp2(-halfLives));
    }

}

std::vector<std::uint64_t> prefixHashes(const std::vector<prompt_part>& parts)
{
    // Multiplier of the splitmix64 generator; spreads adjacent ids over all bits.
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15;
    std::vector<std::uint64_t> hashes;
    hashes.reserve(parts.size());
    std::uint64_t hash = 0;
    for (const prompt_part& part : parts) {
        hash = (hash ^ part.id) * multiplier;
        hash ^= hash >> 29;
        hashes.push_back(hash);
    }
    return hashes;
}

std::string_view limitNoticeName(limit_notice notice)
{
    switch (notice) {
    case limit_notice::none:
        return "none";
    case limit_notice::limited:
        return "limited";
    case limit_notice::unreadable:
        return "unreadable";
    }
    return "none";
}

void server_condition::started(time_point now, attempt_number attempt, double uncachedTokens)
{
    const server_work work = workFor(now, uncachedTokens);
    const duration waiting = waitingTime(now);
    const bool hasQueue = waiting > duration::zero() || pendingTokens() > 0 || hasReportedQueue(now);
    const bool isTypical = !isCold(now) && !hasQueue;
    m_attempts[attempt] = { now, uncachedTokens, work, scaled(usualTime(work), slowness(now)) + waiting, isTypical, false };
    std::shift_right(m_lastStarts.begin(), m_lastStarts.end(), 1);
    m_lastStarts.front() = now;
}

void server_condition::responded(time_point now, attempt_number attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() || found->second.hasResponded)
        return;
    found->second.hasResponded = true;
    if (const running_attempt& typical = found->second; typical.isTypical)
        m_sample = speed_sample { {}, {}, {}, typical.work.tokens, typical.work.running, typical.work.plainInProgress, scaled(now - typical.startedAt, 1 / momentarySlowness(now)) };
    const duration sample = std::max(duration::zero(), now - found->second.startedAt - found->second.expected);
    m_excessDelay = scaled(decayed(m_excessDelay, now - m_excessDelayAt), 1 - excessDelayGain) + scaled(sample, excessDelayGain);
    m_excessDelayAt = now;
    m_unreportedDelay += sample;
    ++m_unreportedSamples;
}

std::optional<server_observation> server_condition::takeObservation(time_point now, const server_id& server)
{
    const double pending = pendingTokens();
    const bool hasNews = m_unreportedSamples > 0 || pending > 0 || m_reportedPending > 0;
    if (!hasNews)
        return std::nullopt;
    const bool hasSamples = m_unreportedSamples > 0;
    const duration mean = hasSamples ? m_unreportedDelay / m_unreportedSamples : duration::zero();
    m_unreportedDelay = {};
    m_unreportedSamples = 0;
    m_reportedPending = pending;
    const duration delay = hasSamples ? mean : longestOverdue(now);
    server_observation taken { server, delay, 0, 0, pending };
    // What other routers have passed on is known to them, and an old report says nothing of now.
    if (m_isLoadOwn && now - m_loadAt <= loadLifetime) {
        taken.running = m_load.running;
        taken.waiting = m_load.waiting;
        taken.loadAge = now - m_loadAt;
    }
    return taken;
}

void server_condition::observedByFleet(time_point now, const server_observation& seen)
{
    m_fleetDelay = seen.delay;
    m_fleetDelayAt = now;
    if (seen.learnt)
        m_speed.adopt(now, seen.learnt->slowness);
    m_othersPending = std::max(0.0, seen.pendingTokens - m_reportedPending) * unreadFractionOfPending;
    if (!seen.loadAge || now - *seen.loadAge <= m_loadAt)
        return;
    m_load.running = seen.running;
    m_load.waiting = seen.waiting;
    m_loadAt = now - *seen.loadAge;
    m_isLoadOwn = false;
}

double server_condition::othersPending(time_point now) const
{
    const bool isUsed = !hasRecentSample(now) && now - m_fleetDelayAt <= fleetLifetime;
    return isUsed ? m_othersPending : 0;
}

bool server_condition::hasRecentSample(time_point now) const
{
    return now - m_excessDelayAt <= sampleLifetime;
}

duration server_condition::longestOverdue(time_point now) const
{
    duration most {};
    for (const auto& [number, attempt] : m_attempts) {
        if (!attempt.hasResponded)
            most = std::max(most, now - attempt.startedAt - attempt.expected);
    }
    return most;
}

void server_condition::ended(attempt_number attempt)
{
    m_attempts.erase(attempt);
}

void server_condition::succeeded()
{
    m_consecutiveFailures = 0;
}

void server_condition::failed(time_point now)
{
    if (++m_consecutiveFailures < failuresToEject)
        return;
    m_consecutiveFailures = 0;
    m_ejectedUntil = now + ejectionTime;
}

void server_condition::unreachable(time_point now, time_point since)
{
    if (m_heardAt > since)
        return;
    m_ejectedUntil = now + unreachableTime;
    setCold(now + suspectedColdTime);
    m_cachedPrefixes.clear();
}

void server_condition::setLoad(time_point now, const reported_load& load)
{
    m_load = load;
    m_loadAt = now;
    m_slownessAt = now;
    m_isLoadOwn = true;
}

bool server_condition::setLimit(time_point now, const named_limit& named, time_point openedAt)
{
    if (named.notice == limit_notice::unreadable)
        return true;
    // The response to an older attempt may have been made before the limit was named.
    const bool isOutdated = named.notice == limit_notice::none && isLimited(now) && openedAt < m_limitAt;
    return !isOutdated && applyLimit(now, named, true);
}

bool server_condition::limitSeenByFleet(time_point now, const server_rate_limit& seen)
{
    const time_point at = now - seen.age;
    if (at <= m_limitAt)
        return false;
    named_limit named;
    named.notice = seen.isLimited ? limit_notice::limited : limit_notice::none;
    named.perSecond = seen.perSecond;
    return applyLimit(at, named, false);
}

bool server_condition::applyLimit(time_point at, const named_limit& named, bool isOwn)
{
    const bool isChanged = m_limit.notice != named.notice || m_limit.perSecond != named.perSecond;
    const bool isEnd = named.notice == limit_notice::none;
    if (isEnd && m_limit.notice == limit_notice::limited) {
        m_endedLimit = m_limit.perSecond;
        m_limitEndedAt = at;
    }
    m_limit = named;
    m_limitAt = at;
    m_isLimitOwn = isOwn;
    return isChanged;
}

bool server_condition::isLimited(time_point now) const
{
    return m_limit.notice == limit_notice::limited && now - m_limitAt < limitLifetime;
}

std::optional<fleet_rate> server_condition::limitRate(time_point now, std::size_t routers) const
{
    if (isLimited(now)) {
        const double perSecond = std::max(m_limit.perSecond * limitFraction, minLimitPerSecond);
        const std::size_t senders = std::clamp<std::size_t>(routers, 1, limitSenders);
        return fleet_rate { perSecond, senders, static_cast<double>(senders), limitTolerance };
    }
    const bool hasExpired = m_limit.notice == limit_notice::limited;
    const time_point endedAt = hasExpired ? m_limitAt + limitLifetime : m_limitEndedAt;
    if (endedAt == time_point() || now - endedAt >= limitRampTime)
        return std::nullopt;
    const double from = std::max(hasExpired ? m_limit.perSecond : m_endedLimit, 1.0);
    const double doublings = std::chrono::duration<double>(now - endedAt) / std::chrono::duration<double>(limitDoublingTime);
    const std::size_t senders = std::max<std::size_t>(routers, 1);
    return fleet_rate { from * std::exp2(doublings), senders, static_cast<double>(senders), 0 };
}

std::optional<server_rate_limit> server_condition::ownLimit(time_point now, const server_id& server) const
{
    if (!m_isLimitOwn || now - m_limitAt >= limitLifetime || (m_limit.notice == limit_notice::none && m_limitEndedAt == time_point()))
        return std::nullopt;
    return server_rate_limit { server, m_limit.notice == limit_notice::limited, m_limit.perSecond, now - m_limitAt };
}

void server_condition::setCold(time_point until)
{
    m_coldUntil = std::max(m_coldUntil, until);
}

bool server_condition::isCold(time_point now) const
{
    return now < m_coldUntil;
}

bool server_condition::endRest(time_point openedAt)
{
    if (!m_restUntil || openedAt < *m_restUntil)
        return false;
    m_restUntil.reset();
    return true;
}

bool server_condition::avoid(time_point now, time_point until)
{
    const bool isNew = !isAvoided(now);
    m_avoidedUntil = std::max(m_avoidedUntil, until);
    return isNew;
}

send_window server_condition::restWindow(time_point now, duration returnDelay) const
{
    if (!m_restUntil)
        return {};
    if (now < *m_restUntil)
        return { hold_reason::resting, *m_restUntil };
    time_point trialAt = *m_restUntil + returnDelay;
    if (m_lastStarts.front() && *m_lastStarts.front() >= *m_restUntil)
        trialAt = std::max(trialAt, *m_lastStarts.front() + trialInterval);
    return trialAt <= now ? send_window {} : send_window { hold_reason::returning, trialAt };
}

time_point server_condition::nextStart(const fleet_rate& rate) const
{
    time_point next {};
    double spacings = 1 - rate.tolerance;
    for (const auto& earlier : m_lastStarts) {
        if (earlier)
            next = std::max(next, *earlier + scaled(rate.spacing(), spacings));
        ++spacings;
    }
    return next;
}

double server_condition::pendingTokens() const
{
    double tokens = 0;
    for (const auto& [number, attempt] : m_attempts) {
        if (!attempt.hasResponded)
            tokens += attempt.uncachedTokens;
    }
    return tokens;
}

duration server_condition::excessDelay(time_point now) const
{
    const duration own = decayed(m_excessDelay, now - m_excessDelayAt);
    const duration seen = hasRecentSample(now) ? own : std::max(own, decayed(m_fleetDelay, now - m_fleetDelayAt));
    // An overdue request indicates a delay before its response arrives.
    return std::max(seen, longestOverdue(now));
}

bool server_condition::hasCurrentLoad(time_point now) const
{
    return now - m_loadAt <= loadLifetime;
}

server_work server_condition::workFor(time_point now, double uncachedTokens) const
{
    const double running = hasCurrentLoad(now) ? m_load.running : 0;
    const double plain = uncachedTokens > 0 ? 0 : static_cast<double>(m_attempts.size());
    return { pendingTokens() + othersPending(now) + uncachedTokens, uncachedTokens, running, plain };
}

duration server_condition::usualTime(const server_work& work) const
{
    return m_poolSpeed ? m_poolSpeed->timeFor(work) : pool_speed().timeFor(work);
}

double server_condition::momentarySlowness(time_point now) const
{
    return expectedSlowness(m_load.slowness.value_or(1), now - m_slownessAt);
}

double server_condition::slowness(time_point now) const
{
    return m_speed.slowness(now) * momentarySlowness(now);
}

duration server_condition::waitingTime(time_point now) const
{
    return hasCurrentLoad(now) ? m_load.waiting * m_delayPerWaiting.value_or(usualDelayPerWaiting) : duration::zero();
}

bool server_condition::hasReportedQueue(time_point now) const
{
    return now - m_fleetDelayAt <= fleetLifetime && m_othersPending > 0;
}

std::optional<speed_sample> server_condition::takeSample(time_point now)
{
    const auto taken = std::exchange(m_sample, std::nullopt);
    return hasReportedQueue(now) ? std::nullopt : taken;
}

duration server_condition::expectedFirstEvent(time_point now, double uncachedTokens) const
{
    return excessDelay(now) + scaled(usualTime(workFor(now, uncachedTokens)), slowness(now)) + waitingTime(now);
}

queue_estimate server_condition::queue(time_point now) const
{
    queue_estimate estimate;
    estimate.ownTokens = pendingTokens();
    estimate.othersTokens = othersPending(now);
    estimate.excessDelay = excessDelay(now);
    if (!hasCurrentLoad(now))
        return estimate;
    estimate.running = m_load.running;
    estimate.waiting = m_load.waiting;
    estimate.loadAge = now - m_loadAt;
    estimate.ownSent = static_cast<std::uint32_t>(std::count_if(m_attempts.begin(), m_attempts.end(), [this](const auto& each) { return each.second.startedAt > m_loadAt; }));
    return estimate;
}

duration server_condition::ownTime(time_point now, double uncachedTokens) const
{
    return scaled(usualTime({ uncachedTokens, uncachedTokens, 0, 0 }), slowness(now));
}

double server_condition::uncachedTokens(const prompt_work& work, const std::vector<std::uint64_t>& hashes) const
{
    double unread = work.promptTokens;
    for (std::size_t i = 0; i < hashes.size() && m_cachedPrefixes.contains(hashes[i]); ++i)
        unread -= work.parts[i].tokens;
    return std::max(unread, 0.0);
}

void server_condition::recordCachedPrefixes(const std::vector<std::uint64_t>& hashes)
{
    if (m_cachedPrefixes.size() + hashes.size() > maxCachedPrefixes)
        m_cachedPrefixes.clear();
    m_cachedPrefixes.insert(hashes.begin(), hashes.end());
}

}
