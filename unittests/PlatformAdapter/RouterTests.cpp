#include "RouterFixture.h"

#include <algorithm>

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

const std::vector<tools::http_header> fiveEvents { { "X-Token-Counts", "10,5" } };

}

// Guards against components that pass their own tests but do not work together.
TEST_CASE("a router serves each kind of request from the rows of the store")
{
    router_fixture fleet;
    fleet.serve();
    const auto streamed = fleet.ask("/stream/a", "key", fiveEvents);
    CHECK(streamed.status == 200);
    CHECK(streamed.end == tools::call_end::answered);
    CHECK(streamed.body.find("id: 5\n") != std::string::npos);
    CHECK(streamed.header("X-Response-Seal") == "s-0");
    CHECK(fleet.ask("/order/a").status == 200);
    CHECK(fleet.ask("/order/a", "unknown").status == 401);
    CHECK(fleet.ask("/other/a").status == 404);
}

// Guards against a router that reports itself ready before it has a configuration, and
// against a refusal that forbids the caller to retry.
TEST_CASE("without a configuration a router is not ready and refuses requests temporarily")
{
    router_fixture fleet;
    fleet.addBackend("s-0");
    fleet.startRouter();
    fleet.runFor(300ms);
    CHECK(fleet.call(fleet.configured.listen.admin.port, "GET", "/readyz").status == 503);
    CHECK(fleet.call(fleet.configured.listen.admin.port, "GET", "/livez").status == 200);
    CHECK(fleet.ask("/read/a").status == 503);
    CHECK(fleet.call(fleet.configured.listen.admin.port, "GET", "/nowhere").status == 404);
}

// Guards against a revoked key that is still accepted.
TEST_CASE("a key that is not in a new configuration is refused")
{
    router_fixture fleet;
    fleet.serve();
    fleet.writeConfiguration(2, { "other" });
    CHECK(fleet.runUntil([&] { return fleet.ask("/read/a", "other").status == 200; }, 2s));
    CHECK(fleet.ask("/read/a", "key").status == 401);
}

// Guards against a malformed row that takes a router out of service.
TEST_CASE("a malformed configuration or registration is logged and ignored")
{
    router_fixture fleet;
    fleet.serve();
    fleet.writeRow("op", "config", "{\"version\":2,\"routes\":7}");
    fleet.writeRow("servers", "broken", "not json");
    CHECK(fleet.runUntil([&] { return fleet.logged("row_unreadable") == 2; }, 2s));
    CHECK(fleet.ask("/read/a").status == 200);
}

// Guards against requests to a server that has announced that it drains.
TEST_CASE("a draining server gets no more requests")
{
    router_fixture fleet;
    fleet.serve();
    fleet.addBackend("s-1");
    CHECK(fleet.runUntil([&] { return fleet.ask("/read/a").header("X-Response-Seal") == "s-1"; }));
    fleet.call(fleet.backendPorts[0], "POST", "/drain");
    fleet.runFor(1s);
    for (int i = 0; i < 20; ++i)
        CHECK(fleet.ask("/read/a").header("X-Response-Seal") == "s-1");
}

TEST_CASE("a server that announces its leaving while the store is away gets new requests")
{
    router_fixture fleet;
    fleet.serve();
    fleet.addBackend("s-1");
    REQUIRE(fleet.runUntil([&] { return fleet.ask("/read/a").header("X-Response-Seal") == "s-1"; }));
    fleet.injectFault(fleet.store.server.port(), R"({"kind":"outage"})");
    fleet.injectFault(fleet.backendPorts[0], R"({"kind":"announce_leaving"})");
    REQUIRE(fleet.runUntil([&] { return fleet.ask("/read/a").header("Server-Leaving") == "1"; }));
    for (int i = 0; i < 40; ++i)
        CHECK(fleet.ask("/read/a").header("X-Response-Seal") == "s-1");
    CHECK(fleet.logged("server_hold_changed") == 1);
}

