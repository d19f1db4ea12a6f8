#include <doctest/doctest.h>

#include "Fixture.h"

using namespace pimentoladder;
using namespace pimentoladder::dispatch_test;

namespace {

served_head makeHead(int status)
{
    served_head head;
    head.status = status;
    head.isAuthentic = true;
    return head;
}

served_head makeStreamHead()
{
    served_head head = makeHead(200);
    head.isEventStream = true;
    return head;
}

}

// Guards against requests to a server whose registration ended during an outage. Its
// removal is delayed, and was performed only once no event had arrived for a while.
TEST_CASE("a delayed removal sets the next deadline, whatever other events arrive")
{
    small_fleet fleet;
    fleet.core.onStoreRecovered(fleet.now);
    fleet.core.removeServer(fleet.now, server_id("p1"));
    for (int step = 0; step < 40; ++step) {
        fleet.now += 50ms;
        const time_point due = fleet.core.nextDeadline(fleet.now);
        if (due <= fleet.now)
            fleet.core.onTick(fleet.now);
    }
    CHECK_FALSE(fleet.core.fleet().findServer(server_id("p1")));
}

// Guards against requests that a shutdown cuts without a line about them.
TEST_CASE("a response that is in progress at the end of a shutdown is reported as broken by it")
{
    small_fleet fleet;
    const attempt_number attempt = fleet.open("/order/");
    REQUIRE(fleet.core.mayStartSending(fleet.now, attempt));
    served_head head;
    head.status = 200;
    head.isAuthentic = true;
    fleet.core.onHead(fleet.now, attempt, head);
    const dispatch_actions ended = fleet.core.endAll(fleet.now);
    REQUIRE(find<attempt_outcome>(ended));
    CHECK(find<attempt_outcome>(ended)->attempt == attempt);
    CHECK(find<cancel_dispatch>(ended));
    CHECK(find<abort_response>(ended));
    CHECK_FALSE(find<refuse_inbound>(ended));
    REQUIRE(find<request_outcome>(ended));
    CHECK(find<request_outcome>(ended)->result == "broken");
    CHECK(find<request_outcome>(ended)->reason == "shutdown");
    CHECK(fleet.core.figures().inProgress == 0);
    CHECK(fleet.core.onAttemptEnded(fleet.now, attempt, { attempt_end_kind::truncated, true }).empty());
}

// Guards against requests that a shutdown cuts without an answer.
TEST_CASE("a request without a response head at the end of a shutdown is told whether it may have run")
{
    struct ended_request {
        const char* path;
        bool isSent;
        refusal_kind answer;
    };
    using enum refusal_kind;
    for (const ended_request& each : { ended_request { "/order/", true, outcomeUnknown }, { "/order/", false, draining }, { "/read/", true, serverFailed } }) {
        CAPTURE(each.path);
        small_fleet fleet;
        const attempt_number attempt = fleet.open(each.path);
        if (each.isSent)
            REQUIRE(fleet.core.mayStartSending(fleet.now, attempt));
        const dispatch_actions ended = fleet.core.endAll(fleet.now);
        REQUIRE(find<attempt_outcome>(ended));
        CHECK(find<attempt_outcome>(ended)->attempt == attempt);
        CHECK(find<cancel_dispatch>(ended));
        CHECK_FALSE(find<abort_response>(ended));
        REQUIRE(find<refuse_inbound>(ended));
        CHECK(find<refuse_inbound>(ended)->kind == each.answer);
        REQUIRE(find<request_outcome>(ended));
        CHECK(find<request_outcome>(ended)->result == "refused");
        CHECK(find<request_outcome>(ended)->reason == "shutdown");
        CHECK(fleet.core.figures().inProgress == 0);
        CHECK(fleet.core.onAttemptEnded(fleet.now, attempt, { attempt_end_kind::truncated, true }).empty());
    }
}

