/// \file
/// Complete router with the platform's stand-ins, over loopback sockets.

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <unistd.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "pimentoladder/Codec/Base64.h"
#include "pimentoladder/Daemon/DispatchProcess.h"
#include "platform/FleetRows.h"
#include "platform/RequestHeaders.h"
#include "platform/StoreClient.h"
#include "standins/platform/BackendService.h"
#include "standins/platform/StoreService.h"

namespace pimentoladder {

/// A stand-in with its HTTP server.
template <typename Service, typename Settings>
struct served_standin {
    served_standin(tools::loop& events, tools::history_writer& history, std::string name, Settings settings, const std::string& address = "127.0.0.1:0")
        : service({ events, history, std::move(name), 1 }, std::move(settings))
        , server(events, address, [this](const standins::exchange_ptr& exchange) { service.handle(exchange); })
    {
    }

    Service service;
    tools::http_server server;
};

using served_store = served_standin<standins::store_service, standins::store_settings>;
using served_backend = served_standin<standins::backend_service, standins::backend_settings>;

/// A router process with its platform adapters and its log.
struct tested_router {
    /// \p codec replaces the platform's codec of requests if it is not null.
    tested_router(const settings& configured, std::vector<nlohmann::json>& lines, ingress_codec* codec = nullptr)
        : log(
            log_level::info, [&lines](std::string_view line) { lines.push_back(nlohmann::json::parse(line)); return true; }, [this] { return loop.now(); })
        , rows(loop, configured.platform.rows)
        , process(loop, log, configured, { rows, fleet, codec ? *codec : ingress }, incarnation(1), 1)
    {
    }

    event_loop loop;
    logger log;
    platform::store_client rows;
    platform::fleet_rows fleet;
    platform::request_headers ingress;
    dispatch_process process;
};

/// The stand-ins run on one event loop and the router on another; the fixture runs both
/// alternately on the test's thread.
class router_fixture {
public:
    static constexpr duration testLimit = std::chrono::seconds(5);

    router_fixture()
        : history("/dev/null", "test")
        , store(events, history, "store", {})
        , client(events)
    {
        configured.vm = vm_id("router-0");
        configured.dataCentre = data_centre_id("dc-0");
        configured.listen.callers = { "127.0.0.1", freePort() };
        configured.listen.admin = { "127.0.0.1", freePort() };
        configured.listen.peers = { "127.0.0.1", freePort() };
        configured.listen.peersAdvertised = configured.listen.peers;
        configured.platform.rows = { "127.0.0.1", store.server.port() };
        configured.shutdown.grace = std::chrono::milliseconds(50);
        configured.shutdown.deadline = std::chrono::seconds(3);
    }

    void startRouter()
    {
        router.emplace(configured, lines);
        const auto started = router->process.start();
        INFO((started ? "started" : started.error().message));
        REQUIRE(started);
    }

    /// Runs both loops until \p isDone returns true or \p limit has passed. Returns whether
    /// \p isDone returned true.
    bool runUntil(const std::function<bool()>& isDone, duration limit = testLimit)
    {
        const time_point end = tools::bootTime() + limit;
        bool hasEnded = isDone();
        while (!hasEnded && tools::bootTime() < end) {
            runBothLoops();
            hasEnded = isDone();
        }
        return hasEnded;
    }

    void runFor(duration span)
    {
        runUntil([] { return false; }, span);
    }

    /// Writes a row as the operator does.
    void writeRow(const std::string& table, const std::string& key, const std::string& value)
    {
        const nlohmann::json body { { "write", { { { "table", table }, { "part", "" }, { "key", key }, { "value", encodeBase64(value) } } } } };
        REQUIRE(call(store.server.port(), "POST", "/v1/rows-tx", body.dump()).status == 200);
    }

    /// Publishes a configuration with a stream, an idempotent and an at-most-once
    /// route to the pool `model`, one workspace that holds \p keys, and an idempotent route
    /// for each prefix in \p addedRoutes.
    void writeConfiguration(std::uint64_t version, const std::vector<std::string>& keys, const std::vector<std::string>& addedRoutes = {})
    {
        const auto route = [](const char* prefix, const char* type) {
            return nlohmann::json { { "name", prefix }, { "host", "h" }, { "prefix", prefix }, { "route_type", type }, { "resumable", true },
                { "service", "model" }, { "max_attempts", 3 }, { "timeout_ms", 3000 }, { "latency_goal_ms", 800 } };
        };
        nlohmann::json plan { { "version", version },
            { "routes", { route("/stream/", "streaming"), route("/read/", "idempotent"), route("/order/", "non_idempotent") } },
            { "services", { { { "name", "model" } } } }, { "tenants", { { { "name", "ws-0" }, { "api_keys", keys } } } },
            { "limits", { { "tokens_per_s", 100000 } } } };
        for (const std::string& prefix : addedRoutes)
            plan["routes"].push_back(route(prefix.c_str(), "idempotent"));
        writeRow("op", "config", plan.dump());
    }

