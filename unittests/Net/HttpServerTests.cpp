#include "pimentoladder/Net/HttpServer.h"

#include "RawSocket.h"

#include <random>
#include <string>
#include <thread>
#include <vector>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

/// A server whose handler stores each request and response for the test.
struct server_fixture {
    explicit server_fixture(http_server_limits limits = {}, std::shared_ptr<memory_account> memory = nullptr)
        : server(
            loop, limits, [this](http_request request, std::shared_ptr<http_response_writer> answer) {
                requests.push_back(std::move(request));
                answers.push_back(std::move(answer));
                if (onRequest)
                    onRequest();
            },
            std::move(memory))
    {
        port = server.listen({ "127.0.0.1", 0 }).value().port;
    }

    raw_socket connect(int receiveBuffer = 0) { return raw_socket::connectTo(loop, port, receiveBuffer); }
    bool waitForRequests(std::size_t count)
    {
        return runUntil(loop, [&] { return requests.size() >= count; });
    }

    event_loop loop;
    std::vector<http_request> requests;
    std::vector<std::shared_ptr<http_response_writer>> answers;
    std::function<void()> onRequest;
    http_server server;
    std::uint16_t port = 0;
};

const std::string get = "GET /index HTTP/1.1\r\nHost: a\r\n\r\n";

}

// Guards against a body that is lost or parsed as the next request, and against
// hop-by-hop headers that reach the handler or the caller.
TEST_CASE("requests of every framing arrive whole on one connection")
{
    server_fixture test;
    test.onRequest = [&] {
        const http_response_head head { 200, { { "X-A", "1" }, { "Connection", "X-B" }, { "X-B", "2" } } };
        test.answers.back()->reply(head, "body of " + test.requests.back().target);
    };
    raw_socket caller = test.connect();
    caller.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nX-K: v\r\nConnection: X-Drop\r\nX-Drop: 1\r\n\r\nabc"
                "DELETE /b HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nxy"
                "PUT /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n12\r\n0\r\n\r\n"
                "HEAD /d HTTP/1.1\r\nHost: a\r\n\r\n"
        + get);
    REQUIRE(caller.waitFor("body of /index"));
    REQUIRE(test.requests.size() == 5);
    CHECK(test.requests[0].body == "abc");
    CHECK(findHeader(test.requests[0].headers, "x-k") == "v");
    CHECK_FALSE(findHeader(test.requests[0].headers, "X-Drop"));
    CHECK(test.requests[1].body == "xy");
    CHECK(test.requests[2].body == "12");
    CHECK(caller.received.find("body of /d") == std::string::npos);
    CHECK(caller.received.find("X-A: 1") != std::string::npos);
    CHECK(caller.received.find("X-B: 2") == std::string::npos);
}

// Guards against a crowd that stops short of the end of its bodies and keeps ordinary callers out.
TEST_CASE("a body that has stalled gives way to the next request")
{
    const auto memory = std::make_shared<memory_account>(memory_limits { 64 * 1024, 20ms });
    server_fixture test({}, memory);
    std::vector<memory_measure> measures;
    test.server.setMemoryObserver([&](const memory_event& taken) { measures.push_back(taken.measure); });
    const std::string head = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 40000\r\n\r\n";
    raw_socket stalled = test.connect();
    stalled.send(head + "begin");
    REQUIRE(runUntil(test.loop, [&] { return memory->held(memory_holder::reading) > 40000; }));
    test.loop.runFor(30ms);
    raw_socket next = test.connect();
    next.send(head + std::string(40000, 'x'));
    REQUIRE(test.waitForRequests(1));
    CHECK(stalled.waitFor("memory_full"));
    CHECK(stalled.received.starts_with("HTTP/1.1 503"));
    CHECK(measures == std::vector { memory_measure::gaveWay });
    CHECK(memory->held(memory_holder::reading) == 0);
    test.requests.clear();
    CHECK(memory->held(memory_holder::requests) == 0);
}

