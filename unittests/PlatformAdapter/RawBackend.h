/// \file
/// Backend servers that answer with given bytes, and a router in front of them.

#pragma once

#include <array>
#include <cerrno>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "RouterFixture.h"

namespace pimentoladder {

/// What a server does with the connection after its bytes.
enum class ending {
    keep,
    close,
    halfClose, ///< Ends its own direction only.
    reset,
    closeUnread, ///< Closes beside input that has not been read, which resets the connection.
    endless, ///< Sends its last part again for as long as the connection takes it.
};

struct raw_reply {
    std::vector<std::string> parts; ///< Sent one after another, with a pause; `{id}` becomes the request's id.
    ending how = ending::keep;
    duration delay {}; ///< From the request to the first part.
};

/// Which part of a request a server reads before it answers.
enum class request_reading {
    whole,
    head, ///< Nothing after the first bytes, which hold the head.
};

/// Returns the value of a header of a raw request, or an empty string.
inline std::string headerOf(const std::string& head, const std::string& name)
{
    const std::size_t at = head.find("\r\n" + name + ": ");
    const std::size_t begin = at + name.size() + 4;
    return at == std::string::npos ? std::string() : head.substr(begin, head.find("\r\n", begin) - begin);
}

/// A backend server that answers each request with the reply that a function returns.
/// Requests must have the body `body`.
class raw_backend {
public:
    using script = std::function<raw_reply(const std::string& request)>;
    static constexpr duration pause = std::chrono::milliseconds(30);

    explicit raw_backend(script answers, request_reading reading = request_reading::whole)
        : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
        , m_script(std::move(answers))
        , m_reading(reading)
    {
        // A server that does not read a long request holds little of it.
        const int receiveBufferBytes = 4096;
        if (reading == request_reading::head)
            setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address);
        listen(m_listener, 64);
        socklen_t size = sizeof address;
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
        port = ntohs(address.sin_port);
    }
    ~raw_backend()
    {
        for (const connection& each : m_connections)
            ::close(each.socket);
        ::close(m_listener);
    }
    raw_backend(const raw_backend&) = delete;
    raw_backend& operator=(const raw_backend&) = delete;

    /// Accepts connections, answers requests that have arrived, and sends what is due.
    void poll()
    {
        for (int made = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK); made >= 0; made = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK)) {
            m_connections.push_back({ made });
            ++accepted;
        }
        for (connection& each : m_connections)
            serve(each);
        std::erase_if(m_connections, [](const connection& each) { return each.socket < 0; });
    }

    /// Returns the number of connections that are open at both ends.
    std::size_t openConnections() const { return m_connections.size(); }

    std::uint16_t port = 0;
    std::size_t accepted = 0;
    std::uint64_t sentBytes = 0;
    std::vector<std::string> requests; ///< Requests received, each with its body.

