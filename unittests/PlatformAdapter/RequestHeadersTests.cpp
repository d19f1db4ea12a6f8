#include <algorithm>

#include <doctest/doctest.h>

#include "pimentoladder/Admin/Operators.h"
#include "platform/RequestHeaders.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

http_request makeRequest()
{
    return { "POST", "/a/b?c=d",
        { { "Host", "h.example" }, { "X-Attempt-Id", "9c41" }, { "X-Deadline-Ms", "10000" }, { "Api-Key", "secret" },
            { "X-Token-Counts", "1460,80" }, { "X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250" },
            { "X-Tenant-Name", "forged" }, { "X-Pin-Ms", "5" }, { "Kv-From", "x" }, { "X-Expected-Instance", "forged" }, { "X-Other", "kept" } },
        "body" };
}

}

// Guards against a field of the request that is not decoded or decoded wrongly.
TEST_CASE("a request is decoded from its headers")
{
    platform::request_headers codec;
    const inbound_request described = codec.describe(makeRequest());
    CHECK(described.callerId == "9c41");
    CHECK(described.host == "h.example");
    CHECK(described.path == "/a/b");
    CHECK(described.timeLeft == std::optional<duration>(10s));
    CHECK(described.keyDigest == sha256Hex("secret"));
    REQUIRE(described.prompt);
    CHECK(described.prompt->promptTokens == 1460);
    CHECK(described.prompt->outputTokens == 80);
    REQUIRE(described.prompt->parts.size() == 3);
    CHECK(described.prompt->parts[0].id == 0x5c1e07a2);
    CHECK(described.prompt->parts[2].tokens == 250);
}

// Guards against forwarding a caller's key, or a caller's values of headers that only the
// router may set, to a server.
TEST_CASE("an attempt carries the router's headers instead of the caller's")
{
    const platform::request_headers codec;
    open_dispatch opened;
    opened.server = server_id("i-1");
    opened.workspace = workspace_id("tenant");
    opened.timeLeft = 1500ms;
    const http_headers headers = codec.attemptHeaders(makeRequest(), opened);
    const auto count = [&](std::string_view name) {
        return std::count_if(headers.begin(), headers.end(), [&](const http_header& each) { return isSameHeaderName(each.name, name); });
    };
    CHECK(findHeader(headers, "X-Tenant-Name") == "tenant");
    CHECK(count("X-Tenant-Name") == 1);
    CHECK(findHeader(headers, "X-Expected-Instance") == "i-1");
    CHECK(count("X-Expected-Instance") == 1);
    CHECK(findHeader(headers, "X-Deadline-Ms") == "1500");
    CHECK(findHeader(headers, "X-Other") == "kept");
    CHECK(findHeader(headers, "X-Attempt-Id") == "9c41");
    for (const char* name : { "Api-Key", "X-Pin-Ms", "Kv-From" })
        CHECK(count(name) == 0);
}

// Guards against taking a late response to another attempt, or a refusal, for the
// response to the request.
TEST_CASE("a response head tells which attempt it belongs to and whether the request ran")
{
    const platform::request_headers codec;
    const auto describe = [&](int status, http_headers headers) { return codec.describeHead({ status, std::move(headers) }, makeRequest()); };
    CHECK(describe(200, { { "X-Attempt-Id", "9c41" }, { "X-Response-Seal", "s" } }).isAuthentic);
    CHECK_FALSE(describe(200, { { "X-Attempt-Id", "other" } }).isFromExpectedAttempt);
    CHECK(describe(200, { { "x-attempt-id", "9c41" } }).isFromExpectedAttempt);
    CHECK_FALSE(describe(503, { { "X-Not-Executed", "1" } }).isFromExpectedAttempt);
    CHECK_FALSE(describe(200, { { "X-Attempt-Id", "" } }).isFromExpectedAttempt);
    CHECK_FALSE(describe(200, { { "X-Attempt-Id", "9c41" }, { "X-Attempt-Id", "other" } }).isFromExpectedAttempt);
    http_request withoutId = makeRequest();
    std::erase_if(withoutId.headers, [](const http_header& each) { return each.name == "X-Attempt-Id"; });
    CHECK(codec.describeHead({ 400, { { "X-Not-Executed", "1" } } }, withoutId).isFromExpectedAttempt);
    CHECK_FALSE(codec.describeHead({ 400, { { "X-Attempt-Id", "9c41" } } }, withoutId).isFromExpectedAttempt);
    CHECK(describe(503, { { "X-Not-Executed", "1" } }).isNotExecuted);
    CHECK(describe(421, {}).isMisdirected);
    const auto load = describe(200, { { "X-Instance-Load", "3,1,8" } }).load;
    REQUIRE(load);
    CHECK(load->running == 3);
    CHECK(load->waiting == 1);
    CHECK(load->slots == 8);
    CHECK_FALSE(describe(200, { { "X-Instance-Load", "3" } }).load);
}