// Guards against chunked bodies, which announce no length, that grow beyond the memory together, and
// against refused ones that keep what they hold.
TEST_CASE("a chunked body that finds no room is refused and releases its room")
{
    const auto memory = std::make_shared<memory_account>(memory_limits { 64 * 1024, 1min });
    server_fixture test({}, memory);
    raw_socket caller = test.connect();
    caller.send("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n" + std::string(0xffff, 'x'));
    CHECK(caller.waitFor("memory_full"));
    CHECK(test.requests.empty());
    CHECK(memory->held(memory_holder::reading) == 0);
}

// Guards against memory that is held by input which callers send behind a request in progress.
TEST_CASE("input behind a running request is discarded while memory is scarce")
{
    const auto memory = std::make_shared<memory_account>(memory_limits { 64 * 1024, 1min });
    server_fixture test({}, memory);
    raw_socket caller = test.connect();
    caller.send(get);
    REQUIRE(test.waitForRequests(1));
    memory->count(memory_holder::answers, 0, 40 * 1024);
    caller.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 30000\r\n\r\n" + std::string(30000, 'x'));
    test.loop.runFor(30ms);
    CHECK(memory->held(memory_holder::input) == 0);
    test.answers[0]->reply({}, "first");
    CHECK(caller.waitFor("first"));
    CHECK(runUntil(test.loop, [&] { return test.server.connectionCount() == 0; }));
    CHECK(test.requests.size() == 1);
}

// Guards against a pipelined request that overtakes a response in progress.
TEST_CASE("a pipelined request waits for the answer before it")
{
    server_fixture test;
    raw_socket caller = test.connect();
    caller.send(get + get);
    REQUIRE(test.waitForRequests(1));
    test.loop.runFor(20ms);
    CHECK(test.requests.size() == 1);
    test.answers[0]->reply({}, "first");
    REQUIRE(test.waitForRequests(2));
    test.answers[1]->reply({}, "second");
    CHECK(caller.waitFor("second"));
    CHECK(caller.received.find("first") < caller.received.find("second"));
}

// Guards against a malformed head that reaches the handler, a response that a
// reset destroys, and a refusal that is not machine-readable.
TEST_CASE("a malformed request gets a readable refusal after the answers before it")
{
    server_fixture test;
    test.onRequest = [&] { test.answers.back()->reply({}, "fine"); };
    raw_socket caller = test.connect();
    caller.send(get + "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
        + std::string(100000, 'x'));
    REQUIRE(caller.waitFor("conflicting_length"));
    caller.send(std::string(1000000, 'x'));
    REQUIRE(caller.waitForClose());
    CHECK_FALSE(caller.isReset);
    CHECK(test.requests.size() == 1);
    CHECK(caller.received.find("fine") != std::string::npos);
    CHECK(caller.received.find("HTTP/1.1 400") != std::string::npos);
    const nlohmann::json body = nlohmann::json::parse(caller.received.substr(caller.received.rfind("\r\n\r\n") + 4));
    CHECK(body["kind"] == "conflicting_length");
    CHECK(body["ran"] == false);
    CHECK(body["retry"] == "no");
    CHECK(runUntil(test.loop, [&] { return test.server.connectionCount() == 0; }));
}

// Guards against a truncated response that a caller cannot tell from a complete one.
TEST_CASE("an aborted response is visibly incomplete")
{
    server_fixture test;
    raw_socket chunked = test.connect();
    chunked.send(get);
    REQUIRE(test.waitForRequests(1));
    test.answers[0]->start({});
    test.answers[0]->send("part");
    test.answers[0]->abort();
    REQUIRE(chunked.waitForClose());
    CHECK(chunked.received.find("part") != std::string::npos);
    CHECK(chunked.received.find("0\r\n\r\n") == std::string::npos);

    raw_socket sized = test.connect();
    sized.send(get);
    REQUIRE(test.waitForRequests(2));
    test.answers[1]->start({ 200, { { "Content-Length", "10" } } });
    test.answers[1]->send("part");
    test.answers[1]->end();
    REQUIRE(sized.waitForClose());
    CHECK(sized.received.ends_with("\r\n\r\npart"));

    raw_socket old = test.connect();
    old.send("GET / HTTP/1.0\r\n\r\n");
    REQUIRE(test.waitForRequests(3));
    test.answers[2]->start({});
    test.answers[2]->send("part");
    test.answers[2].reset();
    REQUIRE(old.waitForClose());
    CHECK(old.isReset);

    raw_socket unanswered = test.connect();
    unanswered.send(get);
    REQUIRE(test.waitForRequests(4));
    test.answers[3].reset();
    REQUIRE(unanswered.waitForClose());
    CHECK(unanswered.received.empty());
}

