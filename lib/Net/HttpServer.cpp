#include "pimentoladder/Net/HttpServer.h"

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <event2/util.h>

#include "HttpRefusal.h"
#include "HttpSockets.h"
#include "pimentoladder/Net/EventLoop.h"
#include "pimentoladder/Net/HttpInspector.h"

namespace pimentoladder {

namespace {

    // Bytes of later requests that are read while an answer is in progress.
    constexpr std::size_t readAheadBytes = 64 * 1024;
    // Connections over the limit that still get a refusal instead of a plain close.
    constexpr std::size_t refusedConnections = 64;
    constexpr int listenBacklog = 1024;
    constexpr duration acceptRetryDelay = std::chrono::milliseconds(100);
    constexpr std::string_view refusedRequest = "GET / HTTP/1.1\r\nHost: refused\r\nContent-Length: 0\r\n\r\n";
    constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

    class connection;

    /// The answer's side of a connection. It outlives the connection.
    class connection_answer final : public http_answer {
    public:
        connection_answer(event_loop& loop, connection& owner)
            : m_connection(&owner)
            , m_leave(loop, [this] { callOnce(m_whenLeft); })
            , m_drain(loop, [this] { callOnce(m_whenDrained); })
        {
        }
        ~connection_answer() override;
        connection_answer(const connection_answer&) = delete;
        connection_answer& operator=(const connection_answer&) = delete;

        void start(const http_response_head& head) override;
        void send(std::string_view bytes) override;
        void end() override;
        void abort() override;
        void reply(const http_response_head& head, std::string_view body) override;
        void refuse(refusal_kind kind, std::string_view message) override;
        std::size_t pendingBytes() const override;
        void whenDrained(std::size_t lowBytes, std::function<void()> callback) override;
        void whenCallerLeaves(std::function<void()> callback) override { m_whenLeft = std::move(callback); }

        /// Detaches from a connection that closes.
        void connectionClosed();
        /// Detaches from a connection that has sent the whole answer.
        void answerSent() { m_connection = nullptr; }
        void outputShrank();

    private:
        static void callOnce(std::function<void()>& callback)
        {
            const auto called = std::exchange(callback, nullptr);
            if (called)
                called();
        }

        connection* m_connection;
        std::function<void()> m_whenLeft;
        std::function<void()> m_whenDrained;
        deferred_call m_leave;
        deferred_call m_drain;
        std::size_t m_lowBytes = 0;
        std::optional<std::uint64_t> m_announced; ///< Bytes of the body that are still to be sent.
        bool m_isStarted = false;
        bool m_isEnded = false;
    };

    /// What a connection tells its server.
    class connection_owner {
    public:
        virtual ~connection_owner() = default;
        virtual const http_server_limits& limits() const = 0;
        virtual bool isDraining() const = 0;
        virtual std::size_t connectionCount() const = 0;
        virtual void requestArrived(http_request request, std::shared_ptr<http_answer> answer) = 0;
        /// Takes a connection that is of no more use. It is destroyed later.
        virtual void connectionClosed(bufferevent* channel) = 0;
    };

    /// One caller's connection. evhttp owns the bufferevent. The raw input is moved
    /// out of it as it arrives; evhttp is given one checked head at a time.
    class connection {
    public:
        connection(event_loop& loop, connection_owner& owner, bufferevent* channel);
        ~connection();
        connection(const connection&) = delete;
        connection& operator=(const connection&) = delete;

        /// Continues in evhttp's request callback for the head that was injected.
        void requestParsed(evhttp_request* request);

        /// Refuses the connection before any request.
        void refuse(refusal_kind kind, std::string message);
        /// Closes at once. Not to be called from within an evhttp callback.
        void close();
        bool isIdle() const { return m_phase == phase::reading && !m_inspector.hasBegun(); }

        void sendHead(const http_response_head& head, bool isLengthKnown);
        void sendBody(std::string_view bytes);
        void endAnswer();
        void abortAnswer();
        std::size_t pendingBytes() const { return evbuffer_get_length(bufferevent_get_output(m_channel)); }
        bool hasAnswerBody(int status) const;

