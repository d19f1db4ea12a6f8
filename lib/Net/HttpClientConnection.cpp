#include "HttpClientConnection.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <cstdio>
#include <limits>
#include <optional>
#include <utility>

#include <event2/event.h>
#include <event2/keyvalq_struct.h>

namespace pimentoladder {

namespace {

    // Limit of buffered input that evhttp does not read while it writes a request.
    constexpr std::size_t inputBufferLimit = std::size_t { 128 } * 1024;
    // What the kernel may hold of a response whose caller does not read. It counts as memory of the process.
    constexpr int receiveBufferBytes = 256 * 1024;
    // The client uses its own timers, so evhttp's must not fire before them.
    constexpr int evhttpTimeoutSeconds = 24 * 60 * 60;

    struct method_name {
        std::string_view name;
        evhttp_cmd_type command;
        bool hasBody;
    };

    constexpr std::array<method_name, 7> methods { {
        { "GET", EVHTTP_REQ_GET, false },
        { "HEAD", EVHTTP_REQ_HEAD, false },
        { "POST", EVHTTP_REQ_POST, true },
        { "PUT", EVHTTP_REQ_PUT, true },
        { "DELETE", EVHTTP_REQ_DELETE, false },
        { "OPTIONS", EVHTTP_REQ_OPTIONS, false },
        { "PATCH", EVHTTP_REQ_PATCH, true },
    } };

    const method_name* findMethod(std::string_view name)
    {
        for (const method_name& each : methods) {
            if (each.name == name)
                return &each;
        }
        return nullptr;
    }

    // Returns for how long the server declares to keep an idle connection open.
    std::optional<duration> keepAliveTimeoutOf(const http_headers& headers)
    {
        constexpr std::string_view parameter = "timeout=";
        const auto value = findHeader(headers, "Keep-Alive");
        const std::size_t at = value ? value->find(parameter) : std::string_view::npos;
        if (at == std::string_view::npos)
            return std::nullopt;
        int seconds = 0;
        const std::string_view digits = value->substr(at + parameter.size());
        if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc())
            return std::nullopt;
        return std::chrono::seconds(seconds);
    }

    void releaseShared(const void*, std::size_t, void* owner)
    {
        delete static_cast<shared_body*>(owner);
    }

    /// Adds \p body to \p output, which keeps a reference to it until it has been written. Small
    /// ones are copied, so that they are written in one piece with the head.
    void addShared(evbuffer* output, const shared_body& body)
    {
        constexpr std::size_t smallestShared = std::size_t { 16 } * 1024;
        const std::string_view bytes = body.view();
        if (bytes.size() < smallestShared) {
            evbuffer_add(output, bytes.data(), bytes.size());
            return;
        }
        auto owner = std::make_unique<shared_body>(body);
        if (evbuffer_add_reference(output, bytes.data(), bytes.size(), releaseShared, owner.get()) == 0)
            static_cast<void>(owner.release());
    }

    std::string hostOf(const endpoint& server)
    {
        const bool isV6 = server.address.find(':') != std::string::npos;
        const std::string address = isV6 ? "[" + server.address + "]" : server.address;
        return address + ":" + std::to_string(server.port);
    }

}

bool isClientMethod(std::string_view method)
{
    return findMethod(method) != nullptr;
}

