#include "pimentoladder/Daemon/ShutdownSequence.h"

#include <doctest/doctest.h>

#include "DaemonFixture.h"
#include "pimentoladder/Admin/AdminService.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

/// A change store that the tests never call.
struct unused_change_store : change_store {
    void submit(change_transaction, std::function<void(submit_result)>) override { }
    void readChange(std::string, std::function<void(result<change_lookup>)>) override { }
    void readHistory(std::size_t, std::string, std::function<void(result<std::vector<stored_row>>)>) override { }
};

struct fixture {
    explicit fixture(shutdown_settings limits)
        : administration(
            {}, *operator_directory::create({}), changes, [](revision) {}, 1)
        , admin(router.driver, administration, [] { return std::string(); })
        , callerServer(router.loop, {}, [this](const http_request&, std::shared_ptr<http_response_writer> answer) { answers.push_back(std::move(answer)); })
        , shutdown({ router.driver, admin, router.front, callerServer, router.log }, limits)
    {
    }

    void beginShutdown() { shutdown.begin(router.loop.now()); }

    /// Runs until the sequence stops the loop, and returns the logged reason.
    std::string runToEnd()
    {
        loop_timer guard(router.loop, [this] { router.loop.stop(); });
        guard.arm(testLimit);
        router.loop.run();
        const auto ended = router.logged("shutdown_ended");
        return ended.empty() ? "none" : ended.back()["reason"].get<std::string>();
    }

    daemon_fixture router;
    unused_change_store changes;
    admin_service administration;
    admin_front admin;
    std::vector<std::shared_ptr<http_response_writer>> answers;
    http_server callerServer;
    shutdown_sequence shutdown;
};

/// A server that accepts a request and never answers it.
struct silent_engine {
    explicit silent_engine(event_loop& loop)
        : server(loop, {}, [this](const http_request&, std::shared_ptr<http_response_writer> answer) { answers.push_back(std::move(answer)); })
    {
        port = server.listen({ "127.0.0.1", 0 }).value().port;
    }

    std::vector<std::shared_ptr<http_response_writer>> answers;
    http_server server;
    std::uint16_t port = 0;
};

std::uint64_t requestsCut(const fixture& test)
{
    return test.router.logged("shutdown_ended").back()["requests_cut"].get<std::uint64_t>();
}

}

// Guards against refused requests from a load balancer that still considers the
// router ready: it must report unready before it drains.
TEST_CASE("a router is unready at once and drains after the grace")
{
    fixture test({ 200ms, 10s });
    REQUIRE(test.router.serve(1));
    test.beginShutdown();
    const auto ready = std::make_shared<received_answer>();
    test.admin.onRequest({ "GET", "/readyz", {}, {} }, std::make_shared<recording_answer>(ready));
    CHECK(ready->head.value().status == 503);
    CHECK_FALSE(test.router.core.isDraining());
    CHECK(test.runToEnd() == "idle");
    CHECK(test.router.core.isDraining());
    CHECK(requestsCut(test) == 0);
}

// Guards against callers that stay on the connections of a router until its drain closes them.
TEST_CASE("connections close after their responses from the start of a shutdown")
{
    fixture test({ 10s, 20s });
    const std::uint16_t port = test.callerServer.listen({ "127.0.0.1", 0 }).value().port;
    test.beginShutdown();
    raw_socket caller = raw_socket::connectTo(test.router.loop, port);
    caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(runUntil(test.router.loop, [&] { return !test.answers.empty(); }));
    test.answers.front()->reply({}, "answer");
    CHECK(caller.waitForClose());
    CHECK(caller.received.find("Connection: close") != std::string::npos);
}

// Guards against a graceful shutdown that interrupts a request in progress.
TEST_CASE("a request in progress ends before the router does")
{
    fixture test({ 1ms, 10s });
    silent_engine engine(test.router.loop);
    REQUIRE(test.router.serve(engine.port));
    const auto seen = test.router.request("POST", "/v1/generate", "{}");
    REQUIRE(runUntil(test.router.loop, [&] { return !engine.answers.empty(); }));
    test.beginShutdown();
    test.router.loop.runFor(300ms);
    CHECK(test.router.logged("shutdown_ended").empty());
    CHECK(test.router.request("GET", "/x")->refused == refusal_kind::draining);
    engine.answers.front()->reply({ 200, {} }, "done\n");
    CHECK(test.runToEnd() == "idle");
    CHECK(seen->body == "done\n");
    CHECK(seen->isEnded);
    CHECK(requestsCut(test) == 0);
}

// Guards against requests that are cut because a supervisor repeats its signal.
TEST_CASE("a repeated signal to end does not shorten the shutdown")
{
    fixture test({ 1ms, 10s });
    silent_engine engine(test.router.loop);
    REQUIRE(test.router.serve(engine.port));
    const auto seen = test.router.request("POST", "/v1/generate", "{}");
    REQUIRE(runUntil(test.router.loop, [&] { return !engine.answers.empty(); }));
    for (int signal = 0; signal < 3; ++signal) {
        test.beginShutdown();
        test.router.loop.runFor(30ms);
    }
    REQUIRE(test.router.logged("shutdown_ended").empty());
    engine.answers.front()->reply({ 200, {} }, "done\n");
    CHECK(test.runToEnd() == "idle");
    CHECK(seen->body == "done\n");
    CHECK(test.router.logged("shutdown_signal_ignored").size() == 2);
}

// Guards against a shutdown that hangs on a request that never ends, and against
// aborting such a request without a log line.
TEST_CASE("the deadline and an interrupt abort the remaining requests")
{
    for (const bool isInterrupted : { false, true }) {
        CAPTURE(isInterrupted);
        fixture test({ 1ms, isInterrupted ? 10s : 300ms });
        silent_engine engine(test.router.loop);
        REQUIRE(test.router.serve(engine.port));
        const auto seen = test.router.request("POST", "/v1/generate", "{}");
        REQUIRE(runUntil(test.router.loop, [&] { return !engine.answers.empty(); }));
        test.beginShutdown();
        loop_timer second(test.router.loop, [&] { test.shutdown.interrupt(test.router.loop.now()); });
        if (isInterrupted)
            second.arm(50ms);
        CHECK(test.runToEnd() == (isInterrupted ? "interrupt" : "deadline"));
        CHECK(seen->isAborted);
        CHECK(requestsCut(test) == 1);
    }
}
