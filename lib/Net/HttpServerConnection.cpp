#include "HttpServerConnection.h"

#include <algorithm>
#include <cassert>
#include <cstdlib>

#include <sys/socket.h>

#include <event2/event.h>
#include <event2/keyvalq_struct.h>

#include "HttpRefusal.h"
#include "HttpSockets.h"

namespace pimentoladder {

namespace {

    // Limit of the bytes of later requests read while a response is in progress, and of input that
    // waits to be parsed. An iteration of the loop reads as much from a socket.
    constexpr std::size_t readAheadBytes = std::size_t { 16 } * 1024;
    // Connections above the limit that get a refusal; further ones are closed at once.
    constexpr std::size_t maxRefusedConnections = 64;
    constexpr std::string_view placeholderRequest = "GET / HTTP/1.1\r\nHost: refused\r\nContent-Length: 0\r\n\r\n";
    constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

}

http_server_answer::~http_server_answer()
{
    if (m_connection && !m_isEnded)
        m_connection->abortAnswer();
}

void http_server_answer::start(const http_response_head& head)
{
    assert(!m_isStarted && "a response must be started only once");
    m_isStarted = true;
    if (!m_connection)
        return;
    const std::optional<std::string_view> length = findHeader(head.headers, "Content-Length");
    if (length && m_connection->hasAnswerBody(head.status))
        m_remainingBytes = std::strtoull(std::string(*length).c_str(), nullptr, 10);
    m_connection->sendHead(head, length.has_value());
}

void http_server_answer::send(std::string_view bytes)
{
    if (!m_connection || m_isEnded || bytes.empty())
        return;
    assert(m_isStarted && "the head must be sent before the body");
    if (m_remainingBytes && bytes.size() > *m_remainingBytes) {
        abort();
        return;
    }
    if (m_remainingBytes)
        *m_remainingBytes -= bytes.size();
    m_connection->sendBody(bytes);
    // evhttp ends a response of known length within the call if its output is empty.
    if (!m_remainingBytes)
        m_connection->flushOutput();
}

void http_server_answer::end()
{
    if (!m_connection || m_isEnded)
        return;
    const bool isShort = m_remainingBytes.value_or(0) > 0;
    if (isShort || !m_isStarted) {
        abort();
        return;
    }
    m_isEnded = true;
    m_connection->endAnswer();
}

void http_server_answer::abort()
{
    if (!m_connection || m_isEnded)
        return;
    m_isEnded = true;
    m_connection->abortAnswer();
}

void http_server_answer::reply(const http_response_head& head, std::string_view body)
{
    http_response_head framed = head;
    std::erase_if(
        framed.headers, [](const http_header& each) { return isSameHeaderName(each.name, "Content-Length"); });
    framed.headers.push_back({ "Content-Length", std::to_string(body.size()) });
    start(framed);
    if (m_remainingBytes)
        send(body);
    end();
}

void http_server_answer::refuse(refusal_kind kind, std::string_view message)
{
    reply(refusalHead(kind), refusalBody(kind, message));
}

std::size_t http_server_answer::pendingBytes() const
{
    return m_connection ? m_connection->pendingBytes() : 0;
}

std::size_t http_server_answer::pendingBytesOfAll() const
{
    return m_connection ? m_connection->pendingBytesOfAll() : 0;
}

bool http_server_answer::hasCallerClosed() const
{
    return !m_connection || isClosedByPeer(m_connection->socket());
}

void http_server_answer::whenDrained(std::size_t lowBytes, std::function<void()> callback)
{
    m_lowBytes = lowBytes;
    m_whenDrained = std::move(callback);
    outputShrank();
}

void http_server_answer::connectionClosed()
{
    m_connection = nullptr;
    m_whenDrained = nullptr;
    if (!m_isEnded)
        m_notifyCallerLeft.schedule();
}

void http_server_answer::outputShrank()
{
    if (m_connection && m_whenDrained && m_connection->pendingBytes() <= m_lowBytes)
        m_notifyDrained.schedule();
}

http_server_connection::http_server_connection(event_loop& loop, http_server_connection_owner& owner, bufferevent* channel, caller_number number)
    : m_loop(loop)
    , m_owner(owner)
    , m_channel(channel)
    , m_raw(evbuffer_new())
    , m_chunkBuffer(evbuffer_new())
    , m_number(number)
    , m_parser(http_message_parser::forRequests({ owner.limits().headBytes, owner.limits().bodyBytes }))
    , m_proceed(loop, [this] { proceed(); })
    , m_deadline(loop, [this] { deadlinePassed(); })
{
    // evhttp must not read raw input: with this low watermark its read callback
    // runs only when `inject` triggers it with a validated head.
    bufferevent_setwatermark(m_channel, EV_READ, SIZE_MAX, readAheadBytes);
    evbuffer_add_cb(bufferevent_get_input(m_channel), onInput, this);
    evbuffer_add_cb(bufferevent_get_output(m_channel), onOutput, this);
    bufferevent_incref(m_channel);
    m_proceed.schedule();
}

http_server_connection::~http_server_connection()
{
    if (m_phase == phase::adopting) {
        detachChannel();
        bufferevent_decref(m_channel);
    }
    evbuffer_free(m_raw);
    evbuffer_free(m_chunkBuffer);
}

void http_server_connection::countPending(std::size_t bytes)
{
    if (bytes == m_countedPending)
        return;
    m_owner.pendingBytesChanged(m_countedPending, bytes);
    m_countedPending = bytes;
}

void http_server_connection::detachChannel()
{
    countPending(0);
    m_owner.memory()->count(memory_holder::input, std::exchange(m_countedInput, 0), 0);
    evbuffer_remove_cb(bufferevent_get_input(m_channel), onInput, this);
    evbuffer_remove_cb(bufferevent_get_output(m_channel), onOutput, this);
    m_phase = phase::closed;
    m_room.reset();
    m_proceed.cancel();
    m_deadline.cancel();
}

void http_server_connection::onInput(evbuffer*, const evbuffer_cb_info* info, void* context)
{
    auto* self = static_cast<http_server_connection*>(context);
    if (info->n_added == 0 || self->m_isInjecting)
        return;
    self->m_owner.bytesMoved(info->n_added, 0);
    if (evbuffer_get_length(self->m_raw) < readAheadBytes)
        self->takeRawInput();
    if (self->m_phase == phase::refusing || self->m_discardsInput)
        evbuffer_drain(self->m_raw, evbuffer_get_length(self->m_raw));
    self->countInput();
    if (self->m_phase == phase::answering)
        self->limitInputBehindRequest();
    if (self->m_phase == phase::reading)
        self->readSoon();
    else
        self->m_proceed.schedule();
}

void http_server_connection::countInput()
{
    const std::size_t bytes = evbuffer_get_length(m_raw) + evbuffer_get_length(bufferevent_get_input(m_channel));
    if (bytes == m_countedInput)
        return;
    m_owner.memory()->count(memory_holder::input, m_countedInput, bytes);
    m_countedInput = bytes;
}

std::size_t http_server_connection::neededBytes() const
{
    return m_parser.bufferedBytes() + std::max<std::size_t>(m_body.size(), m_parser.announcedBytes());
}

bool http_server_connection::takeRoom()
{
    if (!m_room)
        m_room = std::make_shared<memory_room>(m_owner.memory(), m_number);
    const std::size_t received = m_parser.bufferedBytes() + m_body.size();
    while (!m_room->resize(m_loop.now(), received, neededBytes())) {
        if (!m_owner.makeRoom(m_number))
            return false;
    }
    return true;
}

void http_server_connection::releaseBody()
{
    // Assigning an empty string would keep the allocation.
    std::string().swap(m_body);
    m_room.reset();
}

bool http_server_connection::giveWay()
{
    if (m_phase != phase::reading || !m_room)
        return false;
    refuseForMemory(memory_measure::gaveWay);
    return true;
}

void http_server_connection::refuseForMemory(memory_measure measure)
{
    m_owner.memoryMeasureTaken({ measure, m_parser.bufferedBytes() + m_body.size(), neededBytes() });
    refuse(refusal_kind::memoryFull, {});
}

void http_server_connection::limitInputBehindRequest()
{
    if (m_discardsInput || !m_owner.memory()->shouldDiscardInput(m_countedInput))
        return;
    m_owner.memoryMeasureTaken({ memory_measure::discardedInput, m_countedInput, m_countedInput });
    m_discardsInput = true;
    takeRawInput();
    evbuffer_drain(m_raw, evbuffer_get_length(m_raw));
    countInput();
}

void http_server_connection::onOutput(evbuffer*, const evbuffer_cb_info* info, void* context)
{
    auto* self = static_cast<http_server_connection*>(context);
    self->countPending(self->pendingBytes());
    const bool isEmpty = self->pendingBytes() == 0;
    if (info->n_deleted > 0) {
        self->m_owner.bytesMoved(0, info->n_deleted);
        if (const auto answer = self->m_answer.lock())
            answer->outputShrank();
        if (isEmpty && self->m_phase == phase::aborting)
            self->m_proceed.schedule();
    }
    if (self->m_phase == phase::answering || self->m_phase == phase::aborting || self->m_phase == phase::refusing)
        self->limitWriting(isEmpty, info->n_deleted > 0);
}

void http_server_connection::limitWriting(bool isEmpty, bool hasWritten)
{
    if (!isEmpty && (hasWritten || !m_deadline.isArmed()))
        m_deadline.arm(m_owner.limits().writeTimeout);
    if (!isEmpty)
        return;
    // The connection is closed when the caller closes it or `lingerTimeout` has
    // passed: closing it with unread input would reset it, which could destroy the
    // refusal before the caller has read it.
    if (m_phase == phase::refusing)
        m_deadline.arm(m_owner.limits().lingerTimeout);
    else
        m_deadline.cancel();
}

void http_server_connection::onClosed(evhttp_connection*, void* context)
{
    static_cast<http_server_connection*>(context)->closed();
}

void http_server_connection::onAnswerSent(evhttp_request*, void* context)
{
    static_cast<http_server_connection*>(context)->answerSent();
}

void http_server_connection::proceed()
{
    if (m_phase == phase::adopting)
        adopt();
    else if (m_phase == phase::reading && hasInput())
        readSoon();
    else if (m_phase == phase::aborting && pendingBytes() == 0)
        close(abortReason());
    if (m_owner.isDraining())
        closeIfIdle();
}

server_close_reason http_server_connection::abortReason() const
{
    if (m_discardsInput)
        return server_close_reason::memory;
    return m_hasServed ? server_close_reason::abortedResponse : server_close_reason::refusedEarly;
}

void http_server_connection::readSoon()
{
    if (!std::exchange(m_isQueued, true))
        m_owner.enqueueRead(*this);
}

void http_server_connection::readQueued()
{
    m_isQueued = false;
    if (m_phase == phase::reading)
        read();
}

bool http_server_connection::hasInput() const
{
    return evbuffer_get_length(m_raw) > 0 || evbuffer_get_length(bufferevent_get_input(m_channel)) > 0;
}

void http_server_connection::adopt()
{
    bufferevent_event_cb onEvent = nullptr;
    void* context = nullptr;
    bufferevent_getcb(m_channel, nullptr, nullptr, &onEvent, &context);
    if (!onEvent) {
        // evhttp failed to set up the connection and has freed it.
        detachChannel();
        bufferevent_decref(m_channel);
        m_owner.connectionClosed(m_channel);
        return;
    }
    m_phase = phase::reading;
    bufferevent_decref(m_channel);
    m_evhttp = static_cast<evhttp_connection*>(context);
    assert(evhttp_connection_get_bufferevent(m_evhttp) == m_channel && "evhttp passes its connection to its callbacks");
    evhttp_connection_set_closecb(m_evhttp, onClosed, this);
    bufferevent_set_timeouts(m_channel, nullptr, nullptr);
    setNoDelay(bufferevent_getfd(m_channel));
    m_deadline.arm(m_owner.limits().idleTimeout);
    if (hasInput())
        readSoon();
    const std::size_t limit = m_owner.limits().connections;
    if (m_owner.connectionCount() > limit + maxRefusedConnections)
        close(server_close_reason::connectionLimit);
    else if (m_owner.connectionCount() > limit)
        refuse(refusal_kind::tooManyConnections, {});
}

void http_server_connection::takeRawInput()
{
    evbuffer_remove_buffer(
        bufferevent_get_input(m_channel), m_raw, evbuffer_get_length(bufferevent_get_input(m_channel)));
}

void http_server_connection::read()
{
    takeRawInput();
    while (m_phase == phase::reading && evbuffer_get_length(m_raw) > 0) {
        evbuffer_iovec first {};
        evbuffer_peek(m_raw, -1, nullptr, &first, 1);
        const bool wasHead = m_parser.progress() == http_progress::head;
        const bool hadBegun = m_parser.hasBegun();
        const std::string_view bytes(static_cast<const char*>(first.iov_base), first.iov_len);
        evbuffer_drain(m_raw, m_parser.feed(bytes, m_body));
        if (!hadBegun && m_parser.hasBegun())
            m_deadline.arm(m_owner.limits().headTimeout);
        if (m_parser.progress() != http_progress::violated && m_parser.hasBegun() && !takeRoom()) {
            refuseForMemory(memory_measure::refused);
            break;
        }
        progressed(wasHead);
    }
    // The callbacks of a refusal may have closed the connection.
    if (m_phase != phase::closed)
        countInput();
}

void http_server_connection::readArrived()
{
    read();
    while (m_phase == phase::reading) {
        const int arrived = evbuffer_read(m_raw, socket(), readAheadBytes);
        if (arrived <= 0)
            return;
        m_owner.bytesMoved(static_cast<std::size_t>(arrived), 0);
        read();
    }
}

void http_server_connection::progressed(bool wasHead)
{
    switch (m_parser.progress()) {
    case http_progress::head:
        return;
    case http_progress::body:
        if (!wasHead)
            return;
        m_deadline.arm(m_owner.limits().bodyTimeout);
        // There is room for it, and growing step by step would copy the body.
        m_body.reserve(m_parser.announcedBytes());
        if (m_parser.expectsContinue())
            sendContinue();
        return;
    case http_progress::complete:
        if (!refuseEarly())
            dispatch();
        return;
    case http_progress::violated:
        refuse(m_parser.violation().kind, m_parser.violation().message);
        return;
    }
}

void http_server_connection::sendContinue()
{
    // No response is in progress, so this cannot overtake output of evhttp. If the
    // socket does not accept it, the caller sends its body without it.
    if (evbuffer_get_length(m_raw) == 0)
        static_cast<void>(::send(bufferevent_getfd(m_channel), continueResponse.data(), continueResponse.size(),
            MSG_NOSIGNAL | MSG_DONTWAIT));
}

bool http_server_connection::refuseEarly()
{
    const bool isPlain = m_parser.isPersistent() && m_owner.keepsConnections() && !m_parser.head().starts_with("HEAD ");
    const std::string_view answer = isPlain ? m_owner.earlyAnswer(m_parser.headers(), !m_hasServed) : std::string_view();
    if (answer.empty())
        return false;
    m_parser.reset();
    releaseBody();
    m_deadline.arm(m_owner.limits().idleTimeout);
    // Output of a connection without a request must not pass through evhttp, which would take its
    // end for that of a response. A caller that leaves no room for a short refusal does not read.
    const ssize_t sent = ::send(socket(), answer.data(), answer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    const bool isSent = sent == static_cast<ssize_t>(answer.size());
    m_owner.bytesMoved(0, static_cast<std::size_t>(std::max<ssize_t>(sent, 0)));
    if (!isSent || !m_hasServed) {
        m_phase = phase::aborting;
        m_proceed.schedule();
    }
    return true;
}

void http_server_connection::inject(std::string_view head)
{
    evbuffer* input = bufferevent_get_input(m_channel);
    takeRawInput();
    m_isInjecting = true;
    evbuffer_unfreeze(input, 0);
    evbuffer_add(input, head.data(), head.size());
    evbuffer_freeze(input, 0);
    m_isInjecting = false;
    bufferevent_trigger(m_channel, EV_READ, BEV_TRIG_IGNORE_WATERMARKS);
}

void http_server_connection::dispatch()
{
    m_phase = phase::answering;
    m_hasServed = true;
    m_deadline.cancel();
    inject(m_parser.head());
}

void http_server_connection::refuse(refusal_kind kind, std::string message)
{
    m_phase = phase::refusing;
    m_refusal = { kind, std::move(message) };
    releaseBody();
    inject(placeholderRequest);
}

void http_server_connection::requestParsed(evhttp_request* request)
{
    m_request = request;
    evhttp_request_set_on_complete_cb(request, onAnswerSent, this);
    // evhttp disables reading here. Reading goes on, to detect that the caller disconnects.
    bufferevent_enable(m_channel, EV_READ);
    if (m_phase == phase::refusing) {
        sendRefusal();
        return;
    }
    const std::string& head = m_parser.head();
    http_request taken;
    taken.method = head.substr(0, head.find(' '));
    taken.target = evhttp_request_get_uri(request);
    taken.body = std::exchange(m_body, {});
    taken.room = std::exchange(m_room, nullptr);
    if (taken.room)
        taken.room->complete();
    const evkeyvalq* headers = evhttp_request_get_input_headers(request);
    for (const evkeyval* each = headers->tqh_first; each; each = each->next.tqe_next) {
        const bool isFraming
            = isSameHeaderName(each->key, "Connection") || isSameHeaderName(each->key, "Content-Length");
        if (!isFraming)
            taken.headers.push_back({ each->key, each->value });
    }
    m_isHeadRequest = taken.method == "HEAD";
    const auto answer = std::make_shared<http_server_answer>(m_loop, *this);
    m_answer = answer;
    m_owner.requestArrived(std::move(taken), answer);
}

void http_server_connection::sendRefusal()
{
    const std::string body = refusalBody(m_refusal.kind, m_refusal.message);
    http_response_head head = refusalHead(m_refusal.kind);
    head.headers.push_back({ "Content-Length", std::to_string(body.size()) });
    evhttp_add_header(evhttp_request_get_output_headers(m_request), "Connection", "close");
    m_deadline.cancel();
    sendHead(head, true);
    sendBody(body);
    evbuffer_drain(m_raw, evbuffer_get_length(m_raw));
}

bool http_server_connection::hasAnswerBody(int status) const
{
    return !m_isHeadRequest && status != HTTP_NOCONTENT && status != HTTP_NOTMODIFIED && status >= 200;
}

void http_server_connection::sendHead(const http_response_head& head, bool isLengthKnown)
{
    http_headers headers = head.headers;
    removeHopByHopHeaders(headers);
    evkeyvalq* output = evhttp_request_get_output_headers(m_request);
    for (const http_header& each : headers) {
        const bool isLength = isSameHeaderName(each.name, "Content-Length");
        if (!isLength || hasAnswerBody(head.status) || m_isHeadRequest)
            evhttp_add_header(output, each.name.c_str(), each.value.c_str());
    }
    if (!m_owner.keepsConnections() && !evhttp_find_header(output, "Connection"))
        evhttp_add_header(output, "Connection", "close");
    const bool isHttp10 = m_parser.head().find(" HTTP/1.0\r\n") != std::string::npos;
    m_isCloseDelimited = isHttp10 && !isLengthKnown && hasAnswerBody(head.status);
    evhttp_send_reply_start(m_request, head.status, nullptr);
}

void http_server_connection::sendBody(std::string_view bytes)
{
    evbuffer_add(m_chunkBuffer, bytes.data(), bytes.size());
    evhttp_send_reply_chunk(m_request, m_chunkBuffer);
    // evhttp does not consume the bytes if the response has no body.
    evbuffer_drain(m_chunkBuffer, evbuffer_get_length(m_chunkBuffer));
}

void http_server_connection::flushOutput()
{
    if (m_phase != phase::answering || pendingBytes() == 0)
        return;
    evbuffer* output = bufferevent_get_output(m_channel);
    evbuffer_unfreeze(output, 1);
    evbuffer_write(output, socket());
    evbuffer_freeze(output, 1);
    // evhttp enables it again with its next output.
    if (pendingBytes() == 0)
        bufferevent_disable(m_channel, EV_WRITE);
}

void http_server_connection::endAnswer()
{
    evhttp_send_reply_end(m_request);
}

void http_server_connection::abortAnswer()
{
    if (m_phase != phase::answering)
        return;
    m_phase = phase::aborting;
    m_proceed.schedule();
}

void http_server_connection::close(server_close_reason reason)
{
    m_owner.connectionClosing({ reason, evbuffer_get_length(m_raw) > 0 || hasUnreadInput(socket()), pendingBytes() });
    // Without a length or chunks, only a reset shows the caller that the response is truncated.
    if (m_phase == phase::aborting && m_isCloseDelimited)
        resetConnection(bufferevent_getfd(m_channel));
    evhttp_connection_free(m_evhttp);
}

void http_server_connection::closeIfIdle()
{
    if (m_phase != phase::reading)
        return;
    readArrived();
    const bool isIdle = m_phase == phase::reading && !m_parser.hasBegun();
    if (isIdle)
        close(server_close_reason::drain);
}

void http_server_connection::closed()
{
    detachChannel();
    if (m_isQueued)
        m_owner.dequeueRead(*this);
    if (m_request) {
        evhttp_request_set_on_complete_cb(m_request, nullptr, nullptr);
        // evhttp does not free a request whose response has not ended; its user must.
        if (!evhttp_request_get_connection(m_request))
            evhttp_send_reply_end(m_request);
    }
    m_request = nullptr;
    if (const auto answer = m_answer.lock())
        answer->connectionClosed();
    m_owner.connectionClosed(m_channel);
}

void http_server_connection::answerSent()
{
    const bool closes = m_discardsInput;
    if (const auto answer = m_answer.lock())
        answer->answerSent();
    m_answer.reset();
    m_request = nullptr;
    m_phase = phase::reading;
    m_parser.reset();
    takeRawInput();
    countInput();
    m_deadline.arm(m_owner.limits().idleTimeout);
    // What was discarded may be part of a request, so nothing further can be read.
    if (closes)
        m_phase = phase::aborting;
    m_proceed.schedule();
}

void http_server_connection::deadlinePassed()
{
    if (m_phase == phase::reading)
        readingTimedOut();
    else
        close(m_phase == phase::refusing && pendingBytes() == 0 ? server_close_reason::lingerTimeout : server_close_reason::writeTimeout);
}

void http_server_connection::readingTimedOut()
{
    // If the loop is late, the rest of the request may have arrived within the time limit.
    readArrived();
    const bool hasProgressed = m_phase != phase::reading || m_deadline.isArmed();
    if (hasProgressed)
        return;
    if (m_parser.hasBegun())
        refuse(refusal_kind::requestTimeout, {});
    else
        close(server_close_reason::idleTimeout);
}

}
