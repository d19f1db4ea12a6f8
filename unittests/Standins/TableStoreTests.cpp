#include "standins/FaultPlan.h"
#include "standins/LaggedValue.h"
#include "standins/TableStore.h"

#include <doctest/doctest.h>

using namespace pimentoladder;
using namespace pimentoladder::standins;
using namespace std::chrono_literals;

// Guards against a conditional write that succeeds on a row changed meanwhile.
TEST_CASE("a transaction with an old condition changes nothing")
{
    table_namespace table;
    REQUIRE(table.apply({ "1", { { "a", 0 } }, { { "a", "x" } } }).isCommitted);
    REQUIRE(table.apply({ "2", { { "a", 1 } }, { { "a", "y" } } }).isCommitted);
    const table_outcome late = table.apply({ "3", { { "a", 1 } }, { { "a", "z" }, { "b", "z" } } });
    CHECK_FALSE(late.isCommitted);
    CHECK(late.revision == 2);
    CHECK(late.conflictKey == "a");
    CHECK(table.revision() == 2);
    CHECK(table.rows("b", 0).empty());
}

// Guards against a reader that never learns of a deletion.
TEST_CASE("a deletion is seen by readers of later changes only")
{
    table_namespace table;
    table.apply({ "1", {}, { { "a", "x" } } });
    table.apply({ "2", {}, { { "a", std::nullopt } } });
    CHECK(table.rows("", 0).empty());
    const std::vector<table_row> changed = table.rows("", 1);
    REQUIRE(changed.size() == 1);
    CHECK_FALSE(changed[0].value);
    CHECK(changed[0].revision == 2);
    CHECK(table.apply({ "3", { { "a", 0 } }, { { "a", "z" } } }).isCommitted);
}

// Guards against faults that outlast their count or time, or apply to another
// target.
TEST_CASE("a fault applies only to its target, count and time")
{
    fault_plan plan(1);
    fault outage;
    outage.target = "claims";
    outage.count = 2;
    outage.expiresAt = time_point(10s);
    plan.add(outage);
    CHECK_FALSE(plan.take(fault_kind::outage, "fleet", time_point(1s)));
    CHECK(plan.take(fault_kind::outage, "claims", time_point(1s)));
    CHECK_FALSE(plan.take(fault_kind::outage, "claims", time_point(10s)));
}

// Guards against a report that shows the current value before its lag has passed.
TEST_CASE("a lagged value changes only after its lag")
{
    lagged_value<int> value(2s);
    value.set(time_point(0s), 1);
    value.set(time_point(5s), 2);
    CHECK(value.at(time_point(6s)) == 1);
    CHECK(value.at(time_point(7s)) == 2);
}
