/// \file
/// Load, latency and failure state of one backend server, as estimated by this router.

#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Dispatch/FleetRate.h"
#include "pimentoladder/Dispatch/SendWindow.h"
#include "pimentoladder/Dispatch/ServerSpeed.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// A part of a prompt. Engines cache parts that several requests share.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// Prompt and expected output of a request to a model engine.
struct prompt_work {
    std::vector<prompt_part> parts; ///< In order; the last one belongs to this request or to its session alone.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< Expected.
};

/// Load that a backend server reports in its responses.
struct reported_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    std::optional<double> slowness {}; ///< Time that work takes at this moment, as a multiple of the usual time, if it reports it.
};

/// What a server's expected first event rests on, beyond the request itself.
struct queue_estimate {
    std::uint32_t running = 0; ///< As in the newest report of the server's load.
    std::uint32_t waiting = 0; ///< As in that report.
    std::optional<duration> loadAge {}; ///< Of that report; nothing: it is too old to be used.
    std::uint32_t ownSent = 0; ///< Requests that this router has sent since that report.
    double ownTokens = 0; ///< Prompt tokens of this router's requests that have not begun.
    double othersTokens = 0; ///< Prompt tokens of other routers' requests that are expected to be unread.
    duration excessDelay {}; ///< Smoothed delay of first events beyond the expected one.
    duration correction {}; ///< Added to the estimate, since first events from the pool come later at most routers.
};

/// What a response says about the request rate that its server takes.
enum class limit_notice {
    none, ///< The server takes any rate.
    limited, ///< It takes `perSecond` requests per second from all routers together.
    unreadable, ///< The value has no defined meaning; what is known of the server holds.
};

/// Returns the name of \p notice. Thread-safe.
std::string_view limitNoticeName(limit_notice notice);

/// Request limit in a backend server's response.
struct named_limit {
    limit_notice notice = limit_notice::none;
    double perSecond = 0;
    std::string text {}; ///< As received, if it is unreadable.
};

/// Number of this router's last requests to a server that a `fleet_rate` takes into account.
inline constexpr std::size_t rateHistory = 4;

/// Returns the hashes of the prompt's prefixes: entry i identifies parts 0 to i.
/// Thread-safe.
std::vector<std::uint64_t> prefixHashes(const std::vector<prompt_part>& parts);

/// State of one incarnation of a backend server, estimated from this router's attempts,
/// the server's load reports and the observations of other routers. Not thread-safe;
/// call on the loop's thread.
class server_condition {
public:
    /// Counts an attempt that is about to be sent.
    /// \p uncachedTokens: prompt tokens that the server has to read for it; zero if it has no prompt.
    void started(time_point now, attempt_number attempt, double uncachedTokens);

    /// Records that the head of the response has arrived or, for a stream, its first event.
    void responded(time_point now, attempt_number attempt);

    /// Records the end of an attempt, whatever its result.
    void ended(attempt_number attempt);

    /// Records a complete response that was not a server error.
    void succeeded();

    /// Records a lost attempt or a server error. Several failures in a row eject the server.
    void failed(time_point now);

    /// Records that bytes of a response have arrived.
    void heard(time_point now) { m_heardAt = now; }

    /// Records that the server could not be reached since \p since: ejects it for a short time and
    /// treats it as cold. If it was heard after that time, it is reachable and the delay is this
    /// router's, so that nothing is recorded.
    void unreachable(time_point now, time_point since);

    /// Sets the speed of the server's pool; null: the defaults hold. \p speed outlives the condition.
    void setPoolSpeed(const pool_speed* speed) { m_poolSpeed = speed; }

    /// Sets by how much a request that waits for a slot delays those behind it.
    void setDelayPerWaiting(duration delay) { m_delayPerWaiting = delay; }

    /// Sets the load that the server reported.
    void setLoad(time_point now, const reported_load& load);

    /// Returns, for the other routers, the mean delay since the last call (without samples,
    /// the longest overdue time), the last reported load and the pending tokens, or
    /// nothing if there is nothing new.
    std::optional<server_observation> takeObservation(time_point now, const server_id& server);

    /// Returns the last response that tells the server's speed, without the names, or nothing if
    /// there is none since the last call.
    /// A response is left out if other routers report meanwhile that the server had a queue.
    std::optional<speed_sample> takeSample(time_point now);

    /// Applies the recent observations of all routers. Precondition: what was learnt of the server's
    /// speed is of this incarnation.
    void observedByFleet(time_point now, const server_observation& seen);

    /// Sets the request limit that the server named in a response to an attempt that was
    /// opened at \p openedAt. Returns whether what is known of the limit has changed.
    bool setLimit(time_point now, const named_limit& named, time_point openedAt);

    /// Marks the server as cold until at least \p until.
    void setCold(time_point until);

    /// Returns whether the server can take only few requests: it has just started, or it
    /// was unreachable and may have restarted.
    bool isCold(time_point now) const;

    /// Returns whether the server is ejected as an outlier.
    bool isEjected(time_point now) const { return now < m_ejectedUntil; }

    /// Leaves the server alone until \p until, because it has turned a request away. A time that has
    /// been set before is not shortened.
    void rest(time_point until) { m_restUntil = std::max(m_restUntil.value_or(until), until); }

    /// Ends the rest after a response, other than a server error, to an attempt that was
    /// opened at \p openedAt. Returns whether it ended; attempts from before its end say nothing.
    bool endRest(time_point openedAt);

    /// Returns whether this router may send to the server: not while it rests, and then one
    /// trial at a time until a response ends the rest. \p returnDelay: how long
    /// after the rest this router may send its first trial.
    send_window restWindow(time_point now, duration returnDelay) const;

