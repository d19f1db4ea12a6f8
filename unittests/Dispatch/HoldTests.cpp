#include <algorithm>
#include <memory>

#include <doctest/doctest.h>

#include "Fixture.h"
#include "pimentoladder/Dispatch/FleetLimits.h"

using namespace pimentoladder;
using namespace pimentoladder::dispatch_test;

namespace {

// Dispatcher with two portal servers whose responses a test gives.
struct notice_fleet : small_fleet {
    using small_fleet::small_fleet;

    attempt_number openSent(const std::string& path, server_id& server)
    {
        request_number number;
        const dispatch_actions actions = send(path, number);
        const auto* opened = find<open_dispatch>(actions);
        REQUIRE(opened);
        server = opened->server;
        REQUIRE(core.mayStartSending(now, opened->attempt));
        return opened->attempt;
    }

    /// Sends a request that \p server answers with \p head. Other servers answer with success.
    dispatch_actions answer(const std::string& path, const server_id& server, const served_head& head)
    {
        for (int i = 0; i < 100; ++i) {
            server_id chosen;
            const attempt_number attempt = openSent(path, chosen);
            dispatch_actions actions = core.onHead(now, attempt, chosen == server ? head : success());
            if (!find<cancel_dispatch>(actions)) {
                const dispatch_actions ended = core.onAttemptEnded(now, attempt, { attempt_end_kind::complete, true });
                actions.insert(actions.end(), ended.begin(), ended.end());
            }
            if (chosen == server)
                return actions;
        }
        FAIL("the server got no request");
        return {};
    }

    /// Returns how many of \p count requests are sent to \p server.
    int sentTo(const std::string& path, const server_id& server, int count = 50)
    {
        int sent = 0;
        for (int i = 0; i < count; ++i) {
            request_number number;
            const dispatch_actions actions = send(path, number);
            const auto* opened = find<open_dispatch>(actions);
            if (opened && opened->server == server)
                ++sent;
            core.onCallerDisconnected(now, number);
        }
        return sent;
    }

    static served_head success()
    {
        served_head head;
        head.status = 200;
        head.isAuthentic = true;
        return head;
    }

    static served_head leaving(int status = 200)
    {
        served_head head = success();
        head.status = status;
        head.isLeaving = true;
        return head;
    }
};

served_head turnedAway(duration time, bool isRun = false)
{
    served_head head;
    head.status = 503;
    head.isNotExecuted = !isRun;
    head.retryAfter = time;
    return head;
}

const server_id p1("p1");
const server_id p2("p2");

}

TEST_CASE("a server that announced its leaving in a response gets new requests, since its registration is still ready")
{
    for (const int status : { 200, 404, 500, 503 }) {
        notice_fleet fleet;
        const dispatch_actions actions = fleet.answer("/read/1", p1, notice_fleet::leaving(status));
        CHECK(find<hold_change>(actions)->reason == hold_reason::leaving);
        CHECK(find<retire_connections>(actions));
        CHECK(fleet.sentTo("/read/1", p1) == 0);
        CHECK(fleet.sentTo("/order/1", p1) == 0);
        CHECK(fleet.sentTo("/read/1", p2) == 50);
    }
}

TEST_CASE("a refusal without a run that announces the leaving of its server is not taken as such")
{
    notice_fleet fleet;
    served_head head = notice_fleet::leaving(503);
    head.isNotExecuted = true;
    const dispatch_actions actions = fleet.answer("/order/1", p1, head);
    REQUIRE(find<open_dispatch>(actions));
    CHECK(find<open_dispatch>(actions)->server == p2);
    CHECK(fleet.sentTo("/read/1", p1) == 0);
}

TEST_CASE("the response of another instance, or of another attempt, takes a server out of use")
{
    notice_fleet fleet;
    served_head misdirected = notice_fleet::leaving(421);
    misdirected.isMisdirected = true;
    served_head foreign = notice_fleet::leaving();
    foreign.isFromExpectedAttempt = false;
    for (const served_head& head : { misdirected, foreign }) {
        fleet.answer("/read/1", p1, head);
        fleet.now += 5s;
        fleet.core.confirm(fleet.now);
        CHECK(fleet.sentTo("/read/1", p1) > 0);
    }
}

