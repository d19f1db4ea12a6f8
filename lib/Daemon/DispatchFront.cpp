#include "pimentoladder/Daemon/DispatchFront.h"

#include <array>
#include <cstdio>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "pimentoladder/Net/EventStream.h"

namespace pimentoladder {

namespace {

    constexpr int statusOk = 200;
    constexpr std::string_view eventStreamType = "text/event-stream";

    bool isEventStream(const http_response_head& head)
    {
        const auto type = findHeader(head.headers, "Content-Type");
        return head.status == statusOk && type && type->starts_with(eventStreamType);
    }

    std::uint64_t contentHashOf(const http_request& request)
    {
        const std::uint64_t head = XXH3_64bits(request.target.data(), request.target.size())
            ^ XXH3_64bits(request.method.data(), request.method.size());
        return XXH3_64bits_withSeed(request.body.data(), request.body.size(), head);
    }

    // Retry-After if only this router is overloaded: until the load balancer has noticed that it is
    // unready, the request would come here again. The times differ, so that the requests come spread.
    constexpr std::array<duration, 4> shedRetryAfter { std::chrono::milliseconds(1600), std::chrono::milliseconds(2000), std::chrono::milliseconds(2400), std::chrono::milliseconds(2800) };

    std::string refusalBody(const refusal& row)
    {
        return nlohmann::json { { "kind", row.name }, { "message", row.message }, { "retry", retryAdviceName(row.retry) } }.dump() + "\n";
    }

    std::string secondsText(duration wait)
    {
        std::string text(32, '\0');
        const int length = std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(wait).count());
        text.resize(static_cast<std::size_t>(length));
        return text;
    }

    /// A body that is kept for its attempts, with its room.
    struct kept_body {
        std::string text;
        std::shared_ptr<memory_room> room;
    };

    /// Takes the body of \p request, so that its attempts and their output share it without copies.
    shared_body takeBody(http_request& request)
    {
        const auto kept = std::make_shared<const kept_body>(kept_body { std::move(request.body), request.room });
        return shared_body(std::shared_ptr<const std::string>(kept, &kept->text));
    }

    /// Returns the complete response to a request that is shed, with \p connectionHeader.
    std::string shedResponseText(duration retryAfter, std::string_view connectionHeader)
    {
        const refusal& row = refusalOf(refusal_kind::routerOverloaded);
        const std::string body = refusalBody(row);
        return "HTTP/1.1 " + std::to_string(row.status) + " Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\nRetry-After: " + secondsText(retryAfter) + "\r\n" + std::string(connectionHeader) + "\r\n" + body;
    }

}

/// One caller's request with its current attempt.
struct dispatch_front::exchange {
    request_number number;
    http_request request; ///< Without its body.
    shared_body body;
    std::shared_ptr<http_response_writer> answer;
    attempt_number attemptNumber;
    std::unique_ptr<http_client_attempt> attempt;
    std::optional<event_stream_splitter> events; ///< Set if the attempt's answer is an event stream.
    const http_response_head* head = nullptr; ///< Set only while the dispatcher handles it.
    std::string_view bytes; ///< Set only while the dispatcher handles them.
    bool isPaused = false;
};

dispatch_front::dispatch_front(dispatch_driver& driver, http_client& client, ingress_codec& codec, const answer_buffer_limits& buffers)
    : m_driver(driver)
    , m_client(client)
    , m_codec(codec)
    , m_buffers(buffers)
{
    for (const duration wait : shedRetryAfter)
        m_shedResponses.push_back({ shedResponseText(wait, ""), shedResponseText(wait, "Connection: close\r\n") });
}

dispatch_front::~dispatch_front() = default;

dispatch_front::exchange_ref dispatch_front::find(request_number number) const
{
    const auto found = m_exchanges.find(number);
    return found == m_exchanges.end() ? nullptr : found->second;
}

std::string_view dispatch_front::checkEarly(const http_headers& headers, bool closes)
{
    const bool isShed = m_driver.core().shouldShed(m_driver.loop().now(), m_codec.keyDigest(headers));
    if (!isShed)
        return {};
    m_nextShedResponse = (m_nextShedResponse + 1) % m_shedResponses.size();
    const shed_response& next = m_shedResponses[m_nextShedResponse];
    return closes ? next.closing : next.keeping;
}

void dispatch_front::onRequest(http_request received, std::shared_ptr<http_response_writer> answer)
{
    // When the loop lags, the close event of a caller that left may still be
    // pending, so the socket itself is queried.
    if (answer->hasCallerClosed()) {
        answer->abort();
        return;
    }
    const auto target = std::make_shared<exchange>();
    target->request = std::move(received);
    target->answer = std::move(answer);
    m_driver.post([&](dispatcher& core, time_point now) {
        inbound_request described = m_codec.describe(target->request);
        described.contentHash = contentHashOf(target->request);
        target->body = takeBody(target->request);
        dispatch_actions actions = core.onRequest(now, described, target->number);
        m_exchanges[target->number] = target;
        return actions;
    });
    target->answer->whenCallerDisconnects([this, number = target->number] {
        const exchange_ref left = find(number);
        if (!left)
            return;
        m_driver.post([number](dispatcher& core, time_point now) { return core.onCallerDisconnected(now, number); });
        finish(number);
    });
}

