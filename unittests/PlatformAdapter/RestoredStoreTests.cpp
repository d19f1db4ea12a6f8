#include "RouterFixture.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

constexpr duration applyLimit = 2s; // Until a configuration that the store has acknowledged is in force.
constexpr duration leavingLimit = 2s; // Until a server that is leaving gets no more requests.

/// Router whose store has served for a while, so that a copy of it has earlier revisions.
struct restored_fixture : router_fixture {
    restored_fixture()
    {
        serve();
        copy();
    }

    // Makes the copy and writes the configuration and the registrations again, so that their
    // revisions are beyond the copy's.
    void copy()
    {
        copiedAt = tools::bootTime();
        for (const std::uint16_t port : backendPorts)
            injectFault(port, R"({"kind":"cold","latencyMs":300})");
        for (int i = 0; i < 20; ++i)
            writeConfiguration(1, { "key" });
        runFor(600ms);
        writeRevisions();
    }

    void restore(duration away = 100ms)
    {
        restoreStore(tools::bootTime() - copiedAt, away);
    }

    // Raises the store's revision without a change that concerns a router.
    void writeRevisions(int count = 20)
    {
        for (int i = 0; i < count; ++i)
            writeRow("op", "other", std::to_string(i));
    }

    bool isServed(const std::string& path, duration limit = applyLimit)
    {
        return runUntil([&] { return ask(path).status == 200; }, limit);
    }

    time_point copiedAt;
};

}

// Guards against routers that drop all rows whose revision is below one of the lost history.
TEST_CASE("a route that is added after the store was restored is served in time")
{
    restored_fixture fleet;
    fleet.writeConfiguration(2, { "key" }, { "/first/" });
    REQUIRE(fleet.isServed("/first/a"));
    fleet.restore();
    fleet.writeConfiguration(3, { "key" }, { "/first/", "/second/" });
    CHECK(fleet.isServed("/second/a"));
    CHECK(fleet.isServed("/first/a"));
}

// Guards against routers that notice a restored store by a refused read only.
TEST_CASE("a route is served in time although the restored store has given out all revisions again")
{
    restored_fixture fleet;
    fleet.injectFault(fleet.store.server.port(), R"({"kind":"outage","target":"/v1/rows-get","durationMs":1500})");
    fleet.injectFault(fleet.store.server.port(), R"({"kind":"outage","target":"/v1/rows-feed","durationMs":1500})");
    fleet.runFor(500ms);
    fleet.restore(0ms);
    fleet.writeConfiguration(1, { "key" });
    fleet.writeConfiguration(2, { "key" }, { "/added/" });
    fleet.writeRevisions(150);
    CHECK(fleet.isServed("/added/a", 1s + applyLimit));
}

// Guards against a configuration that is replaced by the one of the copy.
TEST_CASE("the configuration in force stays in force when the copy has an older one")
{
    restored_fixture fleet;
    fleet.writeConfiguration(2, { "key" }, { "/added/" });
    REQUIRE(fleet.isServed("/added/a"));
    fleet.restore();
    fleet.writeRevisions(50);
    const time_point end = tools::bootTime() + 1500ms;
    while (tools::bootTime() < end)
        REQUIRE(fleet.ask("/added/a").status == 200);
    fleet.writeConfiguration(2, { "key" }, { "/added/" });
    fleet.writeConfiguration(3, { "key" }, { "/later/" });
    CHECK(fleet.isServed("/later/a"));
    CHECK(fleet.ask("/added/a").status == 404);
}

// Guards against a router without any configuration because the copy has none.
TEST_CASE("the configuration in force stays in force when the copy has none")
{
    restored_fixture fleet;
    fleet.restoreStore(60s, 100ms);
    const time_point end = tools::bootTime() + 1s;
    while (tools::bootTime() < end)
        REQUIRE(fleet.ask("/other/a").status == 404);
    fleet.writeConfiguration(2, { "key" }, { "/added/" });
    CHECK(fleet.isServed("/added/a"));
}

// Guards against a revoked key that is accepted again because the copy still has it.
TEST_CASE("a key that was revoked stays revoked when the copy still has it")
{
    restored_fixture fleet;
    fleet.writeConfiguration(2, { "other" });
    REQUIRE(fleet.runUntil([&] { return fleet.ask("/read/a", "key").status == 401; }, applyLimit));
    fleet.restore();
    fleet.writeRevisions(50);
    const time_point end = tools::bootTime() + 1500ms;
    while (tools::bootTime() < end)
        REQUIRE(fleet.ask("/read/a", "key").status == 401);
    CHECK(fleet.ask("/read/a", "other").status == 200);
}

// Guards against a revocation that has no effect since the store was restored.
TEST_CASE("a key that is revoked after the store was restored is refused in time")
{
    restored_fixture fleet;
    fleet.restore();
    fleet.writeConfiguration(2, { "other" });
    CHECK(fleet.runUntil([&] { return fleet.ask("/read/a", "key").status == 401; }, applyLimit));
}

