/// \file
/// Sequential test of whether the target version of a roll-out is faulty.

#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "pimentoladder/Rollout/RolloutEvidence.h"

namespace pimentoladder {

/// What the evidence says about the target version.
struct rollout_verdict {
    bool isFaulty = false; ///< At the stated error rate.
    bool isSound = false; ///< The evidence since `beginStep` excludes a faulty version at the stated error rate.
    bool isSuspect = false; ///< Faults are more likely than not, but not proven.
    bool isOneServer = false; ///< The faults are those of a single server, so they do not count.
};

/// Compares the target's part of faulty answers with that of the other versions in the same
/// time, on each route and on all together.
///
/// Wald's sequential probability ratio test between the baseline rate and the baseline plus
/// `leastHarm`. It begins again whenever the ratio favours the baseline (Page's CUSUM), so
/// that earlier good answers do not outweigh a fault that starts late. While the other
/// versions fail as well, the two sides are compared with each other instead of with the
/// baseline. Not thread-safe.
class rollout_judge {
public:
    /// Probability per `answersPerTest` answers with which a version at the baseline rate is called faulty.
    static constexpr double falseAlarmRate = 1e-4;
    static constexpr double answersPerTest = 50;
    /// Probability with which one step of a faulty version is called sound.
    static constexpr double missRate = 1e-2;
    static constexpr double leastHarm = 0.15; ///< Part of the answers above the baseline.
    static constexpr double baselineFloor = 0.02; ///< A lower rate would let rare failures revert.

    /// Time over which the two sides are compared while the other versions fail.
    static constexpr duration recentTime = std::chrono::seconds(1);

    /// Takes the newest totals, which never decrease; \p evidence: where they come from.
    rollout_verdict update(time_point now, const rollout_totals& totals, const rollout_evidence_sum& evidence);

    /// Begins the evidence by which a share is called sound.
    void beginStep(const rollout_totals& totals);

    /// Returns the part of the answers of the other versions that are faulty, at least the floor.
    static double baselineRate(const rollout_counts& current);

    /// Returns the log of the likelihood ratio of a faulty against a sound version.
    /// \p usual: counts from which the baseline comes if the other versions' answers in
    /// \p seen agree with it.
    static double logRatio(const rollout_comparison& seen, const rollout_counts& usual);

    /// Returns whether the other versions have more faults in \p seen than chance explains.
    static bool areOthersFailing(const rollout_counts& seen, const rollout_counts& usual);

private:
    using test_key = std::optional<std::string>; ///< Route; none: all together.

    rollout_comparison recent(const test_key& route, const rollout_comparison& total) const;
    double runRatio(const test_key& route, const rollout_comparison& total);
    double stepRatio(const test_key& route, const rollout_comparison& total);
    static bool isFewServers(const rollout_comparison& total, const rollout_evidence_sum& evidence);

    std::map<test_key, rollout_comparison> m_runStarts; ///< Totals at which each test last began.
    std::map<test_key, rollout_comparison> m_stepStarts;
    std::deque<std::pair<time_point, rollout_totals>> m_recent;
};

}