// Guards against work that continues after the caller has disconnected, at each stage.
TEST_CASE("the handler is notified when the caller disconnects")
{
    for (const int stage : { 0, 1, 2 }) {
        CAPTURE(stage);
        server_fixture test;
        raw_socket caller = test.connect();
        caller.send(get);
        REQUIRE(test.waitForRequests(1));
        int left = 0;
        test.answers[0]->whenCallerDisconnects([&] { ++left; });
        if (stage >= 1)
            test.answers[0]->start({});
        if (stage >= 2) {
            test.answers[0]->send("part");
            REQUIRE(caller.waitFor("part"));
            caller.reset();
        }
        caller.close();
        CHECK(runUntil(test.loop, [&] { return left == 1; }));
        CHECK(test.server.connectionCount() == 0);
        test.answers[0]->send("late");
        test.answers[0]->end();
        test.loop.runFor(5ms);
        CHECK(left == 1);
    }
    server_fixture test;
    raw_socket partial = test.connect();
    partial.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab");
    REQUIRE(runUntil(test.loop, [&] { return test.server.connectionCount() == 1; }));
    partial.close();
    CHECK(runUntil(test.loop, [&] { return test.server.connectionCount() == 0; }));
    CHECK(test.requests.empty());
}

// Guards against unbounded memory for a caller that reads slowly, and
// against a caller that never reads.
TEST_CASE("a slow reader shows in pendingBytes and whenDrained")
{
    http_server_limits limits;
    limits.writeTimeout = 200ms;
    server_fixture test(limits);
    raw_socket caller = test.connect(4096);
    caller.send(get);
    REQUIRE(test.waitForRequests(1));
    http_response_writer& answer = *test.answers[0];
    answer.start({});
    const std::string part(64 * 1024, 'x');
    std::size_t sent = 0;
    std::size_t most = 0;
    bool isDone = false;
    std::function<void()> fill = [&] {
        while (answer.pendingBytes() < 256 * 1024 && sent < 16 * 1024 * 1024) {
            answer.send(part);
            sent += part.size();
        }
        most = std::max(most, answer.pendingBytes());
        if (sent < 16 * 1024 * 1024) {
            answer.whenDrained(64 * 1024, fill);
            return;
        }
        answer.end();
        isDone = true;
    };
    fill();
    REQUIRE(caller.waitFor("\r\n0\r\n\r\n", 20s));
    CHECK(isDone);
    CHECK(caller.received.size() > sent);
    CHECK(most < 400 * 1024);

    raw_socket stuck = test.connect(4096);
    stuck.send(get);
    REQUIRE(test.waitForRequests(2));
    int left = 0;
    test.answers[1]->whenCallerDisconnects([&] { ++left; });
    test.answers[1]->start({});
    test.answers[1]->send(std::string(8 * 1024 * 1024, 'x'));
    CHECK(runUntil(test.loop, [&] { return left == 1; }));
}

// Guards against a sum of the pending output that drifts from what is pending.
TEST_CASE("the server's pending bytes are those of its connections, and zero once these have closed")
{
    server_fixture test;
    std::vector<raw_socket> callers;
    constexpr std::size_t count = 5;
    for (std::size_t i = 0; i < count; ++i) {
        callers.push_back(test.connect(4096));
        callers.back().send(get);
        REQUIRE(test.waitForRequests(i + 1));
        test.answers[i]->start({});
        test.answers[i]->send(std::string(8UL * 1024 * 1024, 'x'));
    }
    const auto sum = [&] {
        std::size_t all = 0;
        for (const auto& each : test.answers)
            all += each->pendingBytes();
        return all;
    };
    CHECK(test.server.pendingBytes() > count * 1024 * 1024);
    CHECK(test.server.pendingBytes() == sum());
    test.loop.runFor(50ms);
    CHECK(test.server.pendingBytes() == sum());
    CHECK(test.answers[0]->pendingBytesOfAll() == sum());
    test.answers[0]->abort();
    callers.clear();
    CHECK(runUntil(test.loop, [&] { return test.server.pendingBytes() == 0; }));
}