// Guards against requests that a late event loop takes on after the end of the grace.
TEST_CASE("from the end of the grace new requests are refused as not run")
{
    small_fleet fleet;
    fleet.core.planShutdown(fleet.now + 100ms, fleet.now + 1s);
    fleet.open("/order/");
    fleet.now += 100ms;
    fleet.core.confirm(fleet.now);
    request_number number;
    const dispatch_actions refused = fleet.send("/order/", number);
    REQUIRE(find<refuse_inbound>(refused));
    CHECK(find<refuse_inbound>(refused)->kind == refusal_kind::draining);
}

// Guards against a further run that the end of the shutdown is certain to cut.
TEST_CASE("a request is not sent to a further server immediately before the end of a shutdown")
{
    for (const duration left : { 500ms, 20ms }) {
        CAPTURE(left.count());
        small_fleet fleet;
        const attempt_number attempt = fleet.open("/read/");
        fleet.core.planShutdown(fleet.now, fleet.now + left);
        const dispatch_actions failed = fleet.core.onAttemptEnded(fleet.now, attempt, { attempt_end_kind::resetAfterSent, false });
        CHECK((find<open_dispatch>(failed) != nullptr) == (left == 500ms));
        CHECK((find<refuse_inbound>(failed) != nullptr) == (left != 500ms));
    }
}

// Guards against a second run of a request that must run at most once.
TEST_CASE("an at-most-once request is not sent again after a reset")
{
    small_fleet fleet;
    request_number number;
    const auto actions = fleet.send("/order/1", number);
    const auto* opened = find<open_dispatch>(actions);
    REQUIRE(opened);
    REQUIRE(fleet.core.mayStartSending(fleet.now, opened->attempt));
    const auto ended = fleet.core.onAttemptEnded(fleet.now, opened->attempt, { attempt_end_kind::resetAfterSent, true });
    CHECK_FALSE(find<open_dispatch>(ended));
    REQUIRE(find<refuse_inbound>(ended));
    CHECK(find<refuse_inbound>(ended)->kind == refusal_kind::outcomeUnknown);
}

// Guards against failing a request that its server reported as not run, instead of
// sending it to another server.
TEST_CASE("a request that a server refused without running it is sent to another server")
{
    small_fleet fleet;
    request_number number;
    const auto actions = fleet.send("/order/1", number);
    const auto* opened = find<open_dispatch>(actions);
    REQUIRE(opened);
    REQUIRE(fleet.core.mayStartSending(fleet.now, opened->attempt));
    served_head head = makeHead(503);
    head.isNotExecuted = true;
    CHECK_FALSE(find<open_dispatch>(fleet.core.onHead(fleet.now, opened->attempt, head)));
    const auto after = fleet.core.onAttemptEnded(fleet.now, opened->attempt, { attempt_end_kind::complete, true });
    const auto* again = find<open_dispatch>(after);
    REQUIRE(again);
    CHECK(again->server != opened->server);
}

// Guards against a second run of a request, or a false report that it did not run, after a
// refusal that may belong to an earlier request or that never ends.
TEST_CASE("a refusal that is followed by more input, breaks off or does not end may have run")
{
    for (const bool isMisdirected : { false, true }) {
        for (const attempt_end end : { attempt_end { attempt_end_kind::complete, true, true }, attempt_end { attempt_end_kind::truncated, true }, attempt_end { attempt_end_kind::malformed, true } }) {
            small_fleet fleet;
            const attempt_number attempt = fleet.open("/order/1");
            REQUIRE(fleet.core.mayStartSending(fleet.now, attempt));
            served_head head = makeHead(isMisdirected ? 421 : 503);
            head.isMisdirected = isMisdirected;
            head.isNotExecuted = true;
            CHECK_FALSE(find<refuse_inbound>(fleet.core.onHead(fleet.now, attempt, head)));
            const auto after = fleet.core.onAttemptEnded(fleet.now, attempt, end);
            CHECK_FALSE(find<open_dispatch>(after));
            REQUIRE(find<refuse_inbound>(after));
            CHECK(find<refuse_inbound>(after)->kind == refusal_kind::outcomeUnknown);
        }
    }
    small_fleet fleet;
    const attempt_number attempt = fleet.open("/order/1");
    REQUIRE(fleet.core.mayStartSending(fleet.now, attempt));
    served_head head = makeHead(503);
    head.isNotExecuted = true;
    fleet.core.onHead(fleet.now, attempt, head);
    fleet.now += 300ms;
    const auto after = fleet.core.onTick(fleet.now);
    CHECK(find<cancel_dispatch>(after));
    REQUIRE(find<refuse_inbound>(after));
    CHECK(find<refuse_inbound>(after)->kind == refusal_kind::outcomeUnknown);
}

