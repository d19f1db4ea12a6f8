#include "pimentoladder/Telemetry/Log.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <climits>
#include <concepts>
#include <string>

#include <poll.h>
#include <unistd.h>

#include <easylogging++.h>
#include <nlohmann/json.hpp>

INITIALIZE_EASYLOGGINGPP

namespace pimentoladder {

namespace {

    constexpr const char* loggerName = "pimentoladder";
    constexpr const char* dispatcherName = "pimentoladder-sink";

    // Bounds the memory for lines that a slow log reader has not read yet.
    constexpr std::size_t maxPendingBytes = std::size_t { 256 } * 1024;

    struct level_name {
        std::string_view name;
        log_level level;
        el::Level libraryLevel;
    };

    constexpr std::array<level_name, 4> levelNames { {
        { "debug", log_level::debug, el::Level::Debug },
        { "info", log_level::info, el::Level::Info },
        { "warning", log_level::warning, el::Level::Warning },
        { "error", log_level::error, el::Level::Error },
    } };

    const level_name& describe(log_level level)
    {
        return levelNames.at(static_cast<std::size_t>(level));
    }

    logger* activeLogger = nullptr;

    bool isPlain(char c)
    {
        return c >= ' ' && c < '\x7f' && c != '"' && c != '\\';
    }

    void appendValue(std::string& line, std::string_view text)
    {
        if (std::ranges::all_of(text, isPlain)) {
            line.append(1, '"').append(text).append(1, '"');
            return;
        }
        // Text from callers may hold invalid UTF-8, on which `dump` throws by
        // default.
        line += nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    void appendValue(std::string& line, bool value)
    {
        line += value ? "true" : "false";
    }

    void appendValue(std::string& line, double value)
    {
        // JSON cannot represent infinity and NaN; `dump` writes them as null.
        line += nlohmann::json(value).dump();
    }

    template <std::integral Number>
    void appendValue(std::string& line, Number value)
    {
        std::array<char, 24> digits {};
        const auto [end, code] = std::to_chars(digits.data(), digits.data() + digits.size(), value);
        line.append(digits.data(), end);
    }

    template <typename Value>
    void appendField(std::string& line, std::string_view name, const Value& value)
    {
        line += ',';
        appendValue(line, name);
        line += ':';
        appendValue(line, value);
    }

}

/// Forwards each line from the log library to the active logger's sink.
class sink_dispatcher : public el::LogDispatchCallback {
protected:
    void handle(const el::LogDispatchData* data) override
    {
        if (!activeLogger || data->dispatchAction() != el::base::DispatchAction::NormalLog)
            return;
        activeLogger->emit(data->logMessage()->message());
    }
};

log_level parseLogLevel(std::string_view name)
{
    for (const level_name& candidate : levelNames) {
        if (candidate.name == name)
            return candidate.level;
    }
    return log_level::info;
}

log_line_buffer::log_line_buffer(int descriptor, std::function<void()> scheduleFlush)
    : m_descriptor(descriptor)
    , m_scheduleFlush(std::move(scheduleFlush))
{
}

bool log_line_buffer::add(std::string_view line)
{
    if (m_pending.size() + line.size() >= maxPendingBytes || line.size() >= PIPE_BUF)
        return false;
    if (m_pending.empty())
        m_scheduleFlush();
    m_pending.append(line).append(1, '\n');
    return true;
}

void log_line_buffer::flush()
{
    std::size_t written = 0;
    while (written < m_pending.size()) {
        pollfd state { m_descriptor, POLLOUT, 0 };
        const bool isWritable = ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) && !(state.revents & (POLLERR | POLLNVAL));
        if (!isWritable)
            break;
        // A pipe that polls writable accepts PIPE_BUF bytes without blocking. Each
        // write ends at a line end, so that lines of several processes that share
        // a pipe are not interleaved.
        std::size_t length = std::min<std::size_t>(m_pending.size() - written, PIPE_BUF);
        length = m_pending.rfind('\n', written + length - 1) + 1 - written;
        const ssize_t count = ::write(m_descriptor, m_pending.data() + written, length);
        if (count <= 0)
            break;
        written += static_cast<std::size_t>(count);
    }
    m_pending.erase(0, written);
    if (!m_pending.empty())
        m_scheduleFlush();
}

logger::logger(log_level threshold, log_sink sink, std::function<time_point()> now)
    : m_threshold(threshold)
    , m_sink(std::move(sink))
    , m_now(std::move(now))
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    el::Loggers::getLogger(loggerName);
    el::Loggers::reconfigureLogger(loggerName, configuration);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<sink_dispatcher>(dispatcherName);
    activeLogger = this;
}

logger::~logger()
{
    activeLogger = nullptr;
}

void logger::write(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (level < m_threshold)
        return;
    m_line = "{\"time_ns\":";
    appendValue(m_line, static_cast<std::int64_t>(m_now().time_since_epoch().count()));
    appendField(m_line, "level", describe(level).name);
    appendField(m_line, "event", event);
    for (const log_field& field : fields)
        std::visit([&](const auto& value) { appendField(m_line, field.name, value); }, field.value);
    m_line += '}';
    el::base::Writer(describe(level).libraryLevel, __FILE__, __LINE__, ELPP_FUNC).construct(1, loggerName) << m_line;
}

void logger::emit(std::string_view line)
{
    if (!m_sink(line))
        ++m_droppedLines;
}

}