TEST_CASE("a server that turned a request away gets further ones, or is never used again")
{
    router_fixture fleet;
    fleet.serve();
    fleet.addBackend("s-1");
    REQUIRE(fleet.runUntil([&] { return fleet.ask("/read/a").header("X-Response-Seal") == "s-1"; }));
    fleet.injectFault(fleet.backendPorts[0], R"({"kind":"turn_away","count":1,"latencyMs":1500})");
    REQUIRE(fleet.runUntil([&] { fleet.ask("/order/a"); return fleet.logged("server_hold_changed") == 1; }));
    const time_point end = tools::bootTime() + 1400ms;
    while (tools::bootTime() < end)
        CHECK(fleet.ask("/read/a").header("X-Response-Seal") == "s-1");
    CHECK(fleet.runUntil([&] { return fleet.ask("/read/a").header("X-Response-Seal") == "s-0"; }));
}

// Guards against a stream that ends with its server although another one may resume it.
TEST_CASE("a truncated stream continues on another server without a gap")
{
    router_fixture fleet;
    fleet.serve();
    fleet.addBackend("s-1");
    fleet.addBackend("s-2");
    CHECK(fleet.runUntil([&] { return fleet.ask("/read/a").header("X-Response-Seal") == "s-2"; }));
    fleet.runFor(100ms);
    fleet.injectFault(fleet.backendPorts[0], R"({"kind":"truncate","count":1,"afterTokens":3})");
    fleet.injectFault(fleet.backendPorts[1], R"({"kind":"truncate","count":1,"afterTokens":3})");
    const auto streamed = fleet.ask("/stream/a", "key", { { "X-Token-Counts", "10,8" } });
    CHECK(streamed.end == tools::call_end::answered);
    for (int i = 1; i <= 8; ++i) {
        const std::string id = "id: " + std::to_string(i) + "\n";
        const std::size_t first = streamed.body.find(id);
        CHECK(first != std::string::npos);
        CHECK(streamed.body.find(id, first + 1) == std::string::npos);
    }
}

// Guards against memory that grows with a response that completes no event, and against a caller who waits for it until its deadline.
TEST_CASE("a stream of bytes that complete no event is cut off and counted against its server")
{
    router_fixture fleet;
    fleet.serve();
    fleet.injectFault(fleet.backendPorts[0], R"({"kind":"endless","count":1})");
    const time_point begun = tools::bootTime();
    const auto streamed = fleet.ask("/stream/a", "key", { { "X-Token-Counts", "10,8" } });
    CHECK(tools::bootTime() - begun < 2s);
    CHECK(streamed.body.size() < 1024);
    const auto isMalformed = [](const nlohmann::json& line) { return line["event"] == "attempt_ended" && line["result"] == "malformed"; };
    CHECK(std::count_if(fleet.lines.begin(), fleet.lines.end(), isMalformed) == 1);
    CHECK(fleet.ask("/read/a").status == 200);
}

// Guards against an at-most-once request that runs twice, and against a response that
// wrongly says that it did not run.
TEST_CASE("an at-most-once request whose response is lost is not repeated and not reported as not run")
{
    router_fixture fleet;
    fleet.serve();
    fleet.injectFault(fleet.backendPorts[0], R"({"kind":"lost_answer","count":1})");
    const int status = fleet.ask("/order/a").status;
    CHECK(status == 502);
}

// Guards against a shutdown that aborts requests in progress or keeps its listener open.
TEST_CASE("a router that shuts down completes its requests first")
{
    router_fixture fleet;
    fleet.serve();
    const auto answer = fleet.begin("/stream/a", "key", { { "X-Token-Counts", "10,200" } });
    fleet.runFor(100ms);
    REQUIRE_FALSE(answer->has_value());
    fleet.router->process.shutDown(fleet.router->loop.now());
    CHECK(fleet.runUntil([&] { return answer->has_value(); }));
    CHECK((*answer)->end == tools::call_end::answered);
    CHECK((*answer)->body.find("id: 200\n") != std::string::npos);
    CHECK(fleet.runUntil([&] { return fleet.logged("shutdown_ended") == 1; }));
    CHECK(fleet.logged("shutdown_begun") == 1);
    CHECK(fleet.lines.back()["requests_cut"] == 0);
}

// Guards against a shutdown that is timed from the moment at which a late loop handles the signal.
TEST_CASE("the times of a shutdown count from the signal")
{
    router_fixture fleet;
    fleet.configured.shutdown.grace = 1s;
    fleet.serve();
    fleet.router->process.shutDown(fleet.router->loop.now() - 900ms);
    CHECK(fleet.ask("/read/a").status == 200);
    CHECK(fleet.runUntil([&] { return fleet.logged("shutdown_draining") == 1; }, 500ms));
}