// Guards against the body of a refusal that is read on, 0.4 GB in 300 ms, although nobody gets it.
TEST_CASE("a refusal without end is not read on and may have run")
{
    small_fleet fleet;
    const attempt_number attempt = fleet.open("/order/1");
    REQUIRE(fleet.core.mayStartSending(fleet.now, attempt));
    served_head head = makeHead(503);
    head.isNotExecuted = true;
    fleet.core.onHead(fleet.now, attempt, head);
    const std::string part(16UL * 1024, 'x');
    for (int i = 0; i < 4; ++i)
        CHECK(fleet.core.onBytes(fleet.now, attempt, part, {}).empty());
    const auto after = fleet.core.onBytes(fleet.now, attempt, part, {});
    CHECK(find<cancel_dispatch>(after));
    REQUIRE(find<refuse_inbound>(after));
    CHECK(find<refuse_inbound>(after)->kind == refusal_kind::outcomeUnknown);
}

// Guards against a caller that is told by the status that its request has not run, although
// the server does not say so, and sends it again.
TEST_CASE("a status that means not run is not forwarded for an at-most-once request that may have run")
{
    for (const int status : { 408, 429, 503 }) {
        CAPTURE(status);
        for (const char* path : { "/order/1", "/once/1" }) {
            small_fleet fleet;
            const attempt_number attempt = fleet.open(path);
            REQUIRE(fleet.core.mayStartSending(fleet.now, attempt));
            const auto after = fleet.core.onHead(fleet.now, attempt, makeHead(status));
            CHECK_FALSE(find<forward_response_head>(after));
            REQUIRE(find<refuse_inbound>(after));
            CHECK(find<refuse_inbound>(after)->kind == refusal_kind::outcomeUnknown);
        }
        small_fleet fleet;
        const attempt_number attempt = fleet.open("/read/1");
        REQUIRE(fleet.core.mayStartSending(fleet.now, attempt));
        const auto after = fleet.core.onHead(fleet.now, attempt, makeHead(status));
        CHECK((find<forward_response_head>(after) != nullptr || find<open_dispatch>(after) != nullptr));
    }
}

// Guards against responses that do not belong to the request: unsigned ones, and those
// of another attempt.
TEST_CASE("a success without signature, or of another attempt, is not forwarded")
{
    for (const bool isForeign : { false, true }) {
        small_fleet fleet;
        const attempt_number attempt = fleet.open("/order/1");
        REQUIRE(fleet.core.mayStartSending(fleet.now, attempt));
        served_head head = makeHead(200);
        head.isAuthentic = isForeign;
        head.isFromExpectedAttempt = !isForeign;
        const auto after = fleet.core.onHead(fleet.now, attempt, head);
        CHECK_FALSE(find<forward_response_head>(after));
        CHECK(find<refuse_inbound>(after)->kind == refusal_kind::outcomeUnknown);
    }
}

