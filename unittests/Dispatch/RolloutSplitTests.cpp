#include <doctest/doctest.h>

#include <array>
#include <limits>
#include <map>
#include <optional>
#include <set>

#include "Fixture.h"

using namespace pimentoladder;
using namespace pimentoladder::dispatch_test;

namespace {

constexpr std::size_t oldServers = 10;
constexpr std::size_t newServers = 10;

served_head plainHead(int status = 200)
{
    served_head head;
    head.status = status;
    head.isAuthentic = true;
    return head;
}

served_head eventHead()
{
    served_head head = plainHead();
    head.isEventStream = true;
    return head;
}

/// Ten servers of version 1 and ten of version 2 in each of two pools, all warm.
struct rollout_fleet {
    explicit rollout_fleet(bool hasNew = true)
        : core({}, 7)
    {
        core.applyPlan(makePlan());
        for (const char* pool : { "portal", "llm" }) {
            for (std::size_t i = 0; i < oldServers; ++i)
                put(std::string(pool) + "-old-" + std::to_string(i), pool, "1");
            for (std::size_t i = 0; hasNew && i < newServers; ++i)
                put(std::string(pool) + "-new-" + std::to_string(i), pool, "2");
        }
        core.markServersListed(now);
        core.confirm(now);
    }

    void put(const std::string& id, const std::string& pool, const std::string& version, std::uint64_t start = 1)
    {
        registered_server server = makeServer(id, pool);
        server.softwareVersion = version;
        server.start = incarnation(start);
        core.putServer(now, server);
    }

    void removeAll(const std::string& version)
    {
        std::vector<server_id> gone;
        for (const auto& [id, server] : core.fleet().servers()) {
            if (server.softwareVersion == version)
                gone.push_back(id);
        }
        for (const server_id& id : gone)
            core.removeServer(now, id);
    }

    void order(const std::string& pool, std::uint64_t at = 50, const std::string& version = "2") { core.setRollout(now, revision(at), { pool_id(pool), version, 60s }); }

    static rollout_permit permit(const std::string& pool, double share, std::uint64_t at = 50)
    {
        return { pool_id(pool), revision(at), fencing_token(3), 1, rollout_state::inProgress, share, {} };
    }

    void allow(const rollout_permit& given) { core.setRolloutPermits(now, { { given } }); }
    void allow(const std::string& pool, double share) { allow(permit(pool, share)); }

    void end(const std::string& pool, rollout_state state)
    {
        rollout_permit given = permit(pool, 0);
        given.sequence = 9;
        given.state = state;
        allow(given);
    }

    dispatch_actions request(const std::string& path)
    {
        inbound_request received;
        received.callerId = "id-" + std::to_string(++sent);
        received.host = "host";
        received.path = path;
        received.keyDigest = keyDigest;
        received.timeLeft = 10s;
        return core.onRequest(now, received, number);
    }

    dispatch_actions takeUp(const std::string& id)
    {
        inbound_request received;
        received.callerId = "take-up";
        received.host = "host";
        received.path = "/stream/1";
        received.keyDigest = keyDigest;
        received.timeLeft = 10s;
        received.resumeAfter = 4;
        received.resumedId = id;
        return core.onRequest(now, received, number);
    }

    std::string versionOf(const server_id& server) const { return core.fleet().findServer(server)->softwareVersion; }
    std::string versionOf(const dispatch_actions& actions) const
    {
        const auto* opened = find<open_dispatch>(actions);
        return opened ? versionOf(opened->server) : "none";
    }

    /// Sends a request that is answered at once. Returns the version of its server, or "none".
    std::string serve(const std::string& path)
    {
        const auto actions = request(path);
        const auto* opened = find<open_dispatch>(actions);
        if (!opened || !core.mayStartSending(now, opened->attempt))
            return "none";
        core.onHead(now, opened->attempt, plainHead());
        core.onAttemptEnded(now, opened->attempt, { attempt_end_kind::complete, true });
        return versionOf(opened->server);
    }

    std::size_t targetsAmong(std::size_t requests, const std::string& path)
    {
        std::size_t targets = 0;
        for (std::size_t i = 0; i < requests; ++i)
            targets += serve(path) == "2" ? 1 : 0;
        return targets;
    }

    /// Opens and starts to send an attempt at a server of the version.
    open_dispatch openAt(const std::string& version, const std::string& path)
    {
        for (;;) {
            open_dispatch opened = *find<open_dispatch>(request(path));
            if (versionOf(opened.server) == version) {
                core.mayStartSending(now, opened.attempt);
                return opened;
            }
            core.onCallerDisconnected(now, number);
        }
    }

