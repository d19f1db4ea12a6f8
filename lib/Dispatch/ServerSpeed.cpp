#include "pimentoladder/Dispatch/ServerSpeed.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;
    using milliseconds = std::chrono::duration<double, std::milli>;

    constexpr double tokensPerThousand = 1000;

    /// Default, uncertainty, bounds and step of a coefficient, in milliseconds per unit. Adopted
    /// values are multiples of the step. Routers that follow different readers get values that
    /// differ a little, and would admit the same request at one of them only.
    struct coefficient_range {
        double usual = 0;
        double deviation = 0;
        double least = 0;
        double most = 0;
        double step = 0;
    };

    // Factor by which a learnt coefficient may differ from its default.
    constexpr double maxFactor = 4;
    // Uncertainty of a default, as a part of it. A router gets few responses in the first seconds;
    // with a larger one they would tell routers different speeds of the same servers, and each
    // workspace would be admitted by what its routers believe.
    constexpr double usualDeviation = 0.3;

    constexpr double stepsPerUsual = 8;

    constexpr coefficient_range around(double usual)
    {
        return { usual, usual * usualDeviation, usual / maxFactor, usual * maxFactor, usual / stepsPerUsual };
    }

    // The base time and the square have no default to be a multiple of. A base above 400 ms would
    // take most of the objective of any request, and at a square of 2 ms a prompt of 16,000 tokens
    // takes half a second more.
    constexpr std::array<coefficient_range, pool_speed::coefficients> ranges { {
        { 0, 50, 0, 400, 25 },
        around(tokensPerThousand / prefillTokensPerMillisecond),
        { 0, 0.1, 0, 2, 0.125 },
        around(0.3),
        around(15),
    } };

    // Scatter of the responses until it is known, and its bounds, in milliseconds.
    constexpr double usualScatter = 60;
    constexpr double minScatter = 5;
    constexpr double maxScatter = 200;
    // Weight of a response in the scatter.
    constexpr double scatterGain = 0.05;
    // Multiples of the expected scatter beyond which a response counts as if it were at that
    // distance: a faulty server must not move its pool.
    constexpr double maxDeviations = 2;
    // Weight of a response that comes later than expected, compared with one that comes earlier.
    // Requests of other routers in the queue make responses late and never early; this part of
    // the time is `server_condition`'s excess delay.
    constexpr double lateWeight = 0.3;
    // Fraction of its initial variance that a coefficient regains in a second, so that later
    // responses keep their weight: a pool is learnt anew in some tens of seconds.
    constexpr double regainedVariancePerSecond = 0.002;

    // Responses that the assumption of the usual speed is worth, and the most that a
    // server's slowness rests on.
    constexpr double usualSpeedWeight = 2;
    constexpr double maxWeight = 6;
    // Responses from which on a slowness is used.
    constexpr double minKnownWeight = 3;
    // Largest change that one response can ask for; a cold or faulty server takes any time.
    constexpr double maxSlownessChange = 1;
    // As lateWeight. A server's pool has been learnt without most of the lateness.
    constexpr double lateServerWeight = 0.5;
    // Step of an adopted slowness, as that of a coefficient.
    constexpr double slownessStep = 0.25;
    // Half-life of what is known of a server without a response. Its hardware does not change, but
    // what else runs there does.
    constexpr duration slownessHalfLife = 30s;
    // Shortest usual time from which a slowness is derived; below, latency and chance dominate.
    constexpr milliseconds minUsualTime { 10 };

    // Servers change the reported slowness after about 600 ms, so half of the reports of this age
    // are out of date.
    constexpr duration reportedSlownessHalfLife = 300ms;

    pool_speed::coefficient_values unitsOf(const server_work& work)
    {
        const double own = work.ownTokens / tokensPerThousand;
        return { 1, work.tokens / tokensPerThousand, own * own, work.running, work.plainInProgress };
    }

    double rounded(double value, double step)
    {
        return std::round(value / step) * step;
    }

    double weightAfter(duration elapsed, duration halfLife)
    {
        return std::exp2(-static_cast<double>(std::max(elapsed, duration::zero()).count()) / static_cast<double>(halfLife.count()));
    }

}

duration prefillTime(double tokens)
{
    return std::chrono::duration_cast<duration>(milliseconds(tokens / prefillTokensPerMillisecond));
}