// Guards against requests that come late in the grace and are cut at its end without an answer.
TEST_CASE("each request that is taken during a shutdown gets an answer")
{
    for (const bool isLate : { false, true }) {
        CAPTURE(isLate);
        router_fixture fleet;
        fleet.configured.shutdown.grace = 1s;
        fleet.configured.shutdown.deadline = 1600ms;
        fleet.serve();
        std::vector<std::shared_ptr<std::optional<tools::client_answer>>> answers;
        const time_point signalAt = fleet.router->loop.now();
        const auto isAnswered = [](const auto& each) { return each->has_value(); };
        fleet.router->process.shutDown(signalAt);
        for (int step = 0; step < 10 && fleet.router->loop.now() < signalAt + 950ms; ++step) {
            if (step == 5) {
                REQUIRE(fleet.runUntil([&] { return std::all_of(answers.begin(), answers.end(), isAnswered); }));
                // The server no longer answers within the time that the shutdown has left.
                fleet.injectFault(fleet.backendPorts[0], R"({"kind":"hang","count":1000})");
            }
            for (const char* path : { "/order/a", "/read/a" })
                answers.push_back(fleet.begin(path, "key", { { "X-Token-Counts", "10,5" } }));
            // The router's loop stands still over the end of the grace.
            if (isLate && step == 9)
                fleet.events.runFor(300ms);
            else
                fleet.runFor(100ms);
        }
        REQUIRE(fleet.runUntil([&] { return fleet.logged("shutdown_ended") == 1; }));
        fleet.router.reset();
        for (std::size_t i = 0; i < answers.size(); ++i) {
            CAPTURE(i);
            REQUIRE(fleet.runUntil([&] { return isAnswered(answers[i]); }));
            const tools::client_answer& answer = **answers[i];
            CHECK(answer.end == tools::call_end::answered);
            CHECK((answer.status == 200) == (i < 10));
        }
    }
}

// Guards against responses that are dropped because the process ends before it has written them.
TEST_CASE("a response that arrives as the deadline of a shutdown passes is delivered")
{
    router_fixture fleet;
    fleet.configured.shutdown.deadline = 300ms;
    fleet.serve();
    const std::size_t before = fleet.logged("request_dispatched");
    const auto answer = fleet.begin("/read/b");
    REQUIRE(fleet.runUntil([&] { return fleet.logged("request_dispatched") == before + 1; }));
    fleet.router->loop.runFor(2ms);
    fleet.router->process.shutDown(fleet.router->loop.now() - 290ms);
    // The server answers while the router's loop is late.
    fleet.events.runFor(30ms);
    REQUIRE(fleet.runUntil([&] { return fleet.logged("shutdown_ended") == 1; }));
    fleet.router.reset();
    REQUIRE(fleet.runUntil([&] { return answer->has_value(); }));
    CHECK((*answer)->status == 200);
    CHECK((*answer)->end == tools::call_end::answered);
}

// Guards against requests that are cut because the platform repeats SIGTERM.
TEST_CASE("a repeated SIGTERM does not shorten the shutdown, an interrupt ends it")
{
    for (const bool isInterrupted : { false, true }) {
        CAPTURE(isInterrupted);
        router_fixture fleet;
        fleet.serve();
        const auto answer = fleet.begin("/stream/a", "key", { { "X-Token-Counts", "10,200" } });
        for (int signal = 0; signal < 3; ++signal) {
            fleet.runFor(60ms);
            fleet.router->process.shutDown(fleet.router->loop.now());
        }
        REQUIRE_FALSE(answer->has_value());
        CHECK(fleet.logged("shutdown_ended") == 0);
        if (isInterrupted)
            fleet.router->process.interrupt(fleet.router->loop.now());
        CHECK(fleet.runUntil([&] { return fleet.logged("shutdown_ended") == 1; }));
        CHECK(fleet.lines.back()["reason"] == (isInterrupted ? "interrupt" : "idle"));
        CHECK(fleet.lines.back()["requests_cut"] == (isInterrupted ? 1 : 0));
        CHECK(fleet.runUntil([&] { return answer->has_value(); }));
        CHECK(((*answer)->end == tools::call_end::answered) == !isInterrupted);
    }
}

