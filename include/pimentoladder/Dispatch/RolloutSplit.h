/// \file
/// Divides the requests of a pool between the versions of a roll-out, and counts what comes of them.

#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Random.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Dispatch/FleetView.h"
#include "pimentoladder/Dispatch/ServerSelector.h"
#include "pimentoladder/Protocol/Messages.h"
#include "pimentoladder/Rollout/RolloutOrder.h"

namespace pimentoladder {

/// What the order and the permit of a pool allow now.
struct rollout_rule {
    std::string version; ///< Target of the order.
    rollout_state state = rollout_state::inProgress;
    double share = 0; ///< Of the pool's requests that may go to the target version; zero without a valid permit.

    /// Returns the filter that leaves the servers of the target version.
    version_filter target() const { return { version, false }; }

    /// Returns the filter that leaves the servers of all other versions.
    version_filter others() const { return { version, true }; }
};

/// An attempt whose first byte is about to be sent.
struct rollout_attempt {
    attempt_number attempt;
    pool_id pool;
    std::string route;
    server_id server;
    std::string version; ///< Of the server.
    bool isCold = false; ///< Late answers of cold servers are no evidence.
    std::optional<duration> expected; ///< Time to the first event; nothing for a request without a prompt.
    duration reading {}; ///< Time that the server needs to read the prompt.
};

/// One router's knowledge of the ordered roll-outs: their permits, and the evidence of its own
/// attempts. Times must not decrease. Not thread-safe; call on the loop's thread.
class rollout_split {
public:
    /// \p fleet outlives the object.
    rollout_split(const fleet_view& fleet, rollout_limits limits, std::uint64_t seed);

    /// Starts or replaces the roll-out of a pool; \p at: revision of the order's row. The same
    /// revision changes nothing; another one resets permit and evidence.
    void setOrder(revision at, const rollout_order& order);

    /// Ends the roll-out of a pool. Unknown pools are ignored.
    void endOrder(const pool_id& pool);

    /// Applies permits of the orders in force, and keeps those of orders that are not known yet.
    void setPermits(time_point now, const rollout_permits& received);

    /// Returns whether no pool has an order.
    bool isEmpty() const { return m_pools.empty(); }

    /// Time from the completion after which the versions of the pool are no longer told apart, so
    /// that a later release can replace the target version.
    static constexpr duration settledTime = std::chrono::seconds(10);

    /// Returns what is allowed for the pool, or nothing if it has no order, or was completed
    /// `settledTime` ago.
    std::optional<rollout_rule> ruleOf(time_point now, const pool_id& pool) const;

    /// Counts a request for a pool; those without an order are ignored.
    void recordRequest(const pool_id& pool);

    /// Draws whether a request goes to the target version, with the probability \p share.
    bool draw(double share);

    /// Returns the servers of the target version that take the share \p share of the pool's
    /// requests, the same at every router, or nothing if all of them do.
    std::optional<server_subset> firstServers(const pool_id& pool, double share);

    /// Counts an attempt that is being sent, and expects its answer.
    void onSent(time_point now, const rollout_attempt& sent);

    /// Counts the first event of a stream, or the head of another response. \p hasFailed: it is a
    /// server error. Unknown attempts, and all but the first answer, are ignored.
    void onAnswer(time_point now, attempt_number attempt, bool hasFailed);

    /// Counts an attempt that this router gives up because nothing has come for too long, as
    /// answered late if its answer was expected at a time and has not been counted.
    void onGivenUp(attempt_number attempt);

    /// Forgets an attempt.
    void onEnded(attempt_number attempt);

    /// Counts the attempts whose answer is overdue as answered late.
    void onTick(time_point now);

    /// Returns when `onTick` is due, or nothing while no answer is expected.
    std::optional<time_point> nextDeadline() const;

    /// Returns the evidence on all roll-outs that are not final. The attempts in progress are left out.
    rollout_report evidence() const;

private:
    static constexpr std::size_t maxRoutes = 64; ///< Of a pool; further ones are counted together.
    static constexpr std::size_t maxEarlyPermits = 64;

    struct held_permit {
        rollout_permit permit;
        time_point confirmedAt;
        time_point learntAt; ///< When this router first had it.
    };

    struct route_evidence {
        std::array<rollout_tally, 2> sides; ///< Others, target.
        std::optional<duration> usualDelay; ///< Smoothed time to an answer of the other versions, without the reading of the prompt.
    };

    struct pool_state {
        revision order;
        std::string version;
        std::optional<held_permit> held;
        std::uint64_t requests = 0;
        std::map<std::string, route_evidence> routes;
        std::optional<std::uint64_t> rankedVersion; ///< Version of the access index that `ranks` is of.
        std::vector<std::uint64_t> ranks; ///< Rendezvous weights of the target's servers in service, the highest first.
    };

    struct open_attempt {
        pool_id pool;
        revision order;
        std::string route; ///< Under which it is counted.
        bool isTarget = false;
        bool isCounted = false; ///< Its answer, or that it is overdue.
        bool setsUsual = false; ///< Its answer counts for the usual delay of its route.
        std::uint64_t serverBit = 0;
        time_point sentAt;
        duration reading {};
        std::optional<time_point> overdueAt;
    };

    static bool isNewer(const rollout_permit& left, const rollout_permit& right);
    static void keep(std::optional<held_permit>& held, const held_permit& received);
    void keepEarly(const held_permit& received);
    route_evidence* evidenceOf(const open_attempt& attempt);
    static void count(open_attempt& attempt, route_evidence& evidence, bool hasFailed, bool isSlow);

    const fleet_view& m_fleet;
    rollout_limits m_limits;
    random_source m_random;
    std::map<pool_id, pool_state> m_pools; ///< Those with an order.
    std::map<pool_id, held_permit> m_early; ///< Permits of orders that are not known yet.
    std::unordered_map<attempt_number, open_attempt> m_attempts;
    std::set<std::pair<time_point, attempt_number>> m_overdue; ///< When each expected answer is late.
};

}