http_client_connection::http_client_connection(event_loop& loop, http_client_connection_pool& pool, endpoint server)
    : m_loop(loop)
    , m_pool(pool)
    , m_server(std::move(server))
    , m_channel(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    , m_evhttp(evhttp_connection_base_bufferevent_new(
          loop.base(), nullptr, m_channel, m_server.address.c_str(), m_server.port))
    , m_parser(http_message_parser::forResponses({ pool.limits().headBytes, pool.limits().bodyBytes }))
    , m_finish(loop, [this] { finish(); })
    , m_deadline(loop, [this] { deadlinePassed(); })
    , m_flush(loop, [this] { flushOutput(); })
{
    bufferevent_setwatermark(m_channel, EV_READ, 1, inputBufferLimit);
    evbuffer_add_cb(bufferevent_get_input(m_channel), onInput, this);
    evbuffer_add_cb(bufferevent_get_output(m_channel), onOutput, this);
    evhttp_connection_set_timeout(m_evhttp, evhttpTimeoutSeconds);
    evhttp_connection_set_retries(m_evhttp, 0);
    evhttp_connection_set_closecb(m_evhttp, onClosed, this);
}

http_client_connection::~http_client_connection()
{
    evbuffer_remove_cb(bufferevent_get_input(m_channel), onInput, this);
    evbuffer_remove_cb(bufferevent_get_output(m_channel), onOutput, this);
    evhttp_connection_set_closecb(m_evhttp, nullptr, nullptr);
    evhttp_connection_free(m_evhttp);
    if (m_attempt)
        m_attempt->connection = nullptr;
}

void http_client_connection::begin(std::shared_ptr<http_attempt_state> attempt)
{
    m_attempt = std::move(attempt);
    m_attempt->connection = this;
    m_isReused = std::exchange(m_hasBegun, true);
    if (!m_isReused)
        m_begunAt = m_loop.now();
    m_hasAskedMaySend = false;
    m_hasDeliveredHead = false;
    m_isRequestUndelivered = false;
    m_parser.reset(m_attempt->request.method);
    m_deadline.arm(m_pool.limits().connectTimeout);
    evhttp_request* request = makeRequest();
    const method_name* method = findMethod(m_attempt->request.method);
    if (evhttp_make_request(m_evhttp, request, method->command, m_attempt->request.target.c_str()) != 0)
        end(attempt_end_kind::notSent);
}

evhttp_request* http_client_connection::makeRequest()
{
    evhttp_request* request = evhttp_request_new(onDone, this);
    evhttp_request_set_header_cb(request, onHead);
    evhttp_request_set_chunked_cb(request, onBody);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    const http_client_request& wanted = m_attempt->request;
    evhttp_add_header(headers, "Host", wanted.host.empty() ? hostOf(m_server).c_str() : wanted.host.c_str());
    http_headers kept = wanted.headers;
    removeHopByHopHeaders(kept);
    for (const http_header& each : kept) {
        const bool isSetByClient = isSameHeaderName(each.name, "Host") || isSameHeaderName(each.name, "Content-Length");
        if (!isSetByClient)
            evhttp_add_header(headers, each.name.c_str(), each.value.c_str());
    }
    const std::string_view body = wanted.body.view();
    if (!body.empty() || findMethod(wanted.method)->hasBody)
        evhttp_add_header(headers, "Content-Length", std::to_string(body.size()).c_str());
    addShared(evhttp_request_get_output_buffer(request), wanted.body);
    return request;
}

void http_client_connection::onInput(evbuffer*, const evbuffer_cb_info* info, void* context)
{
    auto* self = static_cast<http_client_connection*>(context);
    if (info->n_added == 0 || self->m_isRewriting)
        return;
    self->m_pool.bytesMoved(info->n_added, 0);
    self->inputArrived(info->n_added);
}

void http_client_connection::inputArrived(std::size_t added)
{
    evbuffer* input = bufferevent_get_input(m_channel);
    const std::size_t earlier = evbuffer_get_length(input) - added;
    std::string raw(earlier + added, '\0');
    m_isRewriting = true;
    evbuffer_remove(input, raw.data(), raw.size());
    const std::string checked = normaliseInput(std::string_view(raw).substr(earlier));
    evbuffer_add(input, raw.data(), earlier);
    evbuffer_add(input, checked.data(), checked.size());
    m_isRewriting = false;
}

std::string http_client_connection::normaliseInput(std::string_view raw)
{
    const bool isExpected = m_attempt && m_attempt->mayHaveBeenSent && !m_isEnding;
    if (!isExpected) {
        m_hasUnexpectedInput = true;
        end(attempt_end_kind::malformed);
        return {};
    }
    if (!m_isPaused)
        m_deadline.arm(m_pool.limits().idleTimeout);
    const bool wasHead = m_parser.progress() == http_progress::head;
    m_body.clear();
    const std::size_t consumed = m_parser.feed(raw, m_body);
    if (m_parser.progress() == http_progress::violated) {
        end(attempt_end_kind::malformed);
        return {};
    }
    m_hasUnexpectedInput = m_hasUnexpectedInput || consumed < raw.size();
    std::string checked;
    if (wasHead && m_parser.progress() != http_progress::head)
        checked = m_parser.head();
    if (m_parser.framing() != http_framing::chunked)
        return checked + m_body;
    // evhttp delivers only complete chunks, so it would buffer a large chunk in
    // memory. Each part is therefore passed to it as a separate chunk.
    if (!m_body.empty()) {
        std::array<char, 20> size {};
        std::snprintf(size.data(), size.size(), "%zx\r\n", m_body.size());
        checked += size.data() + m_body + "\r\n";
    }
    if (m_parser.progress() == http_progress::complete)
        checked += "0\r\n\r\n";
    return checked;
}

void http_client_connection::onOutput(evbuffer*, const evbuffer_cb_info* info, void* context)
{
    static_cast<http_client_connection*>(context)->outputChanged(*info);
}

void http_client_connection::outputChanged(const evbuffer_cb_info& info)
{
    if (!m_attempt || m_isRewriting)
        return;
    if (info.n_added > 0 && !m_hasAskedMaySend) {
        // On a new connection libevent writes before control returns to the loop, so
        // permission is requested here. A reused connection is written by `flushOutput`.
        if (m_isReused)
            m_flush.schedule();
        else
            m_isSendDenied = !askMaySend();
    }
    if (m_isSendDenied) {
        discardOutput();
        end(attempt_end_kind::notSent);
        return;
    }
    if (info.n_deleted == 0)
        return;
    m_pool.bytesMoved(0, info.n_deleted);
    m_attempt->mayHaveBeenSent = true;
    if (m_parser.progress() == http_progress::head && !m_isEnding)
        m_deadline.arm(m_pool.limits().firstByteTimeout);
}

bool http_client_connection::askMaySend()
{
    m_hasAskedMaySend = true;
    if (!m_isReused)
        m_pool.connectEnded(m_begunAt, true);
    if (!m_isReused)
        limitReceiveBuffer(bufferevent_getfd(m_channel), receiveBufferBytes);
    setNoDelay(bufferevent_getfd(m_channel));
    m_deadline.arm(m_pool.limits().firstByteTimeout);
    const auto callbacks = m_attempt->callbacks;
    const bool isAllowed = !callbacks->maySend || callbacks->maySend();
    return isAllowed && !m_isEnding;
}

/// Writes the request on a reused connection, if sending is allowed. libevent would
/// write it in the next loop iteration, which on an overloaded VM can be a second later.
void http_client_connection::flushOutput()
{
    if (!m_attempt || m_hasAskedMaySend || m_isEnding)
        return;
    // Input that arrived since the connection was taken would be read as the response.
    if (isUnusable(bufferevent_getfd(m_channel))) {
        discardOutput();
        const std::shared_ptr<http_attempt_state> attempt = std::exchange(m_attempt, nullptr);
        attempt->connection = nullptr;
        end(attempt_end_kind::notSent);
        m_pool.startOnNewConnection(attempt);
        return;
    }
    if (!askMaySend()) {
        m_isSendDenied = true;
        discardOutput();
        end(attempt_end_kind::notSent);
        return;
    }
    evbuffer* output = bufferevent_get_output(m_channel);
    evbuffer_unfreeze(output, 1);
    evbuffer_write(output, bufferevent_getfd(m_channel));
    evbuffer_freeze(output, 1);
}

/// Discards the buffered request before libevent writes it to the socket.
void http_client_connection::discardOutput()
{
    evbuffer* output = bufferevent_get_output(m_channel);
    m_isRewriting = true;
    evbuffer_unfreeze(output, 1);
    evbuffer_drain(output, evbuffer_get_length(output));
    evbuffer_freeze(output, 1);
    m_isRewriting = false;
}

int http_client_connection::onHead(evhttp_request* request, void* context)
{
    static_cast<http_client_connection*>(context)->headArrived(request);
    return 0;
}

void http_client_connection::headArrived(evhttp_request* request)
{
    if (m_isEnding || !m_attempt)
        return;
    http_response_head head;
    head.status = evhttp_request_get_response_code(request);
    const evkeyvalq* headers = evhttp_request_get_input_headers(request);
    for (const evkeyval* each = headers->tqh_first; each; each = each->next.tqe_next)
        head.headers.push_back({ each->key, each->value });
    m_serverTimeout = keepAliveTimeoutOf(head.headers);
    removeHopByHopHeaders(head.headers);
    m_hasDeliveredHead = true;
    const auto callbacks = m_attempt->callbacks;
    if (callbacks->onHead)
        callbacks->onHead(head);
}

void http_client_connection::onBody(evhttp_request* request, void* context)
{
    static_cast<http_client_connection*>(context)->bodyArrived(request);
}

void http_client_connection::bodyArrived(evhttp_request* request)
{
    if (m_isEnding || !m_attempt)
        return;
    evbuffer* input = evhttp_request_get_input_buffer(request);
    const std::size_t length = evbuffer_get_length(input);
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
    const auto callbacks = m_attempt->callbacks;
    if (callbacks->onBody)
        callbacks->onBody(std::string_view(bytes, length));
}

void http_client_connection::onDone(evhttp_request* request, void* context)
{
    auto* self = static_cast<http_client_connection*>(context);
    const bool isWhole = request && evhttp_request_get_response_code(request) != 0;
    self->noteUndeliveredRequest();
    if (isWhole && !self->m_isRequestUndelivered)
        self->m_parser.feedEnd();
    const bool isComplete = isWhole && self->m_parser.progress() == http_progress::complete;
    self->end(isComplete ? attempt_end_kind::complete : self->incompleteEndKind());
}

void http_client_connection::onClosed(evhttp_connection*, void* context)
{
    auto* self = static_cast<http_client_connection*>(context);
    self->m_isClosed = true;
    self->noteUndeliveredRequest();
    if (!self->m_attempt)
        self->m_finish.schedule();
}

/// A server that ends its response with the connection before it has received the request has
/// given it up: the rest of the request makes its side reset the connection, so that the part
/// of the response that has arrived need not be the whole one.
void http_client_connection::noteUndeliveredRequest()
{
    const auto socket = bufferevent_getfd(m_channel);
    if (m_attempt && m_parser.framing() == http_framing::untilClose && socket >= 0)
        m_isRequestUndelivered = m_isRequestUndelivered || hasUndeliveredOutput(socket);
}

/// Ends the attempt. Its owner is notified after evhttp's callbacks have returned.
void http_client_connection::end(attempt_end_kind kind)
{
    if (m_isEnding)
        return;
    m_isEnding = true;
    m_endKind = kind;
    m_deadline.cancel();
    m_finish.schedule();
}

attempt_end_kind http_client_connection::incompleteEndKind() const
{
    return m_hasDeliveredHead ? attempt_end_kind::truncated : attempt_end_kind::resetAfterSent;
}

void http_client_connection::finish()
{
    const std::shared_ptr<http_attempt_state> attempt = std::exchange(m_attempt, nullptr);
    const bool isComplete = m_endKind == attempt_end_kind::complete;
    const bool isReusable = attempt && isComplete && !m_isClosed && !m_hasUnexpectedInput && !m_isLastResponse && m_parser.isPersistent();
    attempt_end ended { m_endKind, attempt && attempt->mayHaveBeenSent, m_hasUnexpectedInput };
    if (attempt) {
        attempt->connection = nullptr;
        if (!ended.mayHaveBeenSent)
            ended.kind = attempt_end_kind::notSent;
    }
    m_isEnding = false;
    // All open connections can go silent together, while new ones work.
    if (m_endKind == attempt_end_kind::timeout)
        m_pool.retire(m_server);
    if (isReusable)
        m_pool.keep(*this);
    else
        m_pool.discard(*this);
    // `keep` or `discard` may have destroyed this object.
    if (!attempt || attempt->isEnded)
        return;
    attempt->isEnded = true;
    if (attempt->callbacks->onEnd)
        attempt->callbacks->onEnd(ended);
}

void http_client_connection::deadlinePassed()
{
    if (m_attempt && !m_isReused && !m_hasAskedMaySend)
        m_pool.connectEnded(m_begunAt, false);
    end(attempt_end_kind::timeout);
}

void http_client_connection::pause()
{
    m_isPaused = true;
    bufferevent_disable(m_channel, EV_READ);
    if (m_parser.progress() == http_progress::body)
        m_deadline.cancel();
}

void http_client_connection::resume()
{
    if (!m_isPaused || m_isEnding)
        return;
    m_isPaused = false;
    bufferevent_enable(m_channel, EV_READ);
    if (m_parser.progress() == http_progress::body)
        m_deadline.arm(m_pool.limits().idleTimeout);
}

void http_client_connection::cancel()
{
    m_attempt->isEnded = true;
    m_isEnding = true;
    m_endKind = attempt_end_kind::resetAfterSent;
    m_deadline.cancel();
    m_finish.schedule();
}

void http_client_connection::becomeIdle()
{
    m_isPaused = false;
    const duration kept = m_pool.limits().keepAliveTimeout;
    m_deadline.arm(m_serverTimeout ? std::min(kept, *m_serverTimeout * 3 / 4) : kept);
}

}