// Guards against callers that stay on the connections of a router until its drain closes them.
TEST_CASE("a router closes connections after their responses from the start of its shutdown")
{
    router_fixture fleet;
    fleet.configured.shutdown.grace = 2s;
    fleet.serve();
    CHECK(fleet.ask("/read/a").header("Connection").empty());
    fleet.router->process.shutDown(fleet.router->loop.now());
    for (int request = 0; request < 2; ++request) {
        const auto answer = fleet.ask("/read/a");
        CHECK(answer.status == 200);
        CHECK(answer.header("Connection") == "close");
        // The lag of the loop is measured in the meantime, which sets the mode again.
        fleet.runFor(120ms);
    }
    CHECK(fleet.logged("shutdown_draining") == 0);
}

// Guards against a start that continues without one of the router's addresses.
TEST_CASE("a router whose address is in use does not start")
{
    router_fixture fleet;
    const tools::http_server other(fleet.events, "127.0.0.1:" + std::to_string(fleet.configured.listen.callers.port), [](const standins::exchange_ptr&) {});
    fleet.router.emplace(fleet.configured, fleet.lines);
    const auto started = fleet.router->process.start();
    REQUIRE_FALSE(started);
    CHECK(started.error().kind == error_kind::unavailable);
}

// Guards against a reload that has no effect: at the level `warning`, a successful request
// adds no line to the log.
TEST_CASE("a reload applies the log level")
{
    router_fixture fleet;
    fleet.serve();
    settings changed = fleet.configured;
    changed.logLevel = "warning";
    fleet.router->process.reload(changed);
    const std::size_t before = fleet.lines.size();
    CHECK(fleet.ask("/read/a").status == 200);
    CHECK(fleet.lines.size() == before);
}

// Guards against a router that keeps its state from before a gap in the feed.
TEST_CASE("a router reads the complete tables again after the store has dropped its history")
{
    router_fixture fleet;
    fleet.serve();
    fleet.injectFault(fleet.store.server.port(), R"({"kind":"outage","durationMs":300})");
    fleet.runFor(100ms);
    fleet.runFor(300ms);
    fleet.writeConfiguration(2, { "other" });
    fleet.injectFault(fleet.store.server.port(), R"({"kind":"drop_history","count":1})");
    CHECK(fleet.runUntil([&] { return fleet.ask("/read/a", "other").status == 200; }, 4s));
}

// Guards against a feed that hangs, so that changes are not seen while its connection
// stays open.
TEST_CASE("a router detects a feed that hangs and reads the change in time")
{
    router_fixture fleet;
    fleet.serve();
    fleet.injectFault(fleet.store.server.port(), R"({"kind":"hang","target":"/v1/rows-feed","count":2})");
    fleet.runFor(500ms);
    fleet.writeConfiguration(2, { "other" });
    CHECK(fleet.runUntil([&] { return fleet.ask("/read/a", "other").status == 200; }, 2s));
}

// Guards against keys that are accepted although their last confirmation is too old.
TEST_CASE("requests with a key are refused once the store has been unreachable for too long")
{
    router_fixture fleet;
    fleet.configured.freshness.keys = 1s;
    fleet.serve();
    fleet.injectFault(fleet.store.server.port(), R"({"kind":"outage"})");
    CHECK(fleet.runUntil([&] { return fleet.ask("/read/a").status == 503; }, 2s));
    fleet.injectFault(fleet.store.server.port(), R"({"kind":"none"})");
    CHECK(fleet.runUntil([&] { return fleet.ask("/read/a").status == 200; }, 3s));
    CHECK(fleet.logged("dependency_lost") >= 1);
    CHECK(fleet.logged("dependency_regained") >= 1);
}

// Guards against routers that never link because each listens where the others reach it, as behind an address translation.
TEST_CASE("a router listens for its peers at its own address, not at the advertised one")
{
    router_fixture fleet;
    const std::uint16_t listened = fleet.configured.listen.peers.port;
    fleet.configured.listen.peersAdvertised = { "127.0.0.1", fleet.configured.listen.callers.port };
    fleet.serve();
    CHECK(fleet.logged("peer_listen_failed") == 0);
    CHECK(fleet.call(listened, "GET", "/").end != tools::call_end::notConnected);
}
