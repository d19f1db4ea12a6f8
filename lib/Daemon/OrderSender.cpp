#include "pimentoladder/Daemon/OrderSender.h"

#include <algorithm>
#include <utility>

#include "pimentoladder/Codec/LoadJson.h"

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    // An order must not outlive its shard owner's ownership by longer than a grant
    // does, because the next owner waits only for the lifetime of a grant.
    constexpr duration callDeadline = shard_scheduler_settings {}.grantLifetime - 100ms;
    constexpr int statusOk = 200;
    constexpr int firstNotSuccess = 300;
    constexpr int statusConflict = 409;
    constexpr std::size_t maxAnswerBytes = 64UL * 1024; ///< A longer answer is truncated and fails to decode.

    order_outcome outcomeOf(int status, attempt_end end)
    {
        if (end.kind == attempt_end_kind::notSent)
            return order_outcome::failed;
        if (status == statusConflict)
            return order_outcome::refusedOldToken;
        if (status >= statusOk && status < firstNotSuccess)
            return order_outcome::accepted;
        return status == 0 ? order_outcome::unknown : order_outcome::failed;
    }

    std::string_view outcomeName(order_outcome outcome)
    {
        switch (outcome) {
        case order_outcome::accepted:
            return "accepted";
        case order_outcome::refusedOldToken:
            return "refused_old_token";
        case order_outcome::failed:
            return "failed";
        case order_outcome::unknown:
            return "unknown";
        }
        return "unknown";
    }

}

struct order_sender::running_call {
    explicit running_call(event_loop& loop, std::function<void()> onTimeout)
        : deadline(loop, std::move(onTimeout))
    {
    }

    int status = 0;
    std::string body;
    loop_timer deadline;
    std::unique_ptr<http_client_attempt> attempt;
    call_end whenEnded;
};

order_sender::order_sender(core_driver& driver, http_client& client, logger& log)
    : m_driver(driver)
    , m_client(client)
    , m_log(log)
{
}

order_sender::~order_sender() = default;

void order_sender::send(http_client_request request, std::function<bool()> maySend, call_end whenEnded)
{
    const std::uint64_t number = ++m_lastCall;
    const auto onTimeout = [this, number] {
        running_call& late = *m_running.at(number);
        const bool mayHaveBeenSent = late.attempt->mayHaveBeenSent();
        late.attempt->cancel();
        finish(number, { mayHaveBeenSent ? attempt_end_kind::resetAfterSent : attempt_end_kind::notSent, mayHaveBeenSent });
    };
    running_call& running = *(m_running[number] = std::make_unique<running_call>(m_driver.loop(), onTimeout));
    running.whenEnded = std::move(whenEnded);
    http_client_callbacks callbacks;
    callbacks.maySend = std::move(maySend);
    callbacks.onHead = [&running](const http_response_head& head) { running.status = head.status; };
    callbacks.onBody = [&running](std::string_view bytes) {
        running.body.append(bytes.substr(0, maxAnswerBytes - std::min(maxAnswerBytes, running.body.size())));
    };
    callbacks.onEnd = [this, number](attempt_end end) { finish(number, end); };
    running.attempt = m_client.send(std::move(request), std::move(callbacks));
    running.deadline.arm(callDeadline);
}

void order_sender::finish(std::uint64_t number, attempt_end end)
{
    const auto found = m_running.find(number);
    const std::unique_ptr<running_call> ended = std::move(found->second);
    m_running.erase(found);
    ended->whenEnded(*ended, end);
}

void order_sender::perform(const order_server& step)
{
    http_client_request request;
    request.server = step.location;
    request.method = "POST";
    request.target = "/orders";
    request.headers.push_back({ "Content-Type", "application/json" });
    request.body = formatPlacementOrderJson(step.order);
    // If the engine closed a reused connection at this moment, the outcome of the
    // order would be unknown.
    request.mayReuseConnection = false;
    const auto maySend = [this, order = step.order] {
        return m_driver.core().maySendOrder(m_driver.loop().now(), order.server, order.number);
    };
    send(std::move(request), maySend, [this, order = step.order](const running_call& ended, attempt_end end) { orderEnded(order, ended, end); });
}

void order_sender::orderEnded(const placement_order& order, const running_call& ended, attempt_end end)
{
    const order_outcome outcome = outcomeOf(ended.status, end);
    const log_level level = outcome == order_outcome::accepted ? log_level::info : log_level::warning;
    m_log.write(level, "placement_answered",
        {
            { "server", std::string_view(order.server.value()) },
            { "order", order.number.value() },
            { "outcome", outcomeName(outcome) },
            { "status", static_cast<std::int64_t>(ended.status) },
        });
    m_driver.post([&](router_core& core, time_point now) { return core.onOrderAnswered(now, order.server, order.number, outcome); });
}

void order_sender::perform(const read_models& step)
{
    http_client_request request;
    request.server = step.location;
    request.method = "GET";
    request.target = "/orders";
    const time_point sentAt = m_driver.loop().now();
    send(std::move(request), {}, [this, server = step.server, sentAt](const running_call& ended, attempt_end end) { readEnded(server, sentAt, ended, end); });
}

void order_sender::readEnded(const server_id& server, time_point sentAt, const running_call& ended, attempt_end end)
{
    if (end.kind != attempt_end_kind::complete || ended.status != statusOk)
        return;
    const auto state = parseEngineStateJson(server, ended.body, sentAt);
    if (!state) {
        m_log.write(log_level::warning, "order_state_refused", { { "reason", std::string_view(state.error().message) } });
        return;
    }
    m_driver.post([&](router_core& core, time_point now) { return core.onModelsRead(now, *state); });
}

}
