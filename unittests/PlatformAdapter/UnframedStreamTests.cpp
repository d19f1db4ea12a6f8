#include "RawBackend.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

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
        raw_fleet fleet([&each](const std::string& request) -> raw_reply {
            const bool isResumed = !headerOf(request, "Last-Event-Id").empty();
            const std::string type = request.starts_with("POST /read/") ? "text/plain" : "text/event-stream";
            const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: raw\r\nContent-Type: " + type + "\r\n\r\n";
            return { { head + (isResumed ? "id: 3\ndata: c\n\n" : each.first) }, isResumed ? ending::close : each.how };
        });
        const auto answer = fleet.begin(each.path);
        REQUIRE(fleet.serveUntil([&] { return answer->has_value(); }));
        CHECK((*answer)->status == 200);
        CHECK(((*answer)->end == tools::call_end::answered) == each.isWhole);
        CHECK((*answer)->body == each.body);
        CHECK(fleet.requestCount() == each.requests);
    }
}