// Guards against a gap or a repeated event in a stream whose engine failed.
TEST_CASE("a stream is resumed after the last complete event")
{
    small_fleet fleet;
    const attempt_number first = fleet.open("/stream/1");
    REQUIRE(fleet.core.mayStartSending(fleet.now, first));
    CHECK(find<forward_response_head>(fleet.core.onHead(fleet.now, first, makeStreamHead())));
    CHECK(find<forward_response_bytes>(fleet.core.onBytes(fleet.now, first, "id: 4\n\n", { 4, 4 })));
    const auto broken = fleet.core.onAttemptEnded(fleet.now, first, { attempt_end_kind::truncated, true });
    const auto* resumed = find<open_dispatch>(broken);
    REQUIRE(resumed);
    CHECK(resumed->resumeAfter == std::optional<std::uint64_t>(4));
    REQUIRE(fleet.core.mayStartSending(fleet.now, resumed->attempt));
    const auto head = fleet.core.onHead(fleet.now, resumed->attempt, makeStreamHead());
    CHECK_FALSE(find<forward_response_head>(head));
}

// Guards against a truncated stream that looks complete to the caller.
TEST_CASE("a truncated stream that must not be resumed is aborted")
{
    small_fleet fleet;
    const attempt_number first = fleet.open("/once/1");
    REQUIRE(fleet.core.mayStartSending(fleet.now, first));
    fleet.core.onHead(fleet.now, first, makeStreamHead());
    fleet.core.onBytes(fleet.now, first, "id: 4\n\n", { 4, 4 });
    const auto broken = fleet.core.onAttemptEnded(fleet.now, first, { attempt_end_kind::truncated, true });
    CHECK(find<abort_response>(broken));
    CHECK_FALSE(find<end_response>(broken));
}

// Guards against the events of one response in the body of another one that is no stream.
TEST_CASE("a response that is no event stream is not continued by another server")
{
    for (const int status : { 200, 404, 500 }) {
        CAPTURE(status);
        dispatch_limits limits;
        limits.fleetRetries = 0;
        limits.retryShare = 1;
        small_fleet fleet(limits);
        const attempt_number attempt = fleet.open("/stream/1");
        REQUIRE(fleet.core.mayStartSending(fleet.now, attempt));
        served_head head = makeHead(status);
        const auto forwarded = fleet.core.onHead(fleet.now, attempt, head);
        if (!find<forward_response_head>(forwarded))
            continue; // A retry of the whole request, which nothing has been forwarded of.
        fleet.core.onBytes(fleet.now, attempt, "<html>", {});
        const auto broken = fleet.core.onAttemptEnded(fleet.now, attempt, { attempt_end_kind::truncated, true });
        CHECK_FALSE(find<open_dispatch>(broken));
        CHECK(find<abort_response>(broken));
    }
}

// Guards against a request that is sent under a revoked key because it waited for its
// connection.
TEST_CASE("the age of a key's confirmation is checked again at the first byte")
{
    small_fleet fleet;
    const attempt_number attempt = fleet.open("/order/1");
    fleet.now += 4700ms;
    CHECK_FALSE(fleet.core.mayStartSending(fleet.now, attempt));
    const auto after = fleet.core.onAttemptEnded(fleet.now, attempt, { attempt_end_kind::notSent, false });
    REQUIRE(find<refuse_inbound>(after));
    CHECK(find<refuse_inbound>(after)->kind == refusal_kind::notFresh);
}

// Guards against a router with an outdated configuration that reports a path as not found
// although a newer configuration has a route for it.
TEST_CASE("a router without a recent confirmation refuses an unknown path as not fresh instead of not found")
{
    small_fleet fleet;
    request_number number;
    CHECK(find<refuse_inbound>(fleet.send("/unknown/1", number))->kind == refusal_kind::noPool);
    fleet.now += 3s;
    CHECK(find<refuse_inbound>(fleet.send("/unknown/1", number))->kind == refusal_kind::notFresh);
}

