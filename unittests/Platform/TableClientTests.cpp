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

/// Fault that the network applies to one call.
enum class network_fault { none,
    notSent,
    lostRequest,
    lostAnswer,
    lateEffect,
    refused };

/// A table behind a network with scripted faults.
struct fixture {
    explicit fixture(std::vector<network_fault> faults)
        : script(std::move(faults))
        , link(timers, [this](const transport_request& request) { return respond(request); })
        , runner(link, timers, {}, 1)
        , client(runner, timers, {})
    {
    }

    std::pair<transport_answer, duration> respond(const transport_request& request)
    {
        const network_fault fault = next < script.size() ? script[next++] : network_fault::none;
        if (fault == network_fault::notSent)
            return { { .end = transport_end::notSent }, 1ms };
        if (fault == network_fault::refused)
            return { { .end = transport_end::answered, .status = 503 }, 1ms };
        if (fault == network_fault::lostRequest)
            return { { .end = transport_end::outcomeUnknown }, 1ms };
        if (fault == network_fault::lateEffect) {
            timers.callAfter(150ms, [this, request] { carryOut(request); });
            return { { .end = transport_end::outcomeUnknown }, 1ms };
        }
        const transport_answer answer { .end = transport_end::answered, .status = 200, .body = carryOut(request) };
        return { fault == network_fault::lostAnswer ? transport_answer { .end = transport_end::outcomeUnknown } : answer, 1ms };
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

    std::vector<network_fault> script;
    std::size_t next = 0;
    int writes = 0;
    int committed = 0;
    standins::table_namespace table;
    fake_scheduler timers;
    fake_transport link;
    call_runner runner;
    table_client client;
};

/// Returns a change of the row "config/a", last written at revision \p from.
table_transaction change(const std::string& id, std::uint64_t from)
{
    const std::string marker = "change/" + id;
    return { id, { { "config/a", revision(from) }, { marker, revision() } }, { { "config/a", id }, { marker, id } }, marker };
}

}

// Guards against a committed change reported as failed, an uncommitted one
// reported as committed, and a change committed twice, under network faults.
TEST_CASE("a commit is reported with its true outcome under lost and late calls")
{
    const bool holds = rc::check("", [] {
        const auto drawn = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
        std::vector<network_fault> script { static_cast<network_fault>(*rc::gen::inRange(0, 6)) };
        for (const int number : drawn)
            script.push_back(static_cast<network_fault>(number));
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

// Guards against removing a member twice, and against reporting its removal as
// failed.
TEST_CASE("a deletion whose answer is lost counts as committed")
{
    fixture net({ network_fault::lostAnswer });
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

// Guards against one write per claim, which would exceed the table's write rate.
TEST_CASE("claims submitted together share one call and end separately")
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

// Guards against a commit whose retry could take effect a second time.
TEST_CASE("a transaction without a condition on its marker row is refused")
{
    fixture net({});
    std::optional<error_kind> kind;
    net.client.commit("fleet", { "1", {}, { { "a", "x" } }, "a" }, net.timers.now() + 1s, [&](const result<commit_outcome>& outcome) { kind = outcome.error().kind; });
    CHECK(kind == error_kind::invalidArgument);
    CHECK(net.writes == 0);
}