    rollout_tally tally(const std::string& pool, const std::string& route, bool isTarget) const
    {
        for (const rollout_evidence& each : core.rolloutEvidence(now).rollouts) {
            const auto found = std::find_if(each.tallies.begin(), each.tallies.end(), [&](const rollout_tally& one) { return one.route == route && one.isTarget == isTarget; });
            if (each.pool == pool_id(pool) && found != each.tallies.end())
                return *found;
        }
        return {};
    }

    time_point now { 100s };
    std::uint64_t sent = 0;
    request_number number;
    dispatcher core;
};

}

// Guards against a roll-out that changes the choice of servers before it is ordered.
TEST_CASE("without an order both versions take requests and nothing is reported")
{
    rollout_fleet fleet;
    const std::size_t targets = fleet.targetsAmong(400, "/read/1");
    CHECK(targets > 120);
    CHECK(targets < 280);
    CHECK(fleet.core.rolloutEvidence(fleet.now).rollouts.empty());
    CHECK(find<dispatch_decision>(fleet.request("/read/1"))->rolloutSide.empty());
}

// Guards against a share that depends on the number of servers of each version.
TEST_CASE("the permitted share of the requests goes to the target version")
{
    for (const double share : { 0.05, 0.3, 0.9, 1.0 }) {
        rollout_fleet fleet;
        fleet.order("portal");
        fleet.allow("portal", share);
        CHECK(static_cast<double>(fleet.targetsAmong(2000, "/read/1")) / 2000 == doctest::Approx(share).epsilon(0.25));
        CHECK(fleet.core.rolloutEvidence(fleet.now).rollouts.at(0).requests == 2000);
    }
}

// Guards against requests at the target version that nobody has permitted.
TEST_CASE("without a valid permit no request goes to the target version")
{
    rollout_fleet fleet;
    fleet.order("portal");
    SUBCASE("none") { }
    SUBCASE("of another order") { fleet.allow(rollout_fleet::permit("portal", 1, 49)); }
    SUBCASE("of a later order") { fleet.allow(rollout_fleet::permit("portal", 1, 51)); }
    SUBCASE("of another pool") { fleet.allow("llm", 1); }
    SUBCASE("too old when it came")
    {
        rollout_permit old = rollout_fleet::permit("portal", 1);
        old.age = 1500ms;
        fleet.allow(old);
    }
    SUBCASE("not a number") { fleet.allow("portal", std::numeric_limits<double>::quiet_NaN()); }
    CHECK(fleet.targetsAmong(100, "/read/1") == 0);
}

// Guards against a router that was cut off and goes on with its last permit.
TEST_CASE("a permit that is not confirmed ends within its lifetime")
{
    rollout_fleet fleet;
    fleet.order("portal");
    rollout_permit given = rollout_fleet::permit("portal", 1);
    given.age = 400ms;
    fleet.allow(given);
    fleet.now += 1099ms;
    CHECK(fleet.targetsAmong(50, "/read/1") == 50);
    fleet.now += 1ms;
    CHECK(fleet.targetsAmong(50, "/read/1") == 0);
    // The same permit is confirmed again.
    given.age = {};
    fleet.allow(given);
    CHECK(fleet.targetsAmong(50, "/read/1") == 50);
    // An older confirmation that arrives later does not shorten it.
    given.age = 1400ms;
    fleet.allow(given);
    fleet.now += 1400ms;
    CHECK(fleet.targetsAmong(50, "/read/1") == 50);
}

// Guards against a router that was paused between the choice of a server and the first byte.
TEST_CASE("a request chosen under a permit that has ended since is not sent to the target version")
{
    rollout_fleet fleet;
    fleet.order("portal");
    fleet.allow("portal", 1);
    const open_dispatch opened = *find<open_dispatch>(fleet.request("/order/1"));
    REQUIRE(fleet.versionOf(opened.server) == "2");
    bool isReverted = false;
    SUBCASE("aged") { fleet.now += 2s; }
    SUBCASE("reverted") { isReverted = true; }
    if (isReverted)
        fleet.end("portal", rollout_state::reverted);
    CHECK_FALSE(fleet.core.mayStartSending(fleet.now, opened.attempt));
    const auto moved = fleet.core.onAttemptEnded(fleet.now, opened.attempt, { attempt_end_kind::notSent, false });
    CHECK(fleet.versionOf(moved) == "1");
    CHECK(fleet.core.mayStartSending(fleet.now, find<open_dispatch>(moved)->attempt));
    CHECK(fleet.tally("portal", "route/order/", true).sent == 0);
}

// Guards against the permits of an owner that has been replaced, and against lost ones.
TEST_CASE("the permit with the highest token and sequence counts, also if it came before its order")
{
    rollout_fleet fleet;
    rollout_permit newest = rollout_fleet::permit("portal", 0);
    newest.sequence = 7;
    newest.share = 1;
    fleet.allow(newest);
    rollout_permit older = newest;
    older.share = 0;
    older.sequence = 6;
    fleet.allow(older);
    fleet.order("portal");
    CHECK(fleet.targetsAmong(50, "/read/1") == 50);
    older.sequence = 99;
    older.token = fencing_token(2);
    fleet.allow(older);
    CHECK(fleet.targetsAmong(50, "/read/1") == 50);
    older.token = fencing_token(4);
    older.sequence = 1;
    fleet.allow(older);
    CHECK(fleet.targetsAmong(50, "/read/1") == 0);
}

