#include "pimentoladder/Telemetry/Log.h"

#include <array>
#include <csignal>
#include <filesystem>
#include <string>
#include <vector>

#include <fcntl.h>
#include <unistd.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace pimentoladder;

namespace {

time_point fixedTime()
{
    return time_point(std::chrono::seconds(5));
}

}

// Guards against lines that are not valid JSON when callers send control
// characters or invalid UTF-8.
TEST_CASE("every line is one JSON object")
{
    std::vector<std::string> lines;
    logger log(
        log_level::info, [&](std::string_view line) { lines.emplace_back(line); return true; }, fixedTime);
    log.write(log_level::info, "request_routed", { { "path", std::string_view("a\"b\n\xff%s") }, { "attempt", std::uint64_t(2) } });
    log.write(log_level::debug, "hidden", {});
    REQUIRE(lines.size() == 1);
    const auto parsed = nlohmann::json::parse(lines.front());
    CHECK(parsed["event"] == "request_routed");
    CHECK(parsed["attempt"] == 2);
    CHECK(parsed["time_ns"] == 5'000'000'000);
    CHECK(lines.front().find('\n') == std::string::npos);
}

// Guards against an event loop that blocks because the log reader stops reading.
TEST_CASE("a full pipe drops lines instead of blocking")
{
    std::array<int, 2> ends {};
    REQUIRE(::pipe(ends.data()) == 0);
    log_line_buffer batch(ends[1], [] {});
    logger log(
        log_level::info, [&](std::string_view line) { return batch.add(line); }, fixedTime);
    const std::string filler(1000, 'x');
    for (int i = 0; i < 600; ++i) {
        log.write(log_level::info, "fill", { { "filler", std::string_view(filler) } });
        batch.flush();
    }
    CHECK(log.droppedLines() > 0);
    ::close(ends[0]);
    ::close(ends[1]);
}

// Guards against a process that ends because the log reader closed the pipe.
TEST_CASE("a closed pipe drops lines")
{
    std::signal(SIGPIPE, SIG_IGN);
    std::array<int, 2> ends {};
    REQUIRE(::pipe(ends.data()) == 0);
    ::close(ends[0]);
    log_line_buffer batch(ends[1], [] {});
    logger log(
        log_level::info, [&](std::string_view line) { return batch.add(line); }, fixedTime);
    const std::string filler(1000, 'x');
    for (int i = 0; i < 600; ++i) {
        log.write(log_level::info, "lost", { { "filler", std::string_view(filler) } });
        batch.flush();
    }
    CHECK(log.droppedLines() > 0);
    ::close(ends[1]);
}

// Guards against lines that are truncated or reordered when several are written in
// one batch.
TEST_CASE("batched lines arrive whole and in order")
{
    std::array<int, 2> ends {};
    REQUIRE(::pipe(ends.data()) == 0);
    int flushes = 0;
    log_line_buffer batch(ends[1], [&] { ++flushes; });
    std::string expected;
    for (int i = 0; i < 100; ++i) {
        const std::string line = "line " + std::to_string(i);
        CHECK(batch.add(line));
        expected += line + "\n";
    }
    CHECK(flushes == 1);
    batch.flush();
    std::string received(expected.size(), '\0');
    CHECK(::read(ends[0], received.data(), received.size()) == static_cast<ssize_t>(expected.size()));
    CHECK(received == expected);
    ::close(ends[0]);
    ::close(ends[1]);
}

// Guards against the log library's default of writing a file into the working
// directory, which the VMs do not have.
TEST_CASE("no log file is created")
{
    logger log(
        log_level::info, [](std::string_view) { return true; }, fixedTime);
    log.write(log_level::info, "event", {});
    CHECK_FALSE(std::filesystem::exists("myeasylog.log"));
    CHECK_FALSE(std::filesystem::exists("logs"));
}
