#include "RouterFixture.h"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

/// How the server ends the connection after its bytes.
enum class ending {
    close,
    reset,
};

/// A backend server that sends given bytes without length or chunks.
class raw_backend {
public:
    raw_backend(std::string first, ending how)
        : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
        , m_first(std::move(first))
        , m_ending(how)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address);
        listen(m_listener, 16);
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

    /// Answers requests that have arrived and ends connections that are due.
    void poll()
    {
        for (int made = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK); made >= 0; made = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK))
            m_connections.push_back({ made });
        for (connection& each : m_connections)
            serve(each);
        std::erase_if(m_connections, [](const connection& each) { return each.socket < 0; });
    }

    std::uint16_t port = 0;
    std::vector<std::string> requests; ///< Heads of the requests received.

private:
    struct connection {
        int socket;
        std::string received {};
        std::optional<time_point> endAt {};
    };

    static std::string headerOf(const std::string& head, const std::string& name)
    {
        const std::size_t at = head.find("\r\n" + name + ": ");
        const std::size_t begin = at + name.size() + 4;
        return at == std::string::npos ? std::string() : head.substr(begin, head.find("\r\n", begin) - begin);
    }

    void serve(connection& served)
    {
        char buffer[4096];
        for (ssize_t count = recv(served.socket, buffer, sizeof buffer, 0); count > 0; count = recv(served.socket, buffer, sizeof buffer, 0))
            served.received.append(buffer, static_cast<std::size_t>(count));
        if (!served.endAt && served.received.ends_with("\r\n\r\nbody")) {
            requests.push_back(served.received);
            const bool isResumed = !headerOf(served.received, "Last-Event-Id").empty();
            const std::string body = isResumed ? "id: 3\ndata: c\n\n" : m_first;
            const std::string type = served.received.starts_with("POST /read/") ? "text/plain" : "text/event-stream";
            const std::string answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + headerOf(served.received, "X-Attempt-Id")
                + "\r\nX-Response-Seal: raw\r\nContent-Type: " + type + "\r\n\r\n" + body;
            send(served.socket, answer.data(), answer.size(), MSG_NOSIGNAL);
            served.endAt = tools::bootTime() + 50ms;
            m_isResumed = isResumed;
        }
        if (!served.endAt || tools::bootTime() < *served.endAt)
            return;
        const linger now { 1, 0 };
        if (m_ending == ending::reset && !m_isResumed)
            setsockopt(served.socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        ::close(std::exchange(served.socket, -1));
    }

    int m_listener;
    std::string m_first;
    ending m_ending;
    bool m_isResumed = false;
    std::vector<connection> m_connections;
};

struct unframed_case {
    const char* path;
    const char* first; ///< Body of the first response.
    ending how;
    bool isWhole; ///< The caller gets a complete response.
    const char* body; ///< What the caller gets.
    std::size_t requests; ///< That reach the servers.
};

constexpr const char* twoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
constexpr const char* threeEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
constexpr const char* cutEvent = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";

constexpr std::array<unframed_case, 8> cases { {
    { "/stream/a", twoEvents, ending::close, true, twoEvents, 1 },
    { "/stream/a", cutEvent, ending::close, true, threeEvents, 2 },
    { "/stream/a", twoEvents, ending::reset, true, threeEvents, 2 },
    { "/once/a", twoEvents, ending::close, true, twoEvents, 1 },
    { "/once/a", cutEvent, ending::close, false, twoEvents, 1 },
    { "/once/a", twoEvents, ending::reset, false, twoEvents, 1 },
    { "/read/a", "index", ending::close, true, "index", 1 },
    { "/read/a", "index", ending::reset, false, "index", 1 },
} };

}

// Guards against a response without length or chunks that looks complete although it was broken off.
TEST_CASE("a response that ends with its connection is passed on as whole only if it was not broken off")
{
    for (const unframed_case& each : cases) {
        CAPTURE(std::string(each.path));
        CAPTURE(std::string(each.first));
        CAPTURE(each.how == ending::reset);
        router_fixture fleet;
        raw_backend first(each.first, each.how);
        raw_backend second(each.first, each.how);
        const auto route = [](const char* prefix, const char* type, bool isResumable) {
            return nlohmann::json { { "name", prefix }, { "host", "h" }, { "prefix", prefix }, { "route_type", type }, { "resumable", isResumable },
                { "service", "model" }, { "max_attempts", 2 }, { "timeout_ms", 3000 }, { "latency_goal_ms", 800 } };
        };
        const nlohmann::json plan { { "version", 1 },
            { "routes", { route("/stream/", "streaming", true), route("/once/", "streaming", false), route("/read/", "idempotent", false) } },
            { "services", { { { "name", "model" } } } }, { "tenants", { { { "name", "ws-0" }, { "api_keys", { "key" } } } } }, { "limits", nlohmann::json::object() } };
        fleet.writeRow("op", "config", plan.dump());
        for (const auto& [name, backend] : { std::pair { "r-0", &first }, std::pair { "r-1", &second } }) {
            const nlohmann::json row { { "service", "model" }, { "address", "127.0.0.1:" + std::to_string(backend->port) }, { "zone", "dc-0" }, { "version", "1" },
                { "slots", 8 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "born", 1 } };
            fleet.writeRow("servers", name, row.dump());
        }
        fleet.startRouter();
        REQUIRE(fleet.runUntil([&] { return fleet.call(fleet.configured.listen.admin.port, "GET", "/readyz").status == 200; }));
        const auto answer = fleet.begin(each.path);
        REQUIRE(fleet.runUntil([&] { return first.poll(), second.poll(), answer->has_value(); }));
        CHECK((*answer)->status == 200);
        CHECK(((*answer)->end == tools::call_end::answered) == each.isWhole);
        CHECK((*answer)->body == each.body);
        CHECK(first.requests.size() + second.requests.size() == each.requests);
    }
}
