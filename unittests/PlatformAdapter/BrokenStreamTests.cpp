#include "RawBackend.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

constexpr const char* twoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
constexpr const char* thirdEvent = "id: 3\ndata: c\n\n";

/// Framing of the stream that breaks off after two events, and how its connection ends.
struct broken_form {
    const char* name;
    std::string head;
    std::string body;
    ending how;
};

std::string headOf(const std::string& status, const std::string& headers)
{
    return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: {id}\r\n" + headers + "\r\n";
}

std::string streamHead(const std::string& headers = {})
{
    return headOf("200 OK", "X-Response-Seal: raw\r\nContent-Type: text/event-stream\r\n" + headers);
}

std::string chunkOf(const std::string& bytes)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

std::vector<broken_form> brokenForms()
{
    return {
        { "chunks", streamHead("Transfer-Encoding: chunked\r\n"), chunkOf(twoEvents), ending::close },
        { "length", streamHead("Content-Length: 45\r\n"), twoEvents, ending::close },
        { "until close", streamHead(), twoEvents, ending::reset },
    };
}

/// What the second server answers to the resumed request.
struct second_response {
    const char* name;
    std::string bytes;
};

std::vector<second_response> wrongResponses()
{
    const std::string length = "Content-Length: 15\r\n";
    const std::string plain = "Content-Length: 5\r\n";
    return {
        { "302", headOf("302 Found", "Location: /x\r\n" + plain) + "error" },
        { "404", headOf("404 Not Found", plain) + "error" },
        { "429", headOf("429 Too Many Requests", "X-Not-Executed: 1\r\n" + plain) + "error" },
        { "500, an event stream", headOf("500 Error", "X-Response-Seal: raw\r\nContent-Type: text/event-stream\r\n" + length) + thirdEvent },
        { "503 not run", headOf("503 Busy", "X-Not-Executed: 1\r\n" + plain) + "error" },
        { "503", headOf("503 Busy", plain) + "error" },
        { "421", headOf("421 Misdirected", plain) + "error" },
        { "200 without signature", headOf("200 OK", "Content-Type: text/event-stream\r\n" + length) + thirdEvent },
        { "200 of another request", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Seal: raw\r\nContent-Type: text/event-stream\r\n" + length + "\r\n" + thirdEvent },
        { "200, no event stream", headOf("200 OK", "X-Response-Seal: raw\r\nContent-Type: text/plain\r\n" + plain) + "error" },
        { "200 without a type", headOf("200 OK", "X-Response-Seal: raw\r\n" + length) + thirdEvent },
        { "200 without body", headOf("200 OK", "X-Response-Seal: raw\r\nContent-Length: 0\r\n") },
        { "204", headOf("204 No Content", "X-Response-Seal: raw\r\n") },
        { "206", headOf("206 Partial Content", "X-Response-Seal: raw\r\nContent-Type: text/event-stream\r\n" + length) + thirdEvent },
        { "from the first event", streamHead("Content-Length: 45\r\n") + twoEvents + thirdEvent },
        { "the last event again", streamHead(length) + "id: 2\ndata: b\n\n" },
        { "an event without id", streamHead("Content-Length: 13\r\n") + "data: error\n\n" },
        { "cut in its event", streamHead(length) + "id: 3\ndata:" },
        { "garbage", "error 500\r\n\r\n" },
        { "nothing", "" },
    };
}

raw_backend::script resuming(const broken_form& first, const std::string& second)
{
    return [first, second](const std::string& request) -> raw_reply {
        const bool isResumed = !headerOf(request, "Last-Event-Id").empty();
        return isResumed ? raw_reply { { second }, ending::close } : raw_reply { { first.head + first.body }, first.how };
    };
}

}

// Guards against a caller that finds the text or the head of an error in its stream, or whose
// stream ends as complete although its second half is missing.
TEST_CASE("no byte of a response that does not continue a broken stream reaches the caller, and the stream does not end as complete")
{
    for (const broken_form& form : brokenForms()) {
        for (const second_response& second : wrongResponses()) {
            // The framing of the first response matters to the end, not to what is rejected.
            const bool isEnd = std::string_view(second.name) == "204" || std::string_view(second.name) == "200, no event stream";
            if (std::string_view(form.name) != "chunks" && !isEnd)
                continue;
            CAPTURE(std::string(form.name));
            CAPTURE(std::string(second.name));
            raw_fleet fleet(resuming(form, second.bytes));
            const auto answer = fleet.askRaw("/stream/a");
            CHECK(answer.status == 200);
            CHECK(answer.end != tools::call_end::answered);
            CHECK(answer.body == twoEvents);
            CHECK(fleet.requestCount() == 2);
        }
    }
}

// Guards against a break that callers of HTTP/1.0 take for the end of the stream.
TEST_CASE("an HTTP/1.0 caller sees that its stream was not continued")
{
    for (const broken_form& form : brokenForms()) {
        for (const bool isContinued : { false, true }) {
            CAPTURE(std::string(form.name));
            CAPTURE(isContinued);
            raw_fleet fleet(resuming(form, isContinued ? streamHead("Content-Length: 15\r\n") + thirdEvent : headOf("404 Not Found", "Content-Length: 5\r\n") + "error"));
            plain_caller caller(fleet.configured.listen.callers.port, "/stream/a");
            REQUIRE(fleet.serveUntil([&] { return caller.poll(); }));
            const bool hasLength = std::string_view(form.name) == "length";
            CHECK(caller.body() == (isContinued ? std::string(twoEvents) + thirdEvent : twoEvents));
            CHECK(caller.received.find("404") == std::string::npos);
            CHECK(caller.isReset == (!isContinued && !hasLength));
        }
    }
}

// Guards against events of a second response in the body of an error or a document that broke off.
TEST_CASE("a response that is no event stream is not continued as one")
{
    for (const char* status : { "200 OK", "404 Not Found" }) {
        CAPTURE(std::string(status));
        std::size_t requests = 0;
        raw_fleet fleet([&](const std::string&) -> raw_reply {
            if (++requests == 1)
                return { { headOf(status, "X-Response-Seal: raw\r\nContent-Type: text/plain\r\nContent-Length: 19\r\n") + "text" }, ending::close };
            return { { streamHead("Content-Length: 15\r\n") + "id: 1\ndata: a\n\n" }, ending::close };
        });
        const auto answer = fleet.askRaw("/stream/a");
        CHECK(answer.end != tools::call_end::answered);
        CHECK(answer.body == "text");
        CHECK(requests == 1);
    }
}