// Guards against engines whose load nobody knows because their reports have one figure more, and
// against reports that are dropped in silence.
TEST_CASE("a report of a server's load is decoded, whatever its length, and named if it is unreadable")
{
    const platform::request_headers codec;
    const auto describe = [&](const std::string& text) { return codec.describeHead({ 200, { { "X-Instance-Load", text } } }, makeRequest()); };
    struct readable_load {
        const char* text;
        std::uint32_t running;
        std::optional<double> slowness;
    };
    for (const readable_load& each : { readable_load { "3,1,8", 3, {} }, { "3, 1, 8, 100", 3, 1 }, { "3,1,8,170", 3, 1.7 }, { "3,1,8,100000", 3, 4 }, { "0,1,8,1", 0, 0.25 }, { "3,1,8,50,77,new", 3, 0.5 }, { "1000000,1,8", 1'000'000, {} } }) {
        CAPTURE(each.text);
        const served_head head = describe(each.text);
        REQUIRE(head.load);
        CHECK(head.load->running == each.running);
        CHECK(head.load->waiting == 1);
        CHECK(head.load->slots == 8);
        CHECK(head.load->slowness == each.slowness);
        CHECK(head.unreadableLoad.empty());
    }
    for (const char* text : { "", "3", "3,1", "3,,8", "-3,1,8", "3,1,x", "nan,1,8", "1.5,1,8", "3;1;8", "3,1,1000001", "99999999999999999999,1,8", "3,1,18446744073709551615,100" }) {
        CAPTURE(text);
        CHECK_FALSE(describe(text).load);
        CHECK(describe(text).unreadableLoad == std::string("X-Instance-Load: ") + text);
    }
    for (const char* text : { "3,1,8,0", "3,1,8,-100", "3,1,8,slow", "3,1,8,1.7", "3,1,8,99999999999" }) {
        CAPTURE(text);
        REQUIRE(describe(text).load);
        CHECK_FALSE(describe(text).load->slowness);
        CHECK_FALSE(describe(text).unreadableLoad.empty());
    }
    CHECK(describe(std::string(5000, 'x')).unreadableLoad.size() < 100);
    CHECK(codec.describeHead({ 200, {} }, makeRequest()).unreadableLoad.empty());
}

// Guards against a limit that is missed or misread, and against values without a defined meaning.
TEST_CASE("a server's request limit is decoded, whatever its value")
{
    const platform::request_headers codec;
    const auto decode = [&](const std::vector<std::string>& values) {
        http_response_head head { 200, {} };
        for (const std::string& value : values)
            head.headers.push_back({ "server-limit", value });
        return codec.describeHead(head, makeRequest()).limit;
    };
    CHECK(decode({}).notice == limit_notice::none);
    CHECK(decode({ "2.5" }).notice == limit_notice::limited);
    CHECK(decode({ "2.5" }).perSecond == doctest::Approx(2.5));
    CHECK(decode({ "0" }).notice == limit_notice::limited);
    CHECK(decode({ "0" }).perSecond == 0);
    CHECK(decode({ "4", "1.5" }).perSecond == doctest::Approx(1.5));
    CHECK(decode({ "1e300" }).notice == limit_notice::none);
    for (const char* value : { "-1", "many", "", "1.5x", "nan", "inf", "1e999" }) {
        CHECK(decode({ value }).notice == limit_notice::unreadable);
        CHECK(decode({ value }).text == value);
    }
    CHECK(decode({ "2.5", "x" }).notice == limit_notice::unreadable);
    CHECK(decode({ std::string(5000, 'x') }).text.size() < 100);
}

TEST_CASE("a server's announcement that it leaves is missed or misread")
{
    const platform::request_headers codec;
    const auto describe = [&](const std::vector<std::string>& values) {
        http_response_head head { 200, {} };
        for (const std::string& value : values)
            head.headers.push_back({ "server-leaving", value });
        return codec.describeHead(head, makeRequest());
    };
    for (const std::vector<std::string>& values : std::vector<std::vector<std::string>> { { "1" }, { "1", "1" }, { "0", "1" }, { "1", "yes" } })
        CHECK(describe(values).isLeaving);
    for (const std::vector<std::string>& values : std::vector<std::vector<std::string>> { {}, { "0" }, { "0", "0" } }) {
        CHECK_FALSE(describe(values).isLeaving);
        CHECK(describe(values).unreadableNotice.empty());
    }
    for (const char* value : { "", "yes", "true", "1.0", "01", "-1", "1, 1" }) {
        CHECK_FALSE(describe({ value }).isLeaving);
        CHECK(describe({ value }).unreadableNotice == std::string("server-leaving: ") + value);
    }
    CHECK(describe({ std::string(5000, 'x') }).unreadableNotice.size() < 100);
}

TEST_CASE("the time for which a server turns requests away is missed or misread")
{
    const platform::request_headers codec;
    const auto describe = [&](int status, const std::vector<std::string>& values) {
        http_response_head head { status, {} };
        for (const std::string& value : values)
            head.headers.push_back({ "retry-after", value });
        return codec.describeHead(head, makeRequest());
    };
    CHECK(describe(503, { "2" }).retryAfter == std::optional<duration>(2s));
    CHECK(describe(503, { "0.25" }).retryAfter == std::optional<duration>(250ms));
    CHECK(describe(503, { "1", "3", "2" }).retryAfter == std::optional<duration>(3s));
    CHECK(describe(503, { "1e300" }).retryAfter == std::optional<duration>(1h));
    CHECK(describe(503, { "99999999999999999999" }).retryAfter == std::optional<duration>(1h));
    for (const std::vector<std::string>& values : std::vector<std::vector<std::string>> { {}, { "0" }, { "0.0" }, { "-0" } }) {
        CHECK_FALSE(describe(503, values).retryAfter);
        CHECK(describe(503, values).unreadableNotice.empty());
    }
    for (const char* value : { "", "-1", "soon", "2s", "nan", "inf", "1e999", "1, 2", "Sat, 05 Dec 2026 00:00:00 GMT" }) {
        CHECK_FALSE(describe(503, { value }).retryAfter);
        CHECK(describe(503, { value }).unreadableNotice == std::string("retry-after: ") + value);
    }
    CHECK(describe(503, { "2", "soon" }).retryAfter == std::optional<duration>(2s));
    CHECK_FALSE(describe(503, { "2", "soon" }).unreadableNotice.empty());
    // Only a server that is unavailable asks routers to stay away.
    for (const int status : { 200, 429, 500, 301 })
        CHECK_FALSE(describe(status, { "2" }).retryAfter);
}
