#include <algorithm>
#include <sstream>

#include "RawBackend.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;

const std::string answerHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: raw\r\n";

/// Answer of a sound server to the path `/read/`.
raw_reply soundAnswer()
{
    return { { answerHead + "Content-Length: 5\r\n\r\nsound" } };
}

/// A caller that never reads its answer.
class deaf_caller {
public:
    explicit deaf_caller(std::uint16_t port, std::size_t number)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        const int receiveBuffer = 4096;
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
        const std::string request = "POST /order/a HTTP/1.1\r\nHost: h\r\nApi-Key: key\r\nX-Attempt-Id: deaf" + std::to_string(number)
            + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 4\r\n\r\nbody";
        send(m_socket, request.data(), request.size(), MSG_NOSIGNAL);
    }
    ~deaf_caller() { ::close(m_socket); }
    deaf_caller(const deaf_caller&) = delete;
    deaf_caller& operator=(const deaf_caller&) = delete;

private:
    int m_socket;
};

/// Returns the value of a gauge without labels.
double gauge(router_fixture& fleet, const std::string& name)
{
    std::istringstream text(fleet.call(fleet.configured.listen.admin.port, "GET", "/metrics").body);
    for (std::string line; std::getline(text, line);) {
        if (line.starts_with(name + " "))
            return std::stod(line.substr(name.size() + 1));
    }
    FAIL("the metric is missing");
    return 0;
}

struct endless_form {
    const char* name;
    std::vector<std::string> parts; ///< The last one is repeated without end.
};

std::vector<endless_form> formsThatNobodyGets()
{
    const std::string filler(16 * kibibyte, 'x');
    const std::string refusal = " Refused\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 1000000000000\r\n\r\n";
    return { { "junk without a head", { filler } },
        { "head of many lines", { answerHead, "X-Filler: " + filler.substr(0, kibibyte) + "\r\n" } },
        { "head of one line", { answerHead + "X-Filler: ", filler } },
        { "interim responses", { "HTTP/1.1 103 Early Hints\r\nX-Filler: " + filler.substr(0, kibibyte) + "\r\n\r\n" } },
        { "chunk extension", { answerHead + "Transfer-Encoding: chunked\r\n\r\n5;", filler } },
        { "trailer", { answerHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n", "X-Filler: " + filler.substr(0, kibibyte) + "\r\n" } },
        { "refusal with 421", { "HTTP/1.1 421" + refusal, filler } },
        { "refusal with 503", { "HTTP/1.1 503" + refusal, filler } } };
}

}

// Guards against a router whose memory many callers fill that do not read endless answers: 900 of
// them took 195 MB.
TEST_CASE("endless answers to callers that do not read stay within an eighth of the memory")
{
    const std::string filler(16 * kibibyte, 'x');
    raw_fleet fleet([&](const std::string& request) -> raw_reply {
        if (request.starts_with("POST /read/"))
            return soundAnswer();
        return { { answerHead + "\r\n", filler }, ending::endless }; },
        10, [](settings& configured) {
            configured.limits.memoryBytes = 64 * mebibyte;
            configured.limits.bufferBytes = mebibyte; });
    constexpr std::size_t callers = 40;
    std::vector<std::unique_ptr<deaf_caller>> deaf;
    for (std::size_t i = 0; i < callers; ++i)
        deaf.push_back(std::make_unique<deaf_caller>(fleet.configured.listen.callers.port, i));
    double most = 0;
    // The sockets take some megabytes of each answer first. The requests end after 3 s.
    for (int i = 0; i < 25; ++i) {
        fleet.serveFor(100ms);
        most = std::max(most, gauge(fleet, "pimentoladder_answer_bytes_waiting"));
    }
    REQUIRE(fleet.requestCount() >= callers);
    // Without a bound on the sum, each answer keeps 1 MiB.
    CHECK(most > 4 * mebibyte);
    CHECK(most <= 8 * mebibyte + callers * 20 * kibibyte);
    CHECK(fleet.askRaw("/read/a").body == "sound");
    deaf.clear();
    CHECK(fleet.serveUntil([&] { return gauge(fleet, "pimentoladder_answer_bytes_waiting") == 0; }));
}

// Guards against bytes without end that are read on although nobody gets them, and against a
// caller that waits for them.
TEST_CASE("an endless answer that nobody gets ends the attempt and the connection")
{
    for (const endless_form& form : formsThatNobodyGets()) {
        CAPTURE(form.name);
        raw_fleet fleet([&](const std::string& request) -> raw_reply {
            if (request.starts_with("POST /read/"))
                return soundAnswer();
            return { form.parts, ending::endless };
        });
        const time_point begunAt = tools::bootTime();
        const auto answer = fleet.begin("/order/a");
        REQUIRE(fleet.serveUntil([&] { return answer->has_value(); }));
        CHECK(tools::bootTime() - begunAt < 1s);
        CHECK(((*answer)->status == 502 || (*answer)->end != tools::call_end::answered));
        fleet.serveFor(100ms);
        std::uint64_t sent = 0;
        for (const auto& each : fleet.servers)
            sent += each->sentBytes;
        // The most that the sockets of a connection hold.
        CHECK(sent < 16 * mebibyte);
        const std::uint64_t before = sent;
        fleet.serveFor(100ms);
        sent = 0;
        for (const auto& each : fleet.servers)
            sent += each->sentBytes;
        CHECK(sent == before);
        CHECK(fleet.askRaw("/read/a").body == "sound");
    }
}
