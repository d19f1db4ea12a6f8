#include "pimentoladder/Net/HttpClient.h"

#include "RawSocket.h"

#include <fstream>
#include <optional>
#include <string>
#include <vector>

#ifdef __SANITIZE_ADDRESS__
extern "C" std::size_t __sanitizer_get_current_allocated_bytes(); // GCC installs no header for it.
#endif
#include <unistd.h>

#include <doctest/doctest.h>

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

/// Everything that one attempt reported.
struct observed {
    std::vector<http_response_head> heads;
    std::string body;
    std::vector<attempt_end> ends;
    std::unique_ptr<http_client_attempt> attempt;
    std::function<bool()> maySend;
};

// Memory in use. The address sanitizer keeps freed memory resident, so its own count is used.
std::size_t usedBytes()
{
#ifdef __SANITIZE_ADDRESS__
    return __sanitizer_get_current_allocated_bytes();
#else
    std::ifstream statistics("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statistics >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
#endif
}

struct client_fixture {
    explicit client_fixture(http_client_limits limits = {})
        : server(loop)
        , client(loop, limits)
    {
    }

    http_client_request request(const char* method = "GET", std::string body = {}) const
    {
        return { { "127.0.0.1", server.port }, method, "/index", { { "X-A", "1" } }, std::move(body), true };
    }

    void send(observed& into, const http_client_request& wanted)
    {
        into.attempt = client.send(wanted,
            { into.maySend, [&into](const http_response_head& head) { into.heads.push_back(head); },
                [&into](std::string_view bytes) { into.body += bytes; },
                [&into](attempt_end end) { into.ends.push_back(end); } });
    }

    bool waitForEnd(const observed& each, duration limit = testLimit)
    {
        return runUntil(
            loop, [&] { return !each.ends.empty(); }, limit);
    }

    /// Completes one exchange, after which the client keeps the connection open.
    raw_socket openKeptConnection()
    {
        observed first;
        send(first, request());
        raw_socket connection = server.accept();
        connection.waitFor("\r\n\r\n");
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        REQUIRE(waitForEnd(first));
        REQUIRE(client.idleConnectionCount() == 1);
        connection.received.clear();
        return connection;
    }

    event_loop loop;
    raw_listener server;
    http_client client;
};

constexpr attempt_end unsent { attempt_end_kind::notSent, false };

struct answer_case {
    const char* name;
    std::string bytes; ///< Sent by the server, which then closes.
    attempt_end_kind end;
    std::string body;
};

const std::vector<answer_case> answerCases {
    { "length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd", attempt_end_kind::complete, "abcd" },
    { "chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n",
        attempt_end_kind::complete, "abcd" },
    { "until close", "HTTP/1.0 200 OK\r\n\r\nabcd", attempt_end_kind::complete, "abcd" },
    { "interim first", "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
        attempt_end_kind::complete, "ab" },
    { "204", "HTTP/1.1 204 No Content\r\n\r\n", attempt_end_kind::complete, "" },
    { "length cut", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcd", attempt_end_kind::truncated, "abcd" },
    { "chunk cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", attempt_end_kind::truncated, "ab" },
    { "closing chunk missing", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
        attempt_end_kind::truncated, "ab" },
    { "closing chunk cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
        attempt_end_kind::truncated, "ab" },
    { "head cut", "HTTP/1.1 200 OK\r\nContent-Le", attempt_end_kind::resetAfterSent, "" },
    { "nothing", "", attempt_end_kind::resetAfterSent, "" },
    { "both framings", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        attempt_end_kind::malformed, "" },
    { "bad chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", attempt_end_kind::malformed, "" },
    { "not HTTP", "SSH-2.0-x\r\n\r\n", attempt_end_kind::malformed, "" },
};

}

// Guards against reporting a truncated response as complete, and against losing
// bytes of a complete one, however the server's bytes are split.
TEST_CASE("each way in which a response can end is reported as its own kind")
{
    for (const answer_case& each : answerCases) {
        for (const bool isSplit : { false, true }) {
            CAPTURE(each.name);
            CAPTURE(isSplit);
            client_fixture test;
            observed seen;
            test.send(seen, test.request("POST", "order"));
            raw_socket connection = test.server.accept();
            REQUIRE(connection.waitFor("order"));
            CHECK(connection.received.starts_with("POST /index HTTP/1.1\r\n"));
            CHECK(connection.received.find("Content-Length: 5\r\n") != std::string::npos);
            for (std::size_t i = 0; isSplit && i < each.bytes.size(); ++i) {
                connection.send(each.bytes.substr(i, 1));
                test.loop.runFor(200us);
            }
            if (!isSplit)
                connection.send(each.bytes);
            connection.close();
            REQUIRE(test.waitForEnd(seen));
            CHECK(seen.ends.size() == 1);
            CHECK(static_cast<int>(seen.ends[0].kind) == static_cast<int>(each.end));
            CHECK(seen.ends[0].mayHaveBeenSent);
            CHECK(seen.body == each.body);
            CHECK(runUntil(test.loop, [&] { return test.client.idleConnectionCount() == 0; }));
        }
    }
}

// Guards against a response that is passed on as whole although its server stopped in the
// middle of the head or of the body.
TEST_CASE("a response that is cut off at any byte, by a close, a half-close or a reset, is not complete")
{
    constexpr std::string_view heads[] { "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 4\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n" };
    constexpr std::string_view bodies[] { "abcd", "2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n", "abcd" };
    using end_connection = void (raw_socket::*)();
    constexpr end_connection ends[] { &raw_socket::close, &raw_socket::shutdownWrite, &raw_socket::reset };
    for (std::size_t form = 0; form < std::size(heads); ++form) {
        const std::string whole = std::string(heads[form]) + std::string(bodies[form]);
        for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
            for (const end_connection end : ends) {
                for (const bool isKept : { false, true }) {
                    CAPTURE(whole);
                    CAPTURE(cut);
                    CAPTURE(isKept);
                    const bool isReset = end == &raw_socket::reset;
                    CAPTURE(isReset);
                    client_fixture test;
                    std::optional<raw_socket> connection;
                    if (isKept)
                        connection.emplace(test.openKeptConnection());
                    observed seen;
                    test.send(seen, test.request("POST", "order"));
                    if (!isKept)
                        connection.emplace(test.server.accept());
                    REQUIRE(connection->waitFor("order"));
                    connection->send(whole.substr(0, cut));
                    test.loop.runFor(1ms);
                    ((*connection).*end)();
                    REQUIRE(test.waitForEnd(seen));
                    const bool isHeadWhole = cut >= heads[form].size();
                    const bool endsWithConnection = form == 2 && isHeadWhole && !isReset;
                    const bool isComplete = endsWithConnection || (form != 2 && cut == whole.size());
                    const attempt_end_kind broken = isHeadWhole ? attempt_end_kind::truncated : attempt_end_kind::resetAfterSent;
                    CHECK(static_cast<int>(seen.ends[0].kind) == static_cast<int>(isComplete ? attempt_end_kind::complete : broken));
                    CHECK(seen.heads.size() == (isHeadWhole ? 1 : 0));
                    CHECK(std::string_view("abcd").starts_with(seen.body));
                }
            }
        }
    }
}

