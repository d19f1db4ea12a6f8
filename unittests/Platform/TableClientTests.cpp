#include "pimentoladder/Platform/TableClient.h"

#include <cstdlib>
#include <memory>
#include <optional>

#include <doctest/doctest.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "FakeLoop.h"
#include "standins/TableStore.h"

using namespace pimentoladder;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

std::string decoded(const std::string& text)
{
    std::size_t size = 0;
    const std::unique_ptr<char, decltype(&std::free)> plain(evhttp_uridecode(text.c_str(), 0, &size), &std::free);
    return { plain.get(), size };
}

/// What the network does to one call.
enum class mishap { none,
    notSent,
    lostRequest,
    lostAnswer,
    lateEffect,
    refused };

/// A table behind a network with mishaps.
struct fixture {
    explicit fixture(std::vector<mishap> mishaps)
        : script(std::move(mishaps))
        , link(timers, [this](const transport_request& request) { return respond(request); })
        , runner(link, timers, {}, 1)
        , client(runner, timers, {})
    {
    }

    std::pair<transport_answer, duration> respond(const transport_request& request)
    {
        const mishap struck = next < script.size() ? script[next++] : mishap::none;
        if (struck == mishap::notSent)
            return { { .end = transport_end::notSent }, 1ms };
        if (struck == mishap::refused)
            return { { .end = transport_end::answered, .status = 503 }, 1ms };
        if (struck == mishap::lostRequest)
            return { { .end = transport_end::outcomeUnknown }, 1ms };
        if (struck == mishap::lateEffect) {
            timers.callAfter(150ms, [this, request] { carryOut(request); });
            return { { .end = transport_end::outcomeUnknown }, 1ms };
        }
        const transport_answer answer { .end = transport_end::answered, .status = 200, .body = carryOut(request) };
        return { struck == mishap::lostAnswer ? transport_answer { .end = transport_end::outcomeUnknown } : answer, 1ms };
    }

    std::string carryOut(const transport_request& request)
    {
        if (request.method == "GET") {
            const std::size_t begin = request.target.find("prefix=") + 7;
            const std::string prefix = decoded(request.target.substr(begin, request.target.find("&since") - begin));
            json rows = json::array();
            for (const auto& row : table.rows(prefix, 0))
                rows.push_back({ { "key", row.key }, { "value", *row.value }, { "revision", row.revision } });
            return json { { "revision", table.revision() }, { "rows", rows } }.dump();
        }
        ++writes;
        json outcomes = json::array();
        for (const json& entry : json::parse(request.body)) {
            standins::table_transaction transaction { entry["id"], {}, {} };
            for (const json& condition : entry["conditions"])
                transaction.conditions.push_back({ condition["key"], condition["revision"] });
            for (const json& write : entry["writes"])
                transaction.writes.push_back({ write["key"], write["value"].is_null() ? std::nullopt : std::optional(write["value"].get<std::string>()) });
            const auto outcome = table.apply(transaction);
            committed += outcome.isCommitted ? 1 : 0;
            outcomes.push_back({ { "id", entry["id"] }, { "result", outcome.isCommitted ? "committed" : "conflict" }, { "key", outcome.conflictKey }, { "revision", outcome.revision } });
        }
        return outcomes.dump();
    }

    std::vector<mishap> script;
    std::size_t next = 0;
    int writes = 0;
    int committed = 0;
    standins::table_namespace table;
    fake_scheduler timers;
    fake_transport link;
    call_runner runner;
    table_client client;
};

/// A change of the row "config/a", last written at \p from.
table_transaction change(const std::string& id, std::uint64_t from)
{
    const std::string mark = "change/" + id;
    return { id, { { "config/a", revision(from) }, { mark, revision() } }, { { "config/a", id }, { mark, id } }, mark };
}

}

// Guards against a change reported as lost that is in force, or reported as
// committed that is not, or committed twice, whatever the network does.
TEST_CASE("a commit is reported as it ended, whatever is lost or late")
{
    const bool holds = rc::check("", [] {
        const auto drawn = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
        std::vector<mishap> script { static_cast<mishap>(*rc::gen::inRange(0, 6)) };
        for (const int number : drawn)
            script.push_back(static_cast<mishap>(number));
        fixture net(script);
        const bool hasRival = *rc::gen::arbitrary<bool>();
        if (hasRival)
            net.table.apply({ "rival", {}, { { "config/a", "rival" } } });
        std::optional<result<commit_outcome>> ended;
        net.client.commit("fleet", change("1", 0), net.timers.now() + 5s, [&](const result<commit_outcome>& outcome) { ended = outcome; });
        net.timers.runAll();

        RC_ASSERT(ended.has_value());
        RC_ASSERT(net.committed <= 1);
        const bool isInTable = !net.table.rows("change/1", 0).empty();
        RC_ASSERT(!(hasRival && isInTable));
        if (!*ended) {
            RC_ASSERT((ended->error().kind == error_kind::outcomeUnknown || ended->error().kind == error_kind::unavailable));
            RC_ASSERT((ended->error().kind == error_kind::outcomeUnknown || !isInTable));
            return;
        }
        RC_ASSERT((*ended)->isCommitted == isInTable);
        if (isInTable)
            RC_ASSERT((*ended)->at.value() == net.table.rows("change/1", 0)[0].revision);
    });
    CHECK(holds);
}

// Guards against a member that is removed twice, or whose removal looks lost.
TEST_CASE("a deletion whose answer is lost counts as committed")
{
    fixture net({ mishap::lostAnswer });
    net.table.apply({ "0", {}, { { "member/a", "x" } } });
    std::optional<result<commit_outcome>> ended;
    const table_transaction removal { "1", { { "member/a", revision(1) } }, { { "member/a", std::nullopt } }, "member/a" };
    net.client.commit("fleet", removal, net.timers.now() + 5s, [&](const result<commit_outcome>& outcome) { ended = outcome; });
    net.timers.runAll();
    REQUIRE(ended);
    REQUIRE(*ended);
    CHECK((*ended)->isCommitted);
    CHECK((*ended)->at == revision(2));
    CHECK(net.committed == 1);
}

// Guards against one write for each claim, which the table's rate cannot bear.
TEST_CASE("claims handed over together travel together and end separately")
{
    fixture net({});
    int committed = 0;
    int conflicts = 0;
    for (int i = 0; i < 10; ++i) {
        const std::string key = "claim/w/" + std::to_string(i / 2);
        const table_transaction claim { std::to_string(i), { { key, revision() } }, { { key, std::to_string(i) } }, key };
        net.client.commit("claims", claim, net.timers.now() + 1s, [&](const result<commit_outcome>& outcome) {
            REQUIRE(outcome);
            outcome->isCommitted ? ++committed : ++conflicts;
        });
    }
    net.timers.runAll();
    CHECK(net.writes == 1);
    CHECK(committed == 5);
    CHECK(conflicts == 5);
}

// Guards against a commit that could be repeated with a second effect.
TEST_CASE("a transaction without a settling row is refused")
{
    fixture net({});
    std::optional<error_kind> kind;
    net.client.commit("fleet", { "1", {}, { { "a", "x" } }, "a" }, net.timers.now() + 1s, [&](const result<commit_outcome>& outcome) { kind = outcome.error().kind; });
    CHECK(kind == error_kind::invalidArgument);
    CHECK(net.writes == 0);
}
