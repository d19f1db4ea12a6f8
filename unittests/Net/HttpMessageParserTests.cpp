#include "pimentoladder/Net/HttpMessageParser.h"

#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <doctest/doctest.h>

using namespace pimentoladder;
using namespace std::string_literals;

namespace {

constexpr http_message_limits testLimits { 1024, 100 };

struct parse_result {
    http_progress progress;
    std::string body;
    std::string head;
    std::string rest;
    refusal_kind kind;
};

/// Feeds \p bytes to \p parser in pieces of \p step bytes.
parse_result parseInSteps(http_message_parser parser, std::string_view bytes, std::size_t step)
{
    parse_result found {};
    std::size_t position = 0;
    while (position < bytes.size()) {
        const std::size_t end = std::min(bytes.size(), position + step);
        const std::size_t consumed = parser.feed(bytes.substr(position, end - position), found.body);
        position += consumed;
        const bool isOver
            = parser.progress() == http_progress::complete || parser.progress() == http_progress::violated;
        if (isOver || consumed == 0)
            break;
    }
    found.progress = parser.progress();
    found.head = parser.head();
    found.kind = parser.violation().kind;
    found.rest = bytes.substr(position);
    return found;
}

parse_result parseRequest(std::string_view bytes, std::size_t step = SIZE_MAX / 2)
{
    return parseInSteps(http_message_parser::forRequests(testLimits), bytes, step);
}

struct refused_case {
    const char* name;
    std::string bytes;
    refusal_kind kind;
};

const std::string begin = "POST /orders HTTP/1.1\r\nHost: a\r\n";

const std::vector<refused_case> refusedCases {
    { "both framings", begin + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", refusal_kind::conflictingLength },
    { "both framings, other order", begin + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
        refusal_kind::conflictingLength },
    { "differing lengths", begin + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n", refusal_kind::invalidLength },
    { "list of lengths", begin + "Content-Length: 3, 3\r\n\r\n", refusal_kind::invalidLength },
    { "positive sign", begin + "Content-Length: +3\r\n\r\n", refusal_kind::invalidLength },
    { "negative length", begin + "Content-Length: -3\r\n\r\n", refusal_kind::invalidLength },
    { "hexadecimal length", begin + "Content-Length: 0x3\r\n\r\n", refusal_kind::invalidLength },
    { "empty length", begin + "Content-Length:\r\n\r\n", refusal_kind::invalidLength },
    { "length with a space inside", begin + "Content-Length: 1 2\r\n\r\n", refusal_kind::invalidLength },
    { "length over 64 bits", begin + "Content-Length: 18446744073709551617\r\n\r\n", refusal_kind::invalidLength },
    { "length over the limit", begin + "Content-Length: 101\r\n\r\n", refusal_kind::bodyTooLarge },
    { "space before the colon", begin + "Content-Length : 3\r\n\r\n", refusal_kind::malformedRequest },
    { "space in a name", begin + "X Y: 3\r\n\r\n", refusal_kind::malformedRequest },
    { "no name", begin + ": 3\r\n\r\n", refusal_kind::malformedRequest },
    { "no colon", begin + "Accept\r\n\r\n", refusal_kind::malformedRequest },
    { "brackets in a name", begin + "X(1): 3\r\n\r\n", refusal_kind::malformedRequest },
    { "folded line", begin + "A: b\r\n c\r\n\r\n", refusal_kind::malformedRequest },
    { "folded first line", "GET / HTTP/1.1\r\n Host: a\r\n\r\n", refusal_kind::malformedRequest },
    { "NUL in a value", begin + "A: b\0c\r\n\r\n"s, refusal_kind::malformedRequest },
    { "NUL in a name", begin + "A\0: b\r\n\r\n"s, refusal_kind::malformedRequest },
    { "NUL in the target", "GET /a\0b HTTP/1.1\r\nHost: a\r\n\r\n"s, refusal_kind::malformedRequest },
    { "bare LF", begin + "A: b\nC: d\r\n\r\n", refusal_kind::malformedRequest },
    { "only bare LF", "GET / HTTP/1.1\nHost: a\n\n", refusal_kind::malformedRequest },
    { "bare CR", begin + "A: b\rC: d\r\n\r\n", refusal_kind::malformedRequest },
    { "control character", begin + "A: b\x01\r\n\r\n", refusal_kind::malformedRequest },
    { "no Host", "GET / HTTP/1.1\r\nA: b\r\n\r\n", refusal_kind::missingHost },
    { "two Hosts", begin + "Host: a\r\n\r\n", refusal_kind::duplicateHost },
    { "Host with a path", "GET / HTTP/1.1\r\nHost: a/b\r\n\r\n", refusal_kind::malformedRequest },
    { "unknown coding", begin + "Transfer-Encoding: gzip\r\n\r\n", refusal_kind::unknownTransferCoding },
    { "coding before chunked", begin + "Transfer-Encoding: gzip, chunked\r\n\r\n", refusal_kind::unknownTransferCoding },
    { "chunked twice", begin + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        refusal_kind::unknownTransferCoding },
    { "disguised chunked", begin + "Transfer-Encoding: \x0b"
                                   "chunked\r\n\r\n",
        refusal_kind::malformedRequest },
    { "empty coding", begin + "Transfer-Encoding:\r\n\r\n", refusal_kind::unknownTransferCoding },
    { "chunked in HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
        refusal_kind::unknownTransferCoding },
    { "HTTP/2.0", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", refusal_kind::versionNotSupported },
    { "no version", "GET /\r\nHost: a\r\n\r\n", refusal_kind::malformedRequest },
    { "two spaces", "GET  / HTTP/1.1\r\nHost: a\r\n\r\n", refusal_kind::malformedRequest },
    { "tab in the request line", "GET\t/ HTTP/1.1\r\nHost: a\r\n\r\n", refusal_kind::malformedRequest },
    { "TRACE", "TRACE / HTTP/1.1\r\nHost: a\r\n\r\n", refusal_kind::methodNotAllowed },
    { "CONNECT", "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", refusal_kind::methodNotAllowed },
    { "lower-case method", "get / HTTP/1.1\r\nHost: a\r\n\r\n", refusal_kind::methodNotAllowed },
    { "relative target", "GET a HTTP/1.1\r\nHost: a\r\n\r\n", refusal_kind::malformedRequest },
    { "target with a host", "GET //b/ HTTP/1.1\r\nHost: a\r\n\r\n", refusal_kind::malformedRequest },
    { "unknown expectation", begin + "Expect: 200\r\n\r\n", refusal_kind::expectationFailed },
    { "large head", begin + "A: " + std::string(1024, 'x') + "\r\n\r\n", refusal_kind::headTooLarge },
    { "large head without end", std::string(2000, 'x'), refusal_kind::headTooLarge },
    { "negative chunk size", begin + "Transfer-Encoding: chunked\r\n\r\n-1\r\n", refusal_kind::malformedRequest },
    { "prefixed chunk size", begin + "Transfer-Encoding: chunked\r\n\r\n0x1\r\n", refusal_kind::malformedRequest },
    { "empty chunk size", begin + "Transfer-Encoding: chunked\r\n\r\n\r\n", refusal_kind::malformedRequest },
    { "chunk size over 64 bits", begin + "Transfer-Encoding: chunked\r\n\r\n10000000000000001\r\n",
        refusal_kind::malformedRequest },
    { "chunks over the limit", begin + "Transfer-Encoding: chunked\r\n\r\n60\r\n" + std::string(0x60, 'x') + "\r\n5\r\n",
        refusal_kind::bodyTooLarge },
    { "chunk longer than announced", begin + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
        refusal_kind::malformedRequest },
    { "bare LF after a chunk size", begin + "Transfer-Encoding: chunked\r\n\r\n1\na\r\n", refusal_kind::malformedRequest },
};

}

// Guards against request smuggling and against heads that evhttp reads
// differently from the sender, wherever the network splits them.
TEST_CASE("malformed requests are refused with their kind, in parts of any size")
{
    for (const refused_case& each : refusedCases) {
        CAPTURE(each.name);
        for (const std::size_t step : { std::size_t { 1 }, std::size_t { 2 }, std::size_t { 7 }, std::size_t { 10000 } }) {
            CAPTURE(step);
            const parse_result found = parseRequest(each.bytes, step);
            CHECK(found.progress == http_progress::violated);
            CHECK(static_cast<int>(found.kind) == static_cast<int>(each.kind));
        }
    }
}

// Guards against parsing bytes of a body or of a later request as part of a head.
TEST_CASE("a message ends where its framing says, in parts of any size")
{
    const std::string next = "GET /next HTTP/1.1\r\n";
    const std::string chunked = "\r\nPUT /a?b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nConnection: X-Hop\r\n"
                                "X-Hop: 1\r\nTrailer: A\r\n\r\n3;x=y\r\nabc\r\n0A\r\n0123456789\r\n0\r\nHost: b\r\n\r\n";
    for (std::size_t step = 1; step < chunked.size() + next.size(); ++step) {
        const parse_result found = parseRequest(chunked + next, step);
        REQUIRE(found.progress == http_progress::complete);
        CHECK(found.body == "abc0123456789");
        CHECK(found.head == "PUT /a?b HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
        CHECK(found.rest == next);
    }
    const parse_result sized = parseRequest("DELETE /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab" + next);
    CHECK(sized.body == "ab");
    CHECK(sized.rest == next);
    const parse_result absolute = parseRequest("GET http://b:1/x HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(absolute.head == "GET /x HTTP/1.1\r\nHost: b:1\r\nContent-Length: 0\r\n\r\n");
}

// Guards against expecting a body where HTTP has none, treating an interim
// response as the final one, and treating a truncated body as complete.
TEST_CASE("responses are delimited by the framing rules of HTTP")
{
    http_message_parser parser = http_message_parser::forResponses({ 1024, SIZE_MAX });
    std::string body;
    const auto feed = [&](std::string_view bytes, std::string_view method = "GET") {
        parser.reset(method);
        body.clear();
        parser.feed(bytes, body);
        parser.feedEnd();
        return parser.progress();
    };
    CHECK(feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HEAD") == http_progress::complete);
    CHECK(feed("HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n") == http_progress::complete);
    CHECK(feed("HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n") == http_progress::complete);
    CHECK(feed("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
               "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        == http_progress::complete);
    CHECK(body == "ok");
    CHECK(feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcd") == http_progress::body);
    CHECK(feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n") == http_progress::body);
    CHECK(feed("HTTP/1.0 200 OK\r\n\r\nabc") == http_progress::complete);
    CHECK_FALSE(parser.isPersistent());
    CHECK(feed("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n") == http_progress::violated);
    CHECK(feed("HTTP/1.1 20 OK\r\n\r\n") == http_progress::violated);
    CHECK(feed("ICY 200 OK\r\n\r\n") == http_progress::violated);
}

// Guards against crashes, endless loops and results that depend on how the input
// is split, on unforeseen input.
TEST_CASE("random and mutated heads give one result however they are split")
{
    std::mt19937 random(20241204);
    const std::string alphabet = "\r\n\0\t :,;/?#%aZ0-+x\x7f\xff"s;
    const auto draw = [&](std::size_t below) { return std::uniform_int_distribution<std::size_t>(0, below - 1)(random); };
    for (int round = 0; round < 20000; ++round) {
        std::string bytes = refusedCases[draw(refusedCases.size())].bytes;
        bytes = round % 4 == 0 ? "" : round % 4 == 1 ? begin + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
                                                     : bytes;
        for (std::size_t change = draw(8); change > 0; --change) {
            const std::size_t at = draw(bytes.size() + 1);
            if (draw(2) == 0 && at < bytes.size())
                bytes.erase(at, draw(3));
            else
                bytes.insert(at, 1, alphabet[draw(alphabet.size())]);
        }
        const parse_result whole = parseRequest(bytes);
        const parse_result split = parseRequest(bytes, 1 + draw(5));
        REQUIRE(whole.progress == split.progress);
        REQUIRE(whole.head == split.head);
        REQUIRE(whole.head.find('\0') == std::string::npos);
        if (whole.progress == http_progress::complete)
            REQUIRE(whole.body == split.body);
    }
}
