#include "pimentoladder/Replica/RelayLimits.h"

#include <algorithm>
#include <cassert>

namespace pimentoladder {

namespace {

    // Fractions of the bound on the age of rows.
    constexpr double readInterval = 0.3;
    constexpr double heldRead = 0.2;
    constexpr double followInterval = 0.2;
    // Several round trips between data centres.
    constexpr double hedgeDelay = 0.075;
    constexpr double silence = 0.6;
    constexpr double ownRead = 0.8;
    constexpr double shortRetry = 0.1;
    constexpr double readerRetry = 0.2;
    // Platforms judge the age of rows again after 1.25 of the bound or more have passed since the
    // end of an outage, and removals after 1.5.
    constexpr double steadyRetry = 1.0;
    constexpr double steadyRetryJitter = 0.05;
    constexpr double longestReturn = 0.5;
    constexpr double retryJitter = 0.5;
    // The end of an outage may be taken for earlier than it was by this much, which leaves servers
    // time to register again.
    constexpr duration greatestEndError = std::chrono::milliseconds(1100);

}

relay_limits relayLimitsFor(duration maxRowAge)
{
    assert(maxRowAge > duration::zero() && "the bound on the age of rows must be positive");
    const auto part = [maxRowAge](double fraction) { return std::chrono::duration_cast<duration>(maxRowAge * fraction); };
    relay_limits limits;
    limits.wait[static_cast<std::size_t>(followed_table::operators)] = part(heldRead);
    for (const followed_table table : { followed_table::operators, followed_table::servers })
        limits.pause[static_cast<std::size_t>(table)] = part(readInterval);
    limits.followInterval = part(followInterval);
    limits.hedgeDelay = part(hedgeDelay);
    limits.outageAge = maxRowAge;
    limits.longestReturn = part(longestReturn);
    limits.latestEnd = std::max(limits.longestReturn, part(steadyRetry * (1 + steadyRetryJitter)) - greatestEndError);
    limits.sourceTimeout = part(silence);
    limits.maxBasisAge = part(ownRead);
    limits.readerRetry = { part(shortRetry), part(readerRetry), retryJitter };
    limits.loneRetry = { part(shortRetry), part(longestReturn / (1 + retryJitter)), retryJitter };
    limits.otherRetry = { part(steadyRetry), part(steadyRetry), steadyRetryJitter };
    return limits;
}

}