// Guards against connections held open by callers that send slowly or nothing.
TEST_CASE("slow writers and idle connections time out")
{
    http_server_limits limits;
    limits.headTimeout = 50ms;
    limits.bodyTimeout = 50ms;
    limits.idleTimeout = 50ms;
    server_fixture test(limits);
    raw_socket idle = test.connect();
    raw_socket head = test.connect();
    head.send("GET / HTTP/1.1\r\nHo");
    raw_socket body = test.connect();
    body.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab");
    CHECK(idle.waitForClose());
    CHECK(idle.received.empty());
    CHECK(head.waitFor("request_timeout"));
    CHECK(body.waitFor("request_timeout"));
    CHECK(test.requests.empty());
}

// Guards against connections that the server closes without a trace in logs and metrics.
TEST_CASE("a connection that the server closes is reported with its reason")
{
    http_server_limits limits;
    limits.idleTimeout = 50ms;
    server_fixture test(limits);
    std::vector<server_close> closes;
    test.server.setCloseObserver([&](const server_close& closing) { closes.push_back(closing); });
    raw_socket busy = test.connect();
    busy.send(get);
    REQUIRE(test.waitForRequests(1));
    test.answers[0]->abort();
    REQUIRE(busy.waitForClose());
    raw_socket idle = test.connect();
    REQUIRE(idle.waitForClose());
    REQUIRE(closes.size() == 2);
    CHECK(closes[0].reason == server_close_reason::abortedResponse);
    CHECK(closes[1].reason == server_close_reason::idleTimeout);
    CHECK_FALSE(closes[1].hasUnreadInput);
    CHECK(closes[1].unsentBytes == 0);
}

// Guards against requests that are lost without an answer because the loop handles them and
// an expired time limit in the same iteration.
TEST_CASE("a request that arrived before its connection's time limit is answered by a late loop")
{
    http_server_limits limits;
    limits.headTimeout = 100ms;
    limits.bodyTimeout = 100ms;
    limits.idleTimeout = 100ms;
    const std::string post = "POST /index HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde";
    // The first bytes arrive in time: none, a part of the head, or a part of the body.
    for (const std::size_t early : { std::size_t { 0 }, post.find("Host"), post.size() - 3 }) {
        for (const bool isRead : { true, false }) {
            CAPTURE(early);
            CAPTURE(isRead);
            server_fixture test(limits);
            raw_socket caller = test.connect();
            REQUIRE(runUntil(test.loop, [&] { return test.server.connectionCount() == 1; }));
            caller.send(post.substr(0, early));
            test.loop.runFor(20ms);
            // The rest is read by the iteration in which the limit expires, or arrives after it has read.
            loop_timer rest(test.loop, [&] { caller.send(post.substr(early)); });
            if (isRead)
                caller.send(post.substr(early));
            else
                rest.arm(10ms);
            std::this_thread::sleep_for(200ms);
            const bool hasArrived = test.waitForRequests(1);
            CHECK(hasArrived);
            if (!hasArrived)
                continue;
            CHECK(test.requests[0].body == "abcde");
            test.answers[0]->reply({}, "answer");
            CHECK(caller.waitFor("answer"));
        }
    }
}

