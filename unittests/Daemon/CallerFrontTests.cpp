#include "pimentoladder/Daemon/CallerFront.h"

#include <doctest/doctest.h>

#include "DaemonFixture.h"
#include "pimentoladder/Net/HttpServer.h"

using namespace pimentoladder;

namespace {

/// Drops the core's actions except refusals, so that tests perform the steps of
/// a request themselves.
struct manual_steps_fixture : daemon_fixture {
    void handle(const router_action& action) override
    {
        const auto* step = std::get_if<request_step>(&action);
        const bool isRefusal = step && std::holds_alternative<refuse_request>(step->step);
        if (!isRefusal)
            daemon_fixture::handle(action);
    }

    std::shared_ptr<received_answer> replay(recorded_outcome outcome)
    {
        auto seen = request("POST", "/orders/shade", "{}");
        front.perform(request_step { request_number(requestCount), replay_outcome { std::move(outcome) } });
        return seen;
    }
};

const recorded_outcome storedOutcome { 201, { { "Content-Type", "text/plain" }, { "Content-Length", "0" } }, {}, "outcome/1" };

/// An engine whose first stream is aborted in the middle of its third line.
struct breaking_engine {
    explicit breaking_engine(event_loop& loop)
        : server(loop, {}, [this](const http_request& request, const std::shared_ptr<http_response_writer>& answer) { answerTo(request, *answer); })
    {
        port = server.listen({ "127.0.0.1", 0 }).value().port;
    }

    void answerTo(const http_request& request, http_response_writer& answer)
    {
        targets.push_back(request.target);
        answer.start({ 200, { { "X-Stream-Id", "a/1" } } });
        if (targets.size() == 1) {
            answer.send("one\ntwo\nthr");
            answer.abort();
            return;
        }
        answer.send("three\nfour\n");
        answer.end();
    }

    std::vector<std::string> targets;
    http_server server;
    std::uint16_t port = 0;
};

}

// Guards against an empty answer to a retry whose recorded body is in the
// object store.
TEST_CASE("a recorded body in the object store is read before the answer is replayed")
{
    manual_steps_fixture test;
    const auto seen = test.replay(storedOutcome);
    CHECK_FALSE(seen->head);
    REQUIRE(test.objectsRead == std::vector<std::string> { "outcome/1" });
    test.bodyReads.front()("the whole body");
    REQUIRE(seen->head);
    CHECK(seen->head->status == 201);
    CHECK(findHeader(seen->head->headers, "Content-Type") == "text/plain");
    CHECK_FALSE(findHeader(seen->head->headers, "Content-Length"));
    CHECK(seen->body == "the whole body");
    CHECK(seen->isEnded);
    CHECK(test.front.inProgress() == 0);
}

// Guards against reporting an order that ran as not run, and against an empty
// answer, when the object store is down.
TEST_CASE("a recorded body that cannot be read is refused as run elsewhere")
{
    manual_steps_fixture test;
    const auto seen = test.replay(storedOutcome);
    test.bodyReads.front()(std::nullopt);
    CHECK_FALSE(seen->head);
    REQUIRE(seen->refused == refusal_kind::outcomeUnreadable);
    CHECK(refusalOf(*seen->refused).ran == run_state::elsewhere);
    CHECK(refusalOf(*seen->refused).retry == retry_advice::later);
    CHECK(test.front.inProgress() == 0);
}

// Guards against answering a request whose caller left, or that a shutdown
// aborted, while the body was read.
TEST_CASE("a body that arrives after its request has ended is dropped")
{
    manual_steps_fixture test;
    const auto left = test.replay(storedOutcome);
    const auto cut = test.replay(storedOutcome);
    left->onLeave();
    CHECK(test.front.inProgress() == 1);
    CHECK(test.front.abortAll() == 1);
    for (const auto& onRead : test.bodyReads)
        onRead("late");
    CHECK_FALSE(left->head);
    CHECK(cut->isAborted);
    CHECK_FALSE(cut->head);
}

// Guards against a needless read of the object store for an outcome whose body
// is in its row.
TEST_CASE("a recorded body in the row is replayed at once")
{
    manual_steps_fixture test;
    const auto seen = test.replay({ 201, {}, "short", {} });
    CHECK(seen->body == "short");
    CHECK(seen->isEnded);
    CHECK(test.objectsRead.empty());
}

// Guards against lost or duplicate bytes when a stream that broke inside a line
// is resumed, because engines resume at whole lines only.
TEST_CASE("a resumed stream continues at the byte after the last one given to the caller")
{
    daemon_fixture test;
    breaking_engine engine(test.loop);
    REQUIRE(test.serve(engine.port));
    const auto seen = test.request("POST", "/v1/generate", "{}");
    REQUIRE(runUntil(test.loop, [&] { return seen->isEnded || seen->isAborted || seen->refused; }));
    CHECK(seen->isEnded);
    CHECK(seen->body == "one\ntwo\nthree\nfour\n");
    REQUIRE(engine.targets.size() == 2);
    CHECK(engine.targets[1] == "/v1/resume?stream=a%2F1&offset=2");
    const auto routed = test.logged("request_routed");
    REQUIRE(routed.size() == 2);
    CHECK(routed[0]["server"] == "engine-0");
    CHECK(routed[0]["attempt"] != routed[1]["attempt"]);
    CHECK(test.front.inProgress() == 0);
}

// Guards against a refused request that stays in memory.
TEST_CASE("a refusal ends the request and is logged and counted")
{
    daemon_fixture test;
    const auto seen = test.request("GET", "/index/uv?day=1");
    CHECK(seen->refused == refusal_kind::notFresh);
    CHECK(test.front.inProgress() == 0);
    const auto refused = test.logged("request_refused");
    REQUIRE(refused.size() == 1);
    CHECK(refused[0]["kind"] == "not_fresh");
    CHECK(refused[0]["path"] == "/index/uv");
    CHECK(test.values.text().find("pimentoladder_refusals_total{kind=\"not_fresh\"} 1") != std::string::npos);
}