pool_speed::pool_speed()
    : m_values {}
    , m_scatter(usualScatter)
{
    for (std::size_t i = 0; i < coefficients; ++i) {
        m_values[i] = ranges[i].usual;
        m_covariance[i][i] = ranges[i].deviation * ranges[i].deviation;
    }
}

duration pool_speed::timeFor(const server_work& work) const
{
    const coefficient_values units = unitsOf(work);
    double sum = 0;
    for (std::size_t i = 0; i < coefficients; ++i)
        sum += m_values[i] * units[i];
    return std::chrono::duration_cast<duration>(milliseconds(sum));
}

void pool_speed::forget(time_point now)
{
    const double seconds = m_learntAt == time_point() ? 0 : std::chrono::duration<double>(now - m_learntAt).count();
    m_learntAt = now;
    for (std::size_t i = 0; i < coefficients; ++i) {
        const double initial = ranges[i].deviation * ranges[i].deviation;
        if (m_covariance[i][i] < initial)
            m_covariance[i][i] = std::min(initial, m_covariance[i][i] + initial * regainedVariancePerSecond * seconds);
    }
}

void pool_speed::adopt(std::span<const double> milliseconds)
{
    if (milliseconds.size() != coefficients)
        return;
    for (std::size_t i = 0; i < coefficients; ++i)
        m_values[i] = std::clamp(rounded(milliseconds[i], ranges[i].step), ranges[i].least, ranges[i].most);
}

void pool_speed::record(time_point now, const server_work& work, duration taken)
{
    forget(now);
    const coefficient_values units = unitsOf(work);
    coefficient_values spread {};
    double variance = m_scatter * m_scatter;
    for (std::size_t i = 0; i < coefficients; ++i) {
        for (std::size_t j = 0; j < coefficients; ++j)
            spread[i] += m_covariance[i][j] * units[j];
        variance += spread[i] * units[i];
    }
    const double most = maxDeviations * std::sqrt(variance);
    const double error = std::clamp(milliseconds(taken - timeFor(work)).count(), -most, most);
    // A response of less weight counts as one with more scatter.
    if (error > 0)
        variance += m_scatter * m_scatter * (1 / lateWeight - 1);
    m_scatter = std::clamp(m_scatter + (std::abs(error) - m_scatter) * scatterGain, minScatter, maxScatter);
    for (std::size_t i = 0; i < coefficients; ++i) {
        m_values[i] = std::clamp(m_values[i] + spread[i] / variance * error, ranges[i].least, ranges[i].most);
        for (std::size_t j = 0; j < coefficients; ++j)
            m_covariance[i][j] -= spread[i] * spread[j] / variance;
        m_covariance[i][i] = std::max(m_covariance[i][i], 0.0);
    }
}

double server_speed::slowness(time_point now) const
{
    return 1 + (m_slowness - 1) * weightAfter(now - m_learntAt, slownessHalfLife);
}

bool server_speed::isKnown() const
{
    return m_weight >= minKnownWeight;
}

void server_speed::adopt(time_point now, double slowness)
{
    m_slowness = std::clamp(rounded(slowness, slownessStep), minSlowness, maxSlowness);
    m_learntAt = now;
}

void server_speed::record(time_point now, const server_work& work, duration taken, const pool_speed& pool)
{
    const duration usual = pool.timeFor(work);
    if (work.ownTokens <= 0 || usual < minUsualTime)
        return;
    m_slowness = slowness(now);
    m_weight = std::min(m_weight * weightAfter(now - m_learntAt, slownessHalfLife) + 1, maxWeight);
    m_learntAt = now;
    const double change = std::clamp(milliseconds(taken) / milliseconds(usual) - m_slowness, -maxSlownessChange, maxSlownessChange);
    const double weighted = change > 0 ? change * lateServerWeight : change;
    m_slowness = std::clamp(m_slowness + weighted / (m_weight + usualSpeedWeight), minSlowness, maxSlowness);
}

double expectedSlowness(double reported, duration age)
{
    const double bounded = std::clamp(reported, server_speed::minSlowness, server_speed::maxSlowness);
    return 1 + (bounded - 1) * weightAfter(age, reportedSlownessHalfLife);
}

}