private:
    static constexpr int repeatsPerPoll = 8;

    struct connection {
        int socket;
        std::string received {};
        std::vector<std::string> unsent {};
        std::string repeated {}; ///< The last part sent.
        ending how = ending::keep;
        time_point dueAt {};
        bool isAnswering = false;
    };

    void serve(connection& served)
    {
        char buffer[4096];
        const bool readsNoMore = m_reading == request_reading::head && !served.received.empty();
        ssize_t count = readsNoMore ? -1 : recv(served.socket, buffer, sizeof buffer, 0);
        if (m_reading == request_reading::head && count > 0) {
            served.received.assign(buffer, static_cast<std::size_t>(count));
            answer(served, served.received);
            count = -1;
        }
        for (; count > 0; count = recv(served.socket, buffer, sizeof buffer, 0))
            served.received.append(buffer, static_cast<std::size_t>(count));
        if (count == 0) {
            ::close(std::exchange(served.socket, -1));
            return;
        }
        if (served.received.ends_with("\r\n\r\nbody"))
            answer(served, std::exchange(served.received, {}));
        while (!served.unsent.empty() && tools::bootTime() >= served.dueAt) {
            write(served, served.unsent.front());
            served.repeated = std::move(served.unsent.front());
            served.unsent.erase(served.unsent.begin());
            served.dueAt = tools::bootTime() + pause;
        }
        if (served.isAnswering && served.how == ending::endless) {
            for (int i = 0; i < repeatsPerPoll && served.unsent.empty(); ++i)
                write(served, served.repeated);
            return;
        }
        if (served.isAnswering && served.unsent.empty() && tools::bootTime() >= served.dueAt)
            end(served);
    }

    void write(const connection& served, const std::string& bytes)
    {
        const ssize_t written = send(served.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        sentBytes += written > 0 ? static_cast<std::uint64_t>(written) : 0;
    }

    void answer(connection& served, const std::string& request)
    {
        requests.push_back(request);
        raw_reply reply = m_script(request);
        for (std::string& part : reply.parts) {
            for (std::size_t at = part.find("{id}"); at != std::string::npos; at = part.find("{id}"))
                part.replace(at, 4, headerOf(request, "X-Attempt-Id"));
        }
        served.unsent = std::move(reply.parts);
        served.how = reply.how;
        served.dueAt = tools::bootTime() + reply.delay;
        served.isAnswering = true;
    }

    static void end(connection& served)
    {
        served.isAnswering = false;
        if (served.how == ending::keep)
            return;
        if (served.how == ending::halfClose) {
            shutdown(served.socket, SHUT_WR);
            return;
        }
        const linger now { 1, 0 };
        if (served.how == ending::reset)
            setsockopt(served.socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        ::close(std::exchange(served.socket, -1));
    }

    int m_listener;
    script m_script;
    request_reading m_reading;
    std::vector<connection> m_connections;
};

/// A caller that sends a request as HTTP/1.0 and reads to the end of the connection.
class plain_caller {
public:
    plain_caller(std::uint16_t port, const std::string& path)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
        const std::string request = "POST " + path + " HTTP/1.0\r\nHost: h\r\nApi-Key: key\r\nX-Attempt-Id: plain\r\nX-Deadline-Ms: 3000\r\nContent-Length: 4\r\n\r\nbody";
        send(m_socket, request.data(), request.size(), MSG_NOSIGNAL);
    }
    ~plain_caller() { ::close(m_socket); }
    plain_caller(const plain_caller&) = delete;
    plain_caller& operator=(const plain_caller&) = delete;

    /// Reads what has arrived. Returns whether the connection has ended.
    bool poll()
    {
        char buffer[4096];
        ssize_t count = recv(m_socket, buffer, sizeof buffer, MSG_DONTWAIT);
        for (; count > 0; count = recv(m_socket, buffer, sizeof buffer, MSG_DONTWAIT))
            received.append(buffer, static_cast<std::size_t>(count));
        isReset = isReset || (count < 0 && errno == ECONNRESET);
        return count == 0 || isReset;
    }

    /// Returns the body received.
    std::string body() const
    {
        const std::size_t at = received.find("\r\n\r\n");
        return at == std::string::npos ? std::string() : received.substr(at + 4);
    }

    std::string received;
    bool isReset = false;

private:
    int m_socket;
};

/// A router with raw backend servers that share one script. The paths `/read/`, `/order/`,
/// `/stream/` and `/once/` are an idempotent route, an at-most-once one, a resumable stream
/// and one that must not be resumed.
struct raw_fleet : router_fixture {
    /// \p change is applied to the settings before the router starts.
    explicit raw_fleet(
        const raw_backend::script& answers, std::size_t count = 2, const std::function<void(settings&)>& change = [](settings&) {}, request_reading reading = request_reading::whole)
    {
        change(configured);
        const auto route = [](const char* prefix, const char* type, bool isResumable) {
            return nlohmann::json { { "name", prefix }, { "host", "h" }, { "prefix", prefix }, { "route_type", type }, { "resumable", isResumable },
                { "service", "model" }, { "max_attempts", 2 }, { "timeout_ms", 3000 }, { "latency_goal_ms", 800 } };
        };
        const nlohmann::json plan { { "version", 1 },
            { "routes", { route("/stream/", "streaming", true), route("/once/", "streaming", false), route("/read/", "idempotent", false), route("/order/", "non_idempotent", false) } },
            { "services", { { { "name", "model" } } } }, { "tenants", { { { "name", "ws-0" }, { "api_keys", { "key" } } } } }, { "limits", nlohmann::json::object() } };
        writeRow("op", "config", plan.dump());
        for (std::size_t i = 0; i < count; ++i) {
            servers.push_back(std::make_unique<raw_backend>(answers, reading));
            const nlohmann::json row { { "service", "model" }, { "address", "127.0.0.1:" + std::to_string(servers.back()->port) }, { "zone", "dc-0" }, { "version", "1" },
                { "slots", 8 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "born", 1 } };
            writeRow("servers", "r-" + std::to_string(i), row.dump());
        }
        startRouter();
        REQUIRE(runUntil([this] { return call(configured.listen.admin.port, "GET", "/readyz").status == 200; }));
    }

    bool serveUntil(const std::function<bool()>& isDone, duration limit = testLimit)
    {
        return runUntil([&] { pollServers(); return isDone(); }, limit);
    }

    void serveFor(duration span)
    {
        serveUntil([] { return false; }, span);
    }

    /// Sends a request and waits for the end of its response.
    tools::client_answer askRaw(const std::string& path)
    {
        const auto answer = begin(path);
        REQUIRE(serveUntil([&] { return answer->has_value(); }));
        return **answer;
    }

    std::size_t requestCount() const
    {
        std::size_t count = 0;
        for (const auto& each : servers)
            count += each->requests.size();
        return count;
    }

    std::vector<std::unique_ptr<raw_backend>> servers;

private:
    void pollServers()
    {
        for (const auto& each : servers)
            each->poll();
    }
};

}