// Guards against reporting `notSent` after a byte was written to a socket, and
// against a connection error that does not say that no byte was written.
TEST_CASE("an attempt that reaches no server is reported as not sent")
{
    http_client_limits limits;
    limits.connectTimeout = 50ms;
    client_fixture test(limits);
    observed refused;
    http_client_request wanted = test.request("POST", "order");
    test.server.close();
    test.send(refused, wanted);
    REQUIRE(test.waitForEnd(refused));
    CHECK(refused.ends[0] == unsent);
    CHECK_FALSE(refused.attempt->mayHaveBeenSent());

    observed unknownMethod;
    wanted.method = "BREW";
    test.send(unknownMethod, wanted);
    CHECK(unknownMethod.ends.empty());
    REQUIRE(test.waitForEnd(unknownMethod));
    CHECK(unknownMethod.ends[0] == unsent);
}

// Guards against a router whose connections do not open while nothing tells it.
TEST_CASE("bytes and the time to connect are counted")
{
    client_fixture test;
    observed each;
    test.send(each, test.request("POST", "order"));
    raw_socket opened = test.server.accept();
    REQUIRE(opened.waitFor("order"));
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    opened.send(response);
    REQUIRE(test.waitForEnd(each));
    CHECK(test.client.traffic().received == response.size());
    CHECK(test.client.traffic().sent > 5);
    const connect_counts counts = test.client.takeConnects();
    CHECK(counts.opened == 1);
    CHECK(counts.timedOut == 0);
    CHECK(counts.longest > 0ms);
    CHECK(test.client.takeConnects().opened == 0);
}

