#include "pimentoladder/Wire/Frame.h"

#include <cstdint>

namespace pimentoladder {

namespace {

    std::size_t readLength(std::string_view bytes)
    {
        std::uint32_t length = 0;
        for (std::size_t index = 0; index < frameHeaderSize; ++index)
            length = length << 8U | static_cast<std::uint8_t>(bytes[index]);
        return length;
    }

    std::string oversizeMessage(std::size_t size, std::size_t limit)
    {
        return "frame of " + std::to_string(size) + " bytes exceeds the limit of " + std::to_string(limit)
            + "; send the content in smaller parts";
    }

}

result<std::string> encodeFrame(std::string_view payload)
{
    if (payload.size() > maxFrameSize)
        return makeError(error_kind::resourceExhausted, oversizeMessage(payload.size(), maxFrameSize));
    std::string frame;
    frame.reserve(frameHeaderSize + payload.size());
    for (std::size_t index = 0; index < frameHeaderSize; ++index)
        frame += static_cast<char>(payload.size() >> 8 * (frameHeaderSize - 1 - index) & 0xff);
    frame += payload;
    return frame;
}

void frame_parser::append(std::string_view bytes)
{
    m_buffer.erase(0, m_consumed);
    m_consumed = 0;
    m_buffer += bytes;
}

result<std::optional<std::string>> frame_parser::next()
{
    const std::string_view waiting = std::string_view(m_buffer).substr(m_consumed);
    if (waiting.size() < frameHeaderSize)
        return std::nullopt;
    const std::size_t length = readLength(waiting);
    if (length > m_limit)
        return makeError(error_kind::corruptData, oversizeMessage(length, m_limit));
    if (waiting.size() < frameHeaderSize + length)
        return std::nullopt;
    m_consumed += frameHeaderSize + length;
    return std::string(waiting.substr(frameHeaderSize, length));
}

}
