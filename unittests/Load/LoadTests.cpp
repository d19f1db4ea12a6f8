#include "load/Plan.h"
#include "load/Report.h"
#include "load/RequestFactory.h"
#include "load/Runner.h"

#include <filesystem>
#include <fstream>
#include <set>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "support/HttpServer.h"

using namespace pimentoladder;
using namespace pimentoladder::load;
using namespace pimentoladder::tools;
using namespace std::chrono_literals;

namespace {

client_answer answerOf(int status, std::string body)
{
    client_answer answer;
    answer.end = call_end::answered;
    answer.status = status;
    answer.bytes = body.size();
    answer.body = std::move(body);
    return answer;
}

}

// Guards against a misspelt field that is ignored and silently changes the load.
TEST_CASE("an invalid plan is refused with the line of the error")
{
    const auto unknown = parsePlan("seconds: 1\nworkspaces:\n  - name: a\n    raet: 5\n");
    REQUIRE_FALSE(unknown);
    CHECK(unknown.error().message.find("line 4") != std::string::npos);
    auto both = parsePlan("targets: [127.0.0.1:1]\nworkspaces: [{name: a, path: /x, rate: 1, concurrency: 1}]");
    REQUIRE(both);
    CHECK_FALSE(checkPlan(*both));
    both->workspaces[0].concurrency = 0;
    CHECK(checkPlan(*both));
}

// Guards against reports that count a truncated stream or a refusal as an answer,
// or a refusal whose request may have run as one whose request did not.
TEST_CASE("answers are distinguished from refusals and incomplete streams")
{
    CHECK(classifyAnswer(answerOf(200, "{\"t\":0}\n"), true).kind == outcome_kind::broken);
    const answer_outcome whole = classifyAnswer(answerOf(200, "{\"t\":0}\n{\"end\":true,\"cost\":7}\n"), true);
    CHECK(whole.kind == outcome_kind::answered);
    CHECK(whole.cost == 7);
    const answer_outcome notRun = classifyAnswer(answerOf(503, R"({"kind":"not_fresh","ran":false})"), false);
    CHECK(notRun.kind == outcome_kind::refused);
    CHECK(notRun.isNotRun);
    CHECK_FALSE(classifyAnswer(answerOf(502, R"({"kind":"outcome_unknown","ran":"unknown"})"), false).isNotRun);
    CHECK(classifyAnswer(answerOf(503, R"({"error":"of the server"})"), false).kind == outcome_kind::answered);
    CHECK(classifyAnswer({}, false).detail == "not_connected");
}

// Guards against percentiles that are off by one sample.
TEST_CASE("percentiles use the nearest-rank method")
{
    std::vector<duration> samples;
    for (int i = 100; i >= 1; --i)
        samples.emplace_back(std::chrono::milliseconds(i));
    const latency_summary summary = summarize(samples);
    CHECK(summary.p50 == 50ms);
    CHECK(summary.p99 == 99ms);
    CHECK(summary.p999 == 100ms);
    CHECK(summarize({}).count == 0);
}

// Guards against open-loop latency that omits the wait for a slow server, and
// against lost events in the history.
TEST_CASE("open loop continues while the server is slow, and every request ends in the history")
{
    const auto path = std::filesystem::temp_directory_path() / ("load-" + std::to_string(bootTime().time_since_epoch().count()));
    loop events;
    history_writer history(path, "load");
    std::size_t received = 0;
    http_server server(events, "127.0.0.1:0", [&](const exchange_ptr& exchange) {
        ++received;
        if (received % 5 == 0) {
            exchange->reset();
            return;
        }
        events.callAfter(100ms, [exchange] { exchange->reply(200, "{}"); });
    });
    plan work;
    work.length = 300ms;
    work.targets = { "127.0.0.1:" + std::to_string(server.port()) };
    work.workspaces.resize(2);
    work.workspaces[0].name = "open";
    work.workspaces[0].path = "/x";
    work.workspaces[0].rate = 200;
    work.workspaces[1].name = "closed";
    work.workspaces[1].path = "/x";
    work.workspaces[1].concurrency = 2;
    work.workspaces[1].repeats = 1;
    load_runner runner(events, history, work, "c");
    runner.start([&] { events.stop(); });
    events.runFor(5s);

    const nlohmann::json report = runner.report();
    CHECK(report["workspaces"]["open"]["sent"] > 30);
    CHECK(report["workspaces"]["closed"]["sent"] < 12);
    CHECK(report["total"]["broken"]["cut"] == received / 5);
    CHECK(report["total"]["sent"] == received);
    CHECK(report["workspaces"]["open"]["latencyMs"]["p50"] >= 100);
    std::set<std::string> invoked;
    std::size_t ended = 0;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        const auto event = nlohmann::json::parse(line);
        if (event["event"] == "invoked")
            CHECK(invoked.insert(event["id"].get<std::string>()).second);
        else
            ++ended;
    }
    CHECK(invoked.size() == received);
    CHECK(ended == received);
    std::filesystem::remove(path);
}
