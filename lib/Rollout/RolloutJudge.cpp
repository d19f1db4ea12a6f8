#include "pimentoladder/Rollout/RolloutJudge.h"

#include <algorithm>
#include <cmath>

namespace pimentoladder {

namespace {

    // Answers at the floor's rate that are added to the other versions' counts, so that one
    // failure among few answers is not taken for a high baseline.
    constexpr double baselinePrior = 20;

    // Probability below which the other versions' faults are not taken for chance.
    constexpr double leastChance = 0.03;

    constexpr double highestFaultyRate = 0.95;

    // Probability with which a version at the baseline rate is suspect at a time.
    constexpr double suspectRate = 0.01;

    // A route with a smaller part of the answers need not be sound by itself.
    constexpr double leastRoutePart = 0.1;

    // Probability with which one route of a faulty version is called sound. The rate for all
    // routes together is the stated one.
    constexpr double routeMissRate = 0.33;

    // Part of the servers that must be faulty before the version is.
    constexpr unsigned serversPerFaulty = 3;

    // Probability below which faults at the other servers are not taken for chance while one server is bad.
    constexpr double oneServerRate = 1e-2;

    // Answers that are added to the other versions' when their rate of chance faults is estimated.
    constexpr double chancePrior = 50;

    double part(double faults, double answers) { return answers > 0 ? faults / answers : 0; }

    double logLikelihood(double faults, double answers, double rate)
    {
        const double good = answers - faults;
        return (faults > 0 ? faults * std::log(rate) : 0) + (good > 0 ? good * std::log(1 - rate) : 0);
    }

    // Returns whether \p faults among \p answers are more than chance explains at \p rate:
    // bound of Chernoff on the upper tail.
    bool isMoreThanChance(double faults, double answers, double rate)
    {
        const double seen = part(faults, answers);
        if (seen <= rate)
            return false;
        const double bound = logLikelihood(faults, answers, rate) - logLikelihood(faults, answers, seen);
        return bound < std::log(leastChance);
    }

    // Probability of \p count or more events of a Poisson distribution.
    double atLeast(unsigned count, double mean)
    {
        double fewer = 0;
        double term = std::exp(-mean);
        for (unsigned i = 0; i < count; ++i) {
            fewer += term;
            term *= mean / (i + 1);
        }
        return 1 - fewer;
    }