TEST_CASE("a response without the notice, a new registration or a removal makes a leaving server usable again")
{
    notice_fleet fleet;
    server_id server;
    const attempt_number earlier = [&] {
        for (;;) {
            const attempt_number attempt = fleet.openSent("/read/1", server);
            if (server == p1)
                return attempt;
        }
    }();
    fleet.answer("/read/1", p1, notice_fleet::leaving());
    // The request in progress goes on.
    const dispatch_actions ended = fleet.core.onHead(fleet.now, earlier, notice_fleet::success());
    CHECK(find<forward_response_head>(ended));
    CHECK(fleet.sentTo("/read/1", p1) == 0);
    fleet.core.putServer(fleet.now, makeServer("p1", "portal"));
    CHECK(fleet.sentTo("/read/1", p1) == 0);
    fleet.core.removeServer(fleet.now, p1);
    fleet.core.putServer(fleet.now, makeServer("p1", "portal"));
    fleet.now += 10s;
    fleet.core.confirm(fleet.now);
    CHECK(fleet.sentTo("/read/1", p1) == 0);
}

TEST_CASE("a restarted server stays out of use because its former incarnation left")
{
    notice_fleet fleet;
    fleet.answer("/read/1", p1, notice_fleet::leaving());
    server_id server;
    registered_server restarted = makeServer("p1", "portal");
    restarted.start = incarnation(2);
    fleet.core.putServer(fleet.now, restarted);
    fleet.now += 10s;
    fleet.core.confirm(fleet.now);
    CHECK(fleet.sentTo("/read/1", p1) > 0);
}

TEST_CASE("a late response of a former incarnation takes its successor out of use")
{
    notice_fleet fleet;
    server_id server;
    attempt_number former;
    do {
        former = fleet.openSent("/read/1", server);
    } while (server != p1);
    registered_server restarted = makeServer("p1", "portal");
    restarted.start = incarnation(2);
    fleet.core.putServer(fleet.now, restarted);
    CHECK_FALSE(find<hold_change>(fleet.core.onHead(fleet.now, former, notice_fleet::leaving())));
    fleet.now += 10s;
    fleet.core.confirm(fleet.now);
    CHECK(fleet.sentTo("/read/1", p1) > 0);
}

TEST_CASE("a request that has not been sent yet reaches a server that has announced its leaving")
{
    notice_fleet fleet;
    // Fills both servers with a request that waits for a connection.
    std::vector<std::pair<attempt_number, server_id>> unsent;
    for (int i = 0; i < 20; ++i) {
        request_number number;
        const dispatch_actions actions = fleet.send("/order/1", number);
        const auto* opened = find<open_dispatch>(actions);
        unsent.emplace_back(opened->attempt, opened->server);
    }
    const dispatch_actions actions = fleet.answer("/read/1", p1, notice_fleet::leaving());
    std::size_t moved = 0;
    for (const dispatch_action& each : actions) {
        if (const auto* opened = std::get_if<open_dispatch>(&each)) {
            CHECK(opened->server == p2);
            ++moved;
        }
    }
    const auto held = std::count_if(unsent.begin(), unsent.end(), [](const auto& each) { return each.second == p1; });
    CHECK(held > 0);
    CHECK(moved == static_cast<std::size_t>(held));
    for (const auto& [attempt, server] : unsent)
        CHECK(fleet.core.mayStartSending(fleet.now, attempt) == (server == p2));
}

TEST_CASE("a stream that breaks off is resumed at a server that has announced its leaving")
{
    notice_fleet fleet;
    server_id server;
    const attempt_number attempt = fleet.openSent("/stream/1", server);
    served_head stream = notice_fleet::success();
    stream.isEventStream = true;
    fleet.core.onHead(fleet.now, attempt, stream);
    fleet.core.onBytes(fleet.now, attempt, "x", { 1, 1 });
    std::vector<server_id> others;
    for (const char* each : { "e1", "e2", "e3" }) {
        if (server_id(each) != server)
            others.emplace_back(each);
    }
    fleet.answer("/stream/1", others.front(), notice_fleet::leaving());
    const dispatch_actions resumed = fleet.core.onAttemptEnded(fleet.now, attempt, { attempt_end_kind::truncated, true });
    REQUIRE(find<open_dispatch>(resumed));
    CHECK(find<open_dispatch>(resumed)->server == others.back());
}