// Guards against bytes that reach a server after the core has decided that the
// grant has expired.
TEST_CASE("no byte is written to the socket when maySend returns false")
{
    client_fixture test;
    observed denied;
    bool wasAsked = false;
    denied.maySend = [&] {
        wasAsked = true;
        return false;
    };
    test.send(denied, test.request("POST", "order"));
    raw_socket connection = test.server.accept();
    REQUIRE(test.waitForEnd(denied));
    CHECK(wasAsked);
    CHECK(denied.ends[0] == unsent);
    REQUIRE(connection.waitForClose());
    CHECK(connection.received.empty());
}

// Guards against writing a request only in the loop iteration after `maySend` was
// called: on an overloaded VM such a request reached a server 1.7 s after its caller
// had disconnected.
TEST_CASE("maySend is called immediately before the bytes are written")
{
    client_fixture test;
    raw_socket connection = test.openKeptConnection();
    observed left;
    bool isCallerHere = true;
    std::size_t asked = 0;
    left.maySend = [&] {
        ++asked;
        return isCallerHere;
    };
    test.send(left, test.request("POST", "order"));
    isCallerHere = false;
    REQUIRE(test.waitForEnd(left));
    // The dispatcher consumes the grant when `maySend` is called, so it must be called once.
    CHECK(asked == 1);
    CHECK(left.ends[0] == unsent);
    REQUIRE(connection.waitForClose());
    CHECK(connection.received.empty());
}

// Guards against silently sending a request again on a new connection when the
// server closes a kept one: before the request, as it starts, or after reading it
// (by a close or by a reset).
TEST_CASE("a request on a kept connection that closes is never sent twice")
{
    for (const int moment : { 0, 1, 2, 3 }) {
        CAPTURE(moment);
        client_fixture test;
        raw_socket kept = test.openKeptConnection();
        observed seen;
        if (moment == 0) {
            kept.close();
            test.loop.runFor(5ms);
            CHECK(test.client.idleConnectionCount() == 0);
        }
        if (moment == 1)
            kept.close(); // The loop has not handled the close when the request starts.
        test.send(seen, test.request("POST", "order"));
        if (moment == 2)
            seen.maySend = nullptr;
        if (moment >= 2) {
            REQUIRE(kept.waitFor("order"));
            CHECK_FALSE(test.server.hasConnection());
            moment == 2 ? kept.close() : kept.reset();
            REQUIRE(test.waitForEnd(seen));
            CHECK(seen.ends[0] == attempt_end { attempt_end_kind::resetAfterSent, true });
            test.loop.runFor(20ms);
            CHECK_FALSE(test.server.hasConnection());
            continue;
        }
        raw_socket fresh = test.server.accept();
        REQUIRE(fresh.waitFor("order"));
        fresh.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        REQUIRE(test.waitForEnd(seen));
        CHECK(seen.ends[0].kind == attempt_end_kind::complete);
    }
}

