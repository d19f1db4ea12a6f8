/// \file
/// Plan of the share of requests that the target version of a roll-out gets at a time.

#pragma once

#include <cstdint>
#include <string_view>

#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Rollout/RolloutJudge.h"
#include "pimentoladder/Rollout/RolloutOrder.h"

namespace pimentoladder {

/// What a step of a roll-out depends on.
struct rollout_progress {
    duration length {}; ///< Of the order.
    duration elapsed {}; ///< Since the order.
    duration stepElapsed {}; ///< Since the share last changed.
    double share = 0;
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
};

/// Decides the share and the end of a roll-out.
///
/// The target first gets a trial share, held until it is sound and `trialPart` of the length
/// has passed, so that faults that start late are met at a small share. Then the share rises
/// in few steps, each after sound evidence of the step before, such that the exposure until
/// evidence of a step has arrived stays within the budget where one exists. Thread-safe.
class rollout_schedule {
public:
    explicit rollout_schedule(const rollout_limits& limits)
        : m_limits(limits)
    {
    }

    /// Time until a step's faults have been reported and its end has reached every router.
    static constexpr duration reactionTime = std::chrono::milliseconds(900);
    static constexpr double trialPart = 0.45; ///< Part of the length for which the trial share is held.
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
    double nextShare(const rollout_progress& at) const;

    rollout_limits m_limits;
};

}
