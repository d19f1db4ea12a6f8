#include "standins/platform/BackendService.h"
#include "standins/platform/StoreService.h"

#include "StandinFixture.h"

using namespace pimentoladder;
using namespace pimentoladder::standins;
using namespace pimentoladder::tools;
using namespace std::chrono_literals;

namespace {

using store_fixture = standin_fixture<store_service, store_settings>;
using backend_fixture = standin_fixture<backend_service, backend_settings>;
using nlohmann::json;

std::string writeOf(const std::string& table, const std::string& key, const std::string& value)
{
    return json { { "write", { { { "table", table }, { "part", "" }, { "key", key }, { "value", value } } } } }.dump();
}

json bodyOf(const std::optional<client_answer>& answer)
{
    REQUIRE(answer);
    return json::parse(answer->body);
}

json feed(store_fixture& store, std::uint64_t since, duration wait = 2s)
{
    const std::string target = "/v1/rows-feed?table=t&since_revision=" + std::to_string(since) + "&wait_ms=100";
    return bodyOf(store.call("GET", target, {}, wait));
}

backend_settings quickBackend()
{
    backend_settings settings;
    settings.model.stepTime = 1ms;
    settings.model.coldSlowdown = 1;
    settings.slots = 2;
    return settings;
}

/// Sends a request as a router does.
std::optional<client_answer> ask(backend_fixture& backend, const std::string& id, std::vector<http_header> headers)
{
    headers.push_back({ "X-Attempt-Id", id });
    client_request request { { "127.0.0.1", backend.server.port() }, "POST", "/a/b", "prompt", std::move(headers) };
    std::optional<client_answer> answer;
    backend.client.send(request, [&](const client_answer& ended) {
        answer = ended;
        backend.events.stop();
    });
    backend.events.runFor(2s);
    return answer;
}

}

// Guards against a store whose conditions let two writers create the same row.
TEST_CASE("a transaction commits all of its writes or none")
{
    row_tables tables;
    const row_name name { "t", "", "a" };
    CHECK(tables.commit({ { name, 0 } }, { { name, "x" } }));
    CHECK_FALSE(tables.commit({ { name, 0 } }, { { name, "y" }, { { "t", "", "b" }, "y" } }));
    CHECK(tables.valueOf(name) == "x");
    CHECK(tables.versionOf({ "t", "", "b" }) == 0);
}

// Guards against a list that shows rows of other tables or parts, or removed ones.
TEST_CASE("a list holds the live rows of one part in order of key")
{
    row_tables tables;
    for (const char* key : { "c", "a", "b" })
        tables.commit({}, { { { "t", "", key }, "x" } });
    tables.commit({}, { { { "t", "p", "d" }, "x" }, { { "u", "", "e" }, "x" }, { { "t", "", "b" }, std::nullopt } });
    const auto rows = tables.list("t", "", "", 10);
    REQUIRE(rows.size() == 2);
    CHECK(rows[0].name.key == "a");
    CHECK(rows[1].name.key == "c");
    CHECK(tables.list("t", "", "b", 10).size() == 1);
    CHECK(tables.list("t", "", "", 1).size() == 1);
}

// Guards against a follower that misses removals or reads changes out of order.
TEST_CASE("changes come in order of version, removals included, unless they are dropped")
{
    row_tables tables;
    tables.commit({}, { { { "t", "", "b" }, "x" } });
    tables.commit({}, { { { "t", "", "a" }, "x" } });
    tables.commit({}, { { { "t", "", "b" }, std::nullopt } });
    const auto rows = tables.changes("t", 1);
    REQUIRE(rows);
    REQUIRE(rows->size() == 2);
    CHECK(rows->at(0).name.key == "a");
    CHECK_FALSE(rows->at(1).value);
    tables.dropHistory();
    CHECK_FALSE(tables.changes("t", 1));
    CHECK(tables.changes("t", 3));
}

// Guards against a feed that answers without a change before its wait ends, or
// that misses a change.
TEST_CASE("a feed waits for a change and answers empty after its wait")
{
    store_fixture store(store_settings {});
    CHECK(feed(store, 0)["rows"].empty());
    store.call("POST", "/v1/rows-tx", writeOf("t", "a", "eA=="));
    const json changed = feed(store, 0);
    REQUIRE(changed["rows"].size() == 1);
    CHECK(changed["rows"][0]["key"] == "a");
    CHECK(feed(store, changed["row_version"].get<std::uint64_t>())["rows"].empty());
}

