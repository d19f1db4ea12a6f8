#include <doctest/doctest.h>

#include "Fixture.h"

using namespace pimentoladder;
using namespace pimentoladder::dispatch_test;

namespace {

served_head streamHead()
{
    served_head head;
    head.status = 200;
    head.isAuthentic = true;
    head.isEventStream = true;
    return head;
}

/// Engines e1 of version 1, e2 and e3 of version 2.
struct mixed_fleet : small_fleet {
    mixed_fleet()
    {
        for (const auto& [id, version] : { std::pair { "e1", "1" }, { "e2", "2" }, { "e3", "2" } })
            put(id, version, 1);
    }

    void put(const std::string& id, const std::string& version, std::uint64_t start)
    {
        registered_server server = makeServer(id, "llm");
        server.softwareVersion = version;
        server.start = incarnation(start);
        core.putServer(now, server);
    }

    std::string versionOf(const server_id& server) const { return core.fleet().findServer(server)->softwareVersion; }

    /// Begins a stream and returns its attempt, which has sent the event 4.
    open_dispatch begin()
    {
        request_number number;
        const open_dispatch opened = *find<open_dispatch>(send("/stream/1", number));
        core.mayStartSending(now, opened.attempt);
        core.onHead(now, opened.attempt, streamHead());
        core.onBytes(now, opened.attempt, "id: 4\n\n", { 4, 4 });
        return opened;
    }

    dispatch_actions breakOff(attempt_number attempt) { return core.onAttemptEnded(now, attempt, { attempt_end_kind::truncated, true }); }
};

}

// Guards against a stream whose events come from two software versions (ORDER).
TEST_CASE("a broken stream goes on only at a server of the version that began it")
{
    for (int i = 0; i < 20; ++i) {
        mixed_fleet fleet;
        for (int skipped = 0; skipped < i; ++skipped)
            fleet.begin();
        const open_dispatch first = fleet.begin();
        const auto broken = fleet.breakOff(first.attempt);
        const auto* resumed = find<open_dispatch>(broken);
        if (fleet.versionOf(first.server) == "1") {
            CHECK_FALSE(resumed);
            CHECK(find<abort_response>(broken));
            continue;
        }
        REQUIRE(resumed);
        CHECK(fleet.versionOf(resumed->server) == "2");
    }
}

// Guards against a version that was registered by an earlier process at the same id.
TEST_CASE("a stream whose server has restarted as another version is not continued")
{
    mixed_fleet fleet;
    open_dispatch first = fleet.begin();
    while (fleet.versionOf(first.server) != "2")
        first = fleet.begin();
    fleet.put(first.server.value(), "3", 2);
    const auto broken = fleet.breakOff(first.attempt);
    CHECK_FALSE(find<open_dispatch>(broken));
    CHECK(find<abort_response>(broken));
}

// Guards against events of a server that restarted as another version before the request.
TEST_CASE("no event is forwarded of a continuation whose server has restarted as another version")
{
    mixed_fleet fleet;
    open_dispatch first = fleet.begin();
    while (fleet.versionOf(first.server) != "2")
        first = fleet.begin();
    const open_dispatch second = *find<open_dispatch>(fleet.breakOff(first.attempt));
    fleet.put(second.server.value(), "3", 2);
    fleet.core.mayStartSending(fleet.now, second.attempt);
    fleet.core.onHead(fleet.now, second.attempt, streamHead());
    CHECK_FALSE(find<forward_response_bytes>(fleet.core.onBytes(fleet.now, second.attempt, "id: 5\n\n", { 5, 5 })));
}

