#include "ChangeRecord.h"

#include <array>
#include <cstdio>

#include "pimentoladder/Codec/RowJson.h"

namespace pimentoladder {

namespace {

    using nlohmann::json;

    // Formats a time as ISO 8601 in UTC with a resolution of one second.
    std::string timeText(std::chrono::system_clock::time_point at)
    {
        const auto day = std::chrono::floor<std::chrono::days>(at);
        const std::chrono::year_month_day date(day);
        const std::chrono::hh_mm_ss time(std::chrono::floor<std::chrono::seconds>(at - day));
        std::array<char, 64> text {};
        std::snprintf(text.data(), text.size(), "%04d-%02u-%02uT%02d:%02d:%02dZ", static_cast<int>(date.year()),
            static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()), static_cast<int>(time.hours().count()),
            static_cast<int>(time.minutes().count()), static_cast<int>(time.seconds().count()));
        return text.data();
    }

    json optionalObject(const std::optional<document_value>& value)
    {
        return value ? json::parse(formatRowJson(*value)) : json();
    }

}

change_transaction makeChangeTransaction(const change_plan& plan, const change_origin& origin)
{
    json record {
        { "changeId", origin.changeId },
        { "operator", origin.operatorName },
        { "requestDigest", origin.requestDigest },
        { "at", timeText(origin.at) },
        { "action", changeActionName(plan.action) },
        { "object", plan.row.key },
        { "basedOn", plan.basedOn.value() },
    };
    const auto text = [](const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); };

    change_transaction transaction { origin.changeId, plan.basedOn, {} };
    std::optional<std::string> object;
    if (plan.row.value)
        object = formatRowJson(*plan.row.value);
    transaction.rows.push_back({ plan.row.key, std::move(object) });
    transaction.rows.push_back({ "change/" + origin.changeId, text(record) });
    record["before"] = optionalObject(plan.before);
    record["after"] = optionalObject(plan.row.value);
    transaction.rows.push_back({ historyKey(plan.basedOn), text(record) });
    return transaction;
}

std::string historyKey(revision basedOn)
{
    constexpr std::size_t digits = 20; // Digits of the largest revision; zero padding makes keys sort by revision.
    const std::string number = std::to_string(basedOn.value());
    return "history/" + std::string(digits - number.size(), '0') + number;
}

json recordJson(const stored_row& row)
{
    json record = json::parse(row.text, nullptr, false);
    if (!record.is_object())
        record = json::object();
    record["revision"] = row.at.value();
    return record;
}

}