TEST_CASE("a request is held although all servers of its pool are leaving")
{
    notice_fleet fleet;
    fleet.answer("/read/1", p1, notice_fleet::leaving());
    fleet.answer("/read/1", p2, notice_fleet::leaving());
    request_number number;
    const dispatch_actions actions = fleet.send("/read/1", number);
    REQUIRE(find<refuse_inbound>(actions));
    CHECK(find<refuse_inbound>(actions)->kind == refusal_kind::noEligibleServer);
    CHECK(find<request_outcome>(actions)->heldBy == hold_reason::leaving);
}

TEST_CASE("a notice without a defined meaning changes what is known of a server, or goes unseen")
{
    notice_fleet fleet;
    served_head head = notice_fleet::success();
    head.unreadableNotice = "notice: soon";
    const dispatch_actions actions = fleet.answer("/read/1", p1, head);
    REQUIRE(find<hold_change>(actions));
    CHECK(find<hold_change>(actions)->text == "notice: soon");
    CHECK(fleet.sentTo("/read/1", p1) > 0);
}

TEST_CASE("a server that turned a request away gets further ones before the time that it named")
{
    for (const bool isRun : { false, true }) {
        notice_fleet fleet;
        const dispatch_actions actions = fleet.answer("/order/1", p1, turnedAway(2s, isRun));
        REQUIRE(find<hold_change>(actions));
        CHECK(find<hold_change>(actions)->reason == hold_reason::resting);
        CHECK(find<hold_change>(actions)->length == 2s);
        // What was not run goes to another server at once.
        CHECK((find<open_dispatch>(actions) != nullptr) == !isRun);
        CHECK(fleet.sentTo("/read/1", p1) == 0);
        fleet.now += 1999ms;
        fleet.core.confirm(fleet.now);
        CHECK(fleet.sentTo("/read/1", p1) == 0);
        CHECK(fleet.sentTo("/read/1", p2) == 50);
        fleet.now += 1ms;
        CHECK(fleet.sentTo("/read/1", p1) == 1);
    }
}

TEST_CASE("a shorter time that a server names later ends the longer one")
{
    notice_fleet fleet;
    server_id server;
    attempt_number earlier;
    do {
        earlier = fleet.openSent("/read/1", server);
    } while (server != p1);
    fleet.answer("/order/1", p1, turnedAway(3s));
    fleet.core.onHead(fleet.now, earlier, turnedAway(1s));
    fleet.now += 2900ms;
    fleet.core.confirm(fleet.now);
    CHECK(fleet.sentTo("/read/1", p1) == 0);
}

TEST_CASE("all requests return at once to a server that has rested")
{
    notice_fleet fleet;
    fleet.answer("/order/1", p1, turnedAway(1s));
    fleet.now += 1s;
    fleet.core.confirm(fleet.now);
    std::vector<attempt_number> trials;
    for (int i = 0; i < 40; ++i) {
        server_id server;
        const attempt_number attempt = fleet.openSent("/read/1", server);
        if (server == p1)
            trials.push_back(attempt);
    }
    REQUIRE(trials.size() == 1);
    // A trial without a response is not waited for.
    fleet.now += 500ms;
    CHECK(fleet.sentTo("/read/1", p1) == 1);
    const dispatch_actions ended = fleet.core.onHead(fleet.now, trials.front(), notice_fleet::success());
    REQUIRE(find<hold_change>(ended));
    CHECK(find<hold_change>(ended)->reason == hold_reason::none);
    CHECK(fleet.sentTo("/read/1", p1) > 5);
}

TEST_CASE("a refused trial, or the response to an older request, ends the rest of a server")
{
    notice_fleet fleet;
    server_id server;
    attempt_number older;
    do {
        older = fleet.openSent("/read/1", server);
    } while (server != p1);
    fleet.answer("/order/1", p1, turnedAway(1s));
    fleet.now += 1s;
    fleet.core.confirm(fleet.now);
    fleet.core.onHead(fleet.now, older, notice_fleet::success());
    CHECK(fleet.sentTo("/read/1", p1) == 1);
    fleet.now += 500ms;
    served_head full;
    full.status = 503;
    full.isNotExecuted = true;
    fleet.answer("/read/1", p1, full);
    CHECK(fleet.sentTo("/read/1", p1) == 0);
}

