#include "history/EventJson.h"

#include <array>

#include <nlohmann/json.hpp>

namespace pimentoladder::history {

using nlohmann::json;

namespace {

    template <typename Value>
    struct field {
        const char* name;
        Value event::*member;
    };

    constexpr std::array<field<std::string>, 12> textFields { {
        { "source", &event::source },
        { "id", &event::id },
        { "workspace", &event::workspace },
        { "key", &event::key },
        { "method", &event::method },
        { "target", &event::target },
        { "server", &event::server },
        { "router", &event::router },
        { "execution", &event::execution },
        { "result", &event::result },
        { "digest", &event::digest },
        { "reason", &event::reason },
    } };

    constexpr std::array<field<std::uint64_t>, 5> numberFields { {
        { "incarnation", &event::incarnation },
        { "revision", &event::revision },
        { "limit", &event::limit },
        { "bears", &event::limit },
        { "requests_cut", &event::cutRequests },
    } };

    /// Text fields may hold a number, such as the number of an execution.
    std::string textOf(const json& value)
    {
        return value.is_number() ? value.dump() : value.get<std::string>();
    }

    void readFields(const json& source, event& parsed)
    {
        for (const auto& [name, member] : textFields) {
            if (source.contains(name))
                parsed.*member = textOf(source[name]);
        }
        for (const auto& [name, member] : numberFields) {
            if (source.contains(name))
                parsed.*member = source[name].get<std::uint64_t>();
        }
        parsed.status = source.value("status", 0);
        parsed.isNotRun = source.value("isNotRun", false);
    }

}

result<std::optional<event>> parseEvent(std::string_view line, const std::string& defaultSource)
{
    try {
        const json source = json::parse(line);
        const std::optional<event_kind> kind = source.contains("event") ? eventKind(source["event"].get<std::string>()) : std::nullopt;
        if (!kind)
            return std::optional<event>();
        event parsed;
        parsed.kind = *kind;
        parsed.source = defaultSource;
        // Logs of routers name the time field time_ns.
        const char* timeField = source.contains("at") ? "at" : "time_ns";
        parsed.at = time_point(std::chrono::nanoseconds(source.at(timeField).get<std::int64_t>()));
        readFields(source, parsed);
        return std::optional(std::move(parsed));
    } catch (const json::exception& failure) {
        return makeError(error_kind::corruptData, failure.what());
    }
}

result<void> readEvents(std::istream& input, const std::string& defaultSource, event_list& events)
{
    std::size_t number = 0;
    for (std::string line; std::getline(input, line);) {
        ++number;
        if (line.empty())
            continue;
        result<std::optional<event>> parsed = parseEvent(line, defaultSource);
        const bool isCutShort = input.eof();
        if (!parsed && isCutShort)
            return {};
        if (!parsed)
            return makeError(error_kind::corruptData, "line " + std::to_string(number) + " cannot be decoded: " + parsed.error().message);
        if (*parsed)
            events.push_back(std::move(**parsed));
    }
    return {};
}

}
