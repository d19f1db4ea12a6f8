#include "pimentoladder/Daemon/CallerFront.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "pimentoladder/Admin/Operators.h"

namespace pimentoladder {

namespace {

    constexpr std::string_view bearerPrefix = "Bearer ";
    constexpr std::size_t promptPrefixBytes = 1024; ///< Leading body bytes that are hashed as the prompt prefix.
    constexpr std::size_t maxCachedDigests = 8192;

    std::string_view pathOf(std::string_view target)
    {
        return target.substr(0, target.find('?'));
    }

    bool isPrivateHeader(const http_header& header)
    {
        // The workspace's key authenticates it to the router only and must not
        // reach the backend server.
        return isSameHeaderName(header.name, "Authorization") || isSameHeaderName(header.name, "Host")
            || isSameHeaderName(header.name, "Content-Length");
    }

    std::string escapeQuery(std::string_view text)
    {
        constexpr std::string_view digits = "0123456789ABCDEF";
        std::string escaped;
        for (const char c : text) {
            const auto byte = static_cast<unsigned char>(c);
            const bool isPlain = (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') || (byte >= 'a' && byte <= 'z') || byte == '-' || byte == '_' || byte == '.';
            if (isPlain) {
                escaped += c;
                continue;
            }
            escaped += '%';
            escaped += digits[byte >> 4];
            escaped += digits[byte & 0x0f];
        }
        return escaped;
    }

}

/// One caller's request with its current attempt.
struct caller_front::exchange {
    request_number number;
    http_request request;
    std::shared_ptr<http_response_writer> answer;
    attempt_number attemptNumber;
    std::unique_ptr<http_client_attempt> attempt;
    const http_response_head* head = nullptr; ///< Set only while the core handles it.
    std::string_view bytes; ///< Set only while the core handles them.
    std::uint64_t linesSent = 0; ///< Whole lines of the answer forwarded to the caller.
    std::size_t partialLine = 0; ///< Bytes forwarded of the line that follows them.
    std::size_t bytesToSkip = 0; ///< Leading bytes of a resumed stream that the caller already has.
    bool isPaused = false;
};

/// Carries out one step of a request.
struct caller_front::step_performer {
    caller_front& front;
    const exchange_ref& target;

