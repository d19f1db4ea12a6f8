#include "pimentoladder/Codec/LoadJson.h"

#include <nlohmann/json.hpp>

namespace pimentoladder {

using nlohmann::json;

result<server_load> parseLoadJson(const server_id& server, std::string_view text, time_point now)
{
    try {
        const json source = json::parse(text);
        server_load load;
        load.server = server;
        load.start = incarnation(source.at("incarnation").get<std::uint64_t>());
        load.inFlight = source.at("inFlight").get<std::uint32_t>();
        load.isCold = source.value("isCold", false);
        load.takenAt = now - std::chrono::milliseconds(source.value("ageMs", std::uint32_t { 0 }));
        return load;
    } catch (const json::exception& failure) {
        return makeError(error_kind::corruptData, "load report of " + server.value() + " cannot be decoded; check the server's version: " + failure.what());
    }
}

}
