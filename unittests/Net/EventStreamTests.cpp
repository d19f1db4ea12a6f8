#include <doctest/doctest.h>

#include "pimentoladder/Net/EventStream.h"

using namespace pimentoladder;

// Guards against passing on part of an event before the stream breaks; the rest
// would be missing after the stream is resumed.
TEST_CASE("only whole events are handed out, however the bytes arrive")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\nid: 3\nda";
    for (std::size_t step = 1; step <= stream.size(); ++step) {
        event_stream_splitter splitter;
        std::string passed;
        std::optional<std::uint64_t> last;
        for (std::size_t at = 0; at < stream.size(); at += step) {
            const event_stream_batch batch = splitter.feed(std::string_view(stream).substr(at, step));
            passed += batch.bytes;
            if (batch.lastId)
                last = batch.lastId;
        }
        CHECK(passed == stream.substr(0, stream.find("id: 3")));
        CHECK(last == std::optional<std::uint64_t>(2));
        CHECK(splitter.hasPartialEvent());
    }
}

// Guards against a resumed stream whose first event is not noticed to be the wrong one.
TEST_CASE("the id of the first event of a batch is reported only if that event has one")
{
    event_stream_splitter splitter;
    CHECK(splitter.feed("id: 3\ndata: a\n\nid: 4\ndata: b\n\nid: 5").firstId == std::optional<std::uint64_t>(3));
    CHECK(splitter.feed("\ndata: c\n\n").firstId == std::optional<std::uint64_t>(5));
    const event_stream_batch unnumbered = splitter.feed("data: d\n\nid: 6\ndata: e\n\n");
    CHECK_FALSE(unnumbered.firstId);
    CHECK(unnumbered.lastId == std::optional<std::uint64_t>(6));
    CHECK_FALSE(splitter.feed("data: f\n").firstId);
}

// Guards against memory that grows with an event that never ends.
TEST_CASE("an event without end is dropped at the size limit")
{
    event_stream_splitter splitter;
    CHECK(splitter.feed("id: 1\ndata: a\n\n").bytes.size() == 15);
    std::size_t fed = 0;
    while (!splitter.isOversized() && fed < 2 * event_stream_splitter::maxEventBytes) {
        CHECK(splitter.feed(std::string(1024, 'x') + "\n").bytes.empty());
        fed += 1025;
    }
    CHECK(splitter.isOversized());
    CHECK(fed <= event_stream_splitter::maxEventBytes + 2 * 1025);
    CHECK(splitter.hasPartialEvent());
    CHECK(splitter.feed("\n\nid: 2\n\n").bytes.empty());
}
