#include "pimentoladder/Placement/PlacementPlanner.h"

#include <doctest/doctest.h>

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

const model_id bulletin("bulletin");
const model_id digest("digest");

/// A shard whose engines complete each load after `loadTime`.
struct simulated_shard {
    placement_settings settings;
    std::vector<placement_server> servers;
    demand_meter meter;
    order_tracker orders;
    placement_planner planner;
    time_point now { 100s };
    duration loadTime = 2s;
    std::map<server_id, std::set<model_id>> loaded;
    std::vector<std::pair<time_point, placement_order>> running;
    std::vector<placement_choice> decided;
    std::map<model_id, cost_units> waiting;
    std::map<model_id, cost_units> granted;
    bool mayLoad = true;

    explicit simulated_shard(std::size_t count, placement_settings given = {})
        : settings(given)
        , meter(given.meter)
        , orders(given.orders)
        , planner(given)
    {
        for (std::size_t i = 0; i < count; ++i)
            servers.push_back({ server_id("engine-" + std::to_string(i)), true, true, 0, 80 });
    }

    server_mask serversWithModel(const model_id& model)
    {
        server_mask found = 0;
        for (std::size_t i = 0; i < servers.size(); ++i)
            found |= loaded[servers[i].id].contains(model) ? maskOf(i) : 0;
        return found;
    }

    void step()
    {
        now += settings.interval;
        std::set<server_id> ids;
        for (const placement_server& server : servers)
            ids.insert(server.id);
        orders.setServers(ids);
        std::erase_if(running, [&](const auto& entry) {
            if (entry.first > now)
                return false;
            if (entry.second.action == placement_action::load)
                loaded[entry.second.server].insert(entry.second.model);
            else
                loaded[entry.second.server].erase(entry.second.model);
            return true;
        });
        for (const placement_server& server : servers) {
            std::set<model_id> loading;
            for (const auto& [at, order] : running) {
                if (order.server == server.id)
                    loading.insert(order.model);
            }
            orders.onState({ server.id, loaded[server.id], loading, now }, now);
        }
        const server_mask all = maskOf(servers.size()) - 1;
        std::map<model_id, model_demand> demands;
        for (const auto& [model, cost] : waiting)
            demands[model] = { model, cost, granted[model], all, cost > 0 && serversWithModel(model) == 0 ? all : 0 };
        meter.observe(demands, now);
        const auto choice = planner.plan(servers, meter, orders, mayLoad, now);
        if (!choice)
            return;
        decided.push_back(*choice);
        const placement_order order { order_number(decided.size()), choice->server, choice->action, choice->model, fencing_token(1) };
        orders.begin(order, now);
        orders.onAnswer(order.server, order.number, order_outcome::accepted, now);
        running.emplace_back(now + (order.action == placement_action::load ? loadTime : duration(1ms)), order);
    }

    void run(duration length)
    {
        for (const time_point end = now + length; now < end;)
            step();
    }
};

}

// Guards against a request that waits for a model which is never loaded.
TEST_CASE("a model that is loaded nowhere is loaded on the idle server with least loss")
{
    simulated_shard shard(3);
    shard.servers[0].isIdle = false;
    shard.loaded[shard.servers[1].id] = { digest };
    shard.waiting[bulletin] = 10;
    shard.run(1s);
    REQUIRE(shard.decided.size() == 1);
    CHECK(shard.decided[0].server == shard.servers[2].id);
    CHECK(shard.decided[0].reason == placement_reason::notLoaded);
}

// Guards against the starvation of a model while every server is busy with others.
TEST_CASE("a model that is loaded nowhere takes a busy server after a wait")
{
    simulated_shard shard(1);
    shard.servers[0].isIdle = false;
    shard.waiting[bulletin] = 10;
    shard.run(4s);
    CHECK(shard.decided.empty());
    shard.run(3s);
    CHECK(shard.decided.size() == 1);
}

// Guards against placement that alternates between loading and unloading while
// demand varies around a threshold.
TEST_CASE("placement does not oscillate")
{
    placement_settings settings;
    settings.modelsPerServer = 1;
    simulated_shard shard(2, settings);
    shard.loaded[shard.servers[0].id] = { bulletin };
    shard.loaded[shard.servers[1].id] = { digest };
    for (int i = 0; i < 120; ++i) {
        shard.waiting[bulletin] = i % 2 == 0 ? 200 : 0;
        shard.waiting[digest] = i % 2 == 0 ? 0 : 200;
        shard.run(1s);
    }
    CHECK(shard.decided.empty());
}

// Guards against one more load order at each evaluation while a load is in progress.
TEST_CASE("scaling out waits for the effect of the last load")
{
    simulated_shard shard(8);
    shard.loaded[shard.servers[0].id] = { bulletin };
    shard.waiting[bulletin] = 1000;
    shard.run(9s);
    CHECK(shard.decided.size() == 1);
    shard.run(30s);
    CHECK(shard.decided.size() <= 4);
    CHECK(shard.decided.size() >= 3);
}

// Guards against a model in steady use that is unloaded from its last server for another model.
TEST_CASE("the last server of a model in steady use is kept")
{
    placement_settings settings;
    settings.modelsPerServer = 1;
    simulated_shard shard(1, settings);
    shard.loaded[shard.servers[0].id] = { bulletin };
    shard.waiting[digest] = 1000;
    shard.waiting[bulletin] = 0;
    for (int i = 0; i < 100; ++i) {
        shard.granted[bulletin] += 1;
        shard.run(1s);
    }
    CHECK(shard.decided.empty());
    // Once it is no longer in use it is replaced by the other model.
    shard.run(90s);
    REQUIRE(shard.decided.size() == 2);
    CHECK(shard.decided[0].action == placement_action::unload);
    CHECK(shard.decided[1].model == digest);
    CHECK(shard.loaded[shard.servers[0].id] == std::set { digest });
}

// Guards against loads above the weight store's rate.
TEST_CASE("no load is planned while the budget is empty")
{
    simulated_shard shard(1);
    shard.mayLoad = false;
    shard.waiting[bulletin] = 10;
    shard.run(10s);
    CHECK(shard.decided.empty());
}
