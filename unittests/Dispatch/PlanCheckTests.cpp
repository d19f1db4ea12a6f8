#include "pimentoladder/Dispatch/PlanCheck.h"

#include <functional>

#include <doctest/doctest.h>

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

route makeRoute(const std::string& name, const std::string& prefix)
{
    route made;
    made.name = name;
    made.host = "example";
    made.prefix = prefix;
    made.repeat = repeat_policy::resumable;
    made.isStream = true;
    made.pools = { { pool_id("llm"), 90 }, { pool_id("spare"), 10 } };
    made.maxAttempts = 2;
    made.timeout = 10s;
    made.objective = 800ms;
    made.pauseLimit = 400ms;
    return made;
}

serving_plan soundPlan()
{
    serving_plan plan;
    plan.version = revision(7);
    plan.routes = { makeRoute("bulletins", "/a/"), makeRoute("answers", "/a/b/") };
    plan.pools = { { pool_id("llm"), {} }, { pool_id("spare"), {} } };
    plan.workspaces = { { workspace_id("north"), { "k1", "k2" }, std::nullopt }, { workspace_id("south"), { "k3" }, std::nullopt } };
    plan.maxBodyBytes = 4'194'304;
    plan.headTimeout = 3s;
    plan.idleTimeout = 15s;
    return plan;
}

struct fault_case {
    const char* name;
    std::function<void(serving_plan&)> change;
    finding_kind kind;
    const char* place;
    const char* reason;
};

}

// Guards against a check that stays silent, and one that reports a sound configuration.
TEST_CASE("each fault of a configuration is found alone, and a sound one has none")
{
    REQUIRE(checkPlan(soundPlan(), {}).empty());
    const fault_case cases[] = {
        { "version 0", [](serving_plan& plan) { plan.version = {}; }, finding_kind::error, "version", "ignore it" },
        { "unreadable key", [](serving_plan& plan) { plan.unreadableKeys = 1; }, finding_kind::error, "workspaces", "cannot be read" },
        { "missing pool", [](serving_plan& plan) { plan.routes[0].pools.push_back({ pool_id("gone"), 1 }); }, finding_kind::error, "bulletins", "does not exist" },
        { "pool twice", [](serving_plan& plan) { plan.routes[0].pools.push_back({ pool_id("llm"), 1 }); }, finding_kind::error, "bulletins", "named twice" },
        { "no weights", [](serving_plan& plan) { for (weighted_pool& each : plan.routes[0].pools) each.weight = 0; }, finding_kind::error, "bulletins", "add up to 0" },
        { "no pool", [](serving_plan& plan) { plan.routes[0].pools.clear(); }, finding_kind::error, "bulletins", "add up to 0" },
        { "workspace twice", [](serving_plan& plan) { plan.workspaces->push_back({ workspace_id("north"), { "k9" }, std::nullopt }); }, finding_kind::error, "north", "same name" },
        { "key twice", [](serving_plan& plan) { plan.workspaces->front().keyDigests.emplace_back("k1"); }, finding_kind::error, "north", "listed twice" },
        { "key of two", [](serving_plan& plan) { plan.workspaces->back().keyDigests.emplace_back("k1"); }, finding_kind::unmatched, "south", "also held" },
        { "no key", [](serving_plan& plan) { plan.workspaces->back().keyDigests.clear(); }, finding_kind::unmatched, "south", "no key" },
        { "hidden route", [](serving_plan& plan) { plan.routes[1].prefix = "/a/"; }, finding_kind::unmatched, "bulletins", "takes its requests" },
        { "odd host", [](serving_plan& plan) { plan.routes[0].host = "a b"; }, finding_kind::unmatched, "bulletins", "host" },
        { "no host", [](serving_plan& plan) { plan.routes[0].host.clear(); }, finding_kind::unmatched, "bulletins", "host" },
        { "open prefix", [](serving_plan& plan) { plan.routes[0].prefix = "/a"; }, finding_kind::unmatched, "bulletins", "prefix" },
        { "query in prefix", [](serving_plan& plan) { plan.routes[0].prefix = "/a?b/"; }, finding_kind::unmatched, "bulletins", "prefix" },
        { "unused pool", [](serving_plan& plan) { plan.pools[pool_id("idle")]; }, finding_kind::unmatched, "idle", "no route" },
        { "objective", [](serving_plan& plan) { plan.routes[0].objective = 11s; }, finding_kind::contradiction, "bulletins", "above the timeout" },
        { "timeout", [](serving_plan& plan) { plan.routes[0].timeout = {}; }, finding_kind::contradiction, "bulletins", "ends at once" },
        { "pauses", [](serving_plan& plan) { plan.routes[0].pauseLimit = 9500ms; }, finding_kind::contradiction, "bulletins", "two events" },
        { "attempts", [](serving_plan& plan) { plan.routes[0].repeat = repeat_policy::atMostOnce; }, finding_kind::contradiction, "bulletins", "once only" },
        { "idle", [](serving_plan& plan) { plan.idleTimeout = 4s; }, finding_kind::contradiction, "limits", "kept connections" },
        { "head", [](serving_plan& plan) { plan.headTimeout = 16s; }, finding_kind::contradiction, "limits", "request head" },
        { "body", [](serving_plan& plan) { plan.maxBodyBytes = 64 << 20; }, finding_kind::contradiction, "limits", "memory" },
    };
    for (const fault_case& each : cases) {
        CAPTURE(each.name);
        serving_plan plan = soundPlan();
        each.change(plan);
        const auto found = checkPlan(plan, {});
        REQUIRE(found.size() == 1);
        CHECK(found[0].kind == each.kind);
        CHECK(found[0].place.find(each.place) != std::string::npos);
        CHECK(found[0].reason.find(each.reason) != std::string::npos);
        CHECK_FALSE(found[0].remedy.empty());
    }
}

