#include "pimentoladder/Dispatch/PromptAdmission.h"

#include <algorithm>
#include <cmath>

#include "pimentoladder/Dispatch/ServerSpeed.h"

namespace pimentoladder {

namespace {

    // Fraction of the objective within which the first event must be expected. The
    // other half covers what the estimate does not include: requests that other
    // routers send at the same time, and slower engines.
    constexpr double objectiveFraction = 0.5;
    // The fraction grows with the unused part of the workspace's share, up to this: the
    // workspace is entitled to the capacity, even if the response is late.
    constexpr double maxObjectiveFraction = 0.8;
    // The fraction shrinks as the workspace exceeds its share, down to this.
    constexpr double minObjectiveFraction = 0.15;
    // Part of its share of what was served that a workspace may use at the whole fraction. The
    // demand of others includes requests that came again, so the share is estimated too low.
    constexpr double servedTolerance = 1.15;
    // Exponent by which the fraction shrinks beyond that. Who asks ten times as often passes
    // ten times as often at the same fraction, so the fraction has to fall steeply.
    constexpr double excessExponent = 6;
    // Upper bound, as a fraction of the limit, on the time counted for reading the prompt.
    constexpr double maxOwnPromptFraction = 0.6;
    // Part of what it asked for within its share that a workspace was admitted, below which its
    // requests may be late, and the one at which they may be latest: half is what each is owed.
    constexpr double deprivedBelow = 0.9;
    constexpr double mostDeprivedAt = 0.5;
    // Multiple of the objective within which the first event of the most deprived is expected.
    // Callers give up at four times the objective, and the estimate is often too short.
    constexpr double latestObjectives = 2;
    // Iterations of the event loop between a request and its first event: its body, the
    // connection to the server, the bytes sent to it, and the response.
    constexpr int loopTurnsPerRequest = 4;

}

bool shouldAdmitPrompt(const prompt_estimate& estimate)
{
    const bool isBeyondShare = estimate.share.ofCapacity > 1;
    if (isBeyondShare && !estimate.isRequestLimited && estimate.uncachedTokens > estimate.ownTokens)
        return false;
    const double usual = isBeyondShare
        ? std::max(minObjectiveFraction, objectiveFraction / estimate.share.ofCapacity)
        : maxObjectiveFraction + (objectiveFraction - maxObjectiveFraction) * estimate.share.ofLargest;
    const double excess = std::max(1.0, estimate.share.ofServed / servedTolerance);
    const double fraction = usual / std::pow(excess, excessExponent);
    // No choice of a server and no shorter queue saves the base time, so it is no reason to refuse.
    const auto limit = std::chrono::duration<double>(std::max(estimate.objective - estimate.baseTime, duration::zero())) * fraction;
    // Reading a large prompt alone takes most of the objective. Such a request is refused
    // only for the delay caused by other requests; otherwise it would never be served.
    const duration ownTime = estimate.ownTime.value_or(prefillTime(estimate.uncachedTokens));
    const std::chrono::duration<double> own = ownTime - estimate.baseTime;
    // The lag of this router does not count for a workspace that was not served more than its
    // share, because it may come from refusing requests of other workspaces, or all of its own.
    const bool countsLag = isBeyondShare && estimate.share.ofServed > servedTolerance;
    const duration lateness = countsLag ? estimate.loopLag * loopTurnsPerRequest : duration::zero();
    const std::chrono::duration<double> othersDelay = estimate.expectedFirstEvent - ownTime + lateness;
    return othersDelay + std::min(own, limit * maxOwnPromptFraction) <= limit;
}

bool shouldAdmitLatePrompt(const prompt_estimate& estimate)
{
    const double deprivation = std::clamp((deprivedBelow - estimate.share.ofEntitled) / (deprivedBelow - mostDeprivedAt), 0.0, 1.0);
    if (deprivation <= 0)
        return false;
    const double fraction = maxObjectiveFraction + (latestObjectives - maxObjectiveFraction) * deprivation;
    return std::chrono::duration<double>(estimate.expectedFirstEvent) <= std::chrono::duration<double>(estimate.objective) * fraction;
}

}
