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

    // Part of the threshold from which a version is suspect.
    constexpr double suspectPart = 0.5;

    // A route with a smaller part of the answers need not be sound by itself.
    constexpr double leastRoutePart = 0.1;

    // Probability with which one route of a faulty version is called sound. The rate for all
    // routes together is the stated one.
    constexpr double routeMissRate = 0.2;

    // Part of the servers that must be faulty before the version is.
    constexpr unsigned serversPerFaulty = 3;

    // Standard deviations above the mean that chance faults at other servers may reach.
    constexpr double chanceDeviations = 3;

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

double rollout_judge::logRatio(const rollout_comparison& seen, const rollout_counts& usual)
{
    const auto faults = static_cast<double>(seen.target.faults());
    const auto answers = static_cast<double>(seen.target.answers);
    const auto otherFaults = static_cast<double>(seen.current.faults());
    const auto otherAnswers = static_cast<double>(seen.current.answers);
    const double baseline = baselineRate(usual);
    if (isMoreThanChance(otherFaults, otherAnswers, baseline)) {
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

rollout_verdict rollout_judge::update(const rollout_totals& totals, const rollout_evidence_sum& evidence)
{
    rollout_verdict verdict;
    const auto examine = [&](const std::optional<std::string>& route, const rollout_comparison& total) {
        const double ratio = runRatio(route, total);
        const double limit = threshold(total.target.answers, totals.routes.size() + 1);
        const rollout_comparison& start = m_runStarts[route];
        const bool isSuspect = ratio >= suspectPart * limit && (total.target - start.target).faults() > 1;
        if (!isSuspect)
            return;
        if (isFewServers(route, total.target, total.current, evidence)) {
            verdict.isOneServer = true;
            return;
        }
        verdict.isSuspect = true;
        verdict.isFaulty = verdict.isFaulty || ratio >= limit;
    };
    examine(std::nullopt, totals.all);
    for (const auto& [route, total] : totals.routes)
        examine(route, total);
    verdict.isSound = !verdict.isSuspect && isSoundSince(totals);
    return verdict;
}

double rollout_judge::runRatio(const std::optional<std::string>& route, const rollout_comparison& total)
{
    rollout_comparison& start = m_runStarts[route];
    const double ratio = logRatio(total - start, total.current);
    if (ratio > 0)
        return ratio;
    start = total;
    return 0;
}

bool rollout_judge::isSoundSince(const rollout_totals& totals) const
{
    const rollout_comparison step = totals.all - m_stepStart.all;
    if (step.target.answers == 0 || logRatio(step, totals.all.current) > std::log(missRate))
        return false;
    return std::all_of(totals.routes.begin(), totals.routes.end(), [&](const auto& entry) {
        const auto& [route, total] = entry;
        const auto answers = static_cast<double>(total.target.answers + total.current.answers);
        const auto all = static_cast<double>(totals.all.target.answers + totals.all.current.answers);
        if (answers < leastRoutePart * all)
            return true;
        const auto start = m_stepStart.routes.find(route);
        const rollout_comparison seen = start == m_stepStart.routes.end() ? total : total - start->second;
        return logRatio(seen, total.current) <= std::log(routeMissRate);
    });
}

bool rollout_judge::isFewServers(const std::optional<std::string>& route, const rollout_counts& target, const rollout_counts& current, const rollout_evidence_sum& evidence) const
{
    const rollout_fault_spread spread = evidence.spread(route);
    if (spread.servers < 2)
        return false;
    if (spread.faultyServers < 2 || spread.faultyServers * serversPerFaulty < spread.servers)
        return true;
    // Chance faults of the other servers must not make one bad server a bad version. Once
    // half of the pairs have had a fault, they no longer tell the two apart.
    const double mean = baselineRate(current) * static_cast<double>(target.answers) * (spread.servers - 1) / spread.servers;
    const double byChance = mean + chanceDeviations * std::sqrt(mean);
    return spread.otherFaultyPairs < std::min(byChance, spread.otherPairs / 2.0);
}

}
