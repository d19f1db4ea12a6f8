#include "FleetHarness.h"

#include <algorithm>

#include <doctest/doctest.h>

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

const shard_id modelShard("model#0");
const std::string bulletin = "bulletin";

void configure(fleet_harness& fleet)
{
    const auto values = smallDocument(2, 2);
    for (const document_value& value : values) {
        if (const auto* server = std::get_if<backend_server>(&value))
            fleet.servers[server->id] = fake_server();
    }
    fleet.change(0, values);
}

std::size_t sendModelRequest(fleet_harness& fleet, std::size_t router, const std::string& model = bulletin)
{
    return fleet.send(router, "ws-0", "POST", "/v1/generate", {}, fleet.requests.size() + 1, model);
}

std::size_t countOrders(const fleet_harness& fleet, const std::string& model, placement_action action)
{
    return static_cast<std::size_t>(std::ranges::count_if(fleet.orders, [&](const observed_order& seen) {
        return seen.order.model == model_id(model) && seen.order.action == action && !seen.isRefused;
    }));
}

/// Returns the servers that ran the requests from record `first` on.
std::vector<server_id> serversOf(const fleet_harness& fleet, std::size_t first)
{
    std::vector<server_id> ran;
    for (const observed_execution& seen : fleet.executions) {
        if (seen.record >= first)
            ran.push_back(seen.server);
    }
    return ran;
}

}

// Guards against a request for a model that waits forever, runs where the model is
// not loaded, or blocks requests for other models.
TEST_CASE("a model is loaded on demand and its request answered there")
{
    fleet_harness fleet(3, 5);
    fleet.startAll();
    configure(fleet);
    fleet.run(8s);
    const std::size_t waiting = sendModelRequest(fleet, 0);
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < 20; ++i)
        others.push_back(fleet.send(i % 3, "ws-0", "POST", "/v1/generate", {}, 1000 + i));
    fleet.run(1500ms);
    CHECK_FALSE(fleet.requests[waiting].isAnswered);
    for (const std::size_t other : others)
        CHECK(fleet.requests[other].isAnswered);
    fleet.run(6s);
    CHECK(fleet.requests[waiting].isAnswered);
    CHECK(countOrders(fleet, bulletin, placement_action::load) == 1);
    REQUIRE(fleet.placements.size() == 1);
    CHECK(fleet.placements[0].second.reason == placement_reason::notLoaded);
    for (const observed_execution& seen : fleet.executions) {
        if (seen.record == waiting)
            CHECK(fleet.servers[seen.server].models.contains(model_id(bulletin)));
    }
}

// Guards against loading a model twice because the response to an order was lost.
TEST_CASE("an order whose answer is lost is not repeated when it took effect")
{
    fleet_harness fleet(3, 6);
    fleet.startAll();
    configure(fleet);
    for (auto& [id, server] : fleet.servers)
        server.losesOrderAnswers = true;
    fleet.run(8s);
    const std::size_t waiting = sendModelRequest(fleet, 1);
    fleet.run(8s);
    CHECK(fleet.requests[waiting].isAnswered);
    CHECK(countOrders(fleet, bulletin, placement_action::load) == 1);
}

// Guards against two owners that send orders at the same time after one of them was
// frozen, both at engines that ignore the fencing token and at engines that refuse
// old tokens.
TEST_CASE("after a freeze the old owner sends no order concurrently with the new one")
{
    bool hasMoved = false;
    for (const bool isFenced : { false, true }) {
        for (std::uint64_t seed = 1; seed <= 12; ++seed) {
            CAPTURE(isFenced);
            CAPTURE(seed);
            fleet_harness fleet(4, 40 + seed);
            fleet.startAll();
            configure(fleet);
            for (auto& [id, server] : fleet.servers)
                server.isFenced = isFenced;
            fleet.run(8s);
            const std::size_t old = fleet.ownerOf(0, modelShard);
            const std::size_t asking = (old + 1) % fleet.size();
            sendModelRequest(fleet, asking);
            // Freeze the owner between its decision and the first byte, or some
            // time after the first byte.
            while (fleet.placements.empty())
                fleet.run(100us);
            fleet.run(std::chrono::microseconds(seed % 2 == 0 ? 0 : 400 * seed));
            fleet.freeze(old);
            fleet.run(std::chrono::milliseconds(1000 + 900 * seed));
            const std::size_t laterRequest = sendModelRequest(fleet, asking, "digest");
            hasMoved = hasMoved || fleet.ownerOf(asking, modelShard) != old;
            fleet.thaw(old);
            fleet.run(20s);
            CHECK(fleet.requests[laterRequest].isAnswered);
            fencing_token highest;
            for (const observed_order& seen : fleet.orders) {
                CHECK_FALSE(seen.isRefused);
                CHECK(seen.order.token >= highest);
                highest = std::max(highest, seen.order.token);
                CHECK(seen.at >= fleet.grantsFrom.at(seen.order.token));
            }
        }
    }
    CHECK(hasMoved);
}

