#include "pimentoladder/Config/Access.h"

#include <random>

#include <doctest/doctest.h>

using namespace pimentoladder;

namespace {

selector parsed(const std::string& text) { return selector::parse(text).value(); }

document randomDocument(std::mt19937_64& engine)
{
    const auto labels = [&] {
        label_map drawn;
        for (const char* key : { "a", "b", "c" }) {
            if (engine() % 3)
                drawn[key] = std::to_string(engine() % 3);
        }
        return drawn;
    };
    const std::vector<std::string> selectors { "", "a=1", "a!=1", "a in (0,2)", "b notin (1,2)", "c", "!c",
        "a=0,b=1,!c", "a=9", "missing!=1", "missing" };
    document drawn;
    for (int i = 0; i < 3; ++i) {
        const auto name = std::to_string(i);
        drawn.pools[pool_id(name)] = { pool_id(name), {}, pool_kind::service, "/" + name, 1 };
        drawn.dataCentres[data_centre_id(name)] = { data_centre_id(name), labels() };
    }
    for (std::size_t i = 0; i < engine() % 140; ++i) {
        backend_server server;
        server.id = server_id("s" + std::to_string(i));
        server.pool = pool_id(std::to_string(engine() % 3));
        server.dataCentre = data_centre_id(std::to_string(engine() % 4));
        server.labels = labels();
        server.isLeaving = engine() % 5 == 0;
        drawn.servers[server.id] = server;
    }
    for (std::size_t i = 0; i < 20; ++i) {
        const workspace_id id("w" + std::to_string(i));
        drawn.workspaces[id].id = id;
        drawn.workspaces[id].labels = labels();
    }
    for (std::size_t i = 0; i < engine() % 4; ++i) {
        const rule_id id(std::to_string(i));
        drawn.accessRules[id]
            = { id, parsed(selectors[engine() % selectors.size()]), parsed(selectors[engine() % selectors.size()]) };
        drawn.serviceRules[id] = { id, parsed(selectors[1 + engine() % (selectors.size() - 1)]) };
    }
    return drawn;
}

}

// Guards against an index whose results differ from evaluating the selectors.
TEST_CASE("the index agrees with the selectors")
{
    std::mt19937_64 engine(41);
    for (int round = 0; round < 100; ++round) {
        const auto source = std::make_shared<const document>(randomDocument(engine));
        const access_index index(source);
        for (const auto& [dataCentreId, dataCentre] : source->dataCentres) {
            bool isOut = false;
            for (const auto& [id, rule] : source->serviceRules)
                isOut |= rule.dataCentresOut.matches(dataCentre.labels);
            REQUIRE(index.isInService(dataCentreId) == !isOut);
        }
        for (const auto& [workspaceId, workspace] : source->workspaces) {
            std::map<pool_id, std::vector<server_id>> expected;
            for (const auto& [serverId, server] : source->servers) {
                bool isAllowed = false;
                for (const auto& [id, rule] : source->accessRules)
                    isAllowed |= rule.workspaces.matches(workspace.labels) && rule.servers.matches(server.labels);
                REQUIRE(index.mayReach(workspaceId, serverId) == isAllowed);
                if (isAllowed && index.isInService(serverId))
                    expected[server.pool].push_back(serverId);
                REQUIRE(index.isInService(serverId) == (!server.isLeaving && index.isInService(server.dataCentre)));
            }
            for (const auto& [pool, unused] : source->pools) {
                std::vector<server_id> found;
                index.forEachReachableServer(workspaceId, pool, [&](const backend_server& server) { found.push_back(server.id); });
                REQUIRE(found == expected[pool]);
                REQUIRE(index.hasReachableServer(workspaceId, pool) == !found.empty());
            }
        }
    }
}

// Guards against requests routed to the pool of a different path, and against
// access or service reported for objects that do not exist.
TEST_CASE("paths match whole segments, longest first")
{
    auto source = std::make_shared<document>();
    for (const char* prefix : { "/", "/index", "/index/now/", "/v1/generate" })
        source->pools[pool_id(prefix)] = { pool_id(prefix), {}, pool_kind::service, prefix, 1 };
    source->workspaces[workspace_id("w")].id = workspace_id("w");
    source->workspaces[workspace_id("w")].keyDigest = "ab";
    const access_index index(source);
    const auto poolOf = [&](std::string_view path) { return index.poolForPath(path)->id.value(); };
    CHECK(poolOf("/index") == "/index");
    CHECK(poolOf("/index/") == "/index");
    CHECK(poolOf("/index/now") == "/index/now/");
    CHECK(poolOf("/index/now/x") == "/index/now/");
    CHECK(poolOf("/index/nowhere") == "/index");
    CHECK(poolOf("/indexes") == "/");
    CHECK(index.poolForPath("*") == nullptr);
    CHECK(index.workspaceByKeyDigest("ab") == &source->workspaces[workspace_id("w")]);
    CHECK(index.workspaceByKeyDigest("") == nullptr);
    CHECK_FALSE(index.isInService(data_centre_id("none")));
    CHECK_FALSE(index.isInService(server_id("none")));
    CHECK_FALSE(index.mayReach(workspace_id("none"), server_id("none")));
    CHECK_FALSE(index.hasReachableServer(workspace_id("w"), pool_id("/index")));
}