TEST_CASE("a request that has not been sent yet reaches a server that turned another one away")
{
    notice_fleet fleet;
    std::vector<std::pair<attempt_number, server_id>> unsent;
    for (int i = 0; i < 20; ++i) {
        request_number number;
        const dispatch_actions actions = fleet.send("/order/1", number);
        const auto* opened = find<open_dispatch>(actions);
        unsent.emplace_back(opened->attempt, opened->server);
    }
    fleet.answer("/read/1", p1, turnedAway(2s));
    for (const auto& [attempt, server] : unsent)
        CHECK(fleet.core.mayStartSending(fleet.now, attempt) == (server == p2));
}

TEST_CASE("a server that names an enormous time is left alone for ever")
{
    dispatch_limits limits;
    limits.selection.maxRest = 5s;
    notice_fleet fleet(limits);
    fleet.answer("/order/1", p1, turnedAway(1h));
    fleet.now += 4900ms;
    fleet.core.confirm(fleet.now);
    CHECK(fleet.sentTo("/read/1", p1) == 0);
    fleet.now += 100ms;
    CHECK(fleet.sentTo("/read/1", p1) == 1);
}

TEST_CASE("a request is held, or refused without the soonest return, while all servers of its pool rest")
{
    notice_fleet fleet;
    fleet.answer("/order/1", p1, turnedAway(2s));
    fleet.answer("/order/1", p2, turnedAway(1500ms));
    request_number number;
    const dispatch_actions actions = fleet.send("/order/1", number);
    REQUIRE(find<refuse_inbound>(actions));
    CHECK(find<refuse_inbound>(actions)->kind == refusal_kind::noEligibleServer);
    CHECK(find<refuse_inbound>(actions)->retryAfter == 1500ms);
    CHECK(find<request_outcome>(actions)->heldBy == hold_reason::resting);
}

TEST_CASE("a server that rests is used again because its registration lapsed for a moment")
{
    notice_fleet fleet;
    fleet.answer("/order/1", p1, turnedAway(3s));
    fleet.core.removeServer(fleet.now, p1);
    fleet.now += 1s;
    fleet.core.confirm(fleet.now);
    fleet.core.putServer(fleet.now, makeServer("p1", "portal"));
    CHECK(fleet.sentTo("/read/1", p1) == 0);
    fleet.now += 2s;
    CHECK(fleet.sentTo("/read/1", p1) == 1);
}

TEST_CASE("a restarted server rests because its former incarnation turned a request away")
{
    notice_fleet fleet;
    fleet.answer("/order/1", p1, turnedAway(10s));
    registered_server restarted = makeServer("p1", "portal");
    restarted.start = incarnation(2);
    fleet.core.putServer(fleet.now, restarted);
    fleet.now += 6s;
    fleet.core.confirm(fleet.now);
    CHECK(fleet.sentTo("/read/1", p1) > 1);
}

TEST_CASE("the routers of a fleet return to a server that has rested all at the same moment")
{
    const auto start = time_point(100s);
    for (const std::size_t count : { 1U, 91U }) {
        fleet_view fleet { freshness_limits {} };
        fleet.applyPlan(makePlan());
        fleet.putServer(makeServer("p1", "portal"));
        std::vector<vm_id> members;
        for (std::size_t i = 0; i < count; ++i)
            members.emplace_back("router-" + std::to_string(i));
        std::vector<std::unique_ptr<server_selector>> routers;
        for (const vm_id& self : members) {
            selection_limits limits;
            limits.self = self;
            routers.push_back(std::make_unique<server_selector>(fleet, limits, 1));
            routers.back()->setRouters(members);
            CHECK(routers.back()->setResting(start, p1, incarnation(1), 1s) == 1s);
        }
        std::size_t atOnce = 0;
        std::size_t withinSecond = 0;
        for (auto& router : routers) {
            const selection_request wanted { workspace_id("school"), pool_id("portal"), nullptr, {} };
            CHECK_FALSE(router->select(start + 999ms, wanted));
            atOnce += router->select(start + 1s, wanted) ? 1 : 0;
            withinSecond += router->select(start + 2s, wanted) ? 1 : 0;
        }
        CHECK(atOnce == 1);
        CHECK(withinSecond == count);
    }
}

