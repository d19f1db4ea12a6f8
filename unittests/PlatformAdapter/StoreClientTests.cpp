#include <doctest/doctest.h>

#include "pimentoladder/Net/EventLoop.h"
#include "pimentoladder/Net/HttpServer.h"
#include "platform/StoreClient.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

/// Store that responds to each call with the next of a list of replies, and repeats the last.
struct scripted_store {
    scripted_store()
        : server(loop, {}, [this](const http_request& request, const std::shared_ptr<http_response_writer>& answer) { onRequest(request, answer); })
    {
        location = *server.listen({ "127.0.0.1", 0 });
    }

    void onRequest(const http_request& request, const std::shared_ptr<http_response_writer>& answer)
    {
        if (isSilent) {
            held.push_back(answer);
            return;
        }
        targets.push_back(request.target);
        bodies.push_back(request.body);
        const auto [status, body] = replies.at(std::min(targets.size(), replies.size()) - 1);
        if (status == 0) {
            answer->abort();
            return;
        }
        answer->reply({ status, headers.empty() ? http_headers {} : headers.at(std::min(targets.size(), headers.size()) - 1) }, body);
    }

    event_loop loop;
    http_server server;
    endpoint location;
    std::vector<std::pair<int, std::string>> replies;
    std::vector<http_headers> headers; ///< Of the replies; the last ones are repeated.
    std::vector<std::string> targets;
    std::vector<std::string> bodies;
    bool isSilent = false; ///< Requests get no response.
    std::vector<std::shared_ptr<http_response_writer>> held;
};

result<rows_page> read(scripted_store& store, bool isWhole)
{
    platform::store_client client(store.loop, store.location);
    std::optional<result<rows_page>> answer;
    const auto onEnd = [&](result<rows_page> ended) {
        answer = std::move(ended);
        store.loop.stop();
    };
    if (isWhole)
        client.list("op", onEnd);
    else
        client.changes("op", revision(5), 200ms, onEnd);
    store.loop.runFor(2s);
    REQUIRE(answer);
    return *answer;
}

}

// Guards against changes that are lost between two pages of a table.
TEST_CASE("a table of several pages is read completely, as of the first page")
{
    scripted_store store;
    store.replies = { { 200, R"({"rows":[{"table":"op","part":"","key":"a","value":"eHk=","row_version":3}],"has_more":true,"row_version":9,"now_ms":1})" },
        { 200, R"({"rows":[{"table":"op","part":"","key":"b","value":"","row_version":4}],"has_more":false,"row_version":12,"now_ms":1})" } };
    const auto page = read(store, true);
    REQUIRE(page);
    CHECK(page->newest == revision(9));
    REQUIRE(page->rows.size() == 2);
    CHECK(page->rows[0].value == "xy");
    CHECK(store.targets[1].find("start_key=a%00") != std::string::npos);
}

// Guards against a gap in the history, or an outage, that is taken for an update.
TEST_CASE("failures of a read are distinguished")
{
    const std::vector<std::pair<std::pair<int, std::string>, error_kind>> cases { { { 410, "" }, error_kind::notFound },
        { { 429, "" }, error_kind::resourceExhausted }, { { 503, "" }, error_kind::unavailable },
        { { 200, "garbage" }, error_kind::corruptData }, { { 200, "{}" }, error_kind::corruptData }, { { 0, "" }, error_kind::outcomeUnknown } };
    for (const auto& [reply, kind] : cases) {
        scripted_store store;
        store.replies = { reply };
        const auto page = read(store, false);
        REQUIRE_FALSE(page);
        CHECK(page.error().kind == kind);
    }
}

// Guards against an era that is not read from an answer, or that a malformed header sets.
TEST_CASE("the era of an answer is one decimal number, or none")
{
    const std::pair<int, std::string> empty { 200, R"({"rows":[],"has_more":false,"row_version":9,"now_ms":1})" };
    const std::vector<std::pair<http_headers, store_era>> valid { { {}, store_era() }, { { { "Store-Era", "3" } }, store_era(3) }, { { { "store-era", "0004" } }, store_era(4) },
        { { { "Store-Era", "18446744073709551615" } }, store_era(18446744073709551615U) } };
    for (const bool isWhole : { true, false }) {
        for (const auto& [headers, era] : valid) {
            scripted_store store;
            store.replies = { empty };
            store.headers = { headers };
            const auto page = read(store, isWhole);
            REQUIRE(page);
            CHECK(page->era == era);
        }
        for (const char* text : { "", "x", "-1", "+1", "1.5", "1e3", "0x1", "1 2", "1,2", "18446744073709551616", "99999999999999999999999999999999" }) {
            CAPTURE(text);
            scripted_store store;
            store.replies = { empty };
            store.headers = { { { "Store-Era", text } } };
            const auto page = read(store, isWhole);
            REQUIRE_FALSE(page);
            CHECK(page.error().kind == error_kind::corruptData);
        }
        for (const char* second : { "1", "2" }) {
            scripted_store store;
            store.replies = { empty };
            store.headers = { { { "Store-Era", "1" }, { "Store-Era", second } } };
            const auto page = read(store, isWhole);
            REQUIRE_FALSE(page);
            CHECK(page.error().kind == error_kind::corruptData);
        }
    }
}