    void operator()(const forward_head&) const
    {
        if (target->head)
            target->answer->start(*target->head);
    }
    void operator()(const forward_bytes&) const
    {
        target->answer->send(target->bytes);
        front.countLines(*target);
    }
    void operator()(const end_answer&) const
    {
        target->answer->end();
        front.finish(target);
    }
    void operator()(const abort_answer&) const
    {
        target->answer->abort();
        front.finish(target);
    }
    void operator()(const refuse_request& refused) const { front.refuse(target, refused.kind); }
    void operator()(const replay_outcome& replayed) const { front.replay(target, replayed.outcome); }
    void operator()(const cancel_attempt& cancelled) const
    {
        if (target->attempt && target->attemptNumber == cancelled.attempt)
            target->attempt->cancel();
    }
    // The core carries out the other steps itself.
    template <typename Step>
    void operator()(const Step&) const { }
};

caller_front::caller_front(core_driver& driver, http_client& client, logger& log, metrics& values, body_reader readBody, std::size_t bufferBytes)
    : m_driver(driver)
    , m_client(client)
    , m_log(log)
    , m_metrics(values)
    , m_readBody(std::move(readBody))
    , m_bufferBytes(bufferBytes)
{
}

caller_front::~caller_front() = default;

const std::string& caller_front::digestOf(std::string_view key)
{
    if (m_digests.size() >= maxCachedDigests)
        m_digests.clear();
    const auto [entry, isNew] = m_digests.try_emplace(std::string(key));
    if (isNew)
        entry->second = sha256Hex(key);
    return entry->second;
}

incoming_request caller_front::describe(const http_request& received)
{
    incoming_request described;
    described.method = received.method;
    described.path = pathOf(received.target);
    const auto authorization = findHeader(received.headers, "Authorization");
    if (authorization && authorization->starts_with(bearerPrefix))
        described.keyDigest = digestOf(authorization->substr(bearerPrefix.size()));
    if (const auto hint = findHeader(received.headers, "X-Cost-Hint"))
        described.costHint = std::string(*hint);
    if (const auto model = findHeader(received.headers, "X-Model"))
        described.model = std::string(*model);
    if (const auto key = findHeader(received.headers, "Idempotency-Key"))
        described.idempotencyKeyHash = sha256Hex(*key);
    const std::uint64_t targetHash = XXH3_64bits(received.target.data(), received.target.size());
    described.contentHash = XXH3_64bits_withSeed(received.body.data(), received.body.size(), targetHash);
    const std::size_t prefix = std::min(promptPrefixBytes, received.body.size());
    described.prefixHash = prefix == 0 ? 0 : XXH3_64bits(received.body.data(), prefix);
    described.bodyBytes = received.body.size();
    return described;
}

void caller_front::onRequest(http_request received, std::shared_ptr<http_response_writer> answer)
{
    const auto target = std::make_shared<exchange>();
    target->request = std::move(received);
    target->answer = std::move(answer);
    m_driver.post([&](router_core& core, time_point now) {
        router_actions actions = core.onRequest(now, describe(target->request), target->number);
        m_exchanges[target->number] = target;
        return actions;
    });
    const std::weak_ptr<exchange> watched = target;
    target->answer->whenCallerDisconnects([this, watched] {
        const exchange_ref left = watched.lock();
        if (!left || !m_exchanges.contains(left->number))
            return;
        m_driver.post([&](router_core& core, time_point now) { return core.onCallerDisconnected(now, left->number); });
        // A request that holds an idempotency claim continues without its caller,
        // so that a retry gets its outcome.
        if (!m_driver.core().requests().isInProgress(left->number))
            finish(left);
    });
}

void caller_front::perform(const request_step& step)
{
    const auto found = m_exchanges.find(step.request);
    if (found == m_exchanges.end())
        return;
    const exchange_ref target = found->second;
    std::visit(step_performer { *this, target }, step.step);
}

http_client_request caller_front::buildRequest(const exchange& source, const start_attempt& started) const
{
    http_client_request request;
    request.server = started.location;
    request.mayReuseConnection = started.attempt.mayReuseConnection;
    if (const auto& resume = started.attempt.resume) {
        request.method = "POST";
        request.target = "/v1/resume?stream=" + escapeQuery(resume->stream) + "&offset=" + std::to_string(source.linesSent);
        return request;
    }
    request.method = source.request.method;
    request.target = source.request.target;
    request.body = source.request.body;
    for (const http_header& header : source.request.headers) {
        if (!isPrivateHeader(header))
            request.headers.push_back(header);
    }
    return request;
}

http_client_callbacks caller_front::buildCallbacks(const exchange_ref& target, attempt_number attempt)
{
    http_client_callbacks callbacks;
    callbacks.maySend = [this, attempt] {
        bool maySend = false;
        m_driver.post([&](router_core& core, time_point now) { return core.onReadyToSend(now, attempt, maySend); });
        return maySend;
    };
    const std::weak_ptr<exchange> served = target;
    callbacks.onHead = [this, served, attempt](const http_response_head& head) {
        if (const exchange_ref open = served.lock())
            receiveHead(open, attempt, head);
    };
    callbacks.onBody = [this, served, attempt](std::string_view bytes) {
        if (const exchange_ref open = served.lock())
            receiveBytes(open, attempt, bytes);
    };
    callbacks.onEnd = [this, attempt](attempt_end end) {
        m_driver.post([&](router_core& core, time_point now) { return core.onAttemptEnded(now, attempt, end); });
    };
    return callbacks;
}

void caller_front::perform(const start_attempt& started)
{
    const auto found = m_exchanges.find(started.request);
    if (found == m_exchanges.end())
        return;
    const exchange_ref target = found->second;
    target->attemptNumber = started.attempt.attempt;
    target->isPaused = false;
    // Engines resume at the start of a line; the caller may already have part
    // of that line.
    target->bytesToSkip = started.attempt.resume ? target->partialLine : 0;
    target->attempt = m_client.send(buildRequest(*target, started), buildCallbacks(target, started.attempt.attempt));
}

void caller_front::perform(const stop_stream& stopped)
{
    const std::uint64_t key = ++m_lastCancelCall;
    http_client_request request;
    request.server = stopped.location;
    request.method = "POST";
    request.target = "/v1/cancel?stream=" + escapeQuery(stopped.stream);
    http_client_callbacks callbacks;
    callbacks.onEnd = [this, key](attempt_end) { m_cancelCalls.erase(key); };
    m_cancelCalls[key] = m_client.send(std::move(request), std::move(callbacks));
}

void caller_front::receiveHead(const exchange_ref& target, attempt_number attempt, const http_response_head& head)
{
    response_head described;
    described.facts.status = head.status;
    described.facts.hasRetryAfter = findHeader(head.headers, "Retry-After").has_value();
    described.facts.stream = findHeader(head.headers, "X-Stream-Id").value_or("");
    for (const http_header& header : head.headers)
        described.headers.push_back({ header.name, header.value });
    target->head = &head;
    m_driver.post([&](router_core& core, time_point now) { return core.onHead(now, attempt, described); });
    target->head = nullptr;
}

void caller_front::receiveBytes(const exchange_ref& target, attempt_number attempt, std::string_view bytes)
{
    const std::size_t skipped = std::min(target->bytesToSkip, bytes.size());
    target->bytesToSkip -= skipped;
    bytes.remove_prefix(skipped);
    target->bytes = bytes;
    m_driver.post([&](router_core& core, time_point now) { return core.onBytes(now, attempt, bytes); });
    target->bytes = {};
    if (target->isPaused || !target->attempt || target->answer->pendingBytes() <= m_bufferBytes)
        return;
    target->isPaused = true;
    target->attempt->pause();
    const std::weak_ptr<exchange> paused = target;
    target->answer->whenDrained(m_bufferBytes / 2, [paused] {
        const exchange_ref drained = paused.lock();
        if (!drained || !drained->isPaused || !drained->attempt)
            return;
        drained->isPaused = false;
        drained->attempt->resume();
    });
}

void caller_front::countLines(exchange& target)
{
    target.linesSent += static_cast<std::uint64_t>(std::count(target.bytes.begin(), target.bytes.end(), '\n'));
    const std::size_t lineEnd = target.bytes.rfind('\n');
    if (lineEnd == std::string_view::npos)
        target.partialLine += target.bytes.size();
    else
        target.partialLine = target.bytes.size() - lineEnd - 1;
}

void caller_front::refuse(const exchange_ref& target, refusal_kind kind)
{
    const refusal& described = refusalOf(kind);
    m_metrics.count("pimentoladder_refusals_total", { { "kind", std::string(described.name) } });
    m_log.write(log_level::info, "request_refused", { { "request", target->number.value() }, { "kind", described.name }, { "path", pathOf(target->request.target) } });
    target->answer->refuse(kind, described.message);
    finish(target);
}

void caller_front::replay(const exchange_ref& target, const recorded_outcome& outcome)
{
    http_response_head head;
    head.status = outcome.status;
    for (const header_field& field : outcome.headers) {
        if (!isSameHeaderName(field.name, "Content-Length"))
            head.headers.push_back({ field.name, field.value });
    }
    if (!outcome.bodyObject.empty()) {
        replayStored(target, std::move(head), outcome.bodyObject);
        return;
    }
    target->answer->reply(head, outcome.body);
    finish(target);
}

void caller_front::replayStored(const exchange_ref& target, http_response_head head, const std::string& object)
{
    m_readBody(object, [this, number = target->number, head = std::move(head)](const std::optional<std::string>& body) {
        // The request is gone if its caller left or a shutdown aborted it.
        const auto found = m_exchanges.find(number);
        if (found == m_exchanges.end())
            return;
        const exchange_ref waiting = found->second;
        if (!body) {
            refuse(waiting, refusal_kind::outcomeUnreadable);
            return;
        }
        waiting->answer->reply(head, *body);
        finish(waiting);
    });
}

void caller_front::finish(const exchange_ref& target)
{
    m_exchanges.erase(target->number);
}

std::size_t caller_front::abortAll()
{
    const std::size_t count = m_exchanges.size();
    std::unordered_map<request_number, exchange_ref> aborted;
    aborted.swap(m_exchanges);
    for (const auto& [number, target] : aborted) {
        target->answer->abort();
        if (target->attempt)
            target->attempt->cancel();
    }
    return count;
}

}