    private:
        enum class phase {
            adopting, ///< evhttp has not taken the connection yet.
            reading, ///< Waits for a request or reads it.
            answering, ///< The handler has the request.
            refusing, ///< A refusal is being sent; input is discarded.
            aborting, ///< Closes when the output is empty.
            closed, ///< evhttp has freed the connection.
        };

        static void onInput(evbuffer*, const evbuffer_cb_info* info, void* context);
        static void onOutput(evbuffer*, const evbuffer_cb_info* info, void* context);
        static void onClosed(evhttp_connection*, void* context);
        static void onAnswerSent(evhttp_request*, void* context);

        void proceed();
        void adopt();
        void forgetChannel();
        void read();
        void takeRawInput();
        void progressed(bool wasHead);
        void sendContinue();
        void inject(std::string_view head);
        void dispatch();
        void sendRefusal();
        void closed();
        void answerSent();
        void deadlinePassed();

        event_loop& m_loop;
        connection_owner& m_owner;
        bufferevent* m_channel;
        evhttp_connection* m_evhttp = nullptr;
        evhttp_request* m_request = nullptr;
        evbuffer* m_raw; ///< Input that has not been inspected.
        evbuffer* m_part; ///< Scratch buffer for parts of an answer.
        http_inspector m_inspector;
        std::string m_body;
        std::weak_ptr<connection_answer> m_answer;
        deferred_call m_proceed;
        loop_timer m_deadline;
        phase m_phase = phase::adopting;
        http_violation m_refusal;
        bool m_isInjecting = false;
        bool m_isHead = false;
        bool m_isCloseDelimited = false;
    };

    connection_answer::~connection_answer()
    {
        if (m_connection && !m_isEnded)
            m_connection->abortAnswer();
    }

    void connection_answer::start(const http_response_head& head)
    {
        assert(!m_isStarted && "an answer starts once");
        m_isStarted = true;
        if (!m_connection)
            return;
        const std::optional<std::string_view> length = findHeader(head.headers, "Content-Length");
        if (length && m_connection->hasAnswerBody(head.status))
            m_announced = std::strtoull(std::string(*length).c_str(), nullptr, 10);
        m_connection->sendHead(head, length.has_value());
    }

    void connection_answer::send(std::string_view bytes)
    {
        assert(m_isStarted && "the head goes before the body");
        if (!m_connection || m_isEnded || bytes.empty())
            return;
        if (m_announced && bytes.size() > *m_announced) {
            abort();
            return;
        }
        if (m_announced)
            *m_announced -= bytes.size();
        m_connection->sendBody(bytes);
    }

    void connection_answer::end()
    {
        if (!m_connection || m_isEnded)
            return;
        const bool isShort = m_announced.value_or(0) > 0;
        if (isShort || !m_isStarted) {
            abort();
            return;
        }
        m_isEnded = true;
        m_connection->endAnswer();
    }

    void connection_answer::abort()
    {
        if (!m_connection || m_isEnded)
            return;
        m_isEnded = true;
        m_connection->abortAnswer();
    }

    void connection_answer::reply(const http_response_head& head, std::string_view body)
    {
        http_response_head framed = head;
        std::erase_if(
            framed.headers, [](const http_header& each) { return isSameHeaderName(each.name, "Content-Length"); });
        framed.headers.push_back({ "Content-Length", std::to_string(body.size()) });
        start(framed);
        if (m_announced)
            send(body);
        end();
    }

    void connection_answer::refuse(refusal_kind kind, std::string_view message)
    {
        reply(refusalHead(kind), refusalBody(kind, message));
    }

    std::size_t connection_answer::pendingBytes() const
    {
        return m_connection ? m_connection->pendingBytes() : 0;
    }

    void connection_answer::whenDrained(std::size_t lowBytes, std::function<void()> callback)
    {
        m_lowBytes = lowBytes;
        m_whenDrained = std::move(callback);
        outputShrank();
    }

