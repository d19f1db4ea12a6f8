/// \file
/// Runs calls to the platform with deadlines, budgeted retries with backoff, and
/// a bounded number of calls in flight.

#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Random.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Platform/Transport.h"

namespace pimentoladder {

struct call_policy {
    std::size_t maxCallsInFlight = 16; ///< Further calls wait.
    std::size_t maxCallsWaiting = 1000; ///< Further calls fail with `resourceExhausted`.
    duration attemptTimeout = std::chrono::seconds(1); ///< An attempt without an answer by then has an unknown outcome.
    duration firstBackoff = std::chrono::milliseconds(50); ///< Delay before the second attempt; doubles with each further one.
    duration maxBackoff = std::chrono::seconds(2);
    double backoffJitter = 0.5; ///< Fraction by which a backoff varies in either direction.
    double retryShare = 0.2; ///< Average number of retries allowed per call.
    double retryBurst = 10; ///< Largest burst of retries.
};

struct platform_call {
    transport_request request;
    time_point deadline;
    /// Whether the call is idempotent. Only idempotent calls are retried after
    /// an attempt with unknown outcome.
    bool isRepeatable = true;
    bool hasEffect = false; ///< Whether the call may change the platform's state.
};

struct platform_answer {
    int status = 0;
    std::string body;
    time_point sentAt; ///< When the answered attempt was sent.
    bool wasAmbiguous = false; ///< Whether an earlier attempt may have taken effect.
};

/// Token bucket that limits retries to a share of calls, so that an outage of
/// the platform does not multiply its load. Not thread-safe.
class platform_retry_budget {
public:
    platform_retry_budget(double share, double burst)
        : m_share(share)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /// Adds the share of a first attempt.
    void deposit();

    /// Takes a token for a retry; returns false if there is none.
    bool withdraw();

private:
    double m_share;
    double m_burst;
    double m_tokens;
};

/// Runs calls over a transport under a `call_policy`. Not thread-safe; call on
/// the loop's thread. The transport and the scheduler must outlive it. Callbacks
/// of calls in flight are not called once it is destroyed.
class call_runner {
public:
    using callback = std::function<void(result<platform_answer>)>;

    call_runner(transport& link, scheduler& timers, call_policy policy, std::uint64_t seed);
    ~call_runner();
    call_runner(const call_runner&) = delete;
    call_runner& operator=(const call_runner&) = delete;

    /// Runs \p call until it is answered, its deadline passes or the retry
    /// budget is exhausted. \p onEnd is called exactly once.
    ///
    /// The statuses 429 and 503 mean that the platform refused the call without
    /// executing it; the call is retried. Other 5xx statuses count as unknown
    /// outcome. Any other status is an answer.
    ///
    /// Errors: `resourceExhausted` if too many calls wait, `timeout` if the
    /// deadline passed before the first attempt, `unavailable` if no attempt
    /// can have taken effect, `outcomeUnknown` if a call with `hasEffect` may have
    /// been executed.
    void run(platform_call call, callback onEnd);

    std::size_t inFlight() const { return m_inFlight; }
    std::size_t waiting() const { return m_waiting.size(); }

private:
    struct running_call;
    using running_ptr = std::shared_ptr<running_call>;

    void startWaiting();
    void attempt(const running_ptr& running);
    void onAttemptEnd(const running_ptr& running, time_point sentAt, const transport_answer& answer);
    void retryOrFail(const running_ptr& running, const transport_answer& answer);
    void finish(const running_ptr& running, result<platform_answer> outcome);
    static error failureOf(const running_call& running, const std::string& detail);

    transport& m_transport;
    scheduler& m_scheduler;
    call_policy m_policy;
    random_source m_random;
    platform_retry_budget m_budget;
    std::deque<running_ptr> m_waiting;
    std::size_t m_inFlight = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< Lets callbacks detect that this object was destroyed.
};

}