// Guards against memory that grows with the names in permits for unknown orders.
TEST_CASE("permits of unknown orders are bounded, and the newest are kept")
{
    rollout_fleet fleet;
    for (int i = 0; i < 1000; ++i) {
        fleet.now += 1us;
        fleet.allow(rollout_fleet::permit("unknown-" + std::to_string(i), 1));
    }
    fleet.now += 1us;
    fleet.allow("portal", 1);
    fleet.order("portal");
    CHECK(fleet.targetsAmong(20, "/read/1") == 20);
}

// Guards against requests for old servers that stop as soon as the roll-out is completed.
TEST_CASE("after completion every request goes to the target version, however old the permit is")
{
    rollout_fleet fleet;
    fleet.order("portal");
    fleet.allow("portal", 0.5);
    const open_dispatch waiting = fleet.openAt("1", "/read/1");
    std::optional<open_dispatch> unsent;
    while (!unsent) {
        const open_dispatch opened = *find<open_dispatch>(fleet.request("/order/1"));
        if (fleet.versionOf(opened.server) == "1")
            unsent = opened;
    }
    fleet.end("portal", rollout_state::completed);
    CHECK_FALSE(fleet.core.mayStartSending(fleet.now, unsent->attempt));
    CHECK(fleet.versionOf(fleet.core.onAttemptEnded(fleet.now, unsent->attempt, { attempt_end_kind::notSent, false })) == "2");
    CHECK(fleet.versionOf(fleet.core.onAttemptEnded(fleet.now, waiting.attempt, { attempt_end_kind::resetAfterSent, true })) == "2");
    fleet.now += 9s;
    fleet.core.confirm(fleet.now);
    CHECK(fleet.targetsAmong(50, "/read/1") == 50);
    fleet.removeAll("1");
    CHECK(fleet.targetsAmong(50, "/read/1") == 50);
    CHECK(fleet.core.rolloutEvidence(fleet.now).rollouts.empty());
    fleet.removeAll("2");
    CHECK(find<refuse_inbound>(fleet.request("/read/1"))->kind == refusal_kind::noEligibleServer);
}

// Guards against an order of the past that keeps requests from the servers of a later release.
TEST_CASE("after a completed roll-out a later version takes requests")
{
    rollout_fleet fleet;
    fleet.order("portal");
    fleet.end("portal", rollout_state::completed);
    fleet.removeAll("1");
    for (std::size_t i = 0; i < newServers; ++i)
        fleet.put("portal-newest-" + std::to_string(i), "portal", "3");
    const auto newestAmong = [&](std::size_t requests) {
        std::size_t newest = 0;
        for (std::size_t i = 0; i < requests; ++i)
            newest += fleet.serve("/read/1") == "3" ? 1 : 0;
        return newest;
    };
    SUBCASE("beside the target version, once the roll-out is settled")
    {
        CHECK(newestAmong(100) == 0);
        for (int i = 0; i < 30; ++i) {
            fleet.now += 500ms;
            fleet.core.confirm(fleet.now);
            fleet.end("portal", rollout_state::completed);
        }
        CHECK(newestAmong(100) > 20);
    }
    SUBCASE("at once, if the target version has no server left")
    {
        fleet.removeAll("2");
        CHECK(newestAmong(100) == 100);
    }
}

// Guards against a router that has missed the permits and refuses everything once the old servers are gone.
TEST_CASE("with no other version in service the target version takes requests without a permit")
{
    rollout_fleet fleet;
    fleet.order("portal");
    SUBCASE("no longer registered") { fleet.removeAll("1"); }
    SUBCASE("leaving, and still registered")
    {
        served_head leaving = plainHead();
        leaving.isLeaving = true;
        for (std::size_t i = 0; i < oldServers; ++i) {
            const auto actions = fleet.request("/read/1");
            const attempt_number attempt = find<open_dispatch>(actions)->attempt;
            fleet.core.mayStartSending(fleet.now, attempt);
            fleet.core.onHead(fleet.now, attempt, leaving);
        }
    }
    CHECK(fleet.targetsAmong(50, "/read/1") == 50);
}

