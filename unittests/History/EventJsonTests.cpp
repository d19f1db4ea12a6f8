#include "history/EventJson.h"

#include <sstream>

#include <doctest/doctest.h>

using namespace pimentoladder;
using namespace pimentoladder::history;

// Guards against histories that pass the check because their lines were skipped.
TEST_CASE("a line that cannot be decoded fails the read, except an incomplete last line")
{
    event_list events;
    std::istringstream cutShort("{\"at\":5,\"event\":\"invoked\",\"id\":\"a\"}\n{\"at\":6,\"eve");
    CHECK(readEvents(cutShort, "x", events));
    CHECK(events.size() == 1);
    std::istringstream broken("{\"at\":5,\"eve\n{\"at\":6,\"event\":\"invoked\"}\n");
    CHECK(readEvents(broken, "x", events).error().kind == error_kind::corruptData);
    std::istringstream timeless("{\"event\":\"invoked\"}\n");
    CHECK_FALSE(readEvents(timeless, "x", events));
}

// Guards against a router's log whose lines are not recognised.
TEST_CASE("a line of a router's log takes its source from the file")
{
    const auto parsed = parseEvent(R"({"time_ns":7,"level":"info","event":"in_force","revision":3})", "router-1");
    REQUIRE(parsed);
    REQUIRE(*parsed);
    CHECK((*parsed)->source == "router-1");
    CHECK((*parsed)->revision == 3);
    CHECK((*parsed)->at.time_since_epoch().count() == 7);
    CHECK_FALSE(*parseEvent(R"({"time_ns":7,"event":"peer_link_opened"})", "router-1"));
}
