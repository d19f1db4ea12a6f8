#include "pimentoladder/Platform/VmListClient.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace pimentoladder {

using nlohmann::json;

namespace {

    constexpr int statusOk = 200;

    result<std::vector<listed_vm>> parseList(const result<platform_answer>& answer)
    {
        if (!answer)
            return tl::unexpected(answer.error());
        if (answer->status != statusOk)
            return makeError(error_kind::invalidArgument, "the platform refused the list of VMs with status " + std::to_string(answer->status));
        try {
            const json body = json::parse(answer->body);
            std::vector<listed_vm> vms;
            for (const json& entry : body.at("vms")) {
                vms.push_back({ vm_id(entry.at("id").get<std::string>()), entry.value("address", std::string()),
                    data_centre_id(entry.value("dataCentre", std::string())), entry.at("isLeaving").get<bool>() });
            }
            return vms;
        } catch (const json::exception& failure) {
            return makeError(error_kind::corruptData, std::string("the list of VMs cannot be decoded: ") + failure.what());
        }
    }

}

void vm_list_client::read(time_point deadline, std::function<void(result<std::vector<listed_vm>>)> onEnd)
{
    m_runner.run({ { "GET", "/vms", {} }, deadline },
        [onEnd = std::move(onEnd)](const result<platform_answer>& answer) { onEnd(parseList(answer)); });
}

}
