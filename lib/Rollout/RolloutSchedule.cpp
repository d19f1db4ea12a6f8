#include "pimentoladder/Rollout/RolloutSchedule.h"

#include <algorithm>

namespace pimentoladder {

namespace {

    using seconds = std::chrono::duration<double>;

    // Requests that the trial share should bring: half more than one sound step needs.
    constexpr double trialRequests = 45;

    // Part of the budget that the trial may use.
    constexpr double trialBudgetPart = 0.4;

    // Part of the budget that is planned with; the rest covers a rising rate.
    constexpr double plannedBudgetPart = 0.8;

    constexpr double mostGrowth = 5;
    constexpr double leastGrowth = 1.5;
    constexpr double mostStepShare = 0.5;

    // The brief step takes all requests for this time, or until it has brought so many.
    constexpr duration leastBriefTime = std::chrono::milliseconds(400);
    constexpr double briefRequests = 60;
    constexpr int briefDivisor = 6; // Part of the length that it may take at most.

    constexpr int unsoundStepDivisor = 5;

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
            return { rollout_state::inProgress, at.share, "few_reports", at.brief };
        if (at.answers == 0)
            return { rollout_state::reverted, 0, "no_answers" };
        if (at.verdict.isSuspect)
            return { rollout_state::reverted, 0, "suspect_at_deadline" };
        return { rollout_state::completed, 1, "deadline" };
    }
    if (!at.hasServers)
        return { rollout_state::inProgress, at.share, "no_servers", at.brief };
    const bool isTrial = inSeconds(at.elapsed) < trialPart * inSeconds(at.length);
    const double trial = trialShare(at);
    if (at.share == 0)
        return { rollout_state::inProgress, trial, "trial" };
    // The rate is estimated anew all the time; a small change is not worth a step.
    const bool isOffTrial = trial > leastGrowth * at.share || trial * leastGrowth < at.share;
    if (isTrial && at.hasEvidence && isOffTrial && !at.verdict.isSuspect)
        return { rollout_state::inProgress, trial, "trial" };
    if (at.brief == brief_step::running && (at.verdict.isSuspect || !at.hasEvidence || at.stepElapsed >= briefTime(at)))
        return { rollout_state::inProgress, at.trialShare, "brief_ended", brief_step::ended };
    if (at.brief == brief_step::running)
        return { rollout_state::inProgress, at.share, "brief", brief_step::running };
    if (at.share < 1 && !at.verdict.isSound && at.hasEvidence) {
        const double affordable = affordableShare(at);
        if (affordable * leastGrowth < at.share)
            return { rollout_state::inProgress, affordable, "budget_used", at.brief };
    }
    if (isTrial)
        return { rollout_state::inProgress, at.share, "trial" };
    if (!at.hasEvidence)
        return { rollout_state::inProgress, at.share, "few_reports", at.brief };
    if (at.verdict.isSuspect)
        return { rollout_state::inProgress, at.share, "suspect", at.brief };
    if (at.stepElapsed < reactionTime)
        return { rollout_state::inProgress, at.share, "reaction", at.brief };
    if (at.share < 1)
        return rise(at);
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
    return std::clamp(std::min(trialRequests / requests, byBudget), leastTrialShare, mostTrialShare);
}

duration rollout_schedule::briefTime(const rollout_progress& at) const
{
    // What the smaller share adds until the evidence has arrived is set aside.
    const double after = std::min(at.share, at.brief == brief_step::running ? at.trialShare : 1.0) * at.perSecond * inSeconds(reactionTime);
    const double spare = std::max(0.0, plannedBudgetPart * budget(at) - static_cast<double>(at.exposed) - after);
    const seconds forAnswers(briefRequests / std::max(at.perSecond, 1.0));
    const seconds affordable(spare / std::max(at.perSecond, 1.0));
    const seconds wanted = std::min(std::max<seconds>(leastBriefTime, forAnswers), affordable);
    return std::chrono::duration_cast<duration>(std::min<seconds>(wanted, at.length / briefDivisor));
}

double rollout_schedule::affordableShare(const rollout_progress& at) const
{
    const double left = at.perSecond * inSeconds(at.length - at.elapsed);
    const double spare = plannedBudgetPart * budget(at) - static_cast<double>(at.exposed);
    return left > 0 ? std::max(0.0, spare) / left : 1;
}

rollout_step rollout_schedule::rise(const rollout_progress& at) const
{
    if (!at.verdict.isSound)
        return riseUnproven(at);
    if (at.brief == brief_step::ended || at.share >= mostStepShare)
        return { rollout_state::inProgress, 1, "sound" };
    // Exposure of a step to all, until evidence of it has arrived.
    const double full = at.perSecond * inSeconds(reactionTime);
    const double spare = plannedBudgetPart * budget(at) - static_cast<double>(at.exposed);
    if (spare >= (1 + mostStepShare) * full)
        return { rollout_state::inProgress, mostStepShare, "sound" };
    // Too late for the evidence of a brief step.
    if (at.elapsed + briefTime(at) + reactionTime >= at.length - commitMargin(at.length))
        return { rollout_state::inProgress, at.share, "late" };
    return { rollout_state::inProgress, 1, "brief", brief_step::running };
}

rollout_step rollout_schedule::riseUnproven(const rollout_progress& at) const
{
    const rollout_step stay { rollout_state::inProgress, at.share, "few_answers", at.brief };
    // More requests bring the evidence sooner, but a fault that has just started must be seen first.
    if (at.stepElapsed < at.length / unsoundStepDivisor && at.elapsed < at.length - 2 * reactionTime)
        return stay;
    const double share = std::min({ affordableShare(at), mostGrowth * at.share, 1.0 });
    if (share < 1 && share < leastGrowth * at.share)
        return stay;
    return { rollout_state::inProgress, share, "within_budget" };
}

}
