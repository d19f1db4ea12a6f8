/// \file
/// Plan of the share of requests that the target version of a roll-out gets at a time.

#pragma once

#include <cstdint>
#include <string_view>

#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Rollout/RolloutJudge.h"
#include "pimentoladder/Rollout/RolloutOrder.h"

namespace pimentoladder {

/// Where a roll-out is with its brief step.
enum class brief_step {
    none,
    running, ///< All requests go to the target for a short time.
    ended, ///< The share is back, and its evidence is awaited.
};

/// What a step of a roll-out depends on.
struct rollout_progress {
    duration length {}; ///< Of the order.
    duration elapsed {}; ///< Since the order.
    duration stepElapsed {}; ///< Since the share last changed.
    double share = 0;
    double trialShare = 0; ///< Share before the brief step.
    brief_step brief = brief_step::none;
    double perSecond = 0; ///< Requests for the pool.
    std::uint64_t exposed = 0; ///< Requests sent to the target.
    std::uint64_t answers = 0; ///< Of the target.
    std::uint64_t inProgress = 0; ///< At servers of other versions.
    bool hasServers = false; ///< Servers of the target are in service.
    bool hasEvidence = false; ///< Enough routers have reported lately.
    rollout_verdict verdict;
};

/// What a roll-out does next.
struct rollout_step {
    rollout_state state = rollout_state::inProgress;
    double share = 0;
    std::string_view reason;
    brief_step brief = brief_step::none;
};

/// Decides the share and the end of a roll-out.
///
/// The target first gets a trial share, held until it is sound and `trialPart` of the length
/// has passed, so that faults that start late are met at a small share. Then the share rises
/// to a half and to one, each after sound evidence of the step before, if the budget allows
/// the exposure until evidence of a step has arrived. Otherwise all requests go to the target
/// for a short time only, the share returns, and rises for good once the evidence of that time
/// is sound: what a fault under load exposes does not depend on how fast it is reported.
/// Thread-safe.
class rollout_schedule {
public:
    explicit rollout_schedule(const rollout_limits& limits)
        : m_limits(limits)
    {
    }

    /// Time until a step's faults have been reported and its end has reached every router.
    static constexpr duration reactionTime = std::chrono::milliseconds(1100);
    static constexpr double trialPart = 0.5; ///< Part of the length for which the trial share is held.
    static constexpr double leastTrialShare = 0.02;
    static constexpr double firstTrialShare = 0.05; ///< While the rate is not known.
    static constexpr double mostTrialShare = 0.3;

    rollout_step next(const rollout_progress& at) const;

    /// Returns the time before the deadline at which the roll-out is decided, which leaves
    /// time for the commit.
    static duration commitMargin(duration length);

    /// Returns how many requests a faulty version may get if the rate stays the same.
    double budget(const rollout_progress& at) const;

private:
    double trialShare(const rollout_progress& at) const;
    rollout_step rise(const rollout_progress& at) const;
    rollout_step riseUnproven(const rollout_progress& at) const;
    double affordableShare(const rollout_progress& at) const; ///< Until the deadline.
    duration briefTime(const rollout_progress& at) const;

    rollout_limits m_limits;
};

}
