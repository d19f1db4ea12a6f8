#include "pimentoladder/Platform/CallRunner.h"

#include <algorithm>
#include <utility>

namespace pimentoladder {

namespace {

    constexpr int tooManyRequests = 429;
    constexpr int serviceUnavailable = 503;
    constexpr int firstServerError = 500;

    bool isRefused(const transport_answer& answer)
    {
        return answer.status == tooManyRequests || answer.status == serviceUnavailable;
    }

    std::string describe(const transport_answer& answer)
    {
        if (answer.end == transport_end::answered)
            return "status " + std::to_string(answer.status);
        return answer.detail;
    }

}

void platform_retry_budget::deposit()
{
    m_tokens = std::min(m_tokens + m_share, m_burst);
}

bool platform_retry_budget::withdraw()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

struct call_runner::running_call {
    platform_call call;
    callback onEnd;
    duration backoff {};
    bool isAttempted = false;
    bool isAmbiguous = false;
};

call_runner::call_runner(transport& link, scheduler& timers, call_policy policy, std::uint64_t seed)
    : m_transport(link)
    , m_scheduler(timers)
    , m_policy(policy)
    , m_random(seed)
    , m_budget(policy.retryShare, policy.retryBurst)
{
}

call_runner::~call_runner() = default;

void call_runner::run(platform_call call, callback onEnd)
{
    auto running = std::make_shared<running_call>();
    running->call = std::move(call);
    running->onEnd = std::move(onEnd);
    running->backoff = m_policy.firstBackoff;
    if (m_inFlight >= m_policy.maxCallsInFlight && m_waiting.size() >= m_policy.maxCallsWaiting) {
        running->onEnd(makeError(error_kind::resourceExhausted, "too many calls to the platform wait; send it again later"));
        return;
    }
    m_waiting.push_back(std::move(running));
    startWaiting();
}

void call_runner::startWaiting()
{
    while (m_inFlight < m_policy.maxCallsInFlight && !m_waiting.empty()) {
        const running_ptr running = std::move(m_waiting.front());
        m_waiting.pop_front();
        ++m_inFlight;
        m_budget.deposit();
        attempt(running);
    }
}

void call_runner::attempt(const running_ptr& running)
{
    const time_point now = m_scheduler.now();
    if (now >= running->call.deadline) {
        finish(running, tl::unexpected(failureOf(*running, "its deadline passed")));
        return;
    }
    running->isAttempted = true;
    const time_point deadline = std::min(running->call.deadline, now + m_policy.attemptTimeout);
    m_transport.send(running->call.request, deadline,
        [this, running, now, alive = std::weak_ptr<bool>(m_alive)](const transport_answer& answer) {
            if (!alive.expired())
                onAttemptEnd(running, now, answer);
        });
}

void call_runner::onAttemptEnd(const running_ptr& running, time_point sentAt, const transport_answer& answer)
{
    const bool isAnswered = answer.end == transport_end::answered;
    if (isAnswered && answer.status < firstServerError && !isRefused(answer)) {
        finish(running, platform_answer { answer.status, answer.body, sentAt, running->isAmbiguous });
        return;
    }
    const bool isLost = answer.end == transport_end::outcomeUnknown || (isAnswered && !isRefused(answer));
    running->isAmbiguous = running->isAmbiguous || isLost;
    if (isLost && !running->call.isRepeatable) {
        finish(running, tl::unexpected(failureOf(*running, describe(answer))));
        return;
    }
    retryOrFail(running, answer);
}

void call_runner::retryOrFail(const running_ptr& running, const transport_answer& answer)
{
    duration wait = m_random.jittered(running->backoff, m_policy.backoffJitter);
    wait = std::max(wait, answer.retryAfter.value_or(duration::zero()));
    const bool isInTime = m_scheduler.now() + wait < running->call.deadline;
    if (!isInTime || !m_budget.withdraw()) {
        finish(running, tl::unexpected(failureOf(*running, describe(answer))));
        return;
    }
    running->backoff = std::min(running->backoff * 2, m_policy.maxBackoff);
    m_scheduler.callAfter(wait, [this, running, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired())
            attempt(running);
    });
}

error call_runner::failureOf(const running_call& running, const std::string& detail)
{
    const std::string what = running.call.request.method + " " + running.call.request.target;
    if (running.isAmbiguous && running.call.hasEffect)
        return { error_kind::outcomeUnknown, what + " may have been carried out (" + detail + "); read back before sending it again" };
    if (!running.isAttempted)
        return { error_kind::timeout, what + " was not sent before its deadline; send it again" };
    return { error_kind::unavailable, what + " was not carried out (" + detail + "); send it again later" };
}

void call_runner::finish(const running_ptr& running, result<platform_answer> outcome)
{
    const std::weak_ptr<bool> alive = m_alive;
    --m_inFlight;
    const callback onEnd = std::move(running->onEnd);
    onEnd(std::move(outcome));
    // The callback may have destroyed this object.
    if (!alive.expired())
        startWaiting();
}

}