http_client_callbacks dispatch_front::buildCallbacks(const exchange_ref& target, attempt_number attempt)
{
    const std::weak_ptr<exchange> served = target;
    http_client_callbacks callbacks;
    callbacks.maySend = [this, served, attempt] {
        const exchange_ref open = served.lock();
        const bool hasClosed = open && open->answer->hasCallerClosed();
        return m_driver.core().mayStartSending(m_driver.loop().now(), attempt, hasClosed);
    };
    callbacks.onHead = [this, served, attempt](const http_response_head& head) {
        if (const exchange_ref open = served.lock())
            receiveHead(open, attempt, head);
    };
    callbacks.onBody = [this, served, attempt](std::string_view bytes) {
        if (const exchange_ref open = served.lock())
            receiveBytes(open, attempt, bytes);
    };
    callbacks.onEnd = [this, served, attempt](attempt_end end) {
        if (const exchange_ref open = served.lock())
            receiveEnd(open, attempt, end);
    };
    return callbacks;
}

void dispatch_front::perform(const open_dispatch& opened)
{
    const exchange_ref target = find(opened.request);
    if (!target)
        return;
    http_client_request request;
    request.server = opened.location;
    request.host = std::string(findHeader(target->request.headers, "Host").value_or(""));
    request.method = target->request.method;
    request.target = target->request.target;
    request.headers = m_codec.attemptHeaders(target->request, opened);
    request.body = target->body;
    target->attemptNumber = opened.attempt;
    target->events.reset();
    target->isPaused = false;
    target->attempt = m_client.send(std::move(request), buildCallbacks(target, opened.attempt));
}

void dispatch_front::perform(const cancel_dispatch& cancelled)
{
    const exchange_ref target = find(cancelled.request);
    if (target && target->attempt && target->attemptNumber == cancelled.attempt)
        target->attempt->cancel();
}

void dispatch_front::perform(const forward_response_head& passed)
{
    const exchange_ref target = find(passed.request);
    if (target && target->head)
        target->answer->start(*target->head);
}

void dispatch_front::perform(const forward_response_bytes& passed)
{
    const exchange_ref target = find(passed.request);
    if (target)
        target->answer->send(target->bytes);
}

void dispatch_front::perform(const end_response& ended)
{
    const exchange_ref target = find(ended.request);
    if (!target)
        return;
    target->answer->end();
    finish(ended.request);
}

void dispatch_front::perform(const abort_response& broken)
{
    const exchange_ref target = find(broken.request);
    if (!target)
        return;
    target->answer->abort();
    finish(broken.request);
}

void dispatch_front::perform(const refuse_inbound& refused)
{
    const exchange_ref target = find(refused.request);
    if (!target)
        return;
    const refusal& row = refusalOf(refused.kind);
    http_response_head head { row.status, { { "Content-Type", "application/json" } } };
    if (refused.retryAfter > duration::zero())
        head.headers.push_back({ "Retry-After", secondsText(refused.retryAfter) });
    target->answer->reply(head, refusalBody(row));
    finish(refused.request);
}

void dispatch_front::perform(const retire_connections& retired)
{
    m_client.retire(retired.location);
}

void dispatch_front::receiveHead(const exchange_ref& target, attempt_number attempt, const http_response_head& head)
{
    if (isEventStream(head))
        target->events.emplace();
    served_head described = m_codec.describeHead(head, target->request);
    described.isEventStream = target->events.has_value();
    // The server may write the refusal again, which must not meet another request.
    if (described.isRefusal() && target->attemptNumber == attempt)
        target->attempt->closeAfterResponse();
    target->head = &head;
    m_driver.post([&](dispatcher& core, time_point now) { return core.onHead(now, attempt, described); });
    target->head = nullptr;
}

void dispatch_front::receiveBytes(const exchange_ref& target, attempt_number attempt, std::string_view bytes)
{
    event_stream_batch batch;
    if (target->events) {
        batch = target->events->feed(bytes);
        bytes = batch.bytes;
    }
    if (!bytes.empty()) {
        target->bytes = bytes;
        m_driver.post([&](dispatcher& core, time_point now) { return core.onBytes(now, attempt, bytes, { batch.firstId, batch.lastId }); });
        target->bytes = {};
        applyBackPressure(target);
    }
    if (!target->events || !target->events->isOversized() || target->attemptNumber != attempt)
        return;
    target->attempt->cancel();
    m_driver.post([&](dispatcher& core, time_point now) { return core.onAttemptEnded(now, attempt, { attempt_end_kind::malformed, true }); });
}

void dispatch_front::receiveEnd(const exchange_ref& target, attempt_number attempt, attempt_end end)
{
    const bool isCut = end.kind == attempt_end_kind::complete && target->events && target->events->hasPartialEvent();
    if (isCut)
        end.kind = attempt_end_kind::truncated;
    m_driver.post([&](dispatcher& core, time_point now) { return core.onAttemptEnded(now, attempt, end); });
}

void dispatch_front::applyBackPressure(const exchange_ref& target)
{
    const std::size_t all = target->answer->pendingBytesOfAll();
    if (target->isPaused || !target->attempt || !m_buffers.shouldPause(target->answer->pendingBytes(), all))
        return;
    target->isPaused = true;
    target->attempt->pause();
    const std::weak_ptr<exchange> paused = target;
    target->answer->whenDrained(m_buffers.resumeAt(all), [paused] {
        const exchange_ref drained = paused.lock();
        if (!drained || !drained->isPaused || !drained->attempt)
            return;
        drained->isPaused = false;
        drained->attempt->resume();
    });
}

void dispatch_front::finish(request_number number)
{
    m_exchanges.erase(number);
}

}
