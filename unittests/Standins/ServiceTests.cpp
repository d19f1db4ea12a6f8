#include "standins/EngineService.h"
#include "standins/PlatformService.h"
#include "standins/PortalService.h"
#include "standins/Relay.h"

#include "StandinFixture.h"

using namespace pimentoladder;
using namespace pimentoladder::standins;
using namespace pimentoladder::tools;
using namespace std::chrono_literals;

namespace {

using engine_fixture = standin_fixture<engine_service, engine_service_settings>;
using portal_fixture = standin_fixture<portal_service, portal_settings>;
using platform_fixture = standin_fixture<platform_service, platform_settings>;

engine_service_settings quickEngine()
{
    engine_service_settings settings;
    settings.model.stepTime = 1ms;
    settings.model.coldSlowdown = 1;
    settings.resumeWindow = 200ms;
    return settings;
}

constexpr const char* twentyTokens = R"({"prompt":"abcd","hiddenTokens":20})";

}

// Guards against a resumed stream that repeats or omits tokens.
TEST_CASE("a stream cut by a reset and resumed gives every token once")
{
    engine_fixture engine(quickEngine());
    engine.call("POST", "/fault", R"({"kind":"reset","count":1,"afterTokens":7})");
    const auto cut = engine.call("POST", "/v1/generate", twentyTokens);
    REQUIRE(cut);
    CHECK(cut->end == call_end::cut);
    const auto received = std::ranges::count(cut->body, '\n');
    CHECK(received <= 7);
    const auto rest = engine.call("POST", "/v1/resume?stream=" + cut->header("X-Stream-Id") + "&offset=" + std::to_string(received));
    REQUIRE(rest);
    REQUIRE(rest->end == call_end::answered);
    const auto ended = engine.recorded("execution_ended");
    REQUIRE(ended.size() == 1);
    CHECK(ended[0]["digest"] == digestOf(cut->body + rest->body));
    CHECK(engine.recorded("execution_detached").size() == 1);
}

// Guards against a truncated answer that a client mistakes for a complete one.
TEST_CASE("a truncated stream lacks its closing chunk and cannot be resumed")
{
    engine_fixture engine(quickEngine());
    engine.call("POST", "/fault", R"({"kind":"truncate","count":1,"afterTokens":5})");
    const auto cut = engine.call("POST", "/v1/generate", twentyTokens);
    REQUIRE(cut);
    CHECK(cut->end == call_end::cut);
    CHECK(engine.call("POST", "/v1/resume?offset=0&stream=" + cut->header("X-Stream-Id"))->status == 404);
}

// Guards against streams that hold the engine after their callers have left.
TEST_CASE("a stream whose caller has left does not count as work and is forgotten")
{
    engine_fixture engine(quickEngine());
    const auto number = engine.client.send({ { "127.0.0.1", engine.server.port() }, "POST", "/v1/generate", R"({"hiddenTokens":100000})" }, [](const client_answer&) {});
    engine.events.runFor(50ms);
    engine.client.cancelCall(number);
    engine.events.runFor(400ms);
    CHECK(engine.recorded("execution_detached").size() == 1);
    REQUIRE(engine.recorded("execution_ended").size() == 1);
    CHECK(engine.recorded("execution_ended")[0]["result"] == "abandoned");
}

// Guards against an engine that accepts orders of a former owner, or ignores a
// valid order.
TEST_CASE("a fenced engine refuses an old token, an unfenced one does not")
{
    engine_service_settings unfenced = quickEngine();
    unfenced.isFenced = false;
    engine_fixture fencedEngine(quickEngine());
    engine_fixture unfencedEngine(unfenced);
    const std::string order = R"({"action":"role","role":"prefill","token":)";
    for (auto* engine : { &fencedEngine, &unfencedEngine }) {
        CHECK(engine->call("POST", "/orders", order + "5}")->status == 200);
        CHECK(engine->call("POST", "/orders", order + "4}")->status == (engine == &fencedEngine ? 409 : 200));
    }
}

// Guards against a portal that hides an execution whose answer was lost.
TEST_CASE("an order whose answer is lost is listed, one cut before is not")
{
    portal_fixture portal(portal_settings {});
    portal.call("POST", "/fault", R"({"kind":"outage","count":1})");
    CHECK(portal.call("POST", "/orders/shade", R"({"id":"a"})")->end == call_end::cut);
    CHECK(portal.recorded("execution_started").empty());
    portal.call("POST", "/fault", R"({"kind":"lost_answer","count":1})");
    CHECK(portal.call("POST", "/orders/shade", R"({"id":"b"})")->end == call_end::cut);
    const auto listed = nlohmann::json::parse(portal.call("GET", "/executions")->body)["executions"];
    REQUIRE(listed.size() == 1);
    CHECK(listed[0]["id"] == "b");
}

// Guards against outages that take effect, and lost answers whose request does not.
TEST_CASE("the platform applies a write whose answer is lost or that arrives late")
{
    platform_fixture platform(platform_settings {});
    const std::string write = R"([{"id":"1","conditions":[{"key":"a","revision":0}],"writes":[{"key":"a","value":"x"}]}])";
    const auto revision = [&] { return nlohmann::json::parse(platform.call("GET", "/table/fleet/revision")->body)["revision"].get<int>(); };
    platform.call("POST", "/fault", R"({"kind":"outage","target":"fleet","count":1})");
    CHECK(platform.call("POST", "/table/fleet/transactions", write)->end == call_end::cut);
    CHECK(revision() == 0);
    platform.call("POST", "/fault", R"({"kind":"late_effect","target":"fleet","count":1,"latencyMs":100})");
    CHECK(platform.call("POST", "/table/fleet/transactions", write)->end == call_end::cut);
    CHECK(revision() == 0);
    platform.events.runFor(150ms);
    CHECK(revision() == 1);
    const auto repeated = nlohmann::json::parse(platform.call("POST", "/table/fleet/transactions", write)->body);
    CHECK(repeated[0]["result"] == "conflict");
    CHECK(repeated[0]["revision"] == 1);
    CHECK(platform.call("POST", "/table/fleet/transactions", R"([{"id":"1"}])")->status == 400);
}

// Guards against a hung call that ends early or blocks other requests.
TEST_CASE("a hung request is never answered, and others are")
{
    platform_fixture platform(platform_settings {});
    platform.call("POST", "/fault", R"({"kind":"hang","target":"claims"})");
    CHECK_FALSE(platform.call("GET", "/table/claims/revision", {}, 100ms));
    CHECK(platform.call("GET", "/table/fleet/revision")->status == 200);
}

// Guards against a stopped link that forwards bytes or accepts new connections.
TEST_CASE("a stopped relay forwards nothing until its faults are cleared")
{
    portal_fixture portal(portal_settings {});
    relay_link link(portal.events, { "link", { "127.0.0.1", 0 }, { "127.0.0.1", portal.server.port() } });
    portal.port = link.port();
    CHECK(portal.call("GET", "/load")->status == 200);
    link.stopForward();
    std::optional<client_answer> held;
    portal.client.send({ { "127.0.0.1", link.port() }, "GET", "/index/uv" }, [&](const client_answer& answer) { held = answer; });
    portal.events.runFor(100ms);
    CHECK(portal.recorded("execution_started").empty());
    link.clearFaults();
    portal.events.runFor(100ms);
    REQUIRE(held);
    CHECK(held->status == 200);
    link.dropNew();
    link.resetAll();
    CHECK(portal.call("GET", "/load")->end != call_end::answered);
}
