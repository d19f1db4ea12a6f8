#include "pimentoladder/Codec/MemberJson.h"

#include <nlohmann/json.hpp>

namespace pimentoladder {

std::string member_json_codec::encode(const fleet_router& source) const
{
    const nlohmann::json encoded {
        { "vm", source.vm.value() },
        { "start", source.start.value() },
        { "data_centre", source.dataCentre.value() },
        { "address", source.peerLocation.address },
        { "port", source.peerLocation.port },
        { "cores", source.cores },
    };
    return encoded.dump();
}

result<fleet_router> member_json_codec::decode(const std::string& text) const
{
    try {
        const auto parsed = nlohmann::json::parse(text);
        fleet_router decoded;
        decoded.vm = vm_id(parsed.at("vm").get<std::string>());
        decoded.start = incarnation(parsed.at("start").get<std::uint64_t>());
        decoded.dataCentre = data_centre_id(parsed.at("data_centre").get<std::string>());
        decoded.peerLocation = { parsed.at("address").get<std::string>(), parsed.at("port").get<std::uint16_t>() };
        decoded.cores = parsed.at("cores").get<double>();
        if (decoded.vm.isEmpty())
            return makeError(error_kind::corruptData, "the member has no name; remove its row");
        return decoded;
    } catch (const nlohmann::json::exception& fault) {
        return makeError(error_kind::corruptData, std::string(fault.what()) + "; remove the row");
    }
}

}