    void connection_answer::connectionClosed()
    {
        m_connection = nullptr;
        m_whenDrained = nullptr;
        if (!m_isEnded)
            m_leave.schedule();
    }

    void connection_answer::outputShrank()
    {
        if (m_connection && m_whenDrained && m_connection->pendingBytes() <= m_lowBytes)
            m_drain.schedule();
    }

    connection::connection(event_loop& loop, connection_owner& owner, bufferevent* channel)
        : m_loop(loop)
        , m_owner(owner)
        , m_channel(channel)
        , m_raw(evbuffer_new())
        , m_part(evbuffer_new())
        , m_inspector(http_inspector::forRequests({ owner.limits().headBytes, owner.limits().bodyBytes }))
        , m_proceed(loop, [this] { proceed(); })
        , m_deadline(loop, [this] { deadlinePassed(); })
    {
        // evhttp must not read by itself: with this low mark its read callback runs
        // only when a checked head is injected.
        bufferevent_setwatermark(m_channel, EV_READ, SIZE_MAX, readAheadBytes);
        evbuffer_add_cb(bufferevent_get_input(m_channel), onInput, this);
        evbuffer_add_cb(bufferevent_get_output(m_channel), onOutput, this);
        bufferevent_incref(m_channel);
        m_proceed.schedule();
    }

    connection::~connection()
    {
        if (m_phase == phase::adopting) {
            forgetChannel();
            bufferevent_decref(m_channel);
        }
        evbuffer_free(m_raw);
        evbuffer_free(m_part);
    }

    void connection::forgetChannel()
    {
        evbuffer_remove_cb(bufferevent_get_input(m_channel), onInput, this);
        evbuffer_remove_cb(bufferevent_get_output(m_channel), onOutput, this);
        m_phase = phase::closed;
        m_proceed.cancel();
        m_deadline.cancel();
    }

    void connection::onInput(evbuffer*, const evbuffer_cb_info* info, void* context)
    {
        auto* self = static_cast<connection*>(context);
        if (info->n_added == 0 || self->m_isInjecting)
            return;
        if (evbuffer_get_length(self->m_raw) < readAheadBytes)
            self->takeRawInput();
        self->m_proceed.schedule();
    }

    void connection::onOutput(evbuffer*, const evbuffer_cb_info* info, void* context)
    {
        auto* self = static_cast<connection*>(context);
        const bool isEmpty = self->pendingBytes() == 0;
        if (info->n_deleted > 0) {
            if (const auto answer = self->m_answer.lock())
                answer->outputShrank();
            if (isEmpty && self->m_phase == phase::aborting)
                self->m_proceed.schedule();
        }
        if (self->m_phase != phase::answering && self->m_phase != phase::aborting)
            return;
        if (isEmpty)
            self->m_deadline.cancel();
        else if (info->n_deleted > 0 || !self->m_deadline.isArmed())
            self->m_deadline.arm(self->m_owner.limits().writeTimeout);
    }

    void connection::onClosed(evhttp_connection*, void* context)
    {
        static_cast<connection*>(context)->closed();
    }

    void connection::onAnswerSent(evhttp_request*, void* context)
    {
        static_cast<connection*>(context)->answerSent();
    }

    void connection::proceed()
    {
        if (m_phase == phase::adopting)
            adopt();
        else if (m_phase == phase::reading)
            read();
        else if (m_phase == phase::aborting && pendingBytes() == 0)
            close();
    }

