#include "pimentoladder/Wire/Frame.h"

#include <doctest/doctest.h>

using namespace pimentoladder;

// Guards against frames that are lost or merged when the stream is split at any byte.
TEST_CASE("frames are parsed from pieces of any size")
{
    const std::string stream = *encodeFrame("first") + *encodeFrame("") + *encodeFrame(std::string(300, 'x'));
    for (std::size_t piece = 1; piece <= stream.size(); ++piece) {
        frame_parser parser;
        std::vector<std::string> frames;
        for (std::size_t at = 0; at < stream.size(); at += piece) {
            parser.append(std::string_view(stream).substr(at, piece));
            for (auto next = parser.next(); next && *next; next = parser.next())
                frames.push_back(**next);
        }
        CHECK(frames == std::vector<std::string> { "first", "", std::string(300, 'x') });
        CHECK(parser.pending() == 0);
    }
}

// Guards against allocating memory for a false length prefix.
TEST_CASE("a frame beyond the limit is refused before its content arrives")
{
    frame_parser parser(16);
    parser.append(std::string("\0\0\0\x11", 4));
    REQUIRE_FALSE(parser.next());
    CHECK(parser.next().error().kind == error_kind::corruptData);
    CHECK(encodeFrame(std::string(maxFrameSize, 'x')));
    CHECK(encodeFrame(std::string(maxFrameSize + 1, 'x')).error().kind == error_kind::resourceExhausted);
}