TEST_CASE("each router of a fleet learns by a request of its own that a server takes none")
{
    for (const bool isLeaving : { true, false }) {
        notice_fleet learner;
        learner.answer("/order/1", p1, isLeaving ? notice_fleet::leaving() : turnedAway(5s));
        // All 91 routers may report at once, in any order, also what they know from others.
        fleet_limits reader;
        for (int i = 0; i < 91; ++i)
            reader.merge(learner.now, learner.core.ownServerLimits(learner.now));
        const server_rate_limits relayed = reader.newest(learner.now + 1s);
        REQUIRE(relayed.holds.size() == 1);
        CHECK(relayed.holds.front().isLeaving == isLeaving);
        CHECK(relayed.holds.front().left == (isLeaving ? 9s : 4s));
        for (int router = 0; router < 90; ++router) {
            notice_fleet told;
            const dispatch_actions actions = told.core.onServerLimits(told.now, relayed);
            REQUIRE(find<hold_change>(actions));
            CHECK_FALSE(find<hold_change>(actions)->isOwn);
            CHECK(told.core.onServerLimits(told.now, relayed).empty());
            CHECK(told.sentTo("/read/1", p1, 5) == 0);
            // What it was told is not passed on as its own.
            CHECK(told.core.ownServerLimits(told.now).holds.empty());
        }
    }
}

TEST_CASE("a mistaken or forged report excludes a server, for ever or at all")
{
    for (const bool isLeaving : { true, false }) {
        notice_fleet told;
        const server_rate_limits forged { {}, { { p1, incarnation(1), isLeaving, 1h }, { p2, incarnation(1), isLeaving, 1h }, { server_id("unknown"), incarnation(1), isLeaving, 1h } } };
        told.core.onServerLimits(told.now, forged);
        // Without another server the reported ones are used.
        request_number number;
        CHECK(find<open_dispatch>(told.send("/read/1", number)));
        told.core.onCallerDisconnected(told.now, number);
        CHECK(told.sentTo("/read/1", p1) > 0);
        CHECK(told.sentTo("/read/1", p2) > 0);
        const server_rate_limits mistaken { {}, { { server_id("e1"), incarnation(1), isLeaving, 1h } } };
        told.core.onServerLimits(told.now, mistaken);
        CHECK(told.sentTo("/stream/1", server_id("e1")) == 0);
        told.now += 10s;
        told.core.confirm(told.now);
        CHECK(told.sentTo("/stream/1", server_id("e1")) > 0);
    }
}

TEST_CASE("a report about a former incarnation makes a restarted server less preferred")
{
    notice_fleet told;
    told.core.onServerLimits(told.now, { {}, { { p1, incarnation(7), true, 5s }, { p2, incarnation(1), false, 0s } } });
    CHECK(told.sentTo("/read/1", p1) > 0);
    CHECK(told.sentTo("/read/1", p2) > 0);
}

TEST_CASE("a report of another router withdraws a request or shortens what this router knows itself")
{
    notice_fleet told;
    request_number number;
    const dispatch_actions actions = told.send("/order/1", number);
    const auto* opened = find<open_dispatch>(actions);
    told.core.onServerLimits(told.now, { {}, { { opened->server, incarnation(1), true, 5s } } });
    CHECK(told.core.mayStartSending(told.now, opened->attempt));
    told.answer("/order/1", opened->server == p1 ? p2 : p1, turnedAway(8s));
    const server_id resting = opened->server == p1 ? p2 : p1;
    told.core.onServerLimits(told.now, { {}, { { resting, incarnation(1), false, 1s } } });
    told.now += 7s;
    told.core.confirm(told.now);
    CHECK(told.sentTo("/read/1", resting) == 0);
}

TEST_CASE("a hold that was reported once is passed on for ever")
{
    fleet_limits reader;
    const time_point start(100s);
    reader.merge(start, { {}, { { p1, incarnation(1), true, 1h } } });
    CHECK(reader.newest(start + 9s).holds.size() == 1);
    CHECK(reader.newest(start + 10s).holds.empty());
    // The longest of several reports counts, whatever their order.
    reader.merge(start, { {}, { { p1, incarnation(1), false, 5s } } });
    reader.merge(start, { {}, { { p1, incarnation(1), false, 2s } } });
    CHECK(reader.newest(start + 4s).holds.size() == 2);
    // Those of a new incarnation replace those of the former one.
    reader.merge(start, { {}, { { p1, incarnation(2), false, 1s } } });
    CHECK(reader.newest(start + 2s).holds.size() == 1);
}