// Guards against a take-up at a router that does not know which version began the stream.
TEST_CASE("a stream that is taken up goes on at the version that began it, or not at all")
{
    mixed_fleet fleet;
    inbound_request request;
    request.host = "host";
    request.path = "/stream/1";
    request.keyDigest = keyDigest;
    request.timeLeft = 10s;
    request.resumeAfter = 4;
    request_number number;
    const auto takeUp = [&](const std::string& id) {
        request.callerId = "take-up";
        request.resumedId = id;
        return fleet.core.onRequest(fleet.now, request, number);
    };
    const auto reasonOf = [](const dispatch_actions& actions) { return find<request_outcome>(actions)->heldBy; };
    for (const char* unknown : { "", "unknown" }) {
        CHECK(find<refuse_inbound>(takeUp(unknown))->kind == refusal_kind::noEligibleServer);
        CHECK(reasonOf(takeUp(unknown)) == hold_reason::unknownVersion);
    }
    for (const char* version : { "1", "2" }) {
        fleet.core.streamVersions().merge(fleet.now, { { { pool_id("llm"), version, { fingerprint(hashName(version)) } } }, {}, {} });
        for (int i = 0; i < 10; ++i)
            CHECK(fleet.versionOf(find<open_dispatch>(takeUp(version))->server) == version);
    }
    fleet.core.streamVersions().merge(fleet.now, { { { pool_id("llm"), "0", { fingerprint(hashName("gone")) } } }, {}, {} });
    const auto gone = takeUp("gone");
    CHECK(find<refuse_inbound>(gone)->kind == refusal_kind::noEligibleServer);
    CHECK(reasonOf(gone) == hold_reason::otherVersion);
}

// Guards against a take-up that goes on elsewhere because its second attempt was sent to any server.
TEST_CASE("a stream that was taken up and breaks again goes on at its version only")
{
    mixed_fleet fleet;
    fleet.core.streamVersions().merge(fleet.now, { { { pool_id("llm"), "1", { fingerprint(hashName("first")) } } }, {}, {} });
    inbound_request request;
    request.host = "host";
    request.path = "/stream/1";
    request.keyDigest = keyDigest;
    request.timeLeft = 10s;
    request.resumeAfter = 4;
    request.resumedId = "first";
    request_number number;
    const auto actions = fleet.core.onRequest(fleet.now, request, number);
    const auto* opened = find<open_dispatch>(actions);
    REQUIRE(opened);
    CHECK(opened->server == server_id("e1"));
    fleet.core.mayStartSending(fleet.now, opened->attempt);
    const auto broken = fleet.core.onAttemptEnded(fleet.now, opened->attempt, { attempt_end_kind::resetAfterSent, true });
    CHECK_FALSE(find<open_dispatch>(broken));
}

// Guards against refusing every take-up: while one version only was in use, it began all streams.
TEST_CASE("with one version in use for longer than a stream lasts, no record is needed")
{
    stream_versions versions;
    time_point now { 100s };
    const pool_id pool("llm");
    versions.setLifetime(15s);
    versions.use(now, pool, "1");
    CHECK_FALSE(versions.onlyVersion(now, pool));
    versions.setListed(now);
    now += 14s;
    versions.confirm(now);
    versions.use(now, pool, "1");
    CHECK_FALSE(versions.onlyVersion(now, pool));
    now += 1s;
    versions.confirm(now);
    versions.use(now, pool, "1");
    CHECK(versions.onlyVersion(now, pool) == std::optional<std::string>("1"));
    versions.use(now, pool, "2");
    CHECK_FALSE(versions.onlyVersion(now, pool));
    now += 15s;
    versions.confirm(now);
    versions.use(now, pool, "2");
    CHECK_FALSE(versions.onlyVersion(now, pool));
    now += 1ms;
    CHECK(versions.onlyVersion(now, pool) == std::optional<std::string>("2"));
}

// Guards against a router that was restarted and guesses, or refuses for as long as a stream lasts.
TEST_CASE("a restarted router knows the versions in use and the streams from a reader")
{
    time_point now { 100s };
    const pool_id pool("llm");
    stream_versions reader;
    stream_versions begun;
    for (stream_versions* each : { &reader, &begun }) {
        each->setListed(now);
        each->use(now, pool, "1");
    }
    now += 20s;
    reader.use(now, pool, "1");
    stream_versions restarted;
    restarted.setListed(now);
    restarted.use(now, pool, "1");
    CHECK_FALSE(restarted.onlyVersion(now, pool));
    begun.begin(now, "stream", pool, "1");
    reader.merge(now, begun.takeOwn(now));
    CHECK(reader.forward(now, vm_id("restarted")).groups.empty());
    reader.forget(vm_id("restarted"));
    restarted.merge(now, reader.forward(now, vm_id("restarted")));
    CHECK(restarted.onlyVersion(now, pool) == std::optional<std::string>("1"));
    reader.use(now, pool, "2");
    restarted.merge(now, reader.forward(now, vm_id("restarted")));
    REQUIRE(restarted.findRecord(now, "stream"));
    CHECK(restarted.findRecord(now, "stream")->version == "1");
    CHECK(reader.forward(now, vm_id("restarted")).isEmpty());
}

