#include "RawBackend.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

constexpr const char* signedAnswer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: raw\r\nContent-Length: 4\r\n\r\ndone";
constexpr const char* signedStream
    = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: raw\r\nContent-Type: text/event-stream\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n";

/// Where the refusal of an earlier request is written once more.
enum class repeat_point {
    idle, ///< After the response to the request before.
    first, ///< Before the true response, which follows later.
    sameSegment, ///< Together with the true response.
};

std::string refusalWithId(const std::string& id)
{
    const std::string header = id.empty() ? "" : "X-Attempt-Id: " + id + "\r\n";
    return "HTTP/1.1 503 Service Unavailable\r\n" + header + "X-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull";
}

std::string successFor(const std::string& request)
{
    return request.starts_with("POST /stream/") ? signedStream : signedAnswer;
}

}

// Guards against a request that runs, and is reported as not run or sent to a second server.
TEST_CASE("a refusal that a server writes once more is not taken for the refusal of a later request")
{
    for (const char* path : { "/order/", "/read/", "/stream/" }) {
        for (const char* id : { "{id}", "other", "" }) {
            for (const repeat_point point : { repeat_point::idle, repeat_point::first, repeat_point::sameSegment }) {
                // A server gets a request only once, so that a refusal with its id that ends there is true.
                if (std::string_view(id) == "{id}" && point == repeat_point::first)
                    continue;
                CAPTURE(std::string(path));
                CAPTURE(std::string(id));
                CAPTURE(static_cast<int>(point));
                const std::string repeated = refusalWithId(id);
                bool isFaulty = true;
                raw_fleet fleet([&](const std::string& request) -> raw_reply {
                    const std::string success = successFor(request);
                    const bool isEarlier = request.find("earlier") != std::string::npos;
                    if (isEarlier && point == repeat_point::idle)
                        return { { success, repeated } };
                    if (isEarlier || point == repeat_point::idle || !std::exchange(isFaulty, false))
                        return { { success } };
                    if (point == repeat_point::first)
                        return { { repeated, success } };
                    return { { repeated + success } };
                });
                CHECK(fleet.askRaw(std::string(path) + "earlier").status == 200);
                fleet.serveFor(3 * raw_backend::pause);
                const std::size_t before = fleet.requestCount();
                const int status = fleet.askRaw(std::string(path) + "later").status;
                const bool isRepeatable = std::string_view(path) != "/order/";
                const bool isHit = point != repeat_point::idle;
                CHECK(status == (isHit && !isRepeatable ? 502 : 200));
                CHECK(fleet.requestCount() - before == (isHit && isRepeatable ? 2 : 1));
            }
        }
    }
}

// Guards against an at-most-once request that is reported as not run, or sent again, on a
// refusal that is not whole.
TEST_CASE("a refusal that breaks off is not trusted")
{
    const std::string refusal = refusalWithId("{id}");
    for (const ending how : { ending::keep, ending::close, ending::halfClose, ending::reset }) {
        for (const std::size_t missing : { 4, 1, 0 }) {
            CAPTURE(static_cast<int>(how));
            CAPTURE(missing);
            raw_fleet fleet([&](const std::string&) -> raw_reply { return { { refusal.substr(0, refusal.size() - missing) }, how }; }, 1);
            CHECK(fleet.askRaw("/order/a").status == (missing > 0 ? 502 : 503));
            CHECK(fleet.requestCount() == 1);
        }
    }
}

// Guards against a connection on which a second copy of a refusal can meet the next request.
TEST_CASE("a connection is closed after a refusal")
{
    raw_fleet fleet([](const std::string& request) -> raw_reply {
        const bool isRefused = request.find("refused") != std::string::npos;
        return { { isRefused ? refusalWithId("{id}") : signedAnswer } };
    },
        1);
    CHECK(fleet.askRaw("/order/refused").status == 503);
    CHECK(fleet.serveUntil([&] { return fleet.servers[0]->openConnections() == 0; }));
    CHECK(fleet.askRaw("/order/a").status == 200);
    CHECK(fleet.servers[0]->accepted == 2);
    CHECK(fleet.askRaw("/order/b").status == 200);
    CHECK(fleet.servers[0]->accepted == 2);
}
