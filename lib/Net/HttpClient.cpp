#include "pimentoladder/Net/HttpClient.h"

#include <array>
#include <cstdint>
#include <cstdio>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "HttpSockets.h"
#include "pimentoladder/Net/EventLoop.h"
#include "pimentoladder/Net/HttpInspector.h"

namespace pimentoladder {

namespace {

    // Input that evhttp has not taken, while it still writes a request.
    constexpr std::size_t unreadBytes = 128 * 1024;
    // The client's own timers apply; evhttp's may not fire before them.
    constexpr int noTimeoutSeconds = 24 * 60 * 60;

    class client_connection;

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

    std::string hostOf(const endpoint& server)
    {
        const bool isV6 = server.address.find(':') != std::string::npos;
        const std::string address = isV6 ? "[" + server.address + "]" : server.address;
        return address + ":" + std::to_string(server.port);
    }

    /// What an attempt's owner, its connection and the client share.
    struct attempt_state {
        http_client_request request;
        std::shared_ptr<http_client_callbacks> callbacks;
        client_connection* connection = nullptr;
        std::unique_ptr<deferred_call> start;
        bool isEnded = false;
        bool mayHaveBeenSent = false;
    };

    /// What a connection tells its client.
    class connection_pool {
    public:
        virtual ~connection_pool() = default;
        virtual const http_client_limits& limits() const = 0;
        /// Keeps the connection for later use, or discards it.
        virtual void keep(client_connection& unused) = 0;
        /// Destroys the connection. Not to be called from within an evhttp callback.
        virtual void discard(client_connection& dead) = 0;
    };

    /// One connection to a backend server, in use by at most one attempt. The raw
    /// input is checked and written anew, chunk by chunk, before evhttp reads it.
    class client_connection {
    public:
        client_connection(event_loop& loop, connection_pool& pool, endpoint server);
        ~client_connection();
        client_connection(const client_connection&) = delete;
        client_connection& operator=(const client_connection&) = delete;

        const endpoint& server() const { return m_server; }
        bool isUsable() const { return !m_isClosed && !m_isEnding && !isUnusable(bufferevent_getfd(m_channel)); }

        void begin(std::shared_ptr<attempt_state> attempt);
        void pause();
        void resume();
        void cancel();
        /// Starts the time after which the unused connection is closed.
        void becomeIdle();

    private:
        static void onInput(evbuffer*, const evbuffer_cb_info* info, void* context);
        static void onOutput(evbuffer*, const evbuffer_cb_info* info, void* context);
        static int onHead(evhttp_request* request, void* context);
        static void onBody(evhttp_request* request, void* context);
        static void onDone(evhttp_request* request, void* context);
        static void onClosed(evhttp_connection*, void* context);

        void inputArrived(std::size_t added);
        std::string checkedInput(std::string_view raw);
        void outputChanged(const evbuffer_cb_info& info);
        bool askMaySend();
        void dropOutput();
        void headArrived(evhttp_request* request);
        void bodyArrived(evhttp_request* request);
        evhttp_request* makeRequest();
        void end(attempt_end_kind kind);
        attempt_end_kind brokenKind() const;
        void finish();
        void deadlinePassed();

        connection_pool& m_pool;
        endpoint m_server;
        bufferevent* m_channel;
        evhttp_connection* m_evhttp;
        http_inspector m_inspector;
        std::string m_body; ///< Scratch buffer.
        std::shared_ptr<attempt_state> m_attempt;
        attempt_end_kind m_endKind = attempt_end_kind::notSent;
        deferred_call m_finish;
        loop_timer m_deadline;
        bool m_isAsked = false; ///< Whether bytes may be sent has been asked for this attempt.
        bool m_isDenied = false;
        bool m_hasDeliveredHead = false;
        bool m_isEnding = false;
        bool m_isPaused = false;
        bool m_isClosed = false;
        bool m_hasSurplus = false; ///< Bytes arrived that belong to no answer.
        bool m_isRewriting = false;
    };