    double threshold(std::uint64_t answers, std::size_t tests)
    {
        const double repeats = std::max(1.0, static_cast<double>(answers) / rollout_judge::answersPerTest);
        return std::log(repeats * static_cast<double>(tests) / rollout_judge::falseAlarmRate);
    }

}

double rollout_judge::baselineRate(const rollout_counts& current)
{
    const double faults = static_cast<double>(current.faults()) + baselineFloor * baselinePrior;
    return std::max(baselineFloor, faults / (static_cast<double>(current.answers) + baselinePrior));
}

bool rollout_judge::areOthersFailing(const rollout_counts& seen, const rollout_counts& usual)
{
    return isMoreThanChance(static_cast<double>(seen.faults()), static_cast<double>(seen.answers), baselineRate(usual));
}

double rollout_judge::logRatio(const rollout_comparison& seen, const rollout_counts& usual)
{
    const auto faults = static_cast<double>(seen.target.faults());
    const auto answers = static_cast<double>(seen.target.answers);
    const auto otherFaults = static_cast<double>(seen.current.faults());
    const auto otherAnswers = static_cast<double>(seen.current.answers);
    const double baseline = baselineRate(usual);
    if (areOthersFailing(seen.current, usual)) {
        const double targetRate = part(faults, answers);
        const double otherRate = part(otherFaults, otherAnswers);
        if (targetRate < otherRate + leastHarm / 2)
            return 0;
        const double common = part(faults + otherFaults, answers + otherAnswers);
        return logLikelihood(faults, answers, targetRate) + logLikelihood(otherFaults, otherAnswers, otherRate)
            - logLikelihood(faults + otherFaults, answers + otherAnswers, common);
    }
    const double sound = std::min(std::max(baseline, baselineRate(seen.current)), highestFaultyRate - leastHarm);
    return logLikelihood(faults, answers, sound + leastHarm) - logLikelihood(faults, answers, sound);
}

rollout_verdict rollout_judge::update(time_point now, const rollout_totals& totals, const rollout_evidence_sum& evidence)
{
    m_recent.emplace_back(now, totals);
    while (m_recent.size() > 1 && now - m_recent[1].first >= recentTime)
        m_recent.pop_front();
    rollout_verdict verdict;
    verdict.isSound = true;
    const auto examine = [&](const test_key& route, const rollout_comparison& total) {
        const double ratio = runRatio(route, total);
        const rollout_counts run = total.target - m_runStarts[route].target;
        if (ratio >= -std::log(suspectRate) && run.faults() > 1) {
            verdict.isSound = false;
            if (isFewServers(totals.all, evidence)) {
                verdict.isOneServer = true;
                return;
            }
            verdict.isSuspect = true;
            verdict.isFaulty = verdict.isFaulty || ratio >= threshold(total.target.answers, totals.routes.size() + 1);
        }
        // The step's evidence begins anew after a chance fault, but the test's does not.
        if (ratio > -std::log(routeMissRate))
            verdict.isSound = false;
        const auto answers = static_cast<double>(total.target.answers + total.current.answers);
        const auto all = static_cast<double>(totals.all.target.answers + totals.all.current.answers);
        if (answers >= leastRoutePart * all && stepRatio(route, total) > std::log(route ? routeMissRate : missRate))
            verdict.isSound = false;
    };
    examine(std::nullopt, totals.all);
    for (const auto& [route, total] : totals.routes)
        examine(route, total);
    return verdict;
}

void rollout_judge::beginStep(const rollout_totals& totals)
{
    m_stepStarts.clear();
    m_stepStarts[std::nullopt] = totals.all;
    for (const auto& [route, total] : totals.routes)
        m_stepStarts[route] = total;
}

rollout_comparison rollout_judge::recent(const test_key& route, const rollout_comparison& total) const
{
    const rollout_totals& earlier = m_recent.front().second;
    if (!route)
        return total - earlier.all;
    const auto found = earlier.routes.find(*route);
    return found == earlier.routes.end() ? total : total - found->second;
}

double rollout_judge::runRatio(const test_key& route, const rollout_comparison& total)
{
    rollout_comparison& start = m_runStarts[route];
    const rollout_comparison now = recent(route, total);
    // The run may have begun before an outage of both sides, so only the outage's own time
    // compares them. Its faults do not count afterwards either.
    if (areOthersFailing(now.current, total.current)) {
        const double ratio = logRatio(now, total.current);
        if (ratio <= -std::log(suspectRate))
            start = total;
        return ratio;
    }
    const double ratio = logRatio(total - start, total.current);
    if (ratio > 0)
        return ratio;
    start = total;
    return 0;
}

double rollout_judge::stepRatio(const test_key& route, const rollout_comparison& total)
{
    rollout_comparison& start = m_stepStarts[route];
    const double ratio = logRatio(total - start, total.current);
    // A chance fault must not take the whole step to make up for.
    if (ratio > 0)
        start = total;
    return ratio;
}

bool rollout_judge::isFewServers(const rollout_comparison& total, const rollout_evidence_sum& evidence)
{
    const rollout_fault_spread spread = evidence.spread();
    if (spread.servers < 2)
        return false;
    if (spread.faultyServers < 2 || spread.faultyServers * serversPerFaulty < spread.servers)
        return true;
    // Chance faults of the other servers must not make one bad server a bad version. Once
    // half of the pairs have had a fault, they no longer tell the two apart.
    const double rate = (static_cast<double>(total.current.faults()) + 1) / (static_cast<double>(total.current.answers) + chancePrior);
    const double mean = rate * static_cast<double>(total.target.answers) * (spread.servers - 1) / spread.servers;
    const double halfOfPairs = static_cast<double>(spread.servers - 1) * static_cast<double>(spread.routers) / 2;
    return spread.otherFaultyPairs < halfOfPairs && atLeast(spread.otherFaultyPairs, mean) > oneServerRate;
}

}