// Guards against a reverted version that gets requests because nothing else is there.
TEST_CASE("after a revert no request goes to the target version, even if no other one is in service")
{
    rollout_fleet fleet;
    fleet.order("portal");
    fleet.allow("portal", 1);
    fleet.end("portal", rollout_state::reverted);
    CHECK(fleet.targetsAmong(100, "/read/1") == 0);
    // A permit of before the revert arrives late.
    fleet.allow("portal", 1);
    fleet.now += 60s;
    fleet.core.confirm(fleet.now);
    CHECK(fleet.targetsAmong(100, "/read/1") == 0);
    CHECK(fleet.core.rolloutEvidence(fleet.now).rollouts.empty());
    fleet.removeAll("1");
    CHECK(find<refuse_inbound>(fleet.request("/read/1"))->kind == refusal_kind::noEligibleServer);
}

// Guards against a stream whose events come from two versions, and against one that goes on at a reverted version.
TEST_CASE("a broken stream goes on at its version while the roll-out is in progress, and ends after a revert")
{
    for (const std::string version : { "1", "2" }) {
        rollout_fleet fleet;
        fleet.order("llm");
        fleet.allow("llm", 0.5);
        fleet.targetsAmong(100, "/once/1"); // Fills the retry budget.
        const auto begin = [&] {
            open_dispatch opened = fleet.openAt(version, "/stream/1");
            fleet.core.onHead(fleet.now, opened.attempt, eventHead());
            fleet.core.onBytes(fleet.now, opened.attempt, "id: 4\n\n", { 4, 4 });
            return opened;
        };
        const open_dispatch first = begin();
        const open_dispatch second = begin();
        const open_dispatch third = begin();
        fleet.now += 3s; // The permit ends.
        fleet.core.confirm(fleet.now);
        const auto resumed = fleet.core.onAttemptEnded(fleet.now, first.attempt, { attempt_end_kind::truncated, true });
        CHECK(fleet.versionOf(resumed) == version);
        CHECK(fleet.core.mayStartSending(fleet.now, find<open_dispatch>(resumed)->attempt));
        const auto unsent = fleet.core.onAttemptEnded(fleet.now, second.attempt, { attempt_end_kind::truncated, true });
        REQUIRE(find<open_dispatch>(unsent));
        fleet.end("llm", rollout_state::reverted);
        const bool isOld = version == "1";
        CHECK(fleet.core.mayStartSending(fleet.now, find<open_dispatch>(unsent)->attempt) == isOld);
        const auto after = fleet.core.onAttemptEnded(fleet.now, third.attempt, { attempt_end_kind::truncated, true });
        CHECK(fleet.versionOf(after) == (isOld ? "1" : "none"));
        CHECK((find<abort_response>(after) != nullptr) != isOld);
        if (!isOld)
            CHECK(find<request_outcome>(after)->heldBy == hold_reason::otherVersion);
    }
}

// Guards against a take-up that is split like a new request.
TEST_CASE("a stream that is taken up goes on at the version that began it, and not after a revert of that one")
{
    rollout_fleet fleet;
    fleet.order("llm");
    for (const char* version : { "1", "2" })
        fleet.core.streamVersions().merge(fleet.now, { { { pool_id("llm"), version, { fingerprint(hashName(version)) } } }, {}, {} });
    for (const double share : { 0.0, 1.0 }) {
        rollout_permit given = rollout_fleet::permit("llm", share);
        given.sequence = share > 0 ? 2 : 1;
        fleet.allow(given);
        for (int i = 0; i < 10; ++i) {
            CHECK(fleet.versionOf(fleet.takeUp("1")) == "1");
            CHECK(fleet.versionOf(fleet.takeUp("2")) == "2");
        }
    }
    fleet.end("llm", rollout_state::reverted);
    CHECK(fleet.versionOf(fleet.takeUp("1")) == "1");
    const auto refused = fleet.takeUp("2");
    CHECK(find<refuse_inbound>(refused)->kind == refusal_kind::noEligibleServer);
    CHECK(find<request_outcome>(refused)->heldBy == hold_reason::otherVersion);
}

// Guards against a faulty version that fails a request twice.
TEST_CASE("a request that failed goes to the other versions")
{
    for (int i = 0; i < 20; ++i) {
        rollout_fleet fleet;
        fleet.order("portal");
        fleet.allow("portal", 0.9);
        const open_dispatch opened = fleet.openAt(i % 2 == 0 ? "2" : "1", "/read/1");
        SUBCASE("server error") { CHECK(fleet.versionOf(fleet.core.onHead(fleet.now, opened.attempt, plainHead(500))) == "1"); }
        SUBCASE("reset") { CHECK(fleet.versionOf(fleet.core.onAttemptEnded(fleet.now, opened.attempt, { attempt_end_kind::resetAfterSent, true })) == "1"); }
        SUBCASE("silent")
        {
            fleet.now += 301ms;
            CHECK(fleet.versionOf(fleet.core.onTick(fleet.now)) == "1");
        }
    }
}

