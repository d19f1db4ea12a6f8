/// \file
/// Structured log: one JSON object per line.

#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

enum class log_level {
    debug,
    info,
    warning,
    error,
};

/// Returns the level named \p name, or `info` if there is none. Thread-safe.
log_level parseLogLevel(std::string_view name);

/// One named value of a log line.
struct log_field {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool> value;
};

/// Receives one line without its newline. Returns false if the line was dropped
/// because the sink could not accept it without blocking.
using log_sink = std::function<bool(std::string_view line)>;

/// Buffers lines and writes them in batches, so that a burst of lines costs few
/// system calls. Never blocks. Precondition: SIGPIPE is ignored.
/// Not thread-safe; call on the loop's thread.
class log_line_buffer {
public:
    /// \p scheduleFlush must arrange a later call of `flush`. It is called when
    /// the first line of a batch arrives, and after a flush that left lines
    /// unwritten.
    log_line_buffer(int descriptor, std::function<void()> scheduleFlush);

    /// Appends a line. Returns false if it was dropped because the buffer is full
    /// or the line does not fit into one atomic pipe write (`PIPE_BUF`).
    bool add(std::string_view line);

    /// Writes as much as the descriptor accepts without blocking.
    void flush();

private:
    int m_descriptor;
    std::function<void()> m_scheduleFlush;
    std::string m_pending;
};

/// Writes log lines. Not thread-safe; call on the loop's thread. One logger
/// exists in a process at a time.
class logger {
public:
    /// \p now returns the time stamp of a line.
    logger(log_level threshold, log_sink sink, std::function<time_point()> now);
    ~logger();
    logger(const logger&) = delete;
    logger& operator=(const logger&) = delete;

    /// Writes one line with the event's name and fields.
    void write(log_level level, std::string_view event, std::initializer_list<log_field> fields);

    /// Drops lines below \p threshold from now on.
    void setThreshold(log_level threshold) { m_threshold = threshold; }

    /// Returns the number of lines that the sink dropped.
    std::uint64_t droppedLines() const { return m_droppedLines; }

private:
    friend class sink_dispatcher;
    void emit(std::string_view line);

    log_level m_threshold;
    log_sink m_sink;
    std::function<time_point()> m_now;
    std::string m_line; ///< Reused to avoid allocations.
    std::uint64_t m_droppedLines = 0;
};

}
