#include "standins/platform/BackendService.h"
#include "standins/platform/StoreService.h"

#include "StandinFixture.h"
#include "pimentoladder/Codec/Base64.h"

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

// Guards against a copy that still has what was written after it, or that lacks what was removed after it.
TEST_CASE("restored tables are as of their version, and count on from there")
{
    row_tables tables;
    const row_name a { "t", "", "a" };
    const row_name b { "t", "", "b" };
    tables.commit({}, { { a, "1" } });
    tables.commit({}, { { b, "1" } });
    tables.commit({}, { { a, "2" }, { b, std::nullopt } });
    tables.commit({}, { { { "t", "", "c" }, "1" } });
    tables.restore(2);
    CHECK(tables.newest() == 2);
    CHECK(tables.valueOf(a) == "1");
    CHECK(tables.versionOf(a) == 1);
    CHECK(tables.valueOf(b) == "1");
    CHECK(tables.versionOf({ "t", "", "c" }) == 0);
    CHECK(tables.commit({}, { { a, "3" } }));
    CHECK(tables.versionOf(a) == 3);
    tables.restore(0);
    CHECK(tables.list("t", "", "", 10).empty());
}

// Guards against a reader that notices a restored store by a refusal only: versions that were given out again refuse nothing.
TEST_CASE("a read from a version that a restored store lacks gets 410 until versions have passed it")
{
    row_tables tables;
    for (const char* value : { "1", "2", "3" })
        tables.commit({}, { { { "t", "", "a" }, value } });
    tables.restore(1);
    CHECK_FALSE(tables.changes("t", 3));
    tables.commit({}, { { { "t", "", "b" }, "1" } });
    CHECK(tables.changes("t", 1)->size() == 1);
    CHECK_FALSE(tables.changes("t", 3));
    tables.commit({}, { { { "t", "", "c" }, "1" } });
    REQUIRE(tables.changes("t", 3));
    CHECK(tables.changes("t", 3)->empty());
}

// Guards against a restoration that does not take effect, or that is not announced in each answer.
TEST_CASE("a store that was restored lacks later writes and names the next era in all its answers")
{
    store_fixture store(store_settings {});
    const std::string list = "/v1/rows-get?table=t&part=";
    store.call("POST", "/v1/rows-tx", writeOf("t", "a", "eA=="));
    CHECK(store.call("GET", list)->header("Store-Era") == "1");
    store.events.runFor(200ms);
    CHECK(store.call("POST", "/v1/rows-tx", writeOf("t", "b", "eA=="))->header("Store-Era") == "1");
    store.call("POST", "/fault", R"({"kind":"restore","ageMs":150,"durationMs":200})");
    CHECK(store.call("GET", list)->end == call_end::cut);
    store.events.runFor(250ms);
    const auto restored = store.call("GET", list);
    CHECK(restored->header("Store-Era") == "2");
    CHECK(bodyOf(restored)["row_version"] == 1);
    CHECK(bodyOf(restored)["rows"].size() == 1);
    const auto unknown = store.call("GET", "/v1/rows-feed?table=t&since_revision=2&wait_ms=100");
    CHECK(unknown->status == 410);
    CHECK(unknown->header("Store-Era") == "2");
    CHECK(bodyOf(store.call("POST", "/v1/rows-tx", writeOf("t", "c", "eA==")))["row_version"] == 2);
    store.call("POST", "/fault", R"({"kind":"refuse","count":1})");
    const auto refused = store.call("GET", list);
    CHECK(refused->status == 503);
    CHECK(refused->header("Store-Era") == "2");
}

// Guards against a feed that waits through a restoration and then continues in the wrong history.
TEST_CASE("a feed that waits while the store is restored ends")
{
    for (const char* fault : { R"({"kind":"restore","ageMs":60000})", R"({"kind":"restore","ageMs":60000,"durationMs":50})" }) {
        store_fixture store(store_settings {});
        store.call("POST", "/v1/rows-tx", writeOf("t", "a", "eA=="));
        std::optional<client_answer> ended;
        store.client.send({ { "127.0.0.1", store.server.port() }, "GET", "/v1/rows-feed?table=t&since_revision=1&wait_ms=5000" }, [&](const client_answer& answer) { ended = answer; });
        store.events.runFor(50ms);
        store.call("POST", "/fault", fault);
        store.events.runFor(50ms);
        REQUIRE(ended);
        CHECK((ended->end == call_end::cut || ended->status == 410));
    }
}

// Guards against a write with unknown outcome that takes effect in a history that does not have it.
TEST_CASE("a write that had not taken effect before a restoration never does")
{
    store_fixture store(store_settings {});
    store.call("POST", "/fault", R"({"kind":"late_effect","target":"/v1/rows-tx","count":1,"latencyMs":100})");
    store.call("POST", "/v1/rows-tx", writeOf("t", "a", "eA=="));
    store.call("POST", "/fault", R"({"kind":"restore"})");
    store.events.runFor(200ms);
    CHECK(bodyOf(store.call("GET", "/v1/rows-get?table=t&part="))["rows"].empty());
}

// Guards against tests of an unusual era header that see the usual one.
TEST_CASE("the era header can be left out, repeated and replaced")
{
    store_fixture store(store_settings {});
    const std::string list = "/v1/rows-get?table=t&part=";
    store.call("POST", "/fault", R"({"kind":"era_header","target":"/v1","count":1})");
    CHECK(store.call("GET", list)->header("Store-Era").empty());
    store.call("POST", "/fault", R"({"kind":"era_header","target":"/v1","count":1,"values":["x"]})");
    CHECK(store.call("GET", list)->header("Store-Era") == "x");
    CHECK(store.call("GET", list)->header("Store-Era") == "1");
}

// Guards against a server that is gone but stays registered because the copy has its row, and
// against one that is alive and leaving but is shown as ready.
TEST_CASE("after a restoration live servers register again as they are, and others expire")
{
    store_fixture store(store_settings { 400ms });
    backend_settings settings = quickBackend();
    settings.store = { "127.0.0.1", store.server.port() };
    settings.heartbeat = 100ms;
    backend_service backend({ store.events, store.history, "s-0", 1 }, settings);
    http_server backendServer(store.events, "127.0.0.1:0", [&](const exchange_ptr& exchange) { backend.handle(exchange); });
    store.call("POST", "/v1/rows-tx", writeOf("servers", "gone", "eA=="));
    store.events.runFor(200ms);
    store.port = backendServer.port();
    store.call("POST", "/drain");
    store.port = 0;
    store.events.runFor(100ms);
    store.call("POST", "/fault", R"({"kind":"restore","ageMs":200,"durationMs":100})");
    store.events.runFor(800ms);
    const json rows = bodyOf(store.call("GET", "/v1/rows-get?table=servers&part="))["rows"];
    REQUIRE(rows.size() == 1);
    CHECK(rows[0]["key"] == "s-0");
    const std::string value = decodeBase64(rows[0]["value"].get<std::string>()).value();
    CHECK(value.find("\"draining\"") != std::string::npos);
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
