#include "pimentoladder/Codec/LoadJson.h"

#include <nlohmann/json.hpp>

namespace pimentoladder {

using nlohmann::json;

namespace {

    std::set<model_id> modelsOf(const json& source, const char* key)
    {
        std::set<model_id> models;
        for (const std::string& name : source.value(key, std::vector<std::string>()))
            models.insert(model_id(name));
        return models;
    }

}

result<server_load> parseLoadReportJson(const server_id& server, std::string_view text, time_point now)
{
    try {
        const json source = json::parse(text);
        server_load load;
        load.server = server;
        load.start = incarnation(source.at("incarnation").get<std::uint64_t>());
        load.inFlight = source.at("inFlight").get<std::uint32_t>();
        load.isCold = source.value("isCold", false);
        load.models = modelsOf(source, "loadedModels");
        load.takenAt = now - std::chrono::milliseconds(source.value("ageMs", std::uint32_t { 0 }));
        return load;
    } catch (const json::exception& failure) {
        return makeError(error_kind::corruptData, "load report of " + server.value() + " cannot be decoded; check the server's version: " + failure.what());
    }
}

result<engine_state> parseEngineStateJson(const server_id& server, std::string_view text, time_point takenAt)
{
    try {
        const json source = json::parse(text);
        if (!source.contains("loadedModels") || !source.contains("loading"))
            return makeError(error_kind::corruptData, "order state of " + server.value() + " lacks loadedModels or loading; check the server's version");
        return engine_state { server, modelsOf(source, "loadedModels"), modelsOf(source, "loading"), takenAt };
    } catch (const json::exception& failure) {
        return makeError(error_kind::corruptData, "order state of " + server.value() + " cannot be decoded; check the server's version: " + failure.what());
    }
}

std::string formatPlacementOrderJson(const placement_order& order)
{
    return json { { "token", order.token.value() }, { "action", placementActionName(order.action) }, { "model", order.model.value() } }.dump();
}

}