// Guards against two roll-outs that share a permit or evidence.
TEST_CASE("two pools are rolled out independently")
{
    rollout_fleet fleet;
    fleet.order("portal", 50);
    fleet.order("llm", 60);
    fleet.allow("portal", 1);
    fleet.allow(rollout_fleet::permit("llm", 0, 60));
    CHECK(fleet.targetsAmong(50, "/read/1") == 50);
    CHECK(fleet.targetsAmong(30, "/once/1") == 0);
    const rollout_report report = fleet.core.rolloutEvidence(fleet.now);
    REQUIRE(report.rollouts.size() == 2);
    for (const rollout_evidence& each : report.rollouts)
        CHECK(each.requests == (each.pool == pool_id("portal") ? 50 : 30));
    fleet.core.endRollout(fleet.now, pool_id("portal"));
    CHECK(fleet.targetsAmong(30, "/once/1") == 0);
    CHECK(fleet.targetsAmong(100, "/read/1") < 80);
    CHECK(fleet.core.rolloutEvidence(fleet.now).rollouts.size() == 1);
}

// Guards against permits and evidence of a replaced order that count for its successor.
TEST_CASE("another order of the pool starts without permit and evidence")
{
    rollout_fleet fleet;
    fleet.put("portal-third", "portal", "3", 1);
    fleet.order("portal", 50);
    fleet.allow("portal", 1);
    CHECK(fleet.targetsAmong(20, "/read/1") == 20);
    const open_dispatch opened = fleet.openAt("2", "/read/1");
    // The same order, read again.
    fleet.order("portal", 50);
    CHECK(fleet.core.rolloutEvidence(fleet.now).rollouts.at(0).requests == 21);
    fleet.order("portal", 51, "3");
    const rollout_evidence replaced = fleet.core.rolloutEvidence(fleet.now).rollouts.at(0);
    CHECK(replaced.order == revision(51));
    CHECK(replaced.requests == 0);
    CHECK(replaced.tallies.empty());
    CHECK(replaced.inProgress == 1);
    fleet.core.onHead(fleet.now, opened.attempt, plainHead());
    CHECK(fleet.core.rolloutEvidence(fleet.now).rollouts.at(0).tallies.empty());
    fleet.allow("portal", 1);
    for (int i = 0; i < 100; ++i)
        CHECK(fleet.serve("/read/1") != "3");
    fleet.allow(rollout_fleet::permit("portal", 1, 51));
    CHECK(fleet.serve("/read/1") == "3");
}

// Guards against refusals because of an order to a version that has no server.
TEST_CASE("an order to a version that nobody serves leaves the requests where they were")
{
    rollout_fleet fleet;
    fleet.order("portal", 50, "9");
    fleet.allow("portal", 1);
    for (int i = 0; i < 100; ++i)
        CHECK(fleet.serve("/read/1") != "none");
    CHECK(fleet.tally("portal", "route/read/", false).answers == 100);
}

// Guards against an order that restricts a pool in which nothing is to be replaced.
TEST_CASE("an order to the only version does not restrict the choice")
{
    rollout_fleet fleet(false);
    fleet.order("portal", 50, "1");
    std::map<std::string, int> served;
    for (int i = 0; i < 200; ++i)
        ++served[find<open_dispatch>(fleet.request("/read/1"))->server.value()];
    CHECK(served.size() == oldServers);
}

// Guards against refusals while servers of the target version are cold or full.
TEST_CASE("what the target version cannot take goes to the other versions")
{
    SUBCASE("cold")
    {
        rollout_fleet fleet(false);
        fleet.put("llm-new", "llm", "2");
        fleet.order("llm");
        fleet.allow("llm", 1);
        std::map<std::string, int> served;
        for (int i = 0; i < 40; ++i)
            ++served[fleet.versionOf(fleet.request("/once/1"))];
        CHECK(served["2"] <= 2);
        CHECK(served["1"] >= 38);
    }
    SUBCASE("not admissible")
    {
        rollout_fleet fleet;
        fleet.order("llm");
        fleet.allow("llm", 0.99);
        served_head busy = eventHead();
        busy.load = reported_load { 64, 500, 64 };
        for (std::size_t i = 0; i < 8 * newServers; ++i) {
            const auto actions = fleet.request("/stream/1");
            const auto* opened = find<open_dispatch>(actions);
            if (fleet.versionOf(opened->server) == "2")
                fleet.core.onHead(fleet.now, opened->attempt, busy);
        }
        inbound_request received;
        received.callerId = "prompt";
        received.host = "host";
        received.path = "/once/1";
        received.keyDigest = keyDigest;
        received.timeLeft = 10s;
        received.prompt = prompt_work { { { 1, 100 }, { 2, 100 } }, 200, 50 };
        for (int i = 0; i < 5; ++i)
            CHECK(fleet.versionOf(fleet.core.onRequest(fleet.now, received, fleet.number)) == "1");
    }
}