// Guards against a refusal of an overloaded server that costs as much as handling the request,
// and against one that disturbs the next request of its connection.
TEST_CASE("a request that is refused early does not reach the handler")
{
    server_fixture test;
    bool isRefusing = false;
    std::vector<bool> closing;
    test.server.setEarlyCheck([&](const http_headers& headers, bool closes) {
        CHECK(findHeader(headers, "X-K") == "v");
        if (isRefusing)
            closing.push_back(closes);
        return isRefusing ? std::string_view("HTTP/1.1 503 Busy\r\nContent-Length: 5\r\n\r\nbusy\n") : std::string_view();
    });
    test.onRequest = [&] { test.answers.back()->reply({}, "served " + test.requests.back().body); };
    const auto post = [](const std::string& body) { return "POST /index HTTP/1.1\r\nHost: a\r\nX-K: v\r\nContent-Length: 1\r\n\r\n" + body; };
    raw_socket caller = test.connect();
    caller.send(post("1"));
    REQUIRE(caller.waitFor("served 1"));
    isRefusing = true;
    caller.send(post("2") + post("3"));
    REQUIRE(caller.waitFor("busy\nHTTP/1.1 503 Busy\r\nContent-Length: 5\r\n\r\nbusy\n"));
    isRefusing = false;
    caller.send(post("4"));
    CHECK(caller.waitFor("served 4"));
    CHECK(test.requests.size() == 2);
    CHECK(closing == std::vector<bool> { false, false });
}

// Guards against refused callers that come again on new connections until none is left.
TEST_CASE("a connection whose first request is refused early closes after the response")
{
    server_fixture test;
    bool isClosing = false;
    test.server.setEarlyCheck([&](const http_headers&, bool closes) {
        isClosing = closes;
        return std::string_view("HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 5\r\n\r\nbusy\n");
    });
    raw_socket caller = test.connect();
    caller.send(get);
    CHECK(caller.waitFor("busy\n"));
    CHECK(isClosing);
    CHECK(runUntil(test.loop, [&] { return test.server.connectionCount() == 0; }));
    CHECK(test.requests.empty());
}

// Guards against a caller that sends requests without reading and so corrupts the connection's
// state or stops the server.
TEST_CASE("a caller that does not read its early refusals loses its connection")
{
    server_fixture test;
    bool isRefusing = false;
    test.server.setEarlyCheck([&](const http_headers&, bool) { return isRefusing ? std::string_view("HTTP/1.1 503 Busy\r\nContent-Length: 5\r\n\r\nbusy\n") : std::string_view(); });
    test.onRequest = [&] { test.answers.back()->reply({}, "served"); };
    raw_socket caller = test.connect(2048);
    caller.send(get);
    REQUIRE(runUntil(test.loop, [&] { return test.requests.size() == 1; }));
    isRefusing = true;
    std::string many;
    for (int i = 0; i < 500; ++i)
        many += get;
    const bool isClosed = runUntil(test.loop, [&] {
        caller.send(many);
        return test.server.connectionCount() == 0;
    });
    CHECK(isClosed);
    isRefusing = false;
    raw_socket other = test.connect();
    other.send(get);
    CHECK(other.waitFor("served"));
}

// Guards against closes, cancellations and news of the fleet that wait until all requests that
// have arrived have been handled.
TEST_CASE("requests that arrive together leave room for other events")
{
    constexpr int callerCount = 300;
    server_fixture test;
    test.onRequest = [&] {
        const time_point end = test.loop.now() + 1ms;
        while (test.loop.now() < end)
            continue;
        test.answers.back()->reply({}, "answer");
    };
    std::vector<raw_socket> callers;
    for (int i = 0; i < callerCount; ++i)
        callers.push_back(test.connect());
    REQUIRE(runUntil(test.loop, [&] { return test.server.connectionCount() == callerCount; }));
    for (raw_socket& each : callers)
        each.send(get);
    duration longestDelay {};
    time_point due = test.loop.now();
    loop_timer timer(test.loop, [&] {
        longestDelay = std::max(longestDelay, test.loop.now() - due);
        due = test.loop.now() + 1ms;
        timer.arm(1ms);
    });
    timer.arm(0ms);
    REQUIRE(test.waitForRequests(callerCount));
    CHECK(longestDelay < 150ms);
    CHECK(test.server.readDelay() == duration::zero());
}

// Guards against an unbounded number of connections, and against closing a
// connection over the limit without an error response.
TEST_CASE("connections over the limit are refused")
{
    http_server_limits limits;
    limits.connections = 2;
    server_fixture test(limits);
    raw_socket first = test.connect();
    raw_socket second = test.connect();
    REQUIRE(runUntil(test.loop, [&] { return test.server.connectionCount() == 2; }));
    raw_socket third = test.connect();
    CHECK(third.waitFor("too_many_connections"));
    first.send(get);
    CHECK(test.waitForRequests(1));
}