    void connection::adopt()
    {
        bufferevent_event_cb onEvent = nullptr;
        void* context = nullptr;
        bufferevent_getcb(m_channel, nullptr, nullptr, &onEvent, &context);
        if (!onEvent) {
            // evhttp could not take the connection and has freed it.
            forgetChannel();
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
        const std::size_t limit = m_owner.limits().connections;
        if (m_owner.connectionCount() > limit + refusedConnections)
            close();
        else if (m_owner.connectionCount() > limit)
            refuse(refusal_kind::tooManyConnections, {});
    }

    void connection::takeRawInput()
    {
        evbuffer_remove_buffer(
            bufferevent_get_input(m_channel), m_raw, evbuffer_get_length(bufferevent_get_input(m_channel)));
    }

    void connection::read()
    {
        takeRawInput();
        while (m_phase == phase::reading && evbuffer_get_length(m_raw) > 0) {
            evbuffer_iovec first {};
            evbuffer_peek(m_raw, -1, nullptr, &first, 1);
            const bool wasHead = m_inspector.progress() == http_progress::head;
            const bool hadBegun = m_inspector.hasBegun();
            const std::string_view bytes(static_cast<const char*>(first.iov_base), first.iov_len);
            evbuffer_drain(m_raw, m_inspector.feed(bytes, m_body));
            if (!hadBegun && m_inspector.hasBegun())
                m_deadline.arm(m_owner.limits().headTimeout);
            progressed(wasHead);
        }
    }

    void connection::progressed(bool wasHead)
    {
        switch (m_inspector.progress()) {
        case http_progress::head:
            return;
        case http_progress::body:
            if (!wasHead)
                return;
            m_deadline.arm(m_owner.limits().bodyTimeout);
            if (m_inspector.expectsContinue())
                sendContinue();
            return;
        case http_progress::complete:
            dispatch();
            return;
        case http_progress::violated:
            refuse(m_inspector.violation().kind, m_inspector.violation().message);
            return;
        }
    }

    void connection::sendContinue()
    {
        // No answer is in progress, so nothing of evhttp's output can be overtaken.
        // If the socket does not take it, the caller sends its body without it.
        if (evbuffer_get_length(m_raw) == 0)
            static_cast<void>(::send(bufferevent_getfd(m_channel), continueResponse.data(), continueResponse.size(),
                MSG_NOSIGNAL | MSG_DONTWAIT));
    }

    void connection::inject(std::string_view head)
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

    void connection::dispatch()
    {
        m_phase = phase::answering;
        m_deadline.cancel();
        inject(m_inspector.head());
    }

    void connection::refuse(refusal_kind kind, std::string message)
    {
        m_phase = phase::refusing;
        m_refusal = { kind, std::move(message) };
        inject(refusedRequest);
    }

    void connection::requestParsed(evhttp_request* request)
    {
        m_request = request;
        evhttp_request_set_on_complete_cb(request, onAnswerSent, this);
        // evhttp stops reading here; read on, to learn when the caller leaves.
        bufferevent_enable(m_channel, EV_READ);
        if (m_phase == phase::refusing) {
            sendRefusal();
            return;
        }
        const std::string& head = m_inspector.head();
        http_request taken;
        taken.method = head.substr(0, head.find(' '));
        taken.target = evhttp_request_get_uri(request);
        taken.body = std::exchange(m_body, {});
        const evkeyvalq* headers = evhttp_request_get_input_headers(request);
        for (const evkeyval* each = headers->tqh_first; each; each = each->next.tqe_next) {
            const bool isFraming
                = isSameHeaderName(each->key, "Connection") || isSameHeaderName(each->key, "Content-Length");
            if (!isFraming)
                taken.headers.push_back({ each->key, each->value });
        }
        m_isHead = taken.method == "HEAD";
        const auto answer = std::make_shared<connection_answer>(m_loop, *this);
        m_answer = answer;
        m_owner.requestArrived(std::move(taken), answer);
    }

    void connection::sendRefusal()
    {
        const std::string body = refusalBody(m_refusal.kind, m_refusal.message);
        http_response_head head = refusalHead(m_refusal.kind);
        head.headers.push_back({ "Content-Length", std::to_string(body.size()) });
        evhttp_add_header(evhttp_request_get_output_headers(m_request), "Connection", "close");
        sendHead(head, true);
        sendBody(body);
        // The answer is ended, and with it the connection, when the caller closes or
        // the time is over: closing while input is unread would reset the connection
        // and could destroy the refusal on its way.
        evbuffer_drain(m_raw, evbuffer_get_length(m_raw));
        m_deadline.arm(m_owner.limits().lingerTimeout);
    }

    bool connection::hasAnswerBody(int status) const
    {
        return !m_isHead && status != HTTP_NOCONTENT && status != HTTP_NOTMODIFIED && status >= 200;
    }

    void connection::sendHead(const http_response_head& head, bool isLengthKnown)
    {
        http_headers headers = head.headers;
        removeHopByHopHeaders(headers);
        evkeyvalq* output = evhttp_request_get_output_headers(m_request);
        for (const http_header& each : headers) {
            const bool isLength = isSameHeaderName(each.name, "Content-Length");
            if (!isLength || hasAnswerBody(head.status) || m_isHead)
                evhttp_add_header(output, each.name.c_str(), each.value.c_str());
        }
        if (m_owner.isDraining() && !evhttp_find_header(output, "Connection"))
            evhttp_add_header(output, "Connection", "close");
        const bool isOldVersion = m_inspector.head().find(" HTTP/1.0\r\n") != std::string::npos;
        m_isCloseDelimited = isOldVersion && !isLengthKnown && hasAnswerBody(head.status);
        evhttp_send_reply_start(m_request, head.status, nullptr);
    }

    void connection::sendBody(std::string_view bytes)
    {
        evbuffer_add(m_part, bytes.data(), bytes.size());
        evhttp_send_reply_chunk(m_request, m_part);
        // evhttp leaves the bytes where the answer has no body.
        evbuffer_drain(m_part, evbuffer_get_length(m_part));
    }

    void connection::endAnswer()
    {
        evhttp_send_reply_end(m_request);
    }

    void connection::abortAnswer()
    {
        if (m_phase != phase::answering)
            return;
        m_phase = phase::aborting;
        // Without a length or chunks, only a reset shows the caller that the answer is cut short.
        if (m_isCloseDelimited)
            setResetOnClose(bufferevent_getfd(m_channel));
        m_proceed.schedule();
    }

    void connection::close()
    {
        evhttp_connection_free(m_evhttp);
    }

    void connection::closed()
    {
        forgetChannel();
        if (m_request) {
            evhttp_request_set_on_complete_cb(m_request, nullptr, nullptr);
            // evhttp leaves a request whose answer has not ended to its user.
            if (!evhttp_request_get_connection(m_request))
                evhttp_send_reply_end(m_request);
        }
        m_request = nullptr;
        if (const auto answer = m_answer.lock())
            answer->connectionClosed();
        m_owner.connectionClosed(m_channel);
    }

    void connection::answerSent()
    {
        if (const auto answer = m_answer.lock())
            answer->answerSent();
        m_answer.reset();
        m_request = nullptr;
        m_phase = phase::reading;
        m_inspector.reset();
        takeRawInput();
        m_deadline.arm(m_owner.limits().idleTimeout);
        m_proceed.schedule();
    }

    void connection::deadlinePassed()
    {
        if (m_phase == phase::reading && m_inspector.hasBegun()) {
            refuse(refusal_kind::requestTimeout, {});
            return;
        }
        close();
    }

}

class http_server::implementation final : public connection_owner {
public:
    implementation(event_loop& loop, http_server_limits limits, http_handler handler)
        : m_loop(loop)
        , m_limits(limits)
        , m_handler(std::move(handler))
        , m_http(evhttp_new(loop.base()))
        , m_destroyClosed(loop, [this] { m_closed.clear(); })
        , m_acceptAgain(loop, [this] { acceptAgain(); })
    {
        evhttp_set_bevcb(m_http, onConnection, this);
        evhttp_set_gencb(m_http, onRequest, this);
        evhttp_set_default_content_type(m_http, nullptr);
        evhttp_set_allowed_methods(m_http,
            EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS
                | EVHTTP_REQ_PATCH);
    }
    ~implementation() override { evhttp_free(m_http); }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    result<endpoint> listen(const endpoint& location);
    void drain();
    void acceptAgain();
    std::size_t connectionCount() const override { return m_connections.size(); }
    const http_server_limits& limits() const override { return m_limits; }
    bool isDraining() const override { return m_isDraining; }
    void requestArrived(http_request request, std::shared_ptr<http_answer> answer) override
    {
        m_handler(std::move(request), std::move(answer));
    }
    void connectionClosed(bufferevent* channel) override;

private:
    static bufferevent* onConnection(event_base* base, void* context);
    static void onRequest(evhttp_request* request, void* context);