// Guards against a change that an operator is not told of, above all one that shuts callers out.
TEST_CASE("each difference from the version in force is reported alone")
{
    const serving_plan inForce = soundPlan();
    serving_plan next = inForce;
    next.version = revision(8);
    REQUIRE(comparePlans(inForce, next).empty());
    const fault_case cases[] = {
        { "older", [](serving_plan& plan) { plan.version = revision(7); }, finding_kind::error, "version", "not above" },
        { "route removed", [](serving_plan& plan) { plan.routes.pop_back(); }, finding_kind::difference, "answers", "removed" },
        { "route added", [](serving_plan& plan) { plan.routes.push_back(makeRoute("new", "/n/")); }, finding_kind::difference, "new", "added" },
        { "route changed", [](serving_plan& plan) { plan.routes[0].timeout = 9s; }, finding_kind::difference, "bulletins", "changed: timeout" },
        { "weights", [](serving_plan& plan) { plan.routes[0].pools[0].weight = 40; }, finding_kind::difference, "bulletins", "10 %" },
        { "pool removed", [](serving_plan& plan) { plan.pools.erase(pool_id("spare")); }, finding_kind::difference, "spare", "removed" },
        { "pool added", [](serving_plan& plan) { plan.pools[pool_id("more")]; }, finding_kind::difference, "more", "added" },
        { "pool changed", [](serving_plan& plan) { plan.pools[pool_id("llm")].coldStart = 3s; }, finding_kind::difference, "llm", "changed" },
        { "key withdrawn", [](serving_plan& plan) { plan.workspaces->front().keyDigests.pop_back(); }, finding_kind::difference, "north", "1 keys are withdrawn" },
        { "last key", [](serving_plan& plan) { plan.workspaces->back().keyDigests.clear(); }, finding_kind::difference, "south", "loses its last one" },
        { "workspace removed", [](serving_plan& plan) { plan.workspaces->pop_back(); }, finding_kind::difference, "south", "loses its last one" },
        { "key added", [](serving_plan& plan) { plan.workspaces->back().keyDigests.emplace_back("k9"); }, finding_kind::difference, "south", "1 keys are added" },
        { "limit", [](serving_plan& plan) { plan.idleTimeout = 20s; }, finding_kind::difference, "limits", "15000 ms becomes 20000 ms" },
    };
    for (const fault_case& each : cases) {
        CAPTURE(each.name);
        serving_plan changed = next;
        each.change(changed);
        const auto found = comparePlans(inForce, changed);
        REQUIRE(found.size() == 1);
        CHECK(found[0].kind == each.kind);
        CHECK(found[0].place.find(each.place) != std::string::npos);
        CHECK(found[0].reason.find(each.reason) != std::string::npos);
    }
    serving_plan open = next;
    open.workspaces.reset();
    const auto found = comparePlans(inForce, open);
    REQUIRE_FALSE(found.empty());
    CHECK(found[0].reason.find("no request needs a key") != std::string::npos);
}
