#include "RawBackend.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

constexpr const char* headStart = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: raw\r\nContent-Type: text/plain\r\n";

/// Responses of which a server sends a part only.
constexpr std::array cutAnswers {
    "\r\npart", // Without a length.
    "Content-Length: 400\r\n\r\npart",
    "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
};

constexpr std::array uploadSizes { std::size_t { 20'000 }, std::size_t { 200'000 }, std::size_t { 3'500'000 } };

bool looksComplete(const tools::client_answer& answer)
{
    return answer.end == tools::call_end::answered && answer.status == 200;
}

}

// Guards against a caller that gets part of an answer as a whole one, since a server answered a
// long upload at once and broke the connection while the upload was still being written.
TEST_CASE("an early answer to an upload that breaks off never looks complete")
{
    for (const char* path : { "/read/a", "/order/a" }) {
        for (const char* sent : cutAnswers) {
            for (const std::size_t size : uploadSizes) {
                for (const ending how : { ending::reset, ending::closeUnread }) {
                    for (const duration delay : { duration(0ms), duration(50ms) }) {
                        CAPTURE(std::string(path));
                        CAPTURE(std::string(sent));
                        CAPTURE(size);
                        CAPTURE(static_cast<int>(how));
                        CAPTURE(delay.count());
                        const raw_reply reply { { std::string(headStart) + sent }, how, delay };
                        raw_fleet fleet([&](const std::string&) { return reply; }, 2, [](settings&) {}, request_reading::head);
                        const auto answer = fleet.begin(path, "key", {}, std::string(size, 'u'));
                        REQUIRE(fleet.serveUntil([&] { return answer->has_value(); }));
                        CHECK_FALSE(looksComplete(**answer));
                    }
                }
            }
        }
    }
}

// Guards against a caller that gets a part of an answer without a length as a whole one, since the
// server ended it before it had received the upload.
TEST_CASE("an answer without a length that ends before the upload was received does not look complete")
{
    for (const char* path : { "/read/a", "/order/a", "/once/a" }) {
        for (const std::size_t size : { std::size_t { 200'000 }, std::size_t { 3'500'000 } }) {
            CAPTURE(std::string(path));
            CAPTURE(size);
            const raw_reply reply { { std::string(headStart) + cutAnswers.front() }, ending::halfClose };
            raw_fleet fleet([&](const std::string&) { return reply; }, 2, [](settings&) {}, request_reading::head);
            const auto answer = fleet.begin(path, "key", {}, std::string(size, 'u'));
            REQUIRE(fleet.serveUntil([&] { return answer->has_value(); }));
            CHECK_FALSE(looksComplete(**answer));
        }
    }
}

// Guards against an answer whose status is none, such as 000, that is passed on as an answer.
TEST_CASE("an answer without a valid status is a failure")
{
    for (const char* start : { "HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 1000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 -20 OK", "HTTP/2.0 200 OK", "HTTP/1.1 101 Switching",
             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK" }) {
        for (const char* path : { "/read/a", "/order/a", "/stream/a" }) {
            CAPTURE(std::string(start));
            CAPTURE(std::string(path));
            const raw_reply reply { { std::string(start) + "\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: raw\r\nContent-Length: 4\r\n\r\ndone" }, ending::close };
            raw_fleet fleet([&](const std::string&) { return reply; });
            const tools::client_answer answer = fleet.askRaw(path);
            CHECK(answer.status == 502);
            CHECK(answer.header("X-Response-Seal").empty());
        }
    }
}
