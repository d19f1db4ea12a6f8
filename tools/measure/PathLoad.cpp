#include "PathLoad.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pimentoladder::measure {

namespace {

    constexpr std::string_view headEnd = "\r\n\r\n";
    constexpr std::string_view lastChunk = "0\r\n\r\n";
    constexpr std::string_view successPrefix = "HTTP/1.1 20";
    constexpr std::size_t readBytes = std::size_t { 64 } * 1024;

    int connectTo(const tools::numeric_address& target)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(target.port);
        inet_pton(AF_INET, target.host.c_str(), &address.sin_addr);
        if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            close(descriptor);
            throw std::runtime_error("nothing listens on " + target.host + ":" + std::to_string(target.port) + "; start it first");
        }
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        evutil_make_socket_nonblocking(descriptor);
        return descriptor;
    }

    /// Returns the value of a header in \p head, or an empty view.
    std::string_view headerValue(std::string_view head, std::string_view name)
    {
        for (std::size_t line = head.find("\r\n"); line != std::string_view::npos; line = head.find("\r\n", line + 2)) {
            const std::string_view rest = head.substr(line + 2);
            if (rest.size() <= name.size() || rest[name.size()] != ':' || strncasecmp(rest.data(), name.data(), name.size()) != 0)
                continue;
            const std::string_view value = rest.substr(name.size() + 1, rest.find("\r\n") - name.size() - 1);
            return value.substr(std::min(value.find_first_not_of(' '), value.size()));
        }
        return {};
    }

}

path_connection::path_connection(tools::loop& events, const tools::numeric_address& target, observer& watcher)
    : m_observer(watcher)
    , m_socket(connectTo(target))
    , m_readable(event_new(events.base(), m_socket, EV_READ | EV_PERSIST, onReadable, this))
{
    event_add(m_readable, nullptr);
}

path_connection::~path_connection()
{
    event_free(m_readable);
    close(m_socket);
}

void path_connection::send(std::string_view request, time_point due)
{
    m_due = due;
    m_isInFlight = true;
    m_bodyStart = 0;
    m_isBodySeen = false;
    m_received.clear();
    // A partial send counts as a failure: requests are far smaller than an empty
    // socket buffer.
    if (::send(m_socket, request.data(), request.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(request.size()))
        finish(false);
}

void path_connection::onReadable(evutil_socket_t, short, void* context)
{
    static_cast<path_connection*>(context)->read();
}

void path_connection::read()
{
    static std::array<char, readBytes> buffer;
    const ssize_t count = recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (count <= 0) {
        event_del(m_readable);
        if (m_isInFlight)
            finish(false);
        return;
    }
    m_received.append(buffer.data(), static_cast<std::size_t>(count));
    if (m_isInFlight)
        parseResponse();
}

void path_connection::parseResponse()
{
    if (m_bodyStart == 0) {
        const std::size_t end = m_received.find(headEnd);
        if (end == std::string::npos)
            return;
        m_bodyStart = end + headEnd.size();
        const std::string_view head = std::string_view(m_received).substr(0, end + 2);
        const std::string_view length = headerValue(head, "Content-Length");
        m_isChunked = length.empty();
        m_bodyBytes = 0;
        std::from_chars(length.data(), length.data() + length.size(), m_bodyBytes);
    }
    if (!m_isBodySeen && m_received.size() > m_bodyStart) {
        m_isBodySeen = true;
        m_observer.onBodyStarted(*this);
    }
    if (isResponseComplete())
        finish(m_received.starts_with(successPrefix));
}

bool path_connection::isResponseComplete() const
{
    const std::string_view body = std::string_view(m_received).substr(m_bodyStart);
    if (!m_isChunked)
        return body.size() >= m_bodyBytes;
    return body == lastChunk || (body.ends_with(lastChunk) && body.substr(0, body.size() - lastChunk.size()).ends_with("\r\n"));
}

void path_connection::finish(bool isSuccess)
{
    m_isInFlight = false;
    m_observer.onRequestEnded(*this, isSuccess);
}

path_load::path_load(tools::loop& events, path_plan plan)
    : m_loop(events)
    , m_plan(std::move(plan))
    , m_random(m_plan.seed)
    , m_gap(m_plan.rate > 0 ? m_plan.rate : 1)
{
    m_figures.latencies.reserve(m_plan.requests);
    m_figures.firstBytes.reserve(m_plan.requests);
    for (std::size_t i = 0; i < m_plan.connections; ++i) {
        m_connections.push_back(std::make_unique<path_connection>(m_loop, m_plan.target, *this));
        m_idle.push_back(m_connections.back().get());
    }
}

path_load::~path_load() = default;

void path_load::start(std::function<void()> onEnd)
{
    m_onEnd = std::move(onEnd);
    m_startedAt = tools::bootTime();
    if (m_plan.rate > 0) {
        enqueueArrivals(m_startedAt);
        return;
    }
    while (!m_idle.empty() && m_arrived < m_plan.requests) {
        ++m_arrived;
        path_connection& idle = *m_idle.back();
        m_idle.pop_back();
        sendOn(idle, tools::bootTime());
    }
}

void path_load::enqueueArrivals(time_point due)
{
    time_point next = due;
    const time_point now = tools::bootTime();
    for (; next <= now && m_arrived < m_plan.requests; ++m_arrived) {
        m_due.push_back(next);
        next += std::chrono::duration_cast<duration>(std::chrono::duration<double>(m_gap(m_random)));
    }
    while (!m_idle.empty() && !m_due.empty()) {
        path_connection& idle = *m_idle.back();
        m_idle.pop_back();
        const time_point first = m_due.front();
        m_due.pop_front();
        sendOn(idle, first);
    }
    if (m_arrived < m_plan.requests)
        m_loop.callAfter(next - tools::bootTime(), [this, next] { enqueueArrivals(next); });
}

void path_load::sendOn(path_connection& idle, time_point due)
{
    idle.send(m_plan.request, due);
}

void path_load::onBodyStarted(path_connection& from)
{
    m_figures.firstBytes.push_back(tools::bootTime() - from.due());
}

void path_load::onRequestEnded(path_connection& from, bool isSuccess)
{
    const time_point now = tools::bootTime();
    ++m_ended;
    if (isSuccess) {
        ++m_figures.answered;
        m_figures.latencies.push_back(now - from.due());
    } else {
        ++m_figures.failed;
    }
    if (m_ended == m_plan.requests) {
        m_figures.elapsed = now - m_startedAt;
        m_onEnd();
        return;
    }
    if (m_plan.rate > 0 && !m_due.empty()) {
        const time_point first = m_due.front();
        m_due.pop_front();
        sendOn(from, first);
        return;
    }
    if (m_plan.rate > 0 || m_arrived == m_plan.requests) {
        m_idle.push_back(&from);
        return;
    }
    ++m_arrived;
    sendOn(from, now);
}

}
