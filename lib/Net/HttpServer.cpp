#include "pimentoladder/Net/HttpServer.h"

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <sys/socket.h>

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>

#include "HttpServerConnection.h"
#include "HttpSockets.h"
#include "pimentoladder/Net/EventLoop.h"

namespace pimentoladder {

namespace {

    constexpr int listenBacklog = 1024;
    // What the kernel may hold of the input of a connection. It counts as memory of the process. A
    // round trip of 3 ms leaves 20 MB a second.
    constexpr int receiveBufferBytes = 64 * 1024;
    // Bounds of the time for new requests in one iteration of the loop. Between them it is the
    // time that everything else has taken.
    constexpr duration minReadTime = std::chrono::milliseconds(5);
    constexpr duration maxReadTime = std::chrono::milliseconds(50);
    constexpr duration acceptRetryDelay = std::chrono::milliseconds(100);
    // Interval at which a drain checks whether all waiting connections have been accepted.
    constexpr duration stopListeningInterval = std::chrono::milliseconds(1);

}

std::string_view serverCloseReasonName(server_close_reason reason)
{
    switch (reason) {
    case server_close_reason::idleTimeout:
        return "idle_timeout";
    case server_close_reason::writeTimeout:
        return "write_timeout";
    case server_close_reason::lingerTimeout:
        return "linger_timeout";
    case server_close_reason::drain:
        return "drain";
    case server_close_reason::connectionLimit:
        return "connection_limit";
    case server_close_reason::abortedResponse:
        return "aborted_response";
    case server_close_reason::refusedEarly:
        return "refused_early";
    case server_close_reason::memory:
        return "memory";
    }
    return "unknown";
}

std::string_view memoryMeasureName(memory_measure measure)
{
    switch (measure) {
    case memory_measure::refused:
        return "refused";
    case memory_measure::gaveWay:
        return "gave_way";
    case memory_measure::discardedInput:
        return "discarded_input";
    }
    return "unknown";
}

class http_server::implementation final : public http_server_connection_owner {
public:
    implementation(event_loop& loop, http_server_limits limits, http_request_handler handler, std::shared_ptr<memory_account> memory)
        : m_loop(loop)
        , m_limits(limits)
        , m_handler(std::move(handler))
        , m_memory(memory ? std::move(memory) : std::make_shared<memory_account>(memory_limits {}))
        , m_http(evhttp_new(loop.base()))
        , m_destroyClosed(loop, [this] { m_closed.clear(); })
        , m_readSoon(loop, [this] { readQueued(); })
        , m_readNext(loop, [this] { readQueued(); })
        , m_acceptAgain(loop, [this] { acceptAgain(); })
        , m_stopListening(loop, [this] { stopListening(); })
    {
        evhttp_set_bevcb(m_http, onConnection, this);
        evhttp_set_gencb(m_http, onRequest, this);
        evhttp_set_default_content_type(m_http, nullptr);
        evhttp_set_allowed_methods(m_http,
            EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS
                | EVHTTP_REQ_PATCH);
    }
    ~implementation() override
    {
        std::erase_if(listenerOwners(), [this](const auto& each) { return each.second == this; });
        evhttp_free(m_http);
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    result<endpoint> listen(const endpoint& location);
    void setLimits(const http_server_limits& limits) { m_limits = limits; }
    void drain();
    void acceptAgain();
    void stopListening();
    std::size_t connectionCount() const override { return m_connections.size(); }
    const http_server_limits& limits() const override { return m_limits; }
    bool isDraining() const override { return m_isDraining; }
    bool keepsConnections() const override { return m_isKeepAlive && !m_isDraining; }
    void setKeepAlive(bool isKept) { m_isKeepAlive = isKept; }
    void setCloseObserver(std::function<void(const server_close&)> observer) { m_closeObserver = std::move(observer); }
    void setEarlyCheck(http_early_check check) { m_earlyCheck = std::move(check); }
    void setMemoryObserver(std::function<void(const memory_event&)> observer) { m_memoryObserver = std::move(observer); }
    const std::shared_ptr<memory_account>& memory() const override { return m_memory; }
    bool makeRoom(caller_number asking) override;
    void memoryMeasureTaken(const memory_event& taken) override
    {
        if (m_memoryObserver)
            m_memoryObserver(taken);
    }
    std::string_view earlyAnswer(const http_headers& headers, bool closes) override { return m_earlyCheck ? m_earlyCheck(headers, closes) : std::string_view(); }
    void connectionClosing(const server_close& closing) override
    {
        if (m_closeObserver)
            m_closeObserver(closing);
    }
    void requestArrived(http_request request, std::shared_ptr<http_response_writer> answer) override
    {
        m_handler(std::move(request), std::move(answer));
    }
    void pendingBytesChanged(std::size_t before, std::size_t after) override
    {
        m_pendingBytes = m_pendingBytes - before + after;
        m_memory->count(memory_holder::answers, before, after);
    }
    std::size_t pendingBytes() const override { return m_pendingBytes; }
    void bytesMoved(std::size_t received, std::size_t sent) override
    {
        m_traffic.received += received;
        m_traffic.sent += sent;
    }
    const byte_counts& traffic() const { return m_traffic; }
    void connectionClosed(bufferevent* channel) override;
    void enqueueRead(http_server_connection& readable) override;
    void dequeueRead(http_server_connection& readable) override;
    duration readDelay() const { return m_readQueue.empty() ? duration::zero() : m_loop.now() - m_readQueue.front().since; }

private:
    /// A connection with input that has not been parsed.
    struct queued_read {
        http_server_connection* connection;
        time_point since;
    };

    void readQueued();

    static bufferevent* onConnection(event_base* base, void* context);
    static void onRequest(evhttp_request* request, void* context);

    static void onAcceptFailed(evconnlistener* listener, void* context);

    /// evhttp occupies the context pointer of a listener's callbacks, so the server
    /// is looked up by its listener.
    static std::map<evconnlistener*, implementation*>& listenerOwners();

    event_loop& m_loop;
    http_server_limits m_limits;
    http_request_handler m_handler;
    http_early_check m_earlyCheck;
    std::function<void(const server_close&)> m_closeObserver;
    std::function<void(const memory_event&)> m_memoryObserver;
    std::shared_ptr<memory_account> m_memory;
    evhttp* m_http;
    std::vector<evhttp_bound_socket*> m_sockets;
    std::map<bufferevent*, std::unique_ptr<http_server_connection>> m_connections;
    std::unordered_map<std::uint64_t, http_server_connection*> m_callers; ///< Open connections by `caller_number`.
    std::uint64_t m_lastCaller = 0;
    std::vector<std::unique_ptr<http_server_connection>> m_closed; ///< Destroyed once none of their callbacks can be on the stack.
    deferred_call m_destroyClosed;
    std::deque<queued_read> m_readQueue;
    deferred_call m_readSoon; ///< Reads in this iteration of the loop.
    loop_timer m_readNext; ///< Reads in the next iteration, after its input and output.
    time_point m_readEndedAt; ///< When the last part of the queue had been read.
    loop_timer m_acceptAgain;
    loop_timer m_stopListening;
    bool m_isDraining = false;
    std::size_t m_pendingBytes = 0; ///< Of all connections' output.
    bool m_isKeepAlive = true;
    byte_counts m_traffic;
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
    limitReceiveBuffer(evconnlistener_get_fd(listener), receiveBufferBytes);
    evconnlistener_set_error_cb(listener, onAcceptFailed);
    listenerOwners()[listener] = this;
    m_sockets.push_back(bound);
    return endpoint { location.address, localPort(evhttp_bound_socket_get_fd(bound)) };
}

void http_server::implementation::drain()
{
    m_isDraining = true;
    m_stopListening.arm(duration::zero());
    // Closed connections leave the map while it is walked.
    std::vector<http_server_connection*> open;
    for (const auto& [channel, each] : m_connections)
        open.push_back(each.get());
    for (http_server_connection* each : open)
        each->closeIfIdle();
}

void http_server::implementation::stopListening()
{
    // Closing a listener resets the connections that wait in its queue.
    const bool isWaiting = std::any_of(m_sockets.begin(), m_sockets.end(), [](evhttp_bound_socket* each) { return hasWaitingConnection(evhttp_bound_socket_get_fd(each)); });
    const bool canAccept = !m_acceptAgain.isArmed();
    if (isWaiting && canAccept) {
        m_stopListening.arm(stopListeningInterval);
        return;
    }
    m_acceptAgain.cancel();
    for (evhttp_bound_socket* each : std::exchange(m_sockets, {})) {
        listenerOwners().erase(evhttp_bound_socket_get_listener(each));
        evhttp_del_accept_socket(m_http, each);
    }
}

void http_server::implementation::connectionClosed(bufferevent* channel)
{
    const auto found = m_connections.find(channel);
    m_callers.erase(found->second->number().value());
    m_closed.push_back(std::move(found->second));
    m_connections.erase(found);
    m_destroyClosed.schedule();
}

void http_server::implementation::enqueueRead(http_server_connection& readable)
{
    m_readQueue.push_back({ &readable, m_loop.now() });
    if (!m_readNext.isArmed())
        m_readSoon.schedule();
}

void http_server::implementation::dequeueRead(http_server_connection& readable)
{
    std::erase_if(m_readQueue, [&](const queued_read& each) { return each.connection == &readable; });
}

bool http_server::implementation::makeRoom(caller_number asking)
{
    const auto stalled = m_memory->findStalled(m_loop.now(), asking);
    const auto found = stalled ? m_callers.find(stalled->value()) : m_callers.end();
    return found != m_callers.end() && found->second->giveWay();
}

void http_server::implementation::readQueued()
{
    const time_point begin = m_loop.now();
    const duration limit = std::clamp(begin - m_readEndedAt, minReadTime, maxReadTime);
    time_point now = begin;
    while (!m_readQueue.empty() && now - begin < limit) {
        http_server_connection* next = m_readQueue.front().connection;
        m_readQueue.pop_front();
        next->readQueued();
        now = m_loop.now();
    }
    m_readEndedAt = now;
    if (!m_readQueue.empty())
        m_readNext.arm(duration::zero());
}

bufferevent* http_server::implementation::onConnection(event_base* base, void* context)
{
    auto* self = static_cast<implementation*>(context);
    bufferevent* channel = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    if (!channel)
        return channel;
    const caller_number number(++self->m_lastCaller);
    auto opened = std::make_unique<http_server_connection>(self->m_loop, *self, channel, number);
    self->m_callers.emplace(number.value(), opened.get());
    self->m_connections.emplace(channel, std::move(opened));
    return channel;
}

void http_server::implementation::onRequest(evhttp_request* request, void* context)
{
    auto* self = static_cast<implementation*>(context);
    bufferevent* channel = evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
    self->m_connections.at(channel)->requestParsed(request);
}

std::map<evconnlistener*, http_server::implementation*>& http_server::implementation::listenerOwners()
{
    static std::map<evconnlistener*, implementation*> owners;
    return owners;
}

void http_server::implementation::onAcceptFailed(evconnlistener* listener, void*)
{
    const auto owner = listenerOwners().find(listener);
    if (owner == listenerOwners().end())
        return;
    // While no file descriptor is free, the listener would fail again immediately.
    auto* self = owner->second;
    for (evhttp_bound_socket* each : self->m_sockets)
        evconnlistener_disable(evhttp_bound_socket_get_listener(each));
    self->m_acceptAgain.arm(acceptRetryDelay);
}

void http_server::implementation::acceptAgain()
{
    for (evhttp_bound_socket* each : m_sockets)
        evconnlistener_enable(evhttp_bound_socket_get_listener(each));
}

http_server::http_server(event_loop& loop, http_server_limits limits, http_request_handler handler, std::shared_ptr<memory_account> memory)
    : m_implementation(std::make_unique<implementation>(loop, limits, std::move(handler), std::move(memory)))
{
}

http_server::~http_server() = default;

result<endpoint> http_server::listen(const endpoint& location)
{
    return m_implementation->listen(location);
}

void http_server::setLimits(const http_server_limits& limits)
{
    m_implementation->setLimits(limits);
}

void http_server::setKeepAlive(bool isKept)
{
    m_implementation->setKeepAlive(isKept);
}

void http_server::setCloseObserver(std::function<void(const server_close&)> observer)
{
    m_implementation->setCloseObserver(std::move(observer));
}

void http_server::setMemoryObserver(std::function<void(const memory_event&)> observer)
{
    m_implementation->setMemoryObserver(std::move(observer));
}

void http_server::setEarlyCheck(http_early_check check)
{
    m_implementation->setEarlyCheck(std::move(check));
}

void http_server::drain()
{
    m_implementation->drain();
}

duration http_server::readDelay() const
{
    return m_implementation->readDelay();
}

std::size_t http_server::connectionCount() const
{
    return m_implementation->connectionCount();
}

std::size_t http_server::pendingBytes() const
{
    return m_implementation->pendingBytes();
}

byte_counts http_server::traffic() const
{
    return m_implementation->traffic();
}

}