// Guards against a record of the attempt that failed before the one that brought the first event.
TEST_CASE("of two versions that a stream was sent to, the last one counts at every router")
{
    const time_point now { 100s };
    const pool_id pool("llm");
    stream_versions own;
    own.setListed(now);
    own.use(now, pool, "1");
    own.use(now, pool, "2");
    own.begin(now, "stream", pool, "1");
    own.begin(now, "stream", pool, "2");
    stream_versions reader;
    reader.merge(now, own.takeOwn(now));
    stream_versions follower;
    reader.use(now, pool, "1");
    reader.use(now, pool, "2");
    follower.merge(now, reader.forward(now, vm_id("follower")));
    for (stream_versions* each : { &own, &reader, &follower })
        CHECK(each->findRecord(now, "stream")->version == "2");
    CHECK_FALSE(follower.findRecord(now + 16s, "stream"));
}

// Guards against a router that was frozen or cut off while a new version joined, and that
// continues at the old version what the new one has begun through other routers (ORDER).
TEST_CASE("a router whose list of servers is old takes up no stream without a record")
{
    small_fleet fleet;
    const auto follow = [&](duration span) {
        for (const time_point end = fleet.now + span; fleet.now < end;) {
            fleet.now += 300ms;
            fleet.core.confirm(fleet.now - 500ms);
            fleet.core.takeUsage(fleet.now);
        }
    };
    inbound_request request;
    request.callerId = "take-up";
    request.host = "host";
    request.path = "/stream/1";
    request.keyDigest = keyDigest;
    request.timeLeft = 10s;
    request.resumeAfter = 4;
    request.resumedId = "begun-elsewhere";
    request_number number;
    const auto isTakenUp = [&] { return find<open_dispatch>(fleet.core.onRequest(fleet.now, request, number)) != nullptr; };
    follow(20s);
    CHECK(isTakenUp());
    // The servers of the old version remain in the list that the router has.
    fleet.now += 2s;
    CHECK_FALSE(isTakenUp());
    fleet.core.takeUsage(fleet.now);
    CHECK_FALSE(isTakenUp());
    // The router reads the list again, with the new version in it, and gets the record.
    registered_server joined = makeServer("e4", "llm");
    joined.softwareVersion = "2";
    fleet.core.putServer(fleet.now, joined);
    fleet.core.confirm(fleet.now);
    CHECK_FALSE(isTakenUp());
    fleet.core.streamVersions().merge(fleet.now, { { { pool_id("llm"), "2", { fingerprint(hashName("begun-elsewhere")) } } }, {}, {} });
    const auto takenUp = fleet.core.onRequest(fleet.now, request, number);
    // A server that has just joined is cold and may be left to other routers.
    if (const auto* opened = find<open_dispatch>(takenUp))
        CHECK(opened->server == server_id("e4"));
}

// Guards against a reader that has the streams of a new version, but not yet its servers.
TEST_CASE("a record of another version shows that there are several")
{
    const time_point now { 100s };
    const pool_id pool("llm");
    stream_versions versions;
    versions.setListed(now - 20s);
    versions.confirm(now);
    versions.use(now, pool, "1");
    CHECK(versions.onlyVersion(now, pool));
    versions.merge(now, { { { pool, "2", { fingerprint(1) } } }, {}, {} });
    CHECK_FALSE(versions.onlyVersion(now, pool));
    CHECK(versions.hasSeveralVersions(now));
}
