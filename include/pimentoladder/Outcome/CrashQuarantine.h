/// \file
/// Finds requests that crash each backend server that runs them.

#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// How a request may run.
enum class crash_verdict {
    clear, ///< Like any other request.
    isolate, ///< Only on a server that runs no other request under suspicion.
    quarantined, ///< Not at all.
};

/// Keeps the suspicions of request fingerprints. A fingerprint gains one for
/// each distinct (server, incarnation) lost while it ran, on whichever router.
/// Not thread-safe; call on the loop's thread.
class crash_quarantine {
public:
    static constexpr std::size_t quarantineThreshold = 2; ///< Suspicions at which a request is refused.
    static constexpr duration lifetime = std::chrono::minutes(10); ///< Of a suspicion and of a quarantine.
    static constexpr std::size_t maximumFingerprints = 10000; ///< Beyond it, the oldest are forgotten.

    /// Adds the suspicions of a report, a peer's or the router's own. Reports
    /// may arrive late, twice and in any order.
    void merge(time_point now, const crash_report& report);

    /// Returns how a request with this fingerprint may run.
    crash_verdict verdict(time_point now, fingerprint print) const;

    /// Clears the suspicions of a request that a server has answered. A report
    /// of the same losses that arrives later does not restore them.
    void succeeded(fingerprint print);

    /// Returns the number of fingerprints kept.
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
    void forgetOld(time_point now);

    std::map<fingerprint, suspect> m_suspects;
    std::deque<fingerprint> m_order; ///< Fingerprints in order of their first loss.
};

}
