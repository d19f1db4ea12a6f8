#include "pimentoladder/Net/EventStream.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace pimentoladder {

namespace {

    constexpr std::string_view idField = "id:";

    std::optional<std::uint64_t> parseEventId(std::string_view line)
    {
        if (!line.starts_with(idField))
            return std::nullopt;
        line.remove_prefix(idField.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t id = 0;
        const auto [end, code] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (code != std::errc())
            return std::nullopt;
        return id;
    }

}

event_stream_batch event_stream_splitter::feed(std::string_view bytes)
{
    event_stream_batch batch;
    if (m_isOversized)
        return batch;
    m_partial.append(bytes);
    std::size_t eventEnd = 0;
    std::size_t lineStart = m_scanned;
    for (std::size_t lineEnd = m_partial.find('\n', lineStart); lineEnd != std::string::npos; lineEnd = m_partial.find('\n', lineStart)) {
        std::string_view line = std::string_view(m_partial).substr(lineStart, lineEnd - lineStart);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        lineStart = lineEnd + 1;
        if (const auto id = parseEventId(line))
            m_pendingId = id;
        if (!line.empty())
            continue;
        const bool isFirst = eventEnd == 0;
        eventEnd = lineStart;
        if (isFirst)
            batch.firstId = m_pendingId;
        if (m_pendingId)
            batch.lastId = std::exchange(m_pendingId, std::nullopt);
    }
    batch.bytes = m_partial.substr(0, eventEnd);
    m_partial.erase(0, eventEnd);
    m_scanned = lineStart - eventEnd;
    m_isOversized = m_partial.size() > maxEventBytes;
    if (m_isOversized)
        m_partial = {};
    return batch;
}

}
