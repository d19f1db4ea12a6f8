#include "pimentoladder/Dispatch/ServerCondition.h"

#include <algorithm>
#include <cmath>

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    // Weight of a new sample in the smoothed delay: about the last five count.
    constexpr double ambientGain = 0.3;
    // Half-life of the smoothed delay, since no sample says that a queue emptied.
    constexpr duration ambientHalfLife = 1s;
    // One request that waits for a slot delays those behind it by about one run
    // (3 s) divided by the slots of an engine (64).
    constexpr duration delayPerWaiting = 50ms;
    // Each running request lengthens an engine's steps by some tens of microseconds.
    constexpr duration delayPerRunning = 300us;
    // A statement of load older than this says nothing about the present.
    constexpr duration loadLifetime = 1s;
    // Part of the pending tokens of others that is still to be read, on average.
    constexpr double unreadPartOfPending = 0.5;
    // An own sample of this age goes before what other routers have seen.
    constexpr duration sampleLifetime = 2s;
    // What other routers had sent is read, or reported again, within this time.
    constexpr duration fleetLifetime = 1s;
    // Failures in a row before a server is left out, as single ones are common.
    constexpr std::uint32_t failuresToEject = 4;
    constexpr duration ejectionTime = 1s;
    // A server that could not be reached is tried again after this time.
    constexpr duration unreachableTime = 400ms;
    // A server that comes back after a crash is cold for seconds, and its
    // registration may still be the old one.
    constexpr duration suspectedColdTime = 4s;
    // Prompts that one engine's record may name; it holds tens of bytes each.
    constexpr std::size_t maxKeptPrefixes = 4096;

    duration scaled(duration value, double factor)
    {
        return duration(static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
    }

    // Returns what is left of a smoothed delay after some time without samples.
    duration decayed(duration delay, duration elapsed)
    {
        const double halfLives = static_cast<double>(elapsed.count()) / static_cast<double>(ambientHalfLife.count());
        return scaled(delay, std::exp2(-halfLives));
    }

}

duration prefillTime(double tokens)
{
    return scaled(1ms, tokens / prefillTokensPerMillisecond);
}

std::vector<std::uint64_t> prefixHashes(const std::vector<prompt_part>& parts)
{
    // Multiplier of the splitmix64 generator; spreads close ids over all bits.
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

void server_condition::started(time_point now, attempt_number attempt, double unreadTokens)
{
    const duration expected = expectedFirstEvent(now, unreadTokens);
    m_attempts[attempt] = { now, unreadTokens, expected - ambientDelay(now), false };
    m_lastStart = now;
}

void server_condition::responded(time_point now, attempt_number attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() || found->second.hasResponded)
        return;
    found->second.hasResponded = true;
    const duration sample = std::max(duration::zero(), now - found->second.startedAt - found->second.expected);
    m_ambient = scaled(decayed(m_ambient, now - m_ambientAt), 1 - ambientGain) + scaled(sample, ambientGain);
    m_ambientAt = now;
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
    const duration delay = hasSamples ? mean : overdue(now);
    return server_observation { server, delay, m_load.running, m_load.waiting, pending };
}

void server_condition::observedByFleet(time_point now, const server_observation& seen)
{
    m_fleetDelay = seen.delay;
    m_fleetDelayAt = now;
    m_othersPending = std::max(0.0, seen.pendingTokens - m_reportedPending) * unreadPartOfPending;
    m_load.running = seen.running;
    m_load.waiting = seen.waiting;
    m_loadAt = now;
}

double server_condition::othersPending(time_point now) const
{
    const bool isUsed = !hasRecentSample(now) && now - m_fleetDelayAt <= fleetLifetime;
    return isUsed ? m_othersPending : 0;
}

bool server_condition::hasRecentSample(time_point now) const
{
    return now - m_ambientAt <= sampleLifetime;
}

duration server_condition::overdue(time_point now) const
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

void server_condition::unreachable(time_point now)
{
    m_ejectedUntil = now + unreachableTime;
    setCold(now + suspectedColdTime);
    m_kept.clear();
}

void server_condition::stated(time_point now, const stated_load& load)
{
    m_load = load;
    m_loadAt = now;
}

void server_condition::setCold(time_point until)
{
    m_coldUntil = std::max(m_coldUntil, until);
}

bool server_condition::isCold(time_point now) const
{
    return now < m_coldUntil;
}

bool server_condition::mayStartCold(time_point now, duration spacing) const
{
    return !m_lastStart || now - *m_lastStart >= spacing;
}

double server_condition::pendingTokens() const
{
    double tokens = 0;
    for (const auto& [number, attempt] : m_attempts) {
        if (!attempt.hasResponded)
            tokens += attempt.unreadTokens;
    }
    return tokens;
}

duration server_condition::ambientDelay(time_point now) const
{
    const duration own = decayed(m_ambient, now - m_ambientAt);
    const duration seen = hasRecentSample(now) ? own : std::max(own, decayed(m_fleetDelay, now - m_fleetDelayAt));
    // A request that is overdue shows a delay before any answer does.
    return std::max(seen, overdue(now));
}

duration server_condition::expectedFirstEvent(time_point now, double unreadTokens) const
{
    duration expected = ambientDelay(now) + prefillTime(pendingTokens() + othersPending(now) + unreadTokens);
    if (now - m_loadAt <= loadLifetime)
        expected += m_load.waiting * delayPerWaiting + m_load.running * delayPerRunning;
    return expected;
}

double server_condition::unreadTokens(const prompt_work& work, const std::vector<std::uint64_t>& hashes) const
{
    double unread = work.promptTokens;
    for (std::size_t i = 0; i < hashes.size() && m_kept.contains(hashes[i]); ++i)
        unread -= work.parts[i].tokens;
    return std::max(unread, 0.0);
}

void server_condition::keeps(const std::vector<std::uint64_t>& hashes)
{
    if (m_kept.size() + hashes.size() > maxKeptPrefixes)
        m_kept.clear();
    m_kept.insert(hashes.begin(), hashes.end());
}

}