// Guards against new servers that are hardly loaded, so that a fault under load shows only at a large share.
TEST_CASE("a small share goes to few servers of the target version, the same at every router")
{
    std::set<std::string> before;
    for (const auto& [share, expected] : { std::pair { 0.1, 4 }, { 0.4, 5 }, { 0.6, 8 }, { 0.8, 10 } }) {
        std::array<std::set<std::string>, 2> used;
        for (auto& each : used) {
            rollout_fleet fleet;
            fleet.targetsAmong(&each == used.data() ? 0 : 13, "/read/1");
            fleet.order("portal");
            fleet.allow("portal", share);
            for (int i = 0; i < 1500; ++i) {
                const auto actions = fleet.request("/read/1");
                if (fleet.versionOf(actions) == "2")
                    each.insert(find<open_dispatch>(actions)->server.value());
            }
        }
        CHECK(used[0].size() == static_cast<std::size_t>(expected));
        CHECK(used[0] == used[1]);
        CHECK(std::includes(used[0].begin(), used[0].end(), before.begin(), before.end()));
        before = used[0];
    }
}

// Guards against chosen servers that have died and keep the target's share.
TEST_CASE("if the chosen servers of the target version are unreachable, others of it take its requests")
{
    rollout_fleet fleet;
    fleet.order("portal");
    fleet.allow("portal", 0.1);
    std::set<server_id> chosen;
    while (chosen.size() < 4)
        chosen.insert(fleet.openAt("2", "/read/1").server);
    fleet.now += 1s;
    fleet.allow("portal", 0.1);
    for (int i = 0; i < 200; ++i) {
        const auto actions = fleet.request("/read/1");
        const open_dispatch opened = *find<open_dispatch>(actions);
        if (chosen.contains(opened.server))
            fleet.core.onAttemptEnded(fleet.now, opened.attempt, { attempt_end_kind::notSent, false });
    }
    for (int i = 0; i < 5; ++i)
        CHECK_FALSE(chosen.contains(fleet.openAt("2", "/read/1").server));
}

// Guards against evidence that blames a version for what it did not do, or spares it.
TEST_CASE("answers and failures are counted for each route and side")
{
    rollout_fleet fleet;
    fleet.order("portal");
    fleet.allow("portal", 0.5);
    const auto at = [&](const std::string& version) { return fleet.openAt(version, "/order/1").attempt; };
    std::uint64_t sent = 0;
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
    std::uint64_t servers = 0;
    std::uint64_t faulty = 0;
    for (const int status : { 200, 404, 429, 500, 502, 503, 504 }) {
        const open_dispatch opened = fleet.openAt("2", "/order/1");
        fleet.core.onHead(fleet.now, opened.attempt, plainHead(status));
        const std::uint64_t bit = std::uint64_t { 1 } << (hashName(opened.server.value()) % 64);
        const bool isFailure = status >= 500;
        ++sent;
        ++answers;
        servers |= bit;
        failures += isFailure ? 1 : 0;
        faulty |= isFailure ? bit : 0;
    }
    // Neither a refusal, nor an attempt without an answer, nor one that was not sent says anything.
    served_head refusal = plainHead(503);
    refusal.isNotExecuted = true;
    const attempt_number refused = at("2");
    fleet.core.onHead(fleet.now, refused, refusal);
    fleet.core.onAttemptEnded(fleet.now, refused, { attempt_end_kind::complete, true });
    fleet.core.onAttemptEnded(fleet.now, at("2"), { attempt_end_kind::resetAfterSent, true });
    served_head foreign = plainHead(500);
    foreign.isFromExpectedAttempt = false;
    fleet.core.onHead(fleet.now, at("2"), foreign);
    at("2");
    fleet.core.onCallerDisconnected(fleet.now, fleet.number);
    sent += 4;
    const rollout_tally target = fleet.tally("portal", "route/order/", true);
    CHECK(target.sent == sent);
    CHECK(target.answers == answers);
    CHECK(target.failures == failures);
    CHECK(target.slow == 0);
    CHECK(target.servers == servers);
    CHECK(target.faultyServers == faulty);
    const std::uint64_t others = fleet.tally("portal", "route/order/", false).sent;
    fleet.core.onHead(fleet.now, at("1"), plainHead(500));
    CHECK(fleet.tally("portal", "route/order/", false).failures == 1);
    CHECK(fleet.tally("portal", "route/order/", false).sent > others);
    CHECK(fleet.tally("portal", "route/order/", true).sent == sent);
    fleet.core.onHead(fleet.now, fleet.openAt("2", "/read/1").attempt, plainHead());
    CHECK(fleet.tally("portal", "route/read/", true).answers == 1);
    CHECK(fleet.tally("portal", "route/order/", true).answers == answers);
}

