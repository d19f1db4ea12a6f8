#include <doctest/doctest.h>

#include "Fixture.h"

using namespace pimentoladder;
using namespace pimentoladder::dispatch_test;

// Guards against a router that reverts to an older configuration when rows arrive out of
// order.
TEST_CASE("an older version is ignored")
{
    fleet_view fleet({});
    CHECK(fleet.applyPlan(makePlan(5)));
    CHECK_FALSE(fleet.applyPlan(makePlan(4)));
    CHECK(fleet.plan().version == revision(5));
}

// Guards against a router that never returns to the version of a restored store, while
// routers that know only the copy use it.
TEST_CASE("an older version is applied if the store's row was accepted")
{
    fleet_view fleet({});
    CHECK(fleet.applyPlan(makePlan(5)));
    CHECK(fleet.applyPlan(makePlan(4), true));
    CHECK(fleet.plan().version == revision(4));
    CHECK(fleet.applyPlan(makePlan(5)));
}

// Guards against routing by a shorter prefix than the longest match.
TEST_CASE("the longest matching prefix of the host is used")
{
    route outer = makeRoute("/a/", "portal", repeat_policy::atMostOnce, false);
    route inner = makeRoute("/a/b/", "llm", repeat_policy::atMostOnce, false);
    const route_table table({ outer, inner });
    CHECK(table.find("host", "/a/b/c")->prefix == "/a/b/");
    CHECK(table.find("host", "/a/bc")->prefix == "/a/");
    CHECK(table.find("host", "/a/b/")->prefix == "/a/b/");
    CHECK_FALSE(table.find("host", "/a"));
    CHECK_FALSE(table.find("other", "/a/b"));
    CHECK_FALSE(table.find("host", ""));
}

// Guards against keys that are accepted after the time within which a revocation must
// take effect.
TEST_CASE("keys are accepted only with a recent confirmation")
{
    const time_point start { 100s };
    fleet_view fleet({});
    fleet.applyPlan(makePlan());
    CHECK_FALSE(fleet.mayUseKeys(start));
    fleet.confirm(start);
    CHECK(fleet.mayUseKeys(start + 4500ms));
    CHECK_FALSE(fleet.mayUseKeys(start + 4700ms));
    fleet.confirm(start - 1s);
    CHECK(fleet.mayUseKeys(start + 4500ms));
}

// Guards against removing servers because of an outage of the store: registrations that
// expire during an outage are renewed within two seconds after its end.
TEST_CASE("a registration that expired in an outage has time to be renewed")
{
    const time_point start { 100s };
    fleet_view fleet({});
    fleet.applyPlan(makePlan());
    fleet.putServer(makeServer("p1", "portal"));
    fleet.putServer(makeServer("p2", "portal"));
    fleet.onStoreRecovered(start);
    fleet.removeServer(server_id("p1"), start + 100ms);
    fleet.removeServer(server_id("p2"), start + 100ms);
    CHECK(fleet.servers().size() == 2);
    fleet.putServer(makeServer("p2", "portal"));
    CHECK(fleet.nextRemoval() == start + 1900ms);
    CHECK(fleet.onTick(start + 1900ms).size() == 1);
    CHECK_FALSE(fleet.findServer(server_id("p1")));
    CHECK(fleet.findServer(server_id("p2")));
}

// Guards against a removal that is not delayed long enough since the end of the outage becomes known later.
TEST_CASE("a delayed removal waits for the end of the outage as it is known last")
{
    const time_point start(100s);
    fleet_view fleet { freshness_limits {} };
    for (const char* id : { "p1", "p2" }) {
        registered_server server;
        server.id = server_id(id);
        fleet.putServer(server);
    }
    fleet.onStoreRecovered(start - 1s);
    fleet.removeServer(server_id("p1"), start);
    fleet.onStoreRecovered(start - 300ms);
    CHECK(fleet.onTick(start + 1500ms).empty());
    CHECK(fleet.findServer(server_id("p1")));
    CHECK(fleet.onTick(start + 1600ms).size() == 1);
    fleet.removeServer(server_id("p2"), start + 3s);
    CHECK_FALSE(fleet.findServer(server_id("p2")));
}

// Guards against removals that each later end of an outage postpones again.
TEST_CASE("a removal waits for one grace at most after it was learnt")
{
    const time_point start(100s);
    fleet_view fleet { freshness_limits {} };
    registered_server server;
    server.id = server_id("p1");
    fleet.putServer(server);
    fleet.onStoreRecovered(start);
    CHECK(fleet.removeServer(server_id("p1"), start + 100ms) == 1800ms);
    for (duration since = 200ms; since < 2s; since += 100ms)
        fleet.onStoreRecovered(start + since);
    CHECK(fleet.onTick(start + 1900ms).empty());
    CHECK(fleet.onTick(start + 2s).size() == 1);
}

// Guards against removals that stay delayed although the outage that delayed them was none.
TEST_CASE("removals are due once an outage is refuted")
{
    const time_point start(100s);
    fleet_view fleet { freshness_limits {} };
    for (const char* id : { "p1", "p2" }) {
        registered_server server;
        server.id = server_id(id);
        fleet.putServer(server);
    }
    fleet.onStoreRecovered(start);
    CHECK(fleet.removeServer(server_id("p1"), start) == 1900ms);
    fleet.onOutageRefuted();
    CHECK(fleet.onTick(start + 200ms).size() == 1);
    CHECK(fleet.removeServer(server_id("p2"), start + 200ms) == duration::zero());
    CHECK_FALSE(fleet.findServer(server_id("p2")));
}

// Guards against requests to servers of a data centre that is out of service.
TEST_CASE("servers of a data centre out of service get no requests")
{
    fleet_view fleet({});
    fleet.applyPlan(makePlan());
    fleet.putServer(makeServer("p1", "portal", "a"));
    fleet.putServer(makeServer("p2", "portal", "b"));
    fleet.setOutOfService({ data_centre_id("a") });
    CHECK_FALSE(fleet.access().isInService(server_id("p1")));
    CHECK(fleet.access().isInService(server_id("p2")));
}

// Guards against an index that reads beyond an empty list, which the soak's seed 3 found.
TEST_CASE("the access index is built while no server is registered")
{
    fleet_view fleet({});
    fleet.applyPlan(makePlan());
    fleet.putServer(makeServer("p1", "portal"));
    CHECK(fleet.access().isInService(server_id("p1")));
    fleet.removeServer(server_id("p1"), time_point(100s));
    CHECK_FALSE(fleet.access().isInService(server_id("p1")));
}