// Guards against a retry when the server closes the kept connection between the
// client's check of it and the write.
TEST_CASE("a connection that closes during the write reports that bytes were sent")
{
    client_fixture test;
    raw_socket kept = test.openKeptConnection();
    observed seen;
    seen.maySend = [&] {
        kept.reset();
        return true;
    };
    test.send(seen, test.request("POST", "order"));
    REQUIRE(test.waitForEnd(seen));
    test.loop.runFor(20ms);
    CHECK(seen.ends.size() == 1);
    CHECK(seen.ends[0].kind != attempt_end_kind::complete);
    CHECK_FALSE(test.server.hasConnection());
}

// Guards against a request that is written behind a response that nobody asked for, which
// would be read as the response to it.
TEST_CASE("a request is not written on a connection that has unread input or has closed")
{
    for (const bool hasClosed : { false, true }) {
        CAPTURE(hasClosed);
        client_fixture test;
        observed both[2];
        for (observed& each : both)
            test.send(each, test.request());
        raw_socket kept = test.server.accept();
        raw_socket other = test.server.accept();
        for (raw_socket* each : { &kept, &other }) {
            REQUIRE(each->waitFor("\r\n\r\n"));
            each->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
        REQUIRE(runUntil(test.loop, [&] { return test.client.idleConnectionCount() == 2; }));
        const auto spoil = [&](raw_socket& each) { hasClosed ? each.close() : each.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil"); };
        observed before;
        before.maySend = [&] {
            spoil(kept);
            spoil(other);
            return false;
        };
        observed seen;
        std::size_t asked = 0;
        seen.maySend = [&] { return ++asked == 1; };
        test.send(before, test.request());
        test.send(seen, test.request("POST", "order"));
        raw_socket fresh = test.server.accept();
        REQUIRE(fresh.waitFor("order"));
        fresh.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood");
        REQUIRE(test.waitForEnd(seen));
        CHECK(seen.ends[0] == attempt_end { attempt_end_kind::complete, true });
        CHECK(seen.body == "good");
        CHECK(asked == 1);
    }
}

// Guards against accepting a response that belongs to no request or to the
// previous one.
TEST_CASE("unrequested bytes end a connection instead of answering a request")
{
    client_fixture test;
    raw_socket kept = test.openKeptConnection();
    kept.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil");
    observed seen;
    test.send(seen, test.request());
    raw_socket fresh = test.server.accept();
    REQUIRE(fresh.waitFor("\r\n\r\n"));
    fresh.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngoodHTTP/1.1 200 OK\r\n\r\n");
    REQUIRE(test.waitForEnd(seen));
    CHECK(seen.body == "good");
    CHECK(test.client.idleConnectionCount() == 0);
}

// Guards against unbounded memory while the caller reads slowly: evhttp by itself
// would buffer a whole chunk, however large.
TEST_CASE("a paused attempt stops reading")
{
    client_fixture test;
    observed seen;
    test.send(seen, test.request());
    raw_socket connection = test.server.accept();
    REQUIRE(connection.waitFor("\r\n\r\n"));
    connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4000000\r\nfirst");
    REQUIRE(runUntil(test.loop, [&] { return seen.body == "first"; }));
    seen.attempt->pause();
    const std::string part(1024 * 1024, 'x');
    std::size_t accepted = 0;
    for (int i = 0; i < 20; ++i) {
        // Only as much as fits the socket buffers is accepted.
        const ssize_t count = connection.sendSome(part);
        accepted += count > 0 ? static_cast<std::size_t>(count) : 0;
        test.loop.runFor(1ms);
    }
    CHECK(accepted < 16 * 1024 * 1024);
    CHECK(seen.body.size() < 200 * 1024);
    const std::size_t before = seen.body.size();
    seen.attempt->resume();
    CHECK(runUntil(test.loop, [&] { return seen.body.size() >= accepted; }));
    CHECK(seen.body.size() > before);
    connection.close();
    REQUIRE(test.waitForEnd(seen));
    CHECK(seen.ends[0].kind == attempt_end_kind::truncated);
}

// Guards against attempts that wait forever, and against a pause that counts
// as inactivity of the server.
TEST_CASE("silent servers time out")
{
    http_client_limits limits;
    limits.firstByteTimeout = 30ms;
    limits.idleTimeout = 30ms;
    client_fixture test(limits);
    observed silent;
    test.send(silent, test.request());
    raw_socket first = test.server.accept();
    REQUIRE(test.waitForEnd(silent));
    CHECK(silent.ends[0] == attempt_end { attempt_end_kind::timeout, true });

    observed stalled;
    test.send(stalled, test.request());
    raw_socket second = test.server.accept();
    second.waitFor("\r\n\r\n");
    second.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab");
    REQUIRE(runUntil(test.loop, [&] { return stalled.body == "ab"; }));
    stalled.attempt->pause();
    test.loop.runFor(80ms);
    CHECK(stalled.ends.empty());
    stalled.attempt->resume();
    REQUIRE(test.waitForEnd(stalled));
    CHECK(stalled.ends[0].kind == attempt_end_kind::timeout);
}

// Guards against callbacks after cancel, use after free when the owner destroys
// the attempt in a callback, and a server that keeps working on a cancelled request.
TEST_CASE("cancel at each stage closes the connection and calls no callback")
{
    for (const int stage : { 0, 1, 2, 3 }) {
        CAPTURE(stage);
        client_fixture test;
        observed seen;
        test.send(seen, test.request());
        if (stage == 0) {
            seen.attempt.reset();
            test.loop.runFor(10ms);
            CHECK_FALSE(test.server.hasConnection());
            continue;
        }
        raw_socket connection = test.server.accept();
        if (stage >= 2) {
            REQUIRE(connection.waitFor("\r\n\r\n"));
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
            REQUIRE(runUntil(test.loop, [&] { return !seen.heads.empty(); }));
        }
        if (stage == 3) {
            observed inBody;
            inBody.attempt = test.client.send(test.request(),
                { nullptr, nullptr, [&](std::string_view) { inBody.attempt.reset(); },
                    [&](attempt_end end) { inBody.ends.push_back(end); } });
            raw_socket other = test.server.accept();
            other.waitFor("\r\n\r\n");
            other.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n");
            CHECK(other.waitForClose());
            CHECK(inBody.ends.empty());
        }
        seen.attempt->cancel();
        CHECK(connection.waitForClose());
        CHECK(seen.ends.empty());
    }
}

// Guards against use after free when the client is destroyed before its attempts.
TEST_CASE("attempts may outlive the client")
{
    event_loop loop;
    raw_listener server(loop);
    std::unique_ptr<http_client_attempt> attempt;
    {
        http_client client(loop, {});
        attempt = client.send({ { "127.0.0.1", server.port }, "GET", "/", {}, {}, true }, {});
        raw_socket connection = server.accept();
        connection.waitFor("\r\n\r\n");
    }
    attempt->pause();
    attempt->cancel();
    loop.runFor(5ms);
}

// Guards against idle connections that accumulate or stay open beyond their timeout.
TEST_CASE("kept connections are reused, bounded, and end after their time")
{
    http_client_limits limits;
    limits.keepAliveTimeout = 50ms;
    limits.idleConnectionsPerEndpoint = 1;
    client_fixture test(limits);
    raw_socket kept = test.openKeptConnection();
    observed again;
    observed second;
    test.send(again, test.request());
    test.send(second, test.request());
    REQUIRE(kept.waitFor("\r\n\r\n"));
    raw_socket other = test.server.accept();
    other.waitFor("\r\n\r\n");
    for (raw_socket* each : { &kept, &other })
        each->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(test.waitForEnd(again));
    REQUIRE(test.waitForEnd(second));
    CHECK(test.client.idleConnectionCount() == 1);
    observed fresh;
    http_client_request wanted = test.request("POST", "order");
    wanted.mayReuseConnection = false;
    test.send(fresh, wanted);
    raw_socket third = test.server.accept();
    CHECK(third.waitFor("order"));
    CHECK(runUntil(test.loop, [&] { return test.client.idleConnectionCount() == 0; }));
}

TEST_CASE("kept connections to a server that leaves stay open, or a response in progress is cut")
{
    client_fixture test;
    raw_socket idle = test.openKeptConnection();
    observed busy;
    http_client_request fresh = test.request();
    fresh.mayReuseConnection = false;
    test.send(busy, fresh);
    raw_socket used = test.server.accept();
    REQUIRE(used.waitFor("\r\n\r\n"));
    REQUIRE(test.client.idleConnectionCount() == 1);
    test.client.retire({ "127.0.0.1", test.server.port });
    CHECK(runUntil(test.loop, [&] { return test.client.idleConnectionCount() == 0; }));
    used.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    REQUIRE(test.waitForEnd(busy));
    CHECK(busy.ends.front().kind == attempt_end_kind::complete);
    CHECK(busy.body == "ok");
    CHECK(test.client.idleConnectionCount() == 0);
    // The next server at the address gets a connection that is kept as usual.
    observed next;
    test.send(next, test.request());
    raw_socket opened = test.server.accept();
    REQUIRE(opened.waitFor("\r\n\r\n"));
    opened.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(test.waitForEnd(next));
    CHECK(test.client.idleConnectionCount() == 1);
}

// Guards against bytes that are no response and come without end, in a head or in a body.
TEST_CASE("a server that sends bytes without end is cut off, and the memory stays bounded")
{
    struct endless {
        std::string name;
        std::string first;
        std::string repeated;
    };
    const std::string noise(4096, 'x');
    const std::vector<endless> cases {
        { "a head without a line break", "", noise },
        { "header lines", "HTTP/1.1 200 OK\r\n", "X-A: " + noise + "\r\n" },
        { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "a chunk's size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", noise },
        { "a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: " + noise + "\r\n" },
        { "a body past its length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", noise },
        { "a body without length", "HTTP/1.1 200 OK\r\n\r\n", noise },
    };
    constexpr std::size_t servers = 10;
    constexpr std::size_t maxSent = std::size_t { 16 } * 1024 * 1024;
    for (const endless& each : cases) {
        CAPTURE(each.name);
        http_client_limits limits;
        limits.bodyBytes = std::uint64_t { 1024 } * 1024;
        client_fixture test(limits);
        std::vector<observed> seen(servers);
        std::vector<raw_socket> connections;
        std::vector<std::size_t> sent(servers);
        for (observed& attempt : seen) {
            http_client_request wanted = test.request("POST", "order");
            wanted.mayReuseConnection = false;
            test.send(attempt, wanted);
            connections.push_back(test.server.accept());
            REQUIRE(connections.back().waitFor("order"));
            connections.back().sendSome(each.first);
        }
        const std::size_t before = usedBytes();
        std::size_t most = before;
        const auto hasEnded = [&] { return std::all_of(seen.begin(), seen.end(), [](const observed& attempt) { return !attempt.ends.empty(); }); };
        const bool isCutOff = runUntil(test.loop, [&] {
            for (std::size_t i = 0; i < servers; ++i) {
                if (sent[i] < maxSent)
                    sent[i] += static_cast<std::size_t>(std::max<ssize_t>(connections[i].sendSome(each.repeated), 0));
            }
            most = std::max(most, usedBytes());
            return hasEnded();
        });
        REQUIRE(isCutOff);
        std::size_t delivered = 0;
        for (const observed& attempt : seen) {
            delivered += attempt.body.size();
            const bool isPastLength = each.name == "a body past its length";
            CHECK((isPastLength || attempt.ends[0].kind == attempt_end_kind::malformed));
            CHECK(attempt.ends[0].mayHaveBeenSent);
        }
        CHECK(delivered <= servers * limits.bodyBytes);
        for (raw_socket& connection : connections)
            CHECK(connection.waitForClose());
        CHECK(test.client.idleConnectionCount() == 0);
        // The delivered bodies are kept by this test, in strings that grow by doubling.
        CHECK(most <= before + delivered * 3 + servers * 1024 * 1024);
    }
}