    served_backend& addBackend(const std::string& name, std::uint32_t slots = 8, duration heartbeat = std::chrono::milliseconds(200))
    {
        standins::backend_settings wanted;
        wanted.pool = "model";
        wanted.dataCentre = "dc-0";
        wanted.slots = slots;
        wanted.model.stepTime = std::chrono::milliseconds(2);
        wanted.model.coldSlowdown = 1;
        wanted.heartbeat = heartbeat;
        wanted.store = { "127.0.0.1", store.server.port() };
        const std::uint16_t port = freePort();
        wanted.advertised = "127.0.0.1:" + std::to_string(port);
        backends.push_back(std::make_unique<served_backend>(events, history, name, wanted, wanted.advertised));
        backendPorts.push_back(port);
        return *backends.back();
    }

    /// Starts a router with one server and a configuration, and waits until it is ready.
    void serve()
    {
        writeConfiguration(1, { "key" });
        addBackend("s-0");
        startRouter();
        REQUIRE(runUntil([this] { return call(configured.listen.admin.port, "GET", "/readyz").status == 200; }));
        REQUIRE(runUntil([this] { return ask("/read/a").status == 200; }));
    }

    tools::client_answer call(std::uint16_t port, const std::string& method, const std::string& path, const std::string& body = {}, std::vector<tools::http_header> headers = {})
    {
        std::optional<tools::client_answer> answer;
        client.send({ { "127.0.0.1", port }, method, path, body, std::move(headers) }, [&](const tools::client_answer& ended) { answer = ended; });
        REQUIRE(runUntil([&] { return answer.has_value(); }));
        return *answer;
    }

    /// Sends a caller's request and returns the location that receives its response.
    std::shared_ptr<std::optional<tools::client_answer>> begin(const std::string& path, const std::string& key = "key", std::vector<tools::http_header> headers = {}, const std::string& body = "body")
    {
        headers.push_back({ "Host", "h" });
        headers.push_back({ "Api-Key", key });
        headers.push_back({ "X-Attempt-Id", "a" + std::to_string(++lastAttempt) });
        headers.push_back({ "X-Deadline-Ms", "3000" });
        auto answer = std::make_shared<std::optional<tools::client_answer>>();
        client.send({ { "127.0.0.1", configured.listen.callers.port }, "POST", path, body, std::move(headers) }, [answer](const tools::client_answer& ended) { *answer = ended; });
        return answer;
    }

    tools::client_answer ask(const std::string& path, const std::string& key = "key", std::vector<tools::http_header> headers = {})
    {
        const auto answer = begin(path, key, std::move(headers));
        REQUIRE(runUntil([&] { return answer->has_value(); }));
        return **answer;
    }

    /// Lets the store come back, after \p away, from a copy that is \p age old.
    void restoreStore(duration age, duration away = {})
    {
        using std::chrono::milliseconds;
        const auto inMilliseconds = [](duration each) { return std::chrono::duration_cast<milliseconds>(each).count(); };
        injectFault(store.server.port(), nlohmann::json { { "kind", "restore" }, { "ageMs", inMilliseconds(age) }, { "durationMs", inMilliseconds(away) } }.dump());
        runFor(away);
    }

    /// Returns the rows of a table of the store by key, decoded.
    std::map<std::string, std::string> rowsOf(const std::string& table)
    {
        std::map<std::string, std::string> rows;
        const tools::client_answer listed = call(store.server.port(), "GET", "/v1/rows-get?table=" + table + "&part=");
        const nlohmann::json body = nlohmann::json::parse(listed.body);
        for (const nlohmann::json& row : body.at("rows"))
            rows[row.at("key").get<std::string>()] = decodeBase64(row.at("value").get<std::string>()).value();
        return rows;
    }

    void injectFault(std::uint16_t port, const std::string& fault)
    {
        REQUIRE(call(port, "POST", "/fault", fault).status == 200);
    }

    std::size_t logged(std::string_view event) const
    {
        return static_cast<std::size_t>(std::count_if(lines.begin(), lines.end(), [event](const nlohmann::json& line) { return line["event"] == event; }));
    }

    tools::loop events;
    tools::history_writer history;
    served_store store;
    tools::http_client client;
    std::vector<std::unique_ptr<served_backend>> backends;
    std::vector<std::uint16_t> backendPorts;
    settings configured;
    std::vector<nlohmann::json> lines;
    std::optional<tested_router> router;
    std::uint64_t lastAttempt = 0;

private:
    void runBothLoops()
    {
        events.runFor(std::chrono::microseconds(500));
        if (router)
            router->loop.runFor(std::chrono::microseconds(500));
    }

    // Returns a free port, for a listener whose address must be known before it listens.
    // Below the usual range of ephemeral ports, from which the system takes the ports of
    // outgoing connections, and below the ports of utils/fleet.py.
    static constexpr int firstPort = 10'000;
    static constexpr int portCount = 5'000;

    /// Returns a port on which nothing listens.
    std::uint16_t freePort()
    {
        // Tests that run in parallel begin at different ports.
        static int next = getpid() * 61 % portCount;
        for (int tries = 0; tries < portCount; ++tries) {
            next = (next + 1) % portCount;
            const std::string address = "127.0.0.1:" + std::to_string(firstPort + next);
            try {
                return tools::http_server(events, address, [](const standins::exchange_ptr&) {}).port();
            } catch (const std::runtime_error&) {
                continue;
            }
        }
        throw std::runtime_error("no port is free");
    }
};

}
