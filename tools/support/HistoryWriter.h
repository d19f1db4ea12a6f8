/// \file
/// Writes the events of docs/history.md as JSON lines.

#pragma once

#include <cstdio>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder::tools {

/// Appends events to a file or to standard output. Each line is flushed, so
/// that a crash loses no event. Not thread-safe; call on the loop's thread.
class history_writer {
public:
    /// An empty \p path writes to standard output. Throws `std::runtime_error`
    /// if the file cannot be opened.
    history_writer(const std::string& path, std::string source);
    ~history_writer();
    history_writer(const history_writer&) = delete;
    history_writer& operator=(const history_writer&) = delete;

    /// Writes \p event, an object with the fields of this kind of event. Adds the
    /// time, the source and the kind.
    void write(time_point at, const char* kind, nlohmann::json event);

private:
    std::FILE* m_file;
    std::string m_source;
};

}
