#include "pimentoladder/Rollout/RolloutSchedule.h"

#include <algorithm>

namespace pimentoladder {

namespace {

    using seconds = std::chrono::duration<double>;

    // Answers that the trial share should bring: twice what one sound step needs.
    constexpr double trialAnswers = 60;

    // Part of the budget that the trial may use.
    constexpr double trialBudgetPart = 0.4;

    // Part of the budget that is planned with; the rest covers a rising rate.
    constexpr double plannedBudgetPart = 0.8;

    // With less than this part of the budget left after a step, the next step takes all.
    constexpr double fullBudgetPart = 0.95;

    constexpr double mostGrowth = 5;
    constexpr double leastGrowth = 1.5;
    constexpr double mostStepShare = 0.5;
    constexpr double leastStepShare = 0.1;

    constexpr duration leastCommitMargin = std::chrono::milliseconds(600);
    constexpr int commitMarginDivisor = 20; // 5% of the length

    double inSeconds(duration time) { return seconds(time).count(); }

}

duration rollout_schedule::commitMargin(duration length)
{
    return std::min(std::max(leastCommitMargin, length / commitMarginDivisor), length / 2);
}

double rollout_schedule::budget(const rollout_progress& at) const
{
    return m_limits.exposureShare * at.perSecond * inSeconds(at.length) + static_cast<double>(m_limits.exposureExtra);
}

rollout_step rollout_schedule::next(const rollout_progress& at) const
{
    if (at.verdict.isFaulty)
        return { rollout_state::reverted, 0, "faulty" };
    if (at.elapsed >= at.length - commitMargin(at.length)) {
        if (!at.hasServers)
            return { rollout_state::reverted, 0, "no_servers" };
        // A router that has just become the owner may not have the reports yet.
        if (at.answers == 0 && at.stepElapsed < reactionTime)
            return { rollout_state::inProgress, at.share, "few_reports" };
        if (at.answers == 0)
            return { rollout_state::reverted, 0, "no_answers" };
        if (at.verdict.isSuspect)
            return { rollout_state::reverted, 0, "suspect_at_deadline" };
        return { rollout_state::completed, 1, "deadline" };
    }
    if (!at.hasServers)
        return { rollout_state::inProgress, at.share, "no_servers" };
    const bool isTrial = inSeconds(at.elapsed) < trialPart * inSeconds(at.length);
    const double trial = trialShare(at);
    if (at.share == 0)
        return { rollout_state::inProgress, trial, "trial" };
    // The rate is estimated anew all the time; a small change is not worth a step.
    const bool isOffTrial = trial > leastGrowth * at.share || trial * leastGrowth < at.share;
    if (isTrial && at.hasEvidence && isOffTrial && !at.verdict.isSuspect)
        return { rollout_state::inProgress, trial, "trial" };
    if (isTrial)
        return { rollout_state::inProgress, at.share, "trial" };
    if (!at.hasEvidence)
        return { rollout_state::inProgress, at.share, "few_reports" };
    if (at.verdict.isSuspect)
        return { rollout_state::inProgress, at.share, "suspect" };
    if (at.stepElapsed < reactionTime)
        return { rollout_state::inProgress, at.share, "reaction" };
    if (at.share < 1) {
        const double share = nextShare(at);
        if (share > at.share)
            return { rollout_state::inProgress, share, at.verdict.isSound ? "sound" : "within_budget" };
        return { rollout_state::inProgress, at.share, "few_answers" };
    }
    if (!at.verdict.isSound)
        return { rollout_state::inProgress, at.share, "few_answers" };
    if (at.inProgress > 0)
        return { rollout_state::inProgress, at.share, "others_in_progress" };
    return { rollout_state::completed, 1, "sound" };
}

double rollout_schedule::trialShare(const rollout_progress& at) const
{
    if (!at.hasEvidence || at.perSecond <= 0)
        return firstTrialShare;
    const double requests = at.perSecond * trialPart * inSeconds(at.length);
    const double byBudget = trialBudgetPart * budget(at) / requests;
    return std::clamp(std::min(trialAnswers / requests, byBudget), leastTrialShare, mostTrialShare);
}

double rollout_schedule::nextShare(const rollout_progress& at) const
{
    const auto exposed = static_cast<double>(at.exposed);
    if (!at.verdict.isSound) {
        const double left = at.perSecond * inSeconds(at.length - at.elapsed);
        const double affordable = left > 0 ? (plannedBudgetPart * budget(at) - exposed) / left : 1;
        const double share = std::min({ affordable, mostGrowth * at.share, 1.0 });
        return share >= 1 || share > leastGrowth * at.share ? share : at.share;
    }
    // Exposure of the step to all, until evidence of it has arrived.
    const double full = std::max(at.perSecond * inSeconds(reactionTime), 1.0);
    const double spare = (fullBudgetPart * budget(at) - exposed) / full - 1;
    const double share = std::min({ std::max(spare / 2, leastStepShare), mostStepShare, mostGrowth * at.share });
    return share > leastGrowth * at.share ? share : 1;
}

}