// Guards against a gap in the history that is taken for a malformed answer.
TEST_CASE("the status of a failed read comes before its era")
{
    for (const auto& [status, kind] : { std::pair { 410, error_kind::notFound }, std::pair { 503, error_kind::unavailable } }) {
        scripted_store store;
        store.replies = { { status, "" } };
        store.headers = { { { "Store-Era", "x" } } };
        const auto page = read(store, false);
        REQUIRE_FALSE(page);
        CHECK(page.error().kind == kind);
    }
}

// Guards against a table that is put together from two histories of the store.
TEST_CASE("a read whose pages are of two eras fails and asks for another complete read")
{
    for (const char* second : { "2", "0", "9" }) {
        scripted_store store;
        store.replies = { { 200, R"({"rows":[{"table":"op","part":"","key":"a","value":"eHk=","row_version":3}],"has_more":true,"row_version":9,"now_ms":1})" },
            { 200, R"({"rows":[{"table":"op","part":"","key":"b","value":"","row_version":4}],"has_more":false,"row_version":5,"now_ms":1})" } };
        store.headers = { { { "Store-Era", "1" } }, { { "Store-Era", second } } };
        const auto page = read(store, true);
        REQUIRE_FALSE(page);
        CHECK(page.error().kind == error_kind::notFound);
        CHECK(page.error().message.find("restored") != std::string::npos);
    }
}

// Guards against a router that waits for each of its connections to the store in turn, after
// all that were open have gone silent.
TEST_CASE("after a read without a response the next one uses a new connection")
{
    scripted_store store;
    store.replies = { { 200, R"({"rows":[],"has_more":false,"row_version":9,"now_ms":1})" } };
    platform::store_client client(store.loop, store.location);
    std::size_t ended = 0;
    std::size_t succeeded = 0;
    const auto readAtOnce = [&](std::size_t reads) {
        ended = 0;
        succeeded = 0;
        for (std::size_t i = 0; i < reads; ++i) {
            client.changes("op", revision(5), {}, [&](const result<rows_page>& page) {
                succeeded += page ? 1 : 0;
                if (++ended == reads)
                    store.loop.stop();
            });
        }
        store.loop.runFor(2s);
        REQUIRE(ended == reads);
    };
    readAtOnce(3);
    REQUIRE(succeeded == 3);
    REQUIRE(store.server.connectionCount() == 3);
    store.isSilent = true;
    readAtOnce(1);
    REQUIRE(succeeded == 0);
    store.isSilent = false;
    store.held.clear();
    readAtOnce(1);
    CHECK(succeeded == 1);
    CHECK(store.server.connectionCount() == 1);
}

// Guards against a second fleet key, which would overwrite the first if the call did not
// carry the condition.
TEST_CASE("a conditional write requires that the row is absent")
{
    scripted_store store;
    store.replies = { { 412, "{}" } };
    platform::store_client client(store.loop, store.location);
    std::optional<result<void>> ended;
    client.write("t", "k", "value", true, [&](result<void> outcome) {
        ended = std::move(outcome);
        store.loop.stop();
    });
    store.loop.runFor(2s);
    REQUIRE(ended);
    REQUIRE_FALSE(*ended);
    CHECK(ended->error().kind == error_kind::conflict);
    CHECK(store.bodies[0].find("\"row_version\":0") != std::string::npos);
    CHECK(store.bodies[0].find("dmFsdWU=") != std::string::npos);
}

// Guards against a decision that is written although another router has written since, and against
// a write whose outcome is not known that is taken for one that failed.
TEST_CASE("a transaction names the revision that it expects, and its outcomes are told apart")
{
    struct outcome_case {
        int status;
        const char* body;
        std::optional<error_kind> expected;
    };
    const outcome_case cases[] = {
        { 200, R"({"row_version":41,"now_ms":3})", std::nullopt },
        { 200, "{}", error_kind::outcomeUnknown },
        { 200, "[", error_kind::outcomeUnknown },
        { 412, R"({"rows":[]})", error_kind::conflict },
        { 429, "", error_kind::resourceExhausted },
        { 503, "", error_kind::unavailable },
        { 0, "", error_kind::outcomeUnknown },
    };
    for (const outcome_case& each : cases) {
        CAPTURE(each.status);
        scripted_store store;
        store.replies = { { each.status, each.body } };
        platform::store_client client(store.loop, store.location);
        std::optional<result<revision>> outcome;
        client.commit({ "rollouts", "llm", revision(40), { { "rollouts", "llm", "a" }, { "status", "rollout/llm", "b" } } }, [&](const result<revision>& ended) {
            outcome = ended;
            store.loop.stop();
        });
        store.loop.runFor(2s);
        REQUIRE(outcome);
        CHECK(outcome->has_value() == !each.expected.has_value());
        if (each.expected)
            CHECK(outcome->error().kind == *each.expected);
        else
            CHECK(**outcome == revision(41));
        REQUIRE(store.bodies.size() == 1);
        CHECK(store.bodies[0].find(R"("expect":[{"key":"llm","part":"","row_version":40,"table":"rollouts"}])") != std::string::npos);
        CHECK(store.bodies[0].find(R"("key":"rollout/llm")") != std::string::npos);
    }
}