// Guards against refusals that are discarded unsent on a late loop, so that callers see only
// the end of the connection.
TEST_CASE("a refusal is sent even if its linger time passes before the socket is written")
{
    constexpr std::size_t callers = 300;
    http_server_limits limits;
    limits.lingerTimeout = 20ms;
    server_fixture test(limits);
    std::vector<raw_socket> refused;
    for (std::size_t i = 0; i < callers; ++i)
        refused.push_back(test.connect());
    REQUIRE(runUntil(test.loop, [&] { return test.server.connectionCount() == callers; }));
    for (raw_socket& each : refused)
        each.send("no request\r\n\r\n");
    loop_timer slowIteration(test.loop, [&] {
        std::this_thread::sleep_for(40ms);
        slowIteration.arm(0ms);
    });
    slowIteration.arm(0ms);
    REQUIRE(runUntil(test.loop, [&] { return test.server.connectionCount() == 0; }));
    slowIteration.cancel();
    const auto answered = std::count_if(refused.begin(), refused.end(), [](raw_socket& each) { return each.waitFor("malformed"); });
    CHECK(answered == callers);
}

// Guards against a caller that waits forever for `100 Continue` before its body.
TEST_CASE("100 Continue is sent to a caller that expects it")
{
    server_fixture test;
    raw_socket caller = test.connect();
    caller.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
    REQUIRE(caller.waitFor("HTTP/1.1 100 Continue\r\n\r\n"));
    caller.send("ab");
    REQUIRE(test.waitForRequests(1));
    CHECK(test.requests[0].body == "ab");
}

// Guards against a drain that truncates responses in progress or accepts further
// requests.
TEST_CASE("draining ends idle connections and lets answers finish")
{
    server_fixture test;
    raw_socket idle = test.connect();
    raw_socket busy = test.connect();
    busy.send(get);
    REQUIRE(test.waitForRequests(1));
    REQUIRE(runUntil(test.loop, [&] { return test.server.connectionCount() == 2; }));
    test.server.drain();
    CHECK(idle.waitForClose());
    CHECK(test.server.connectionCount() == 1);
    test.answers[0]->reply({}, "last");
    REQUIRE(busy.waitForClose());
    CHECK(busy.received.ends_with("last"));
    raw_socket late = test.connect();
    late.send(get);
    CHECK(late.waitForClose());
}

// Guards against requests that a drain loses because they wait in the socket, or in the
// connection's buffer for a later callback of the same iteration.
TEST_CASE("a request that arrived before the server drains is answered")
{
    for (const bool isRead : { true, false }) {
        CAPTURE(isRead);
        server_fixture test;
        raw_socket caller = test.connect();
        REQUIRE(runUntil(test.loop, [&] { return test.server.connectionCount() == 1; }));
        test.loop.runFor(5ms);
        caller.send(get);
        loop_timer drain(test.loop, [&] { test.server.drain(); });
        if (isRead)
            drain.arm(0ms);
        else
            test.server.drain();
        const bool hasArrived = test.waitForRequests(1);
        CHECK(hasArrived);
        if (!hasArrived)
            continue;
        test.answers[0]->reply({}, "answer");
        REQUIRE(caller.waitForClose());
        CHECK_FALSE(caller.isReset);
        CHECK(caller.received.ends_with("answer"));
        CHECK(caller.received.find("Connection: close") != std::string::npos);
    }
}

// Guards against a drain that resets connections which the server has not accepted yet.
TEST_CASE("a request on a connection that waits for acceptance when the server drains is answered")
{
    server_fixture test;
    constexpr std::size_t callerCount = 80;
    std::vector<raw_socket> callers;
    for (std::size_t index = 0; index < callerCount; ++index) {
        callers.push_back(test.connect());
        callers.back().send(get);
    }
    test.onRequest = [&] { test.answers.back()->reply({}, "answer"); };
    test.server.drain();
    std::size_t answered = 0;
    for (raw_socket& each : callers)
        answered += each.waitForClose() && each.received.ends_with("answer") ? 1 : 0;
    CHECK(answered == callerCount);
    raw_socket late = test.connect();
    CHECK(late.waitForClose());
}