// Guards against requests to a leaving server because it is ready in the copy.
TEST_CASE("a leaving server gets no request when it is ready in the copy")
{
    restored_fixture fleet;
    fleet.addBackend("s-1", 8, 1s);
    REQUIRE(fleet.runUntil([&] { return fleet.ask("/read/a").header("X-Response-Seal") == "s-1"; }));
    fleet.copy();
    fleet.call(fleet.backendPorts[1], "POST", "/drain");
    fleet.runFor(leavingLimit);
    fleet.restore(50ms);
    const time_point end = tools::bootTime() + 1500ms;
    while (tools::bootTime() < end)
        REQUIRE(fleet.ask("/read/a").header("X-Response-Seal") != "s-1");
}

// Guards against requests to a server that leaves after the restoration.
TEST_CASE("a server that leaves after the store was restored gets no more requests")
{
    restored_fixture fleet;
    fleet.addBackend("s-1");
    REQUIRE(fleet.runUntil([&] { return fleet.ask("/read/a").header("X-Response-Seal") == "s-1"; }));
    fleet.copy();
    fleet.restore();
    fleet.runFor(300ms);
    fleet.call(fleet.backendPorts[1], "POST", "/drain");
    fleet.runFor(leavingLimit);
    for (int i = 0; i < 20; ++i)
        CHECK(fleet.ask("/read/a").header("X-Response-Seal") == "s-0");
}

// Guards against a server that joins after the restoration and gets no requests.
TEST_CASE("a server that registers after the store was restored is used")
{
    restored_fixture fleet;
    fleet.restore();
    fleet.addBackend("s-1");
    CHECK(fleet.runUntil([&] { return fleet.ask("/read/a").header("X-Response-Seal") == "s-1"; }, applyLimit));
}

// Guards against servers that are dropped because the copy does not have them, although they are alive.
TEST_CASE("a server that is missing from the copy is used until it has registered again")
{
    restored_fixture fleet;
    fleet.writeConfiguration(2, { "key" });
    fleet.restoreStore(60s, 50ms);
    fleet.writeConfiguration(2, { "key" });
    const time_point end = tools::bootTime() + 3s;
    while (tools::bootTime() < end)
        REQUIRE(fleet.ask("/read/a").status == 200);
}

// Guards against a router that takes the copy for the last word.
TEST_CASE("a router that starts with the copy applies what is written again")
{
    router_fixture fleet;
    fleet.addBackend("s-0");
    fleet.writeConfiguration(1, { "key" });
    fleet.runFor(200ms);
    fleet.writeConfiguration(2, { "key" }, { "/added/" });
    fleet.restoreStore(100ms, 50ms);
    fleet.startRouter();
    REQUIRE(fleet.runUntil([&] { return fleet.ask("/read/a").status == 200; }));
    CHECK(fleet.ask("/added/a").status == 404);
    fleet.writeConfiguration(2, { "key" }, { "/added/" });
    CHECK(fleet.runUntil([&] { return fleet.ask("/added/a").status == 200; }, applyLimit));
}

// Guards against a restoration that goes unnoticed because all reads failed at that time.
TEST_CASE("a route is served in time after a restoration in an outage")
{
    restored_fixture fleet;
    fleet.injectFault(fleet.store.server.port(), R"({"kind":"outage","target":"/v1","durationMs":1000})");
    fleet.runFor(300ms);
    fleet.restore(200ms);
    fleet.runFor(600ms);
    fleet.writeConfiguration(2, { "key" }, { "/added/" });
    CHECK(fleet.isServed("/added/a"));
}

// Guards against a second restoration that is taken for the first, and against an era that rises by more than one between two reads.
TEST_CASE("a route is served in time after two restorations in a row")
{
    for (const duration between : { 0ms, 300ms }) {
        restored_fixture fleet;
        fleet.restore(50ms);
        fleet.runFor(between);
        fleet.writeRevisions(5);
        fleet.restore(0ms);
        fleet.writeConfiguration(2, { "key" }, { "/added/" });
        CHECK(fleet.isServed("/added/a"));
    }
}

// Guards against answers without a valid era that move a router into another one.
TEST_CASE("answers that name no valid era change nothing")
{
    for (const char* values : { "[]", R"([""])", R"(["x"])", R"(["1","2"])", R"(["-1"])", R"(["18446744073709551616"])" }) {
        CAPTURE(values);
        restored_fixture fleet;
        fleet.restore(50ms);
        fleet.writeConfiguration(2, { "key" }, { "/added/" });
        REQUIRE(fleet.isServed("/added/a"));
        fleet.injectFault(fleet.store.server.port(), std::string(R"({"kind":"era_header","target":"/v1","durationMs":600,"values":)") + values + "}");
        const time_point end = tools::bootTime() + 1s;
        while (tools::bootTime() < end)
            REQUIRE(fleet.ask("/added/a").status == 200);
        fleet.writeConfiguration(3, { "key" }, { "/later/" });
        CHECK(fleet.isServed("/later/a"));
    }
}

// Guards against a fleet that forgets its routers or changes its key because the copy has neither.
TEST_CASE("a router writes its own row and the key in use again after a restoration")
{
    restored_fixture fleet;
    const std::string table = "pimentoladder-members";
    REQUIRE(fleet.runUntil([&] { return fleet.rowsOf(table).size() == 2; }));
    const auto before = fleet.rowsOf(table);
    fleet.restoreStore(60s, 50ms);
    CHECK(fleet.rowsOf(table).empty());
    CHECK(fleet.runUntil([&] { return fleet.rowsOf(table).size() == 2; }, 1500ms));
    CHECK(fleet.rowsOf(table) == before);
}