// Guards against an old owner that keeps sending orders although an engine has
// refused its token as outdated.
TEST_CASE("a refusal because of an older token stops the owner until it is confirmed")
{
    fleet_harness fleet(3, 9);
    fleet.startAll();
    configure(fleet);
    for (auto& [id, server] : fleet.servers)
        server.highestToken = fencing_token(UINT64_MAX);
    fleet.run(8s);
    sendModelRequest(fleet, 0);
    fleet.run(4s);
    // Each confirmation of the ownership allows one more attempt. Engines are
    // retried after 5 s.
    CHECK(fleet.orders.size() >= 1);
    CHECK(fleet.orders.size() <= 2);
    CHECK(std::ranges::all_of(fleet.orders, &observed_order::isRefused));
    for (auto& [id, server] : fleet.servers)
        server.highestToken = fencing_token();
    fleet.run(10s);
    CHECK(countOrders(fleet, bulletin, placement_action::load) == 1);
}

// Guards against assuming that a restarted engine still has its models loaded.
TEST_CASE("a model is loaded again after its engine crashed")
{
    fleet_harness fleet(3, 10);
    fleet.startAll();
    configure(fleet);
    fleet.run(8s);
    sendModelRequest(fleet, 0);
    fleet.run(6s);
    REQUIRE(fleet.orders.size() == 1);
    fleet.crash(fleet.orders[0].order.server);
    fleet.run(2s);
    const std::size_t after = sendModelRequest(fleet, 0);
    fleet.run(8s);
    CHECK(fleet.requests[after].isAnswered);
    CHECK(countOrders(fleet, bulletin, placement_action::load) == 2);
    for (const server_id& ran : serversOf(fleet, after))
        CHECK(fleet.servers[ran].models.contains(model_id(bulletin)));
}

// Guards against owners that together load models faster than the weight store can
// serve them, also while a shard changes its owner.
TEST_CASE("the loads of all owners keep to the rate of the weight store")
{
    fleet_harness fleet(4, 11);
    fleet.startAll();
    std::vector<document_value> values = smallDocument(4, 2);
    constexpr std::size_t poolCount = 4;
    for (std::size_t i = 1; i < poolCount; ++i) {
        const std::string name = "model" + std::to_string(i);
        values.emplace_back(pool { pool_id(name), {}, pool_kind::model, "/" + name, 10 });
        for (std::size_t j = 0; j < 4; ++j) {
            backend_server server;
            server.id = server_id(name + "-" + std::to_string(j));
            server.pool = pool_id(name);
            server.dataCentre = data_centre_id("dc-" + std::to_string(j));
            server.location = { "127.0.0.1", static_cast<std::uint16_t>(7100 + 10 * i + j) };
            values.emplace_back(server);
        }
    }
    for (const document_value& value : values) {
        if (const auto* server = std::get_if<backend_server>(&value))
            fleet.servers[server->id] = fake_server();
    }
    fleet.change(0, values);
    fleet.run(8s);
    const std::size_t lost = fleet.ownerOf(0, modelShard);
    for (int step = 0; step < 30; ++step) {
        for (std::size_t i = 0; i < poolCount; ++i) {
            const std::string path = i == 0 ? "/v1" : "/model" + std::to_string(i);
            fleet.send((lost + 1) % fleet.size(), "ws-0", "POST", path, {}, fleet.requests.size() + 1, "model-" + std::to_string(step));
        }
        if (step == 10)
            fleet.kill(lost);
        fleet.run(1s);
    }
    std::vector<time_point> loads;
    std::set<std::size_t> owners;
    for (const observed_order& seen : fleet.orders) {
        if (seen.order.action == placement_action::load)
            loads.push_back(seen.at);
        owners.insert(seen.router);
    }
    CHECK(loads.size() > 15);
    CHECK(owners.size() > 1);
    const double rate = placement_settings {}.loadsPerSecond;
    for (std::size_t first = 0; first < loads.size(); ++first) {
        for (std::size_t last = first; last < loads.size(); ++last) {
            const double seconds = std::chrono::duration<double>(loads[last] - loads[first]).count();
            // An order reaches its engine within 1 ms of its decision.
            CHECK(static_cast<double>(last - first + 1) <= rate * (seconds + 0.002) + poolCount);
        }
    }
}