// Guards against injected store faults that do not take effect.
TEST_CASE("the store applies lost answer, late effect, dropped history and hang faults")
{
    store_fixture store(store_settings {});
    const auto newest = [&] { return bodyOf(store.call("GET", "/v1/rows-get?table=t&part="))["row_version"].get<int>(); };
    store.call("POST", "/fault", R"({"kind":"lost_answer","target":"/v1/rows-tx","count":1})");
    CHECK(store.call("POST", "/v1/rows-tx", writeOf("t", "a", "eA=="))->end == call_end::cut);
    CHECK(newest() == 1);
    store.call("POST", "/fault", R"({"kind":"late_effect","target":"/v1/rows-tx","count":1,"latencyMs":100})");
    CHECK(store.call("POST", "/v1/rows-tx", writeOf("t", "b", "eA=="))->end == call_end::cut);
    CHECK(newest() == 1);
    store.events.runFor(150ms);
    CHECK(newest() == 2);
    store.call("POST", "/fault", R"({"kind":"drop_history","count":1})");
    CHECK(store.call("GET", "/v1/rows-feed?table=t&since_revision=1&wait_ms=100")->status == 410);
    store.call("POST", "/fault", R"({"kind":"hang","target":"/v1/rows-feed","count":1})");
    CHECK_FALSE(store.call("GET", "/v1/rows-feed?table=t&since_revision=2&wait_ms=50", {}, 300ms));
}

// Guards against registrations that outlive their server.
TEST_CASE("a registration that is not renewed is removed, renewing one creates no version")
{
    store_fixture store(store_settings { 300ms });
    for (int i = 0; i < 3; ++i) {
        store.call("POST", "/v1/rows-tx", writeOf("servers", "s", "eA=="));
        store.events.runFor(150ms);
    }
    CHECK(bodyOf(store.call("GET", "/v1/rows-get?table=servers&part="))["row_version"] == 1);
    store.events.runFor(600ms);
    CHECK(bodyOf(store.call("GET", "/v1/rows-get?table=servers&part="))["rows"].empty());
}

// Guards against a server that repeats or omits events when a stream is resumed.
TEST_CASE("a resumed stream continues after the last event that the caller received")
{
    backend_fixture backend(quickBackend());
    const auto whole = ask(backend, "a1", { { "X-Token-Counts", "10,5" } });
    REQUIRE(whole);
    CHECK(whole->end == call_end::answered);
    CHECK(whole->body.find("id: 1\n") != std::string::npos);
    CHECK(whole->body.find("id: 5\n") != std::string::npos);
    const auto rest = ask(backend, "a1", { { "X-Token-Counts", "10,5" }, { "Last-Event-Id", "3" } });
    REQUIRE(rest);
    CHECK(rest->body.find("id: 3\n") == std::string::npos);
    CHECK(rest->body.find("id: 4\n") != std::string::npos);
    CHECK(rest->body.find("id: 5\n") != std::string::npos);
    CHECK(rest->header("X-Response-Seal") == "server");
}

// Guards against a server that runs a request meant for another one.
TEST_CASE("a request for another server is refused without running")
{
    backend_fixture backend(quickBackend());
    const auto answer = ask(backend, "a1", { { "X-Expected-Instance", "other" } });
    REQUIRE(answer);
    CHECK(answer->status == 421);
    CHECK(answer->header("X-Not-Executed") == "1");
    CHECK(backend.recorded("execution_started").empty());
}

// Guards against a full server that queues without bound.
TEST_CASE("a full server refuses requests without running them")
{
    backend_fixture backend(quickBackend());
    for (int i = 0; i < 2; ++i)
        backend.client.send({ { "127.0.0.1", backend.server.port() }, "POST", "/a/b", "p", { { "X-Attempt-Id", "long" }, { "X-Token-Counts", "1,5000" } } }, [](const client_answer&) {});
    backend.events.runFor(100ms);
    const auto answer = ask(backend, "a1", {});
    REQUIRE(answer);
    CHECK(answer->status == 503);
    CHECK(answer->header("X-Not-Executed") == "1");
}
