/// \file
/// Runs calls to the platform: deadlines, retries with backoff and a budget,
/// and a bounded number in flight.

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
    std::size_t callsInFlight = 16; ///< Further calls wait.
    std::size_t callsWaiting = 1000; ///< Further calls fail with `resourceExhausted`.
    duration attemptTimeout = std::chrono::seconds(1); ///< After it an attempt counts as lost.
    duration firstBackoff = std::chrono::milliseconds(50); ///< Before the second attempt; doubled for each later one.
    duration backoffLimit = std::chrono::seconds(2);
    double backoffJitter = 0.5; ///< Share by which a backoff varies either way.
    double retryShare = 0.2; ///< Retries allowed for each call, on average.
    double retryReserve = 10; ///< Retries allowed beyond the share, in a burst.
};

struct platform_call {
    transport_request request;
    time_point deadline;
    /// Whether a second execution of the call has no effect of its own. Only
    /// such calls are repeated after an attempt with unknown outcome.
    bool isRepeatable = true;
    bool hasEffect = false; ///< Whether the call may change the platform's state.
};

struct platform_answer {
    int status = 0;
    std::string body;
    time_point sentAt; ///< When the answered attempt was sent.
    bool wasAmbiguous = false; ///< Whether an earlier attempt may have taken effect.
};

/// Limits retries to a share of calls, so that an outage of the platform does
/// not multiply its load. Not thread-safe.
class call_budget {
public:
    call_budget(double share, double reserve)
        : m_share(share)
        , m_reserve(reserve)
        , m_held(reserve)
    {
    }

    /// Counts a first attempt.
    void deposit();

    /// Returns whether a retry is allowed, and counts it.
    bool withdraw();

private:
    double m_share;
    double m_reserve;
    double m_held;
};

/// Not thread-safe; call on the loop's thread. The transport and the scheduler
/// must outlive it. Callbacks of calls in flight are not called once it is
/// destroyed.
class call_runner {
public:
    using callback = std::function<void(result<platform_answer>)>;

    call_runner(transport& link, scheduler& timers, call_policy policy, std::uint64_t seed);
    ~call_runner();
    call_runner(const call_runner&) = delete;
    call_runner& operator=(const call_runner&) = delete;

    /// Runs \p call until it is answered, or its deadline or the retry budget
    /// ends it. \p onEnd is called exactly once.
    ///
    /// The statuses 429 and 503 mean that the platform refused the call without
    /// carrying it out; they are retried. Other 5xx statuses count as unknown
    /// outcome. Any other status is an answer.
    ///
    /// Errors: `resourceExhausted` if too many calls wait, `timeout` if the
    /// deadline passed before the first attempt, `unavailable` if no attempt
    /// was carried out, `outcomeUnknown` if a call with effect may have been.
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
    call_budget m_budget;
    std::deque<running_ptr> m_waiting;
    std::size_t m_inFlight = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< Expires with this object.
};

}
