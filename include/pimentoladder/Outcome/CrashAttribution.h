/// \file
/// Attributes losses of backend servers to the requests, or to the parts of their
/// prompts, that make servers crash.

#pragma once

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Outcome/TraitPopularity.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// What the evidence says about a trait.
enum class trait_state {
    clear,
    suspected, ///< Two or more losses: requests with it are not sent again after a loss.
    quarantined, ///< Requests with it are refused.
};

/// Returns the name of \p state in snake case. Thread-safe.
std::string_view traitStateName(trait_state state);

/// Change of the state of one trait, with its evidence.
struct trait_change {
    request_trait trait;
    trait_state state = trait_state::clear;
    std::vector<server_id> servers; ///< Lost with such a request that had not begun.
    std::vector<vm_id> reporters;
    duration firstLossAge {};
    duration lastLossAge {};
};

/// Changes of the evidence, for other routers.
struct evidence_changes {
    server_losses own; ///< Observed by this router.
    server_losses all; ///< Also what other routers have reported.
};

/// Attributes server losses to traits, from the evidence of all routers.
///
/// A server that ends takes down every request on it, but a trait that makes servers
/// crash is among those that had not begun at each loss, and no request with it begins.
/// A trait is quarantined once `quarantineThreshold` servers have been lost under it
/// and no request with it has begun since, unless quarantined parts with more evidence
/// against them explain the losses. A common trait is on many servers when they are lost for another reason, so it is
/// quarantined only if it is on clearly more of them than its share of the requests
/// explains, or if so many other requests have begun since that it should have, too.
///
/// The evidence is a set of losses that only gains entries and flags, so that merging
/// reports is idempotent and independent of their order. What one router alone reports is
/// used by that router only.
/// It performs no I/O and has no clock. Not thread-safe; call on the loop's thread.
class crash_attribution {
public:
    static constexpr std::size_t quarantineThreshold = 3; ///< Distinct servers lost before a trait is quarantined.
    static constexpr std::size_t suspicionThreshold = 2;
    /// Time for requests with the trait to begin elsewhere, and for that to become known
    /// here, before a trait is quarantined.
    static constexpr duration settleTime = std::chrono::milliseconds(600);
    static constexpr duration lifetime = std::chrono::hours(1); ///< Of a loss as evidence.
    static constexpr duration firstTrialDelay = std::chrono::seconds(10); ///< From the last loss to the first trial of a quarantined trait.
    static constexpr std::uint32_t trialDelayGrowth = 6; ///< Factor for each further series of losses.
    static constexpr duration seriesGap = std::chrono::seconds(5); ///< Time between losses of different series.
    static constexpr duration evaluationInterval = std::chrono::milliseconds(100); ///< Between two evaluations.
    static constexpr double commonFraction = 0.02; ///< Of the requests, from which on a trait counts as common.
    static constexpr double minExpectedBegins = 3; ///< Begins of a common trait that must be missing.
    static constexpr double minEvidence = 6; ///< Log-likelihood ratio from which on a common trait is held responsible.
    static constexpr std::size_t maxLosses = 48; ///< The oldest is evicted above this.
    static constexpr std::size_t maxSuspects = 96; ///< For each loss; further ones are ignored.
    static constexpr std::size_t maxTraits = 32; ///< For each request; further parts are ignored.

    /// \p self: this router, as it appears among the reporters.
    explicit crash_attribution(vm_id self)
        : m_self(std::move(self))
    {
    }

    /// Records that the connection to a server broke before a request on it had begun.
    void onLost(time_point now, const server_id& server, incarnation start, const traits_of_request& request);

    /// Records that a request has begun on a server. Clears its traits of the losses
    /// known so far, since it would have crashed that server too.
    void onBegun(time_point now, const traits_of_request& request);

    /// Records bytes of an attempt that was opened at \p openedAt. A server that still
    /// sends on a connection that is older than its loss has not ended.
    void onServerAlive(time_point now, const server_id& server, time_point openedAt);

    /// Counts a caller's request, to tell rare traits from common ones.
    void onRequest(time_point now, const traits_of_request& request) { m_popularity.record(now, request); }

    /// Sets the number of routers, which begin as many requests as this one.
    void setRouterCount(std::size_t routers) { m_routers = std::max<std::size_t>(routers, 1); }

    /// Merges the evidence of another router, which may arrive late, repeatedly and in any order.
    void merge(time_point now, const server_losses& received);