    client_connection::client_connection(event_loop& loop, connection_pool& pool, endpoint server)
        : m_pool(pool)
        , m_server(std::move(server))
        , m_channel(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
        , m_evhttp(evhttp_connection_base_bufferevent_new(
              loop.base(), nullptr, m_channel, m_server.address.c_str(), m_server.port))
        , m_inspector(http_inspector::forResponses({ pool.limits().headBytes, std::numeric_limits<std::uint64_t>::max() }))
        , m_finish(loop, [this] { finish(); })
        , m_deadline(loop, [this] { deadlinePassed(); })
    {
        bufferevent_setwatermark(m_channel, EV_READ, 1, unreadBytes);
        evbuffer_add_cb(bufferevent_get_input(m_channel), onInput, this);
        evbuffer_add_cb(bufferevent_get_output(m_channel), onOutput, this);
        evhttp_connection_set_timeout(m_evhttp, noTimeoutSeconds);
        evhttp_connection_set_retries(m_evhttp, 0);
        evhttp_connection_set_closecb(m_evhttp, onClosed, this);
    }

    client_connection::~client_connection()
    {
        evbuffer_remove_cb(bufferevent_get_input(m_channel), onInput, this);
        evbuffer_remove_cb(bufferevent_get_output(m_channel), onOutput, this);
        evhttp_connection_set_closecb(m_evhttp, nullptr, nullptr);
        evhttp_connection_free(m_evhttp);
        if (m_attempt)
            m_attempt->connection = nullptr;
    }

    void client_connection::begin(std::shared_ptr<attempt_state> attempt)
    {
        m_attempt = std::move(attempt);
        m_attempt->connection = this;
        m_isAsked = false;
        m_hasDeliveredHead = false;
        m_inspector.reset(m_attempt->request.method);
        m_deadline.arm(m_pool.limits().connectTimeout);
        evhttp_request* request = makeRequest();
        const method_name* method = findMethod(m_attempt->request.method);
        if (evhttp_make_request(m_evhttp, request, method->command, m_attempt->request.target.c_str()) != 0)
            end(attempt_end_kind::notSent);
    }

    evhttp_request* client_connection::makeRequest()
    {
        evhttp_request* request = evhttp_request_new(onDone, this);
        evhttp_request_set_header_cb(request, onHead);
        evhttp_request_set_chunked_cb(request, onBody);
        evkeyvalq* headers = evhttp_request_get_output_headers(request);
        const http_client_request& wanted = m_attempt->request;
        evhttp_add_header(headers, "Host", hostOf(m_server).c_str());
        http_headers kept = wanted.headers;
        removeHopByHopHeaders(kept);
        for (const http_header& each : kept) {
            const bool isOwn = isSameHeaderName(each.name, "Host") || isSameHeaderName(each.name, "Content-Length");
            if (!isOwn)
                evhttp_add_header(headers, each.name.c_str(), each.value.c_str());
        }
        if (!wanted.body.empty() || findMethod(wanted.method)->hasBody)
            evhttp_add_header(headers, "Content-Length", std::to_string(wanted.body.size()).c_str());
        evbuffer_add(evhttp_request_get_output_buffer(request), wanted.body.data(), wanted.body.size());
        return request;
    }

    void client_connection::onInput(evbuffer*, const evbuffer_cb_info* info, void* context)
    {
        auto* self = static_cast<client_connection*>(context);
        if (info->n_added > 0 && !self->m_isRewriting)
            self->inputArrived(info->n_added);
    }

    void client_connection::inputArrived(std::size_t added)
    {
        evbuffer* input = bufferevent_get_input(m_channel);
        const std::size_t earlier = evbuffer_get_length(input) - added;
        std::string raw(earlier + added, '\0');
        m_isRewriting = true;
        evbuffer_remove(input, raw.data(), raw.size());
        const std::string checked = checkedInput(std::string_view(raw).substr(earlier));
        evbuffer_add(input, raw.data(), earlier);
        evbuffer_add(input, checked.data(), checked.size());
        m_isRewriting = false;
    }

    std::string client_connection::checkedInput(std::string_view raw)
    {
        const bool isExpected = m_attempt && m_attempt->mayHaveBeenSent && !m_isEnding;
        if (!isExpected) {
            m_hasSurplus = true;
            end(attempt_end_kind::malformed);
            return {};
        }
        if (!m_isPaused)
            m_deadline.arm(m_pool.limits().idleTimeout);
        const bool wasHead = m_inspector.progress() == http_progress::head;
        m_body.clear();
        const std::size_t consumed = m_inspector.feed(raw, m_body);
        if (m_inspector.progress() == http_progress::violated) {
            end(attempt_end_kind::malformed);
            return {};
        }
        m_hasSurplus = m_hasSurplus || consumed < raw.size();
        std::string checked;
        if (wasHead && m_inspector.progress() != http_progress::head)
            checked = m_inspector.head();
        if (m_inspector.framing() != http_framing::chunked)
            return checked + m_body;
        // evhttp delivers a chunk only when it is whole, so that a large chunk would
        // be held in memory; it is given each part as a chunk of its own.
        if (!m_body.empty()) {
            std::array<char, 20> size {};
            std::snprintf(size.data(), size.size(), "%zx\r\n", m_body.size());
            checked += size.data() + m_body + "\r\n";
        }
        if (m_inspector.progress() == http_progress::complete)
            checked += "0\r\n\r\n";
        return checked;
    }

    void client_connection::onOutput(evbuffer*, const evbuffer_cb_info* info, void* context)
    {
        static_cast<client_connection*>(context)->outputChanged(*info);
    }

    void client_connection::outputChanged(const evbuffer_cb_info& info)
    {
        if (!m_attempt || m_isRewriting)
            return;
        if (info.n_added > 0 && !m_isAsked)
            m_isDenied = !askMaySend();
        if (m_isDenied) {
            dropOutput();
            end(attempt_end_kind::notSent);
            return;
        }
        if (info.n_deleted == 0)
            return;
        m_attempt->mayHaveBeenSent = true;
        if (m_inspector.progress() == http_progress::head && !m_isEnding)
            m_deadline.arm(m_pool.limits().firstByteTimeout);
    }

    bool client_connection::askMaySend()
    {
        m_isAsked = true;
        setNoDelay(bufferevent_getfd(m_channel));
        m_deadline.arm(m_pool.limits().firstByteTimeout);
        const auto callbacks = m_attempt->callbacks;
        const bool isAllowed = !callbacks->maySend || callbacks->maySend();
        return isAllowed && !m_isEnding;
    }

    /// Takes the request back before libevent writes it to the socket.
    void client_connection::dropOutput()
    {
        evbuffer* output = bufferevent_get_output(m_channel);
        m_isRewriting = true;
        evbuffer_unfreeze(output, 1);
        evbuffer_drain(output, evbuffer_get_length(output));
        evbuffer_freeze(output, 1);
        m_isRewriting = false;
    }

    int client_connection::onHead(evhttp_request* request, void* context)
    {
        static_cast<client_connection*>(context)->headArrived(request);
        return 0;
    }

    void client_connection::headArrived(evhttp_request* request)
    {
        if (m_isEnding || !m_attempt)
            return;
        http_response_head head;
        head.status = evhttp_request_get_response_code(request);
        const evkeyvalq* headers = evhttp_request_get_input_headers(request);
        for (const evkeyval* each = headers->tqh_first; each; each = each->next.tqe_next)
            head.headers.push_back({ each->key, each->value });
        removeHopByHopHeaders(head.headers);
        m_hasDeliveredHead = true;
        const auto callbacks = m_attempt->callbacks;
        if (callbacks->onHead)
            callbacks->onHead(head);
    }

    void client_connection::onBody(evhttp_request* request, void* context)
    {
        static_cast<client_connection*>(context)->bodyArrived(request);
    }

    void client_connection::bodyArrived(evhttp_request* request)
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

    void client_connection::onDone(evhttp_request* request, void* context)
    {
        auto* self = static_cast<client_connection*>(context);
        const bool isWhole = request && evhttp_request_get_response_code(request) != 0;
        if (isWhole)
            self->m_inspector.feedEnd();
        const bool isComplete = isWhole && self->m_inspector.progress() == http_progress::complete;
        self->end(isComplete ? attempt_end_kind::complete : self->brokenKind());
    }

    void client_connection::onClosed(evhttp_connection*, void* context)
    {
        auto* self = static_cast<client_connection*>(context);
        self->m_isClosed = true;
        if (!self->m_attempt)
            self->m_finish.schedule();
    }

    /// Ends the attempt. Its owner is told when evhttp's callbacks have returned.
    void client_connection::end(attempt_end_kind kind)
    {
        if (m_isEnding)
            return;
        m_isEnding = true;
        m_endKind = kind;
        m_deadline.cancel();
        m_finish.schedule();
    }

    attempt_end_kind client_connection::brokenKind() const
    {
        return m_hasDeliveredHead ? attempt_end_kind::truncated : attempt_end_kind::resetAfterSent;
    }

    void client_connection::finish()
    {
        const std::shared_ptr<attempt_state> attempt = std::exchange(m_attempt, nullptr);
        const bool isComplete = m_endKind == attempt_end_kind::complete;
        const bool isReusable = attempt && isComplete && !m_isClosed && !m_hasSurplus && m_inspector.isPersistent();
        attempt_end ended { m_endKind, attempt && attempt->mayHaveBeenSent };
        if (attempt) {
            attempt->connection = nullptr;
            if (!ended.mayHaveBeenSent)
                ended.kind = attempt_end_kind::notSent;
        }
        m_isEnding = false;
        if (isReusable)
            m_pool.keep(*this);
        else
            m_pool.discard(*this);
        // The connection may be gone from here on.
        if (!attempt || attempt->isEnded)
            return;
        attempt->isEnded = true;
        if (attempt->callbacks->onEnd)
            attempt->callbacks->onEnd(ended);
    }

    void client_connection::deadlinePassed()
    {
        end(attempt_end_kind::timeout);
    }

    void client_connection::pause()
    {
        m_isPaused = true;
        bufferevent_disable(m_channel, EV_READ);
        if (m_inspector.progress() == http_progress::body)
            m_deadline.cancel();
    }

    void client_connection::resume()
    {
        if (!m_isPaused || m_isEnding)
            return;
        m_isPaused = false;
        bufferevent_enable(m_channel, EV_READ);
        if (m_inspector.progress() == http_progress::body)
            m_deadline.arm(m_pool.limits().idleTimeout);
    }

    void client_connection::cancel()
    {
        m_attempt->isEnded = true;
        m_isEnding = true;
        m_endKind = attempt_end_kind::resetAfterSent;
        m_deadline.cancel();
        m_finish.schedule();
    }

    void client_connection::becomeIdle()
    {
        m_isPaused = false;
        m_deadline.arm(m_pool.limits().keepAliveTimeout);
    }

    class client_attempt final : public http_client_attempt {
    public:
        explicit client_attempt(std::shared_ptr<attempt_state> state)
            : m_state(std::move(state))
        {
        }
        ~client_attempt() override { endNow(); }
        client_attempt(const client_attempt&) = delete;
        client_attempt& operator=(const client_attempt&) = delete;

        void pause() override
        {
            if (m_state->connection)
                m_state->connection->pause();
        }
        void resume() override
        {
            if (m_state->connection)
                m_state->connection->resume();
        }
        void cancel() override { endNow(); }
        bool mayHaveBeenSent() const override { return m_state->mayHaveBeenSent; }

    private:
        void endNow()
        {
            if (std::exchange(m_state->isEnded, true))
                return;
            m_state->start->cancel();
            if (m_state->connection)
                m_state->connection->cancel();
        }

        std::shared_ptr<attempt_state> m_state;
    };

}

class http_client::implementation final : public connection_pool,
                                          public std::enable_shared_from_this<implementation> {
public:
    implementation(event_loop& loop, http_client_limits limits)
        : m_loop(loop)
        , m_limits(limits)
    {
    }

    std::unique_ptr<http_client_attempt> send(http_client_request request, http_client_callbacks callbacks);
    std::size_t idleConnectionCount() const;

    const http_client_limits& limits() const override { return m_limits; }
    void keep(client_connection& unused) override;
    void discard(client_connection& dead) override;

private:
    void start(const std::shared_ptr<attempt_state>& attempt);
    client_connection* takeIdle(const endpoint& server);

    event_loop& m_loop;
    http_client_limits m_limits;
    std::map<client_connection*, std::unique_ptr<client_connection>> m_connections;
    std::map<endpoint, std::vector<client_connection*>> m_idle;
};

std::unique_ptr<http_client_attempt> http_client::implementation::send(
    http_client_request request, http_client_callbacks callbacks)
{
    const auto attempt = std::make_shared<attempt_state>();
    attempt->request = std::move(request);
    attempt->callbacks = std::make_shared<http_client_callbacks>(std::move(callbacks));
    const std::weak_ptr<attempt_state> weakAttempt = attempt;
    const std::weak_ptr<implementation> weakSelf = weak_from_this();
    attempt->start = std::make_unique<deferred_call>(m_loop, [weakSelf, weakAttempt] {
        const auto self = weakSelf.lock();
        const auto started = weakAttempt.lock();
        if (self && started)
            self->start(started);
    });
    attempt->start->schedule();
    return std::make_unique<client_attempt>(attempt);
}

void http_client::implementation::start(const std::shared_ptr<attempt_state>& attempt)
{
    if (!findMethod(attempt->request.method)) {
        attempt->isEnded = true;
        attempt->callbacks->onEnd({ attempt_end_kind::notSent, false });
        return;
    }
    const endpoint& server = attempt->request.server;
    client_connection* connection = attempt->request.mayReuseConnection ? takeIdle(server) : nullptr;
    if (!connection) {
        auto opened = std::make_unique<client_connection>(m_loop, *this, server);
        connection = opened.get();
        m_connections.emplace(connection, std::move(opened));
    }
    connection->begin(attempt);
}

client_connection* http_client::implementation::takeIdle(const endpoint& server)
{
    for (;;) {
        const auto found = m_idle.find(server);
        if (found == m_idle.end())
            return nullptr;
        client_connection* candidate = found->second.back();
        if (!candidate->isUsable()) {
            discard(*candidate);
            continue;
        }
        found->second.pop_back();
        if (found->second.empty())
            m_idle.erase(found);
        return candidate;
    }
}

void http_client::implementation::keep(client_connection& unused)
{
    std::vector<client_connection*>& idle = m_idle[unused.server()];
    if (idle.size() >= m_limits.idleConnectionsPerEndpoint) {
        discard(unused);
        return;
    }
    idle.push_back(&unused);
    unused.becomeIdle();
}

void http_client::implementation::discard(client_connection& dead)
{
    const auto found = m_idle.find(dead.server());
    if (found != m_idle.end()) {
        std::erase(found->second, &dead);
        if (found->second.empty())
            m_idle.erase(found);
    }
    m_connections.erase(&dead);
}

std::size_t http_client::implementation::idleConnectionCount() const
{
    std::size_t count = 0;
    for (const auto& [server, connections] : m_idle)
        count += connections.size();
    return count;
}

http_client::http_client(event_loop& loop, http_client_limits limits)
    : m_implementation(std::make_shared<implementation>(loop, limits))
{
}

http_client::~http_client() = default;

std::unique_ptr<http_client_attempt> http_client::send(http_client_request request, http_client_callbacks callbacks)
{
    return m_implementation->send(std::move(request), std::move(callbacks));
}

std::size_t http_client::idleConnectionCount() const
{
    return m_implementation->idleConnectionCount();
}

}
