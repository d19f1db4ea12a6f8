#include <doctest/doctest.h>

#include "Fixture.h"
#include "pimentoladder/Codec/MemberJson.h"

using namespace pimentoladder;
using namespace pimentoladder::replica_test;

namespace {

fleet_router makeMember(const std::string& name)
{
    return { vm_id(name), incarnation(7), data_centre_id("a"), { "10.0.0.1", 7400 } };
}

}

// Guards against two keys in one fleet, and against a router that is not registered.
TEST_CASE("the key is proposed only while there is none, then the router's row is written")
{
    const any_change significance;
    const member_json_codec codec;
    row_replica members(2, significance);
    member_registration registration(makeMember("r1"), "0123456789abcdef", codec);
    time_point now { 100s };
    CHECK_FALSE(registration.next(now, members));
    members.applyWhole({}, at(1));
    const auto key = registration.next(now, members);
    REQUIRE(key);
    CHECK(key->mustBeAbsent);
    CHECK_FALSE(registration.next(now, members));

    // Another router's key was written first; the result of this router's write is
    // irrelevant.
    registration.onWritten();
    members.applyWhole({ { "fleet-key", "fedcba9876543210", at(2), false } }, at(2));
    CHECK(member_registration::fleetKey(members) == "fedcba9876543210");
    now += 1s;
    const auto own = registration.next(now, members);
    REQUIRE(own);
    CHECK(own->key == "router/r1");
    CHECK_FALSE(own->mustBeAbsent);
    registration.onWritten();
    members.apply({ { own->key, own->value, at(3), false } }, at(3));
    now += 1s;
    CHECK_FALSE(registration.next(now, members));
}

// Guards against one unreadable row that hides the other members.
TEST_CASE("unreadable rows are skipped")
{
    const any_change significance;
    const member_json_codec codec;
    row_replica members(2, significance);
    const member_registration registration(makeMember("r1"), "0123456789abcdef", codec);
    members.applyWhole({ { "router/r1", codec.encode(makeMember("r1")), at(1), false },
                           { "router/r2", "{}", at(2), false }, { "router/r3", "x", at(3), false } },
        at(3));
    const auto listed = registration.list(members);
    REQUIRE(listed.size() == 1);
    CHECK(listed[0] == makeMember("r1"));
}