// Guards against connections that outlive the drain because their response began before it.
TEST_CASE("a connection whose response began before the drain is closed after its last request")
{
    for (const bool hasFurtherRequest : { false, true }) {
        CAPTURE(hasFurtherRequest);
        server_fixture test;
        raw_socket caller = test.connect();
        caller.send(get);
        REQUIRE(test.waitForRequests(1));
        test.answers[0]->start({});
        REQUIRE(caller.waitFor("\r\n\r\n"));
        test.server.drain();
        if (hasFurtherRequest)
            caller.send(get);
        test.answers[0]->end();
        if (hasFurtherRequest) {
            REQUIRE(test.waitForRequests(2));
            test.answers[1]->reply({}, "further");
        }
        REQUIRE(caller.waitForClose());
        CHECK_FALSE(caller.isReset);
        CHECK(caller.received.ends_with(hasFurtherRequest ? "further" : "0\r\n\r\n"));
        CHECK(runUntil(test.loop, [&] { return test.server.connectionCount() == 0; }));
    }
}

// Guards against use after free when responses outlive the server or a connection
// is destroyed in any state.
TEST_CASE("answers may outlive the server")
{
    std::vector<std::shared_ptr<http_response_writer>> kept;
    event_loop loop;
    {
        http_server server(
            loop, {}, [&](const http_request&, std::shared_ptr<http_response_writer> answer) { kept.push_back(std::move(answer)); });
        const std::uint16_t port = server.listen({ "127.0.0.1", 0 }).value().port;
        raw_socket first = raw_socket::connectTo(loop, port);
        raw_socket second = raw_socket::connectTo(loop, port);
        first.send(get);
        second.send(get);
        REQUIRE(runUntil(loop, [&] { return kept.size() == 2; }));
        kept[0]->start({});
        raw_socket unread = raw_socket::connectTo(loop, port);
    }
    kept[0]->send("late");
    kept[0]->end();
    kept.clear();
    loop.runFor(5ms);
}

// Guards against an address in use that terminates the process or is ignored.
TEST_CASE("an address in use is reported")
{
    server_fixture test;
    http_server second(test.loop, {}, [](const http_request&, const std::shared_ptr<http_response_writer>&) {});
    CHECK(second.listen({ "127.0.0.1", test.port }).error().kind == error_kind::unavailable);
    CHECK(second.listen({ "localhost", 0 }).error().kind == error_kind::unavailable);
}

// Guards against crashes and stuck connections on unforeseen input to the whole
// server.
TEST_CASE("random bytes never reach the handler as a request with a NUL")
{
    server_fixture test;
    test.onRequest = [&] { test.answers.back()->reply({}, "ok"); };
    std::mt19937 random(41);
    const std::string base = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab" + get;
    for (int round = 0; round < 300; ++round) {
        std::string bytes = base;
        for (int change = 0; change < 3; ++change)
            bytes[random() % bytes.size()] = static_cast<char>(random() % 256);
        raw_socket caller = test.connect();
        caller.send(bytes);
        test.loop.runFor(500us);
        caller.close();
    }
    CHECK(runUntil(test.loop, [&] { return test.server.connectionCount() == 0; }));
    for (const http_request& each : test.requests)
        CHECK(each.target.find('\0') == std::string::npos);
}

// Guards against a process that terminates when it runs out of file descriptors,
// as seen in a simulated day (about half a minute of traffic) of a large fleet, and
// against a server that accepts no connection afterwards.
TEST_CASE("a server without descriptors accepts again when there are some")
{
    server_fixture test;
    test.onRequest = [&] { test.answers.back()->reply({}, "served"); };
    raw_socket caller = test.connect();
    rlimit before {};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
    const int next = dup(0);
    rlimit tight = before;
    tight.rlim_cur = static_cast<rlim_t>(next);
    close(next);
    REQUIRE(setrlimit(RLIMIT_NOFILE, &tight) == 0);
    test.loop.runFor(50ms);
    REQUIRE(setrlimit(RLIMIT_NOFILE, &before) == 0);
    caller.send(get);
    CHECK(caller.waitFor("served"));
}