// Guards against a slow version that passes, and against one that hangs and never shows.
TEST_CASE("answers that are much later than those of the other versions are slow, once, and at once if they are missing")
{
    rollout_fleet fleet;
    fleet.order("portal");
    fleet.allow("portal", 0.5);
    const auto answer = [&](const std::string& version, duration after) {
        const attempt_number attempt = fleet.openAt(version, "/order/1").attempt;
        fleet.now += after;
        fleet.allow("portal", 0.5);
        fleet.core.onTick(fleet.now);
        fleet.core.onHead(fleet.now, attempt, plainHead());
    };
    const auto target = [&] { return fleet.tally("portal", "route/order/", true); };
    // The usual time is not known yet.
    answer("2", 1s);
    CHECK(target().slow == 0);
    for (int i = 0; i < 10; ++i)
        answer("1", 20ms);
    answer("2", 210ms);
    CHECK(target().slow == 0);
    answer("2", 211ms);
    CHECK(target().slow == 1);
    CHECK(target().answers == 3);
    const open_dispatch hanging = fleet.openAt("2", "/order/1");
    fleet.now += 210ms;
    fleet.core.onTick(fleet.now);
    CHECK(target().slow == 1);
    CHECK(fleet.core.nextDeadline(fleet.now) <= fleet.now + 1ms);
    fleet.now += 1ms;
    fleet.core.onTick(fleet.now);
    CHECK(target().slow == 2);
    CHECK(target().answers == 4);
    CHECK((target().faultyServers & (std::uint64_t { 1 } << (hashName(hanging.server.value()) % 64))) != 0);
    fleet.core.onHead(fleet.now, hanging.attempt, plainHead());
    CHECK(target().slow == 2);
    CHECK(target().answers == 4);
}

// Guards against a version that hangs and is given up on before its answer would be late.
TEST_CASE("an attempt that the router gives up as silent is slow")
{
    for (const std::string version : { "1", "2" }) {
        rollout_fleet fleet;
        fleet.order("portal");
        fleet.allow("portal", 0.5);
        for (int i = 0; i < 10; ++i) {
            const open_dispatch usual = fleet.openAt("1", "/read/1");
            fleet.now += 100ms; // Late is what takes longer than 450 ms.
            fleet.allow("portal", 0.5);
            fleet.core.onHead(fleet.now, usual.attempt, plainHead());
        }
        const open_dispatch hanging = fleet.openAt(version, "/read/1");
        const auto tally = [&] { return fleet.tally("portal", "route/read/", version == "2"); };
        const std::uint64_t answers = tally().answers;
        fleet.now += 301ms;
        const auto given = fleet.core.onTick(fleet.now);
        REQUIRE(find<cancel_dispatch>(given));
        CHECK(find<cancel_dispatch>(given)->attempt == hanging.attempt);
        CHECK(tally().slow == 1);
        CHECK(tally().answers == answers + 1);
    }
}

// Guards against a stream that counts as answered by its head, although no event follows.
TEST_CASE("a stream answers with its first event, and is late against what was expected of its prompt")
{
    rollout_fleet fleet;
    fleet.order("llm");
    fleet.allow("llm", 1);
    inbound_request received;
    received.callerId = "prompt";
    received.host = "host";
    received.path = "/stream/1";
    received.keyDigest = keyDigest;
    received.timeLeft = 10s;
    received.prompt = prompt_work { { { 1, 100 }, { 2, 100 } }, 200, 50 };
    const auto actions = fleet.core.onRequest(fleet.now, received, fleet.number);
    const auto* opened = find<open_dispatch>(actions);
    REQUIRE(opened);
    const duration bound = 3 * find<dispatch_decision>(actions)->expectedFirstEvent + 150ms;
    CHECK(find<dispatch_decision>(actions)->rolloutSide == "target");
    fleet.core.mayStartSending(fleet.now, opened->attempt);
    fleet.core.onHead(fleet.now, opened->attempt, eventHead());
    const auto target = [&] { return fleet.tally("llm", "route/stream/", true); };
    CHECK(target().sent == 1);
    CHECK(target().answers == 0);
    SUBCASE("in time")
    {
        fleet.now += bound;
        fleet.core.onBytes(fleet.now, opened->attempt, "id: 4\n\n", { 4, 4 });
        CHECK(target().answers == 1);
        CHECK(target().slow == 0);
    }
    SUBCASE("late")
    {
        fleet.now += bound + 1ms;
        fleet.core.onBytes(fleet.now, opened->attempt, "id: 4\n\n", { 4, 4 });
        CHECK(target().answers == 1);
        CHECK(target().slow == 1);
    }
    SUBCASE("missing")
    {
        fleet.now += bound + 1ms;
        fleet.core.onTick(fleet.now);
        CHECK(target().answers == 1);
        CHECK(target().slow == 1);
    }
    fleet.core.onBytes(fleet.now, opened->attempt, "id: 5\n\n", { 5, 5 });
    CHECK(target().answers == 1);
}