    /// Returns the evidence that has changed since the last call.
    evidence_changes takeChanges(time_point now);

    /// Returns all evidence, for a router that may have none.
    server_losses evidence(time_point now) const;

    /// Evaluates the evidence if it has changed or a trait is due, at most once in
    /// `evaluationInterval`, and returns the traits whose state has changed.
    std::vector<trait_change> evaluate(time_point now);

    /// Returns when `evaluate` is due, or nothing if only new evidence makes it due.
    std::optional<time_point> nextEvaluation() const { return m_isDirty ? std::optional(m_evaluatedAt + evaluationInterval) : m_nextEvaluation; }

    /// Returns whether sending the request again is likely to cost another server: a trait
    /// of it is quarantined, or it is rare and `suspicionThreshold` servers have been lost
    /// under it, as of now rather than of the last evaluation.
    bool isSuspected(const traits_of_request& request) const;

    trait_state stateOf(const request_trait& trait) const;

    /// Returns the first trait of the request that is in the given state or a worse one.
    std::optional<request_trait> findTrait(const traits_of_request& request, trait_state state) const;

    /// Returns when a quarantined trait may be tried again, or nothing if it is not quarantined.
    std::optional<time_point> trialDue(const request_trait& trait) const;

    /// Returns all traits that are not clear, with their evidence.
    std::vector<trait_change> list(time_point now) const;

    std::size_t lossCount() const { return m_losses.size(); }

private:
    struct loss_key {
        server_id server;
        incarnation start;

        auto operator<=>(const loss_key&) const = default;
    };

    struct suspect {
        std::uint32_t depth = 0;
        bool isCleared = false;
        std::set<vm_id> reporters; ///< The lowest `maxReporters`.
        std::set<fingerprint> requests; ///< The lowest `maxRequests`.
        bool isOwnChange = false; ///< Changed here since `takeChanges`.
        bool isMergedChange = false; ///< Changed by another router's report since `takeChanges`.
    };

    struct loss {
        time_point at;
        bool isRefuted = false;
        std::optional<time_point> aliveAt; ///< First bytes on a connection that is older than the loss.
        std::uint64_t begunBefore = 0; ///< Requests that had begun at this router when the loss became known.
        bool isOwnChange = false; ///< Refuted here since `takeChanges`.
        bool isMergedChange = false; ///< Refuted by another router's report since `takeChanges`.
        std::map<request_trait, suspect> suspects;
    };

    /// Evidence against one trait.
    struct finding {
        std::vector<const loss_key*> losses;
        std::vector<time_point> times; ///< In ascending order after `collect`.
        std::set<vm_id> reporters;
        std::set<fingerprint> requests;
        std::size_t ownLosses = 0;
        std::uint64_t begunBefore = 0; ///< The lowest of the losses.
        std::uint32_t depth = 0;
    };
    using findings = std::map<request_trait, finding>;

    /// Evaluated state of a trait.
    struct verdict {
        trait_state state = trait_state::clear;
        std::size_t series = 0; ///< Of losses.
        time_point lastLossAt;
    };

    loss& lossFor(time_point at, const loss_key& key);
    void removeExpired(time_point now);
    findings collect() const;
    bool isSufficient(const request_trait& trait, const finding& found) const;
    bool hasMissedBegins(const request_trait& trait, const finding& found) const;
    bool isResponsible(const request_trait& trait, const finding& found) const;
    double evidenceAgainst(const request_trait& trait, const finding& found) const;
    std::map<request_trait, verdict> judge(time_point now, const findings& found);
    static trait_change describe(time_point now, const request_trait& trait, trait_state state, const finding& found);
    /// Which part of the evidence is encoded.
    enum class scope {
        everything,
        ownChanges,
        allChanges,
    };

    void addSuspects(time_point now, const server_loss& reported, bool isOwn);
    server_losses encode(time_point now, scope wanted) const;

    vm_id m_self;
    std::map<loss_key, loss> m_losses;
    trait_popularity m_popularity;
    std::uint64_t m_begun = 0; ///< Requests that have begun at this router.
    std::size_t m_routers = 1;
    std::map<request_trait, verdict> m_verdicts; ///< Only traits that are not clear.
    std::optional<time_point> m_nextEvaluation;
    time_point m_evaluatedAt;
    bool m_isDirty = false;
};

}
