/// \file
/// Fixture with one stand-in over sockets, its history and a client.

#pragma once

#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "standins/Service.h"
#include "support/HttpClient.h"

namespace pimentoladder::standins {

/// One stand-in, served on a free port, and a client for it.
template <typename Service, typename Settings>
struct standin_fixture {
    explicit standin_fixture(Settings settings)
        : path(std::filesystem::temp_directory_path() / ("standins-" + std::to_string(tools::bootTime().time_since_epoch().count())))
        , history(path, "test")
        , service({ events, history, "server", 1 }, std::move(settings))
        , server(events, "127.0.0.1:0", [this](const exchange_ptr& exchange) { service.handle(exchange); })
        , client(events)
    {
    }
    ~standin_fixture() { std::filesystem::remove(path); }

    std::optional<tools::client_answer> call(std::string method, std::string target, std::string body = {}, duration wait = std::chrono::seconds(2))
    {
        tools::client_request request { { "127.0.0.1", port ? port : server.port() }, std::move(method), std::move(target), std::move(body), { { "X-Load-Id", "id-1" } } };
        std::optional<tools::client_answer> answer;
        client.send(request, [&](const tools::client_answer& ended) {
            answer = ended;
            events.stop();
        });
        events.runFor(wait);
        return answer;
    }

    std::vector<nlohmann::json> recorded(const std::string& kind) const
    {
        std::vector<nlohmann::json> found;
        std::ifstream file(path);
        for (std::string line; std::getline(file, line);) {
            const auto event = nlohmann::json::parse(line);
            if (event["event"] == kind)
                found.push_back(event);
        }
        return found;
    }

    tools::loop events;
    std::filesystem::path path;
    tools::history_writer history;
    Service service;
    tools::http_server server;
    tools::http_client client;
    std::uint16_t port = 0; ///< Overrides the server's port.
};

}