// Guards against requests that outlive the route's timeout, and against a refusal that
// says "not run" for a request that was sent.
TEST_CASE("at the route's timeout a sent request ends as unknown")
{
    small_fleet fleet;
    const attempt_number attempt = fleet.open("/order/1");
    REQUIRE(fleet.core.mayStartSending(fleet.now, attempt));
    fleet.now += 10s;
    const auto ended = fleet.core.onTick(fleet.now);
    CHECK(find<cancel_dispatch>(ended));
    REQUIRE(find<refuse_inbound>(ended));
    CHECK(refusalOf(find<refuse_inbound>(ended)->kind).ran == run_state::unknown);
}

// Guards against a response with the head of one server and the body of another: an
// idempotent request was sent again after its head had been forwarded.
TEST_CASE("a response that is truncated after its head is not continued by another server")
{
    small_fleet fleet;
    const attempt_number attempt = fleet.open("/read/1");
    REQUIRE(fleet.core.mayStartSending(fleet.now, attempt));
    CHECK(find<forward_response_head>(fleet.core.onHead(fleet.now, attempt, makeHead(200))));
    const auto ended = fleet.core.onAttemptEnded(fleet.now, attempt, { attempt_end_kind::truncated, true });
    CHECK_FALSE(find<open_dispatch>(ended));
    CHECK(find<abort_response>(ended));
}

// Guards against requests sent for callers that left while the event loop lagged, as
// happened on small VMs.
TEST_CASE("nothing is sent for a caller that has closed")
{
    small_fleet fleet;
    const attempt_number attempt = fleet.open("/read/1");
    CHECK_FALSE(fleet.core.mayStartSending(fleet.now, attempt, true));
    const auto after = fleet.core.onAttemptEnded(fleet.now, attempt, { attempt_end_kind::notSent, false });
    CHECK_FALSE(find<open_dispatch>(after));
    CHECK(find<abort_response>(after));
    CHECK(fleet.core.figures().inProgress == 0);
}

// Guards against a server's error response that is replaced by the router's own because
// the retry budget is used up, as happened in an incident.
TEST_CASE("without a retry left the server's error response is forwarded")
{
    dispatch_limits limits;
    limits.fleetRetries = 0;
    limits.retryShare = 0;
    small_fleet fleet(limits);
    const attempt_number attempt = fleet.open("/read/1");
    REQUIRE(fleet.core.mayStartSending(fleet.now, attempt));
    const auto after = fleet.core.onHead(fleet.now, attempt, makeHead(500));
    CHECK(find<forward_response_head>(after));
    CHECK_FALSE(find<refuse_inbound>(after));
}

// Guards against two faults of a router whose event loop lags. It sent requests whose
// callers had disconnected meanwhile (check GONE on scale-2). It also refused workspaces
// within their share, although refusing other workspaces caused the lag (check FAIR on
// scale-1).
TEST_CASE("with a lagging event loop only workspaces that exceed their share are refused")
{
    for (const double served : { 1'000.0, 9'000.0 }) {
        small_fleet fleet;
        serving_plan plan = makePlan(2);
        plan.tokensPerSecond = 1000;
        fleet.core.applyPlan(plan);
        fleet.core.setLoopLag(fleet.now, 150ms);
        fleet.core.setFleetUsage(fleet.now, { 1, { { workspace_id("school"), 50'000, served }, { workspace_id("office"), 50'000, 1'500 } }, {} });
        inbound_request request;
        request.callerId = "id";
        request.host = "host";
        request.path = "/stream/1";
        request.keyDigest = keyDigest;
        request.timeLeft = 10s;
        request.prompt.emplace();
        request.prompt->promptTokens = 100;
        request.prompt->outputTokens = 1;
        request.prompt->parts = { { 1, 100 } };
        request_number number;
        const bool isSent = find<open_dispatch>(fleet.core.onRequest(fleet.now, request, number)) != nullptr;
        CHECK(isSent == (served < 2'000));
    }
}
