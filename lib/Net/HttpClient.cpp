#include "pimentoladder/Net/HttpClient.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

#include "HttpClientConnection.h"
#include "pimentoladder/Net/EventLoop.h"

namespace pimentoladder {

namespace {

    class client_attempt final : public http_client_attempt {
    public:
        explicit client_attempt(std::shared_ptr<http_attempt_state> state)
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
        void closeAfterResponse() override
        {
            if (m_state->connection)
                m_state->connection->closeAfterResponse();
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

        std::shared_ptr<http_attempt_state> m_state;
    };

}

class http_client::implementation final : public http_client_connection_pool,
                                          public std::enable_shared_from_this<implementation> {
public:
    implementation(event_loop& loop, http_client_limits limits)
        : m_loop(loop)
        , m_limits(limits)
        , m_discardRetired(loop, [this] { discardRetired(); })
    {
    }

    std::unique_ptr<http_client_attempt> send(http_client_request request, http_client_callbacks callbacks);
    std::size_t idleConnectionCount() const;
    void retire(const endpoint& server) override;

    const http_client_limits& limits() const override { return m_limits; }
    void keep(http_client_connection& unused) override;
    void startOnNewConnection(std::shared_ptr<http_attempt_state> attempt) override;
    void discard(http_client_connection& dead) override;
    void bytesMoved(std::size_t received, std::size_t sent) override
    {
        m_traffic.received += received;
        m_traffic.sent += sent;
    }
    void connectEnded(time_point begunAt, bool isOpen) override;
    const byte_counts& traffic() const { return m_traffic; }
    connect_counts takeConnects() { return std::exchange(m_connects, {}); }

private:
    void start(const std::shared_ptr<http_attempt_state>& attempt);
    http_client_connection* takeIdle(const endpoint& server);
    void discardRetired();

    event_loop& m_loop;
    http_client_limits m_limits;
    std::map<http_client_connection*, std::unique_ptr<http_client_connection>> m_connections;
    std::map<endpoint, std::vector<http_client_connection*>> m_idle;
    deferred_call m_discardRetired;
    byte_counts m_traffic;
    connect_counts m_connects;
};

std::unique_ptr<http_client_attempt> http_client::implementation::send(
    http_client_request request, http_client_callbacks callbacks)
{
    const auto attempt = std::make_shared<http_attempt_state>();
    attempt->request = std::move(request);
    attempt->callbacks = std::make_shared<http_client_callbacks>(std::move(callbacks));
    const std::weak_ptr<http_attempt_state> weakAttempt = attempt;
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

void http_client::implementation::start(const std::shared_ptr<http_attempt_state>& attempt)
{
    if (!isClientMethod(attempt->request.method)) {
        attempt->isEnded = true;
        attempt->callbacks->onEnd({ attempt_end_kind::notSent, false });
        return;
    }
    const endpoint& server = attempt->request.server;
    http_client_connection* connection = attempt->request.mayReuseConnection ? takeIdle(server) : nullptr;
    if (connection)
        connection->begin(attempt);
    else
        startOnNewConnection(attempt);
}

void http_client::implementation::startOnNewConnection(std::shared_ptr<http_attempt_state> attempt)
{
    auto opened = std::make_unique<http_client_connection>(m_loop, *this, attempt->request.server);
    http_client_connection* connection = opened.get();
    m_connections.emplace(connection, std::move(opened));
    connection->begin(std::move(attempt));
}

http_client_connection* http_client::implementation::takeIdle(const endpoint& server)
{
    for (;;) {
        const auto found = m_idle.find(server);
        if (found == m_idle.end())
            return nullptr;
        http_client_connection* candidate = found->second.back();
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

void http_client::implementation::keep(http_client_connection& unused)
{
    std::vector<http_client_connection*>& idle = m_idle[unused.server()];
    if (unused.isRetired() || idle.size() >= m_limits.idleConnectionsPerEndpoint) {
        discard(unused);
        return;
    }
    idle.push_back(&unused);
    unused.becomeIdle();
}

void http_client::implementation::discard(http_client_connection& dead)
{
    const auto found = m_idle.find(dead.server());
    if (found != m_idle.end()) {
        std::erase(found->second, &dead);
        if (found->second.empty())
            m_idle.erase(found);
    }
    m_connections.erase(&dead);
}

void http_client::implementation::connectEnded(time_point begunAt, bool isOpen)
{
    if (!isOpen) {
        ++m_connects.timedOut;
        return;
    }
    ++m_connects.opened;
    m_connects.longest = std::max(m_connects.longest, m_loop.now() - begunAt);
}

void http_client::implementation::retire(const endpoint& server)
{
    for (const auto& [connection, owner] : m_connections) {
        if (connection->server() == server)
            connection->retire();
    }
    m_discardRetired.schedule();
}

void http_client::implementation::discardRetired()
{
    std::vector<http_client_connection*> retired;
    for (const auto& [server, connections] : m_idle)
        std::copy_if(connections.begin(), connections.end(), std::back_inserter(retired), [](const http_client_connection* each) { return each->isRetired(); });
    for (http_client_connection* each : retired)
        discard(*each);
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

void http_client::retire(const endpoint& server)
{
    m_implementation->retire(server);
}

std::size_t http_client::idleConnectionCount() const
{
    return m_implementation->idleConnectionCount();
}

byte_counts http_client::traffic() const
{
    return m_implementation->traffic();
}

connect_counts http_client::takeConnects()
{
    return m_implementation->takeConnects();
}

}
