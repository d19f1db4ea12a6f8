#include "support/HistoryWriter.h"

#include <stdexcept>

#include <nlohmann/json.hpp>

namespace pimentoladder::tools {

history_writer::history_writer(const std::string& path, std::string source)
    : m_file(path.empty() ? stdout : std::fopen(path.c_str(), "a"))
    , m_source(std::move(source))
{
    if (!m_file)
        throw std::runtime_error("cannot open history file " + path + "; check its folder");
}

history_writer::~history_writer()
{
    if (m_file != stdout)
        std::fclose(m_file);
}

void history_writer::write(time_point at, const char* kind, nlohmann::json event)
{
    event["at"] = at.time_since_epoch().count();
    event["source"] = m_source;
    event["event"] = kind;
    // Callers may send bytes that are not UTF-8. Replace them, because strict
    // encoding would throw and end the program.
    std::string line = event.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    line += '\n';
    std::fwrite(line.data(), 1, line.size(), m_file);
    std::fflush(m_file);
}

}
