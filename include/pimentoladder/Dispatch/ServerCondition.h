/// \file
/// What this router has learnt about one backend server from its own requests.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// A part of a prompt. Engines keep parts that several requests share.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// The work of one request for a model engine.
struct prompt_work {
    std::vector<prompt_part> parts; ///< In order; the last is the request's own or its session's.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< Expected.
};

/// Load that a backend server states in its answers.
struct stated_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// Prompt tokens that an engine of the users' deployments reads in a
/// millisecond (51.1 on their sheets).
inline constexpr double prefillTokensPerMillisecond = 51.1;

/// Returns the time an engine needs to read \p tokens. Thread-safe.
duration prefillTime(double tokens);

/// Hashes of a prompt's leading parts: entry i identifies the parts 0 to i.
/// Thread-safe.
std::vector<std::uint64_t> prefixHashes(const std::vector<prompt_part>& parts);

/// Beliefs about one start of one backend server. Not thread-safe; call on the
/// loop's thread.
class server_condition {
public:
    /// Counts an attempt that is about to be sent.
    /// \p unreadTokens: prompt tokens that the server has to read for it.
    void started(time_point now, attempt_number attempt, double unreadTokens);

    /// The server has answered with the head of an answer or, for a stream,
    /// with its first event.
    void responded(time_point now, attempt_number attempt);

    /// The attempt has ended, whatever its result.
    void ended(attempt_number attempt);

    void succeeded();

    /// An attempt was lost, or the server answered with a failure of its own.
    void failed(time_point now);

    /// No connection could be opened: the server is down or out of reach.
    void unreachable(time_point now);

    void stated(time_point now, const stated_load& load);

    /// Returns, for the other routers, the delay seen since the last call, the load
    /// last stated and the tokens that are pending; nothing if there is no news.
    std::optional<server_observation> takeObservation(time_point now, const server_id& server);

    /// Takes over what all routers have seen of the server lately.
    void observedByFleet(time_point now, const server_observation& seen);

    /// The server is cold until \p until at least.
    void setCold(time_point until);

    /// Returns whether the server bears only few requests: it is cold, or it
    /// was unreachable and may come back cold.
    bool isCold(time_point now) const;

    /// Returns whether this router should not use the server for now.
    bool isEjected(time_point now) const { return now < m_ejectedUntil; }

    /// Returns whether the next request to a cold server may be sent, given the
    /// time that must lie between two of them.
    bool mayStartCold(time_point now, duration spacing) const;

    /// Returns the expected time until the first event of a request for which
    /// the server reads \p unreadTokens.
    duration expectedFirstEvent(time_point now, double unreadTokens) const;

    /// Returns the prompt tokens that the server has to read, given what it is
    /// believed to keep. \p hashes are the prompt's `prefixHashes`.
    double unreadTokens(const prompt_work& work, const std::vector<std::uint64_t>& hashes) const;

    /// The server has read this prompt and keeps its parts.
    void keeps(const std::vector<std::uint64_t>& hashes);

    std::size_t inFlight() const { return m_attempts.size(); }
    const stated_load& load() const { return m_load; }

private:
    struct running_attempt {
        time_point startedAt;
        double unreadTokens = 0;
        duration expected {};
        bool hasResponded = false;
    };

    double pendingTokens() const;
    double othersPending(time_point now) const;
    bool hasRecentSample(time_point now) const;
    duration overdue(time_point now) const;
    duration ambientDelay(time_point now) const;

    std::unordered_map<attempt_number, running_attempt> m_attempts;
    std::unordered_set<std::uint64_t> m_kept; ///< Hashes of the prefixes that the server has read.
    stated_load m_load;
    time_point m_loadAt;
    duration m_ambient {}; ///< Smoothed delay beyond that of the router's own requests, as of m_ambientAt.
    time_point m_ambientAt;
    duration m_fleetDelay {}; ///< Delay that all routers have seen, as of m_fleetDelayAt.
    time_point m_fleetDelayAt;
    double m_reportedPending = 0; ///< Own tokens in the last report.
    double m_othersPending = 0; ///< Tokens that other routers have sent, as of m_fleetDelayAt.
    duration m_unreportedDelay {}; ///< Sum of the samples since the last report.
    std::uint32_t m_unreportedSamples = 0;
    time_point m_coldUntil;
    time_point m_ejectedUntil;
    std::optional<time_point> m_lastStart;
    std::uint32_t m_consecutiveFailures = 0;
};

}