    static void onAcceptFailed(evconnlistener* listener, void* context);

    event_loop& m_loop;
    http_server_limits m_limits;
    http_handler m_handler;
    evhttp* m_http;
    std::vector<evhttp_bound_socket*> m_sockets;
    std::map<bufferevent*, std::unique_ptr<connection>> m_connections;
    std::vector<std::unique_ptr<connection>> m_closed; ///< Kept until no callback of theirs can be on the stack.
    deferred_call m_destroyClosed;
    loop_timer m_acceptAgain;
    bool m_isDraining = false;
};

result<endpoint> http_server::implementation::listen(const endpoint& location)
{
    const auto failure = [&location] {
        return makeError(error_kind::unavailable,
            "cannot listen on " + location.address + " port " + std::to_string(location.port)
                + "; choose a free address of this VM");
    };
    sockaddr_storage address {};
    if (!toSocketAddress(location, address))
        return failure();
    const unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
    evconnlistener* listener = evconnlistener_new_bind(m_loop.base(), nullptr, nullptr, flags, listenBacklog,
        reinterpret_cast<sockaddr*>(&address), sizeof address);
    if (!listener)
        return failure();
    evhttp_bound_socket* bound = evhttp_bind_listener(m_http, listener);
    if (!bound) {
        evconnlistener_free(listener);
        return failure();
    }
    evconnlistener_set_error_cb(listener, onAcceptFailed);
    m_sockets.push_back(bound);
    return endpoint { location.address, localPort(evhttp_bound_socket_get_fd(bound)) };
}

void http_server::implementation::drain()
{
    m_isDraining = true;
    m_acceptAgain.cancel();
    for (evhttp_bound_socket* each : std::exchange(m_sockets, {}))
        evhttp_del_accept_socket(m_http, each);
    std::vector<connection*> idle;
    for (const auto& [channel, each] : m_connections) {
        if (each->isIdle())
            idle.push_back(each.get());
    }
    for (connection* each : idle)
        each->close();
}

void http_server::implementation::connectionClosed(bufferevent* channel)
{
    const auto found = m_connections.find(channel);
    m_closed.push_back(std::move(found->second));
    m_connections.erase(found);
    m_destroyClosed.schedule();
}

bufferevent* http_server::implementation::onConnection(event_base* base, void* context)
{
    auto* self = static_cast<implementation*>(context);
    bufferevent* channel = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    if (channel)
        self->m_connections.emplace(channel, std::make_unique<connection>(self->m_loop, *self, channel));
    return channel;
}

void http_server::implementation::onRequest(evhttp_request* request, void* context)
{
    auto* self = static_cast<implementation*>(context);
    bufferevent* channel = evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
    self->m_connections.at(channel)->requestParsed(request);
}

void http_server::implementation::onAcceptFailed(evconnlistener*, void* context)
{
    // Without file descriptors the listener would report the same failure at once.
    auto* self = static_cast<implementation*>(context);
    for (evhttp_bound_socket* each : self->m_sockets)
        evconnlistener_disable(evhttp_bound_socket_get_listener(each));
    self->m_acceptAgain.arm(acceptRetryDelay);
}

void http_server::implementation::acceptAgain()
{
    for (evhttp_bound_socket* each : m_sockets)
        evconnlistener_enable(evhttp_bound_socket_get_listener(each));
}

http_server::http_server(event_loop& loop, http_server_limits limits, http_handler handler)
    : m_implementation(std::make_unique<implementation>(loop, limits, std::move(handler)))
{
}

http_server::~http_server() = default;

result<endpoint> http_server::listen(const endpoint& location)
{
    return m_implementation->listen(location);
}

void http_server::drain()
{
    m_implementation->drain();
}

std::size_t http_server::connectionCount() const
{
    return m_implementation->connectionCount();
}

}
