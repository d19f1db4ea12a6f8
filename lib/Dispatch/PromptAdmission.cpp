#include "pimentoladder/Dispatch/PromptAdmission.h"

#include <algorithm>

#include "pimentoladder/Dispatch/ServerCondition.h"

namespace pimentoladder {

namespace {

    // Part of the objective within which a request's first event must be
    // expected. The other half covers what the estimate does not see: requests
    // that other routers send at the same moment, and slower engines.
    constexpr double partOfObjective = 0.5;
    // The part grows with what the workspace has left of its share, up to this: it is
    // owed the service, though it may come late.
    constexpr double mostPartOfObjective = 0.8;
    // The part shrinks as the workspace goes beyond its share, down to this.
    constexpr double leastPartOfObjective = 0.15;
    // Part of that time for which a request's own prompt may count.
    constexpr double mostPartOfLimitForOwnPrompt = 0.6;
    // Turns of the event loop between a request and its first event: its body, the
    // connection to the server, the bytes to it, and the answer.
    constexpr int loopTurnsPerRequest = 4;

}

bool isWorthSending(const prompt_prospect& prospect)
{
    const bool isBeyondShare = prospect.shareFill > 1;
    if (isBeyondShare && prospect.unreadTokens > prospect.ownTokens)
        return false;
    const double part = isBeyondShare
        ? std::max(leastPartOfObjective, partOfObjective / prospect.shareFill)
        : mostPartOfObjective + (partOfObjective - mostPartOfObjective) * prospect.shareFill;
    const auto limit = std::chrono::duration<double>(prospect.objective) * part;
    // A large prompt takes most of the objective by itself; it is refused for the
    // delay by others only, as it would otherwise never be served.
    const std::chrono::duration<double> own = prefillTime(prospect.unreadTokens);
    // A router that is late serves the workspaces within their share all the same:
    // it may be late for the refusals of others.
    const duration lateness = isBeyondShare ? prospect.loopLag * loopTurnsPerRequest : duration::zero();
    const std::chrono::duration<double> others = prospect.expectedFirstEvent - prefillTime(prospect.unreadTokens) + lateness;
    return others + std::min(own, limit * mostPartOfLimitForOwnPrompt) <= limit;
}

}
