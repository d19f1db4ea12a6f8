#include "CommandOutput.h"

#include <algorithm>

namespace pimentoladder {

namespace {

    using nlohmann::json;

    // Longer key digests are abbreviated; the JSON output shows them in full.
    constexpr std::size_t maxCellBytes = 40;

    std::string cellText(const json& value)
    {
        std::string text;
        if (value.is_string()) {
            text = value.get<std::string>();
        } else if (value.is_object()) {
            for (const auto& [key, entry] : value.items())
                text += (text.empty() ? "" : ",") + key + '=' + cellText(entry);
        } else if (!value.is_null()) {
            text = value.dump();
        }
        // Control characters could manipulate the operator's terminal.
        std::replace_if(
            text.begin(), text.end(), [](unsigned char c) { return c < ' ' || c == 0x7f; }, '?');
        return text;
    }

    std::string tableCell(const json& item, const std::string& column)
    {
        std::string text = item.is_object() && item.contains(column) ? cellText(item[column]) : std::string();
        if (column == "keyDigest" && text.size() > maxCellBytes)
            text = text.substr(0, 12) + "...";
        return text.empty() ? "-" : text;
    }

    std::vector<std::string> columnsOf(const json& items)
    {
        std::vector<std::string> columns { "id" };
        for (const auto& item : items) {
            for (const auto& [field, value] : item.items()) {
                if (std::find(columns.begin(), columns.end(), field) == columns.end())
                    columns.push_back(field);
            }
        }
        return columns;
    }

    std::string textOf(const json& object, const char* field)
    {
        return object.is_object() && object.contains(field) ? cellText(object[field]) : std::string();
    }

    bool isTrue(const json& object, const char* field)
    {
        return object.is_object() && object.contains(field) && object[field] == true;
    }

    // Returns the array in a field, or an empty array.
    json arrayOf(const json& object, const char* field)
    {
        return object.is_object() && object.contains(field) && object[field].is_array() ? object[field] : json::array();
    }

}

std::string formatTable(const json& items, std::vector<std::string> columns)
{
    if (columns.empty())
        columns = columnsOf(items);
    std::vector<std::vector<std::string>> lines { columns };
    for (const auto& item : items) {
        auto& line = lines.emplace_back();
        for (const auto& column : columns)
            line.push_back(tableCell(item, column));
    }
    std::vector<std::size_t> widths(columns.size());
    for (const auto& line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line[i].size());
    }
    std::string text;
    for (const auto& line : lines) {
        for (std::size_t i = 0; i + 1 < line.size(); ++i)
            text += line[i] + std::string(widths[i] - line[i].size() + 2, ' ');
        text += line.back() + '\n';
    }
    return text;
}

std::string formatFields(const json& object)
{
    std::string text;
    for (const auto& [field, value] : object.items())
        text += field + ": " + cellText(value) + '\n';
    return text;
}

std::string formatPreview(const json& preview)
{
    std::string text = "nothing was changed; at revision " + textOf(preview, "basedOn") + " the change would:\n";
    for (const auto& entry : arrayOf(preview, "objects"))
        text += "  " + textOf(entry, "action") + ' ' + textOf(entry, "object") + '\n';
    for (const auto& entry : arrayOf(preview, "service"))
        text += std::string(isTrue(entry, "isInService") ? "  bring into service data centre " : "  take out of service data centre ")
            + textOf(entry, "dataCentre") + '\n';
    const json reach = arrayOf(preview, "reach");
    for (const auto& entry : reach)
        text += std::string(isTrue(entry, "isReachable") ? "  let workspace " : "  no longer let workspace ")
            + textOf(entry, "workspace") + " reach server " + textOf(entry, "server") + '\n';
    if (!reach.empty())
        text += "  reachable servers over all workspaces: " + textOf(preview, "reachGained") + " more, "
            + textOf(preview, "reachLost") + " fewer\n";
    return text;
}

std::string formatOutcome(const json& outcome)
{
    const std::string at = textOf(outcome, "revision");
    const std::string change = " (change " + textOf(outcome, "changeId") + ")\n";
    if (textOf(outcome, "outcome") == "accepted")
        return "accepted at revision " + at + change;
    return "committed at revision " + at + ", not yet accepted; check again with: admin change "
        + textOf(outcome, "changeId") + '\n';
}

}
