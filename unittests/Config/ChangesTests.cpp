#include "pimentoladder/Config/Changes.h"

#include <algorithm>

#include <doctest/doctest.h>

using namespace pimentoladder;

namespace {

data_centre makeDataCentre(const char* id, label_map labels = {}) { return { data_centre_id(id), std::move(labels) }; }

document sampleDocument()
{
    document sample;
    sample.at = revision(10);
    const auto put = [&](document_value value, std::uint64_t at) {
        const std::string key = rowKey(value);
        REQUIRE(applyRow(sample, { key, std::move(value), revision(at) }));
    };
    put(makeDataCentre("dc1", { { "site", "west" } }), 4);
    put(pool { pool_id("p"), {}, pool_kind::service, "/a", 1 }, 5);
    backend_server server;
    server.id = server_id("s");
    server.pool = pool_id("p");
    server.dataCentre = data_centre_id("dc1");
    server.location = { "127.0.0.1", 80 };
    put(server, 6);
    workspace sampleWorkspace;
    sampleWorkspace.id = workspace_id("w");
    sampleWorkspace.labels["tier"] = "gold";
    sampleWorkspace.keyDigest = std::string(64, 'a');
    put(sampleWorkspace, 7);
    put(access_rule { rule_id("r"), selector::parse("tier=gold").value(), {} }, 8);
    return sample;
}

error_kind kindOf(const document& current, const proposed_change& change)
{
    const auto plan = planChange(current, change);
    REQUIRE_FALSE(plan);
    return plan.error().kind;
}

}

// Guards against lost updates: a change based on an old revision must not
// overwrite a newer one.
TEST_CASE("a change with a stale expected revision conflicts")
{
    const document current = sampleDocument();
    const std::string key = "config/data-centre/dc1";
    const auto plan = planChange(current, { change_action::replace, key, makeDataCentre("dc1"), revision(4) });
    REQUIRE(plan);
    CHECK(plan->basedOn == revision(10));
    CHECK(plan->before == document_value(makeDataCentre("dc1", { { "site", "west" } })));
    CHECK(plan->after.dataCentres.at(data_centre_id("dc1")).labels.empty());

    const auto stale = planChange(current, { change_action::replace, key, makeDataCentre("dc1"), revision(3) });
    REQUIRE_FALSE(stale);
    CHECK(stale.error().kind == error_kind::conflict);
    CHECK(stale.error().message.find("revision 4") != std::string::npos);
}

// Guards against actions that contradict the document, such as replacing an
// object that does not exist.
TEST_CASE("inapplicable actions are rejected")
{
    const document current = sampleDocument();
    const std::string key = "config/data-centre/dc1";
    const std::string missing = "config/data-centre/dc2";
    CHECK(kindOf(current, { change_action::create, key, makeDataCentre("dc1"), {} }) == error_kind::alreadyExists);
    CHECK(kindOf(current, { change_action::replace, missing, makeDataCentre("dc2"), {} }) == error_kind::notFound);
    CHECK(kindOf(current, { change_action::remove, missing, {}, {} }) == error_kind::notFound);
    CHECK(kindOf(current, { change_action::remove, key, makeDataCentre("dc1"), {} }) == error_kind::invalidArgument);
    CHECK(kindOf(current, { change_action::create, missing, {}, {} }) == error_kind::invalidArgument);
    CHECK(kindOf(current, { change_action::create, missing, makeDataCentre("dc3"), {} }) == error_kind::invalidArgument);
    CHECK(kindOf(current, { change_action::remove, "roster", {}, {} }) == error_kind::invalidArgument);
    CHECK(kindOf(current, { change_action::create, "member/v", member {}, {} }) == error_kind::invalidArgument);
    CHECK(kindOf(current, { change_action::remove, key, {}, {} }) == error_kind::invalidArgument);
}

// Guards against an invalid document that cannot be repaired because each
// change is blocked by errors it did not introduce.
TEST_CASE("existing validation errors do not block a change")
{
    document current = sampleDocument();
    current.pools.clear();
    CHECK(planChange(current, { change_action::create, "config/data-centre/dc2", makeDataCentre("dc2"), {} }));
    const auto refused
        = planChange(current, { change_action::create, "config/data-centre/dc3", makeDataCentre("dc3", { { "", "" } }), {} });
    REQUIRE_FALSE(refused);
    CHECK(refused.error().message.find("does not exist") == std::string::npos);
    CHECK(refused.error().message.find("\"config/data-centre/dc3\": label key") != std::string::npos);
}

// Guards against a dry run that omits the access or service a change removes.
TEST_CASE("a preview lists objects, reachability and service")
{
    const document before = sampleDocument();
    document after = before;
    after.accessRules.clear();
    after.serviceRules[rule_id("out")] = { rule_id("out"), selector::parse("site=west").value() };
    after.workspaces[workspace_id("w")].weight = 2;
    change_preview preview = previewChange(before, after);
    CHECK(preview.objects
        == std::vector<object_change> { { change_action::remove, "config/access-rule/r" },
            { change_action::create, "config/service-rule/out" }, { change_action::replace, "config/workspace/w" } });
    CHECK(preview.service == std::vector<data_centre_service_change> { { data_centre_id("dc1"), false } });
    CHECK(preview.reach == std::vector<reachability_change> { { workspace_id("w"), server_id("s"), false } });
    CHECK(preview.reachLost == 1);
    CHECK(preview.reachGained == 0);

    after = before;
    after.servers[server_id("s")].isLeaving = true;
    preview = previewChange(before, after);
    CHECK(preview.objects.size() == 1);
    CHECK(preview.reach.empty());

    after = before;
    for (int i = 0; i < 1500; ++i) {
        const server_id id("x" + std::to_string(i));
        after.servers[id] = before.servers.at(server_id("s"));
        after.servers[id].id = id;
    }
    preview = previewChange(before, after);
    CHECK(preview.reach.size() == maxListedReach);
    CHECK(preview.reachGained == 1500);
}