// Guards against a late version that is judged by the delay learnt from its own late answers.
TEST_CASE("every answer of a version that is always late is slow")
{
    rollout_fleet fleet;
    fleet.order("llm");
    const auto target = [&] { return fleet.tally("llm", "route/once/", true); };
    struct running {
        attempt_number attempt;
        time_point answersAt;
    };
    std::vector<running> open;
    for (std::uint32_t i = 0; i < 1000; ++i) {
        fleet.now += 20ms;
        fleet.core.confirm(fleet.now);
        fleet.allow("llm", 0.3);
        fleet.core.onTick(fleet.now);
        std::erase_if(open, [&](const running& each) {
            if (fleet.now < each.answersAt)
                return false;
            fleet.core.onHead(fleet.now, each.attempt, eventHead());
            fleet.core.onBytes(fleet.now, each.attempt, "id: 1\n\n", { 1, 1 });
            fleet.core.onAttemptEnded(fleet.now, each.attempt, { attempt_end_kind::complete, true });
            return true;
        });
        inbound_request received;
        received.callerId = "prompt-" + std::to_string(i);
        received.host = "host";
        received.path = "/once/1";
        received.keyDigest = keyDigest;
        received.timeLeft = 10s;
        received.prompt = prompt_work { { { i % 7, 1000 }, { 1000 + i, 500 } }, 1500, 50 };
        const auto actions = fleet.core.onRequest(fleet.now, received, fleet.number);
        const auto* opened = find<open_dispatch>(actions);
        REQUIRE(opened);
        fleet.core.mayStartSending(fleet.now, opened->attempt);
        open.push_back({ opened->attempt, fleet.now + (fleet.versionOf(opened->server) == "2" ? 1000ms : 40ms) });
    }
    CHECK(target().answers > 100);
    CHECK(target().slow == target().answers);
    CHECK(fleet.tally("llm", "route/once/", false).slow == 0);
}

// Guards against a cold start that is taken for a fault of the version.
TEST_CASE("late answers of cold servers are not slow")
{
    rollout_fleet fleet(false);
    fleet.order("llm");
    fleet.allow("llm", 1);
    fleet.put("llm-new", "llm", "2");
    inbound_request received;
    received.callerId = "prompt";
    received.host = "host";
    received.path = "/once/1";
    received.keyDigest = keyDigest;
    received.timeLeft = 10s;
    received.prompt = prompt_work { { { 1, 100 }, { 2, 100 } }, 200, 50 };
    const auto actions = fleet.core.onRequest(fleet.now, received, fleet.number);
    const auto* opened = find<open_dispatch>(actions);
    REQUIRE(fleet.versionOf(opened->server) == "2");
    fleet.core.mayStartSending(fleet.now, opened->attempt);
    fleet.now += 2s;
    fleet.core.onTick(fleet.now);
    fleet.core.onHead(fleet.now, opened->attempt, eventHead());
    fleet.core.onBytes(fleet.now, opened->attempt, "id: 4\n\n", { 4, 4 });
    CHECK(fleet.tally("llm", "route/once/", true).answers == 1);
    CHECK(fleet.tally("llm", "route/once/", true).slow == 0);
}

// Guards against attempts at old servers that are forgotten, or never end, in the report.
TEST_CASE("attempts in progress at the other versions are reported, those of before the order too")
{
    rollout_fleet fleet;
    const open_dispatch early = fleet.openAt("1", "/read/1");
    fleet.order("portal");
    fleet.allow("portal", 0.5);
    const open_dispatch late = fleet.openAt("1", "/order/1");
    fleet.openAt("2", "/order/1");
    const auto inProgress = [&] { return fleet.core.rolloutEvidence(fleet.now).rollouts.at(0).inProgress; };
    CHECK(inProgress() == 2);
    for (const open_dispatch& each : { early, late }) {
        fleet.core.onHead(fleet.now, each.attempt, plainHead());
        fleet.core.onAttemptEnded(fleet.now, each.attempt, { attempt_end_kind::complete, true });
    }
    CHECK(inProgress() == 0);
    CHECK(fleet.tally("portal", "route/read/", false).answers == 0);
}

// Guards against reports that grow with the number of routes.
TEST_CASE("beyond 64 routes of a pool the further ones are counted together")
{
    rollout_fleet fleet;
    serving_plan plan = makePlan(2);
    for (int i = 0; i < 100; ++i)
        plan.routes.push_back(makeRoute("/many-" + std::to_string(i) + "/", "portal", repeat_policy::idempotent, false));
    fleet.core.applyPlan(plan);
    fleet.order("portal");
    for (int i = 0; i < 100; ++i)
        fleet.serve("/many-" + std::to_string(i) + "/1");
    const rollout_evidence evidence = fleet.core.rolloutEvidence(fleet.now).rollouts.at(0);
    CHECK(evidence.tallies.size() == 65);
    CHECK(fleet.tally("portal", "", false).answers == 36);
}