    /// Returns whether an attempt that was opened at \p openedAt may be sent.
    bool isResting(time_point now, time_point openedAt) const { return m_restUntil && (now < *m_restUntil || openedAt < *m_restUntil); }

    /// Returns how much longer the server rests.
    duration restLeft(time_point now) const { return m_restUntil ? std::max<duration>(*m_restUntil - now, {}) : duration::zero(); }

    /// Prefers other servers until \p until, because another router reports that this one takes no
    /// requests. Returns whether they were not preferred already.
    bool avoid(time_point now, time_point until);

    /// Returns whether other servers are preferred because of the reports of other routers.
    bool isAvoided(time_point now) const { return now < m_avoidedUntil; }

    /// Returns whether the server rests or has not responded to a trial since.
    bool hasRest() const { return m_restUntil.has_value(); }

    /// Returns when this router may send the next request under \p rate.
    time_point nextStart(const fleet_rate& rate) const;

    /// Returns the rate at which the server may be sent requests because of its request
    /// limit, or nothing if it takes any rate. After the end of a limit the rate rises step
    /// by step. \p routers: size of the fleet.
    std::optional<fleet_rate> limitRate(time_point now, std::size_t routers) const;

    /// Returns whether the server names a request limit.
    bool isLimited(time_point now) const;

    /// Returns what this router's own responses say about the limit, for the other routers,
    /// or nothing if they say nothing new.
    std::optional<server_rate_limit> ownLimit(time_point now, const server_id& server) const;

    /// Applies what a response to another router says about the limit. Returns whether it
    /// was newer than what was known, and different.
    bool limitSeenByFleet(time_point now, const server_rate_limit& seen);

    /// Returns the expected time until the first event of a request for which
    /// the server reads \p uncachedTokens; zero: a request without a prompt, which each
    /// request in progress of this router delays.
    duration expectedFirstEvent(time_point now, double uncachedTokens) const;

    /// Returns what `expectedFirstEvent` rests on.
    queue_estimate queue(time_point now) const;

    /// Returns the part of `expectedFirstEvent` that the request would take if the server were idle;
    /// without tokens, the part that any request takes.
    duration ownTime(time_point now, double uncachedTokens) const;

    /// Returns the prompt tokens that the server has to read, assuming that it still caches
    /// the prefixes recorded for it. \p hashes are the prompt's `prefixHashes`.
    double uncachedTokens(const prompt_work& work, const std::vector<std::uint64_t>& hashes) const;

    /// Records that the server has read the prompt and caches its prefixes.
    void recordCachedPrefixes(const std::vector<std::uint64_t>& hashes);

    std::size_t inFlight() const { return m_attempts.size(); }
    const reported_load& load() const { return m_load; }

private:
    struct running_attempt {
        time_point startedAt;
        double uncachedTokens = 0;
        server_work work;
        duration expected {}; ///< Without the excess delay.
        bool isTypical = false; ///< The server was neither cold nor known to have a queue, so that its response tells its speed.
        bool hasResponded = false;
    };

    bool applyLimit(time_point at, const named_limit& named, bool isOwn);
    bool hasCurrentLoad(time_point now) const;
    server_work workFor(time_point now, double uncachedTokens) const;
    duration usualTime(const server_work& work) const;
    double slowness(time_point now) const;
    double momentarySlowness(time_point now) const;
    duration waitingTime(time_point now) const;
    bool hasReportedQueue(time_point now) const;
    double pendingTokens() const;
    double othersPending(time_point now) const;
    bool hasRecentSample(time_point now) const;
    duration longestOverdue(time_point now) const;
    duration excessDelay(time_point now) const;

    std::unordered_map<attempt_number, running_attempt> m_attempts;
    std::unordered_set<std::uint64_t> m_cachedPrefixes; ///< Hashes of the prefixes that the server is assumed to cache.
    const pool_speed* m_poolSpeed = nullptr;
    server_speed m_speed;
    std::optional<speed_sample> m_sample; ///< Without the names.
    std::optional<duration> m_delayPerWaiting;
    reported_load m_load;
    time_point m_loadAt; ///< When the server reported it.
    bool m_isLoadOwn = false; ///< It came with a response to this router.
    time_point m_slownessAt; ///< When the server reported the slowness, which only its own responses carry.
    duration m_excessDelay {}; ///< Smoothed delay beyond the expected one, as of m_excessDelayAt.
    time_point m_excessDelayAt;
    duration m_fleetDelay {}; ///< Smoothed delay observed by all routers, as of m_fleetDelayAt.
    time_point m_fleetDelayAt;
    double m_reportedPending = 0; ///< This router's pending tokens in its last report.
    double m_othersPending = 0; ///< Estimated unread tokens of other routers' requests, as of m_fleetDelayAt.
    duration m_unreportedDelay {}; ///< Sum of the samples since the last report.
    std::uint32_t m_unreportedSamples = 0;
    named_limit m_limit;
    time_point m_limitAt; ///< Time of the response that last named the limit, or its absence.
    bool m_isLimitOwn = false; ///< That response was this router's.
    time_point m_limitEndedAt;
    double m_endedLimit = 0; ///< The limit in force before its end, from which the rate rises.
    std::optional<time_point> m_restUntil; ///< Set until a response to a later attempt.
    time_point m_avoidedUntil;
    time_point m_heardAt;
    time_point m_coldUntil;
    time_point m_ejectedUntil;
    std::array<std::optional<time_point>, rateHistory> m_lastStarts; ///< The latest one first.
    std::uint32_t m_consecutiveFailures = 0;
};

}
