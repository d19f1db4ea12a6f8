/// \file
/// Detects and quarantines requests that crash the backend servers that run them.

#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// How a request may be dispatched.
enum class quarantine_decision {
    clear, ///< Without restriction.
    isolate, ///< Only to a server that runs no other suspected request.
    quarantined, ///< Not at all.
};

/// Counts the suspicions against request fingerprints. A fingerprint gains one
/// for each distinct (server, incarnation) that was lost while running it,
/// whichever router sent the request.
/// Not thread-safe; call on the loop's thread.
class crash_quarantine {
public:
    static constexpr std::size_t quarantineThreshold = 2; ///< Suspicions at which a request is refused.
    static constexpr duration lifetime = std::chrono::minutes(10); ///< Time after which a suspicion or a quarantine expires.
    static constexpr std::size_t maximumFingerprints = 10000; ///< Above this, the oldest fingerprints are evicted.

    /// Adds the suspicions of a report from a peer or from this router. Reports
    /// may arrive late, repeatedly and in any order.
    void merge(time_point now, const crash_report& report);

    /// Returns how a request with this fingerprint may be dispatched.
    quarantine_decision decisionFor(time_point now, fingerprint print) const;

    /// Clears the suspicions against a request that a server has answered. A
    /// later report of the same losses does not restore them.
    void clearSuspicions(fingerprint print);

    /// Returns the number of tracked fingerprints.
    std::size_t size() const { return m_suspects.size(); }

private:
    struct loss {
        server_id server;
        incarnation serverStart;
        bool isCleared = false;
    };
    struct suspect {
        std::vector<loss> losses;
        time_point lastLossAt;
    };

    void addLoss(time_point now, fingerprint print, const crash_report& report);
    void removeExpired(time_point now);

    std::map<fingerprint, suspect> m_suspects;
    std::deque<fingerprint> m_order; ///< Fingerprints in order of their first loss.
};

}
