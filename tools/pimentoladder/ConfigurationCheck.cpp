#include "ConfigurationCheck.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>
#include <ostream>

#include <nlohmann/json.hpp>

#include "pimentoladder/Dispatch/PlanCheck.h"
#include "platform/FleetRows.h"

namespace pimentoladder {

namespace {

    constexpr int exitSound = 0;
    constexpr int exitFindings = 1;
    constexpr int exitUnreadable = 2;

    // A row of the store that holds a configuration.
    constexpr const char* configurationRow = "config";

    std::optional<std::string> readAll(const std::string& path, std::istream& in)
    {
        if (path == "-")
            return std::string(std::istreambuf_iterator<char>(in), {});
        std::ifstream file(path, std::ios::binary);
        if (!file)
            return std::nullopt;
        return std::string(std::istreambuf_iterator<char>(file), {});
    }

    std::optional<serving_plan> readPlan(const std::string& path, std::istream& in, std::ostream& errors)
    {
        const auto text = readAll(path, in);
        if (!text) {
            errors << "configuration \"" << path << "\" cannot be read; check the path\n";
            return std::nullopt;
        }
        const platform::fleet_rows codec;
        auto decoded = codec.decodeOperatorRow(configurationRow, *text);
        if (!decoded) {
            errors << path << ": " << decoded.error().message << "\n";
            return std::nullopt;
        }
        return std::get<serving_plan>(std::move(*decoded));
    }

    void printText(const std::vector<plan_finding>& found, std::ostream& out)
    {
        for (const plan_finding& each : found) {
            out << findingKindName(each.kind) << ": " << each.place << ": " << each.reason;
            if (!each.remedy.empty())
                out << "; " << each.remedy;
            out << "\n";
        }
        if (found.empty())
            out << "the configuration is sound\n";
    }

    void printJson(const std::vector<plan_finding>& found, std::ostream& out)
    {
        nlohmann::json entries = nlohmann::json::array();
        for (const plan_finding& each : found)
            entries.push_back({ { "kind", findingKindName(each.kind) }, { "place", each.place }, { "reason", each.reason }, { "remedy", each.remedy } });
        // Names of a foreign configuration may hold bytes that are not UTF-8.
        out << nlohmann::json { { "findings", entries } }.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
    }

}

int checkConfiguration(const configuration_check_request& request, std::istream& in, std::ostream& out, std::ostream& errors)
{
    if (request.format != "text" && request.format != "json") {
        errors << "format \"" << request.format << "\" is neither \"text\" nor \"json\"\n";
        return exitUnreadable;
    }
    const auto plan = readPlan(request.path, in, errors);
    const auto inForce = request.againstPath.empty() ? std::nullopt : readPlan(request.againstPath, in, errors);
    if (!plan || (!request.againstPath.empty() && !inForce))
        return exitUnreadable;
    plan_check_limits limits;
    if (request.routerMemory > 0)
        limits.routerMemory = request.routerMemory;
    std::vector<plan_finding> found = checkPlan(*plan, limits);
    if (inForce) {
        const std::vector<plan_finding> changes = comparePlans(*inForce, *plan);
        found.insert(found.end(), changes.begin(), changes.end());
    }
    if (request.format == "json")
        printJson(found, out);
    else
        printText(found, out);
    const bool hasFaults = std::any_of(found.begin(), found.end(), [](const plan_finding& each) { return each.kind != finding_kind::difference; });
    return hasFaults ? exitFindings : exitSound;
}

}
