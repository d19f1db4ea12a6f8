#include "RawBackend.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view plainAnswer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: raw\r\nContent-Length: 4\r\n\r\ndone";
constexpr std::string_view streamAnswer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: raw\r\nContent-Type: text/event-stream\r\n\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::size_t statusLineSize = 17;

struct cut_case {
    const char* path;
    bool isSecondWhole; ///< Whether the second server answers properly.
    int status; ///< What the caller gets.
};

// A request that may run once is not sent again, so that its second server does not matter.
constexpr std::array<cut_case, 6> cases { {
    { "/order/a", true, 502 },
    { "/once/a", true, 502 },
    { "/read/a", true, 200 },
    { "/read/a", false, 502 },
    { "/stream/a", true, 200 },
    { "/stream/a", false, 502 },
} };

}

// Guards against a caller that gets a success with an empty or short body, framed as whole,
// from a server that stopped in the middle of its head.
TEST_CASE("a head that breaks off never becomes a response")
{
    for (const cut_case& each : cases) {
        const bool isStream = std::string_view(each.path) == "/stream/a" || std::string_view(each.path) == "/once/a";
        const std::string whole(isStream ? streamAnswer : plainAnswer);
        const std::string body = isStream ? "id: 1\ndata: a\n\n" : "done";
        const std::size_t headSize = whole.find(headEnd) + headEnd.size();
        for (const std::size_t cut : { statusLineSize, headSize - 1 }) {
            for (const ending how : { ending::close, ending::halfClose, ending::reset }) {
                CAPTURE(std::string(each.path));
                CAPTURE(each.isSecondWhole);
                CAPTURE(cut);
                CAPTURE(static_cast<int>(how));
                bool isFirst = true;
                raw_fleet fleet([&](const std::string&) -> raw_reply {
                    if (std::exchange(isFirst, false) || !each.isSecondWhole)
                        return { { whole.substr(0, cut) }, how };
                    return { { whole.substr(0, headSize) + body }, ending::close };
                });
                const auto answer = fleet.askRaw(each.path);
                CHECK(answer.status == each.status);
                CHECK((answer.status != 200 || answer.body == body));
                CHECK(fleet.requestCount() == (each.status == 200 || !each.isSecondWhole ? 2 : 1));
            }
        }
    }
}
