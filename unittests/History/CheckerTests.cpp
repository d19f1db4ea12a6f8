#include "history/Checker.h"

#include <algorithm>

#include <doctest/doctest.h>

using namespace pimentoladder;
using namespace pimentoladder::history;

namespace {

time_point at(double seconds)
{
    return time_point(std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds)));
}

event make(double seconds, event_kind kind, const event& fields)
{
    event made = fields;
    made.at = at(seconds);
    made.kind = kind;
    return made;
}

event invoke(double seconds, const std::string& id, const std::string& method = "POST", const std::string& key = "")
{
    event fields;
    fields.id = id;
    fields.method = method;
    fields.key = key;
    fields.workspace = "w";
    fields.target = "127.0.0.1:1";
    return make(seconds, event_kind::invoked, fields);
}

event started(double seconds, const std::string& id, const std::string& server, const std::string& execution, const std::string& method = "POST")
{
    event fields;
    fields.id = id;
    fields.server = server;
    fields.execution = execution;
    fields.method = method;
    return make(seconds, event_kind::executionStarted, fields);
}

event ended(double seconds, const std::string& server, const std::string& execution, const std::string& digest, const std::string& result = "finished")
{
    event fields;
    fields.server = server;
    fields.execution = execution;
    fields.digest = digest;
    fields.result = result;
    return make(seconds, event_kind::executionEnded, fields);
}

event answer(double seconds, const std::string& id, const std::string& digest)
{
    event fields;
    fields.id = id;
    fields.digest = digest;
    fields.status = 200;
    return make(seconds, event_kind::answered, fields);
}

event failed(double seconds, event_kind kind, const std::string& id, const std::string& reason, bool isNotRun = false)
{
    event fields;
    fields.id = id;
    fields.reason = reason;
    fields.isNotRun = isNotRun;
    return make(seconds, kind, fields);
}

event onServer(double seconds, event_kind kind, const std::string& server, std::uint64_t limit, const std::string& reason = "")
{
    event fields;
    fields.server = server;
    fields.limit = limit;
    fields.reason = reason;
    return make(seconds, kind, fields);
}

event onRouter(double seconds, event_kind kind, const std::string& router, std::uint64_t revision = 0, const std::string& reason = "")
{
    event fields;
    fields.source = router;
    fields.target = "127.0.0.1:1";
    fields.revision = revision;
    fields.reason = reason;
    return make(seconds, kind, fields);
}

/// Returns a history that keeps every promise and exercises each one.
event_list goodHistory()
{
    using enum event_kind;
    return {
        onRouter(0, routerStarted, "r1"),
        onRouter(0, routerAddress, "r1"),
        onRouter(1, inForce, "r1", 5),
        onServer(0, serverStarted, "s1", 0),
        onServer(1, limitInForce, "s1", 2),
        // Two concurrent executions; the limit is lowered while they run.
        invoke(2, "a"),
        started(2.1, "a", "s1", "1"),
        invoke(2, "b", "GET"),
        started(2.2, "b", "s1", "2", "GET"),
        onServer(2.3, limitInForce, "s1", 1),
        ended(3, "s1", "1", "da"),
        answer(3.1, "a", "da"),
        // A read that fails at one server and is retried at another.
        ended(3, "s1", "2", "", "reset"),
        started(3.2, "b", "s2", "1", "GET"),
        ended(3.3, "s2", "1", "db"),
        answer(3.4, "b", "db"),
        // A correct refusal, and a retry that receives the recorded answer.
        invoke(4, "c"),
        failed(4.1, refused, "c", "queue_full", true),
        invoke(5, "d", "POST", "k"),
        started(5.1, "d", "s2", "2"),
        ended(5.2, "s2", "2", "dd"),
        answer(5.3, "d", "dd"),
        invoke(6, "e", "POST", "k"),
        answer(6.1, "e", "dd"),
        // A data centre goes out of service, a server leaves, and the data centre returns.
        onServer(10, withdrawn, "s1", 0, "data_centre"),
        onServer(10, withdrawn, "s2", 0, "leaving"),
        started(12.9, "f", "s1", "3"),
        ended(13.5, "s1", "3", "df"),
        onServer(20, restored, "s1", 0),
        started(20.1, "g", "s1", "4"),
        ended(20.2, "s1", "4", "dg"),
        // A change during which the router is temporarily unreachable.
        onRouter(21, accepted, "operator", 6),
        onRouter(22, routerUnreachable, "r1"),
        onRouter(30, routerReachable, "r1"),
        onRouter(33, inForce, "r1", 6),
        // A request that fails because of its server during a graceful shutdown.
        invoke(40, "h"),
        started(40.1, "h", "s1", "5"),
        onRouter(40.5, shutdownBegun, "r1"),
        ended(40.6, "s1", "5", "", "reset"),
        failed(40.7, broken, "h", "cut"),
        onRouter(41, shutdownEnded, "r1", 0, "idle"),
        onRouter(50, accepted, "operator", 7),
        onRouter(60, accepted, "operator", 8),
    };
}

/// Returns the promises that a history breaks.
std::vector<std::string_view> broken(event_list events)
{
    sortByTime(events);
    std::vector<std::string_view> found;
    for (const check_result& entry : checkHistory(history_index(events), {})) {
        if (!entry.violations.empty())
            found.push_back(entry.promise);
    }
    return found;
}

std::vector<std::string_view> brokenWith(std::vector<event> added)
{
    event_list events = goodHistory();
    events.insert(events.end(), added.begin(), added.end());
    return broken(std::move(events));
}

std::vector<std::string_view> brokenWithout(event_kind kind, double seconds)
{
    event_list events = goodHistory();
    REQUIRE(std::erase_if(events, [&](const event& entry) { return entry.kind == kind && entry.at == at(seconds); }) == 1);
    return broken(std::move(events));
}

using promises = std::vector<std::string_view>;

}

// Guards against false positives, and against promises that are never tested.
TEST_CASE("a good history is accepted and applies to every promise")
{
    event_list events = goodHistory();
    sortByTime(events);
    for (const check_result& entry : checkHistory(history_index(events), {})) {
        CAPTURE(entry.promise);
        CHECK(entry.checked > 0);
        CHECK(entry.violations.empty());
    }
}

// Guards against an undetected overload of a server.
TEST_CASE("P3: work above the limit in force is found")
{
    CHECK(brokenWith({ started(2.25, "x", "s1", "9"), ended(2.28, "s1", "9", "") }) == promises { "P3" });
    CHECK(brokenWith({ started(3.9, "x", "s1", "9"), started(3.95, "y", "s1", "10"), ended(4, "s1", "9", ""), ended(4, "s1", "10", "") }) == promises { "P3" });
}

// Guards against work sent to a data centre or a server that is out.
TEST_CASE("P4 and P8: new work three seconds after a withdrawal is found")
{
    CHECK(brokenWith({ started(13.6, "x", "s1", "9"), ended(13.7, "s1", "9", "") }) == promises { "P4" });
    CHECK(brokenWith({ started(13.1, "x", "s2", "9") }) == promises { "P8" });
}

// Guards against answers that are truncated, mixed or belong to another request.
TEST_CASE("P5: an answer that no execution of the request produced is found")
{
    CHECK(brokenWith({ answer(3.15, "a", "other") }) == promises { "P5" });
    CHECK(brokenWith({ answer(3.15, "a", "db") }) == promises { "P5" });
    CHECK(brokenWith({ invoke(6.1, "x"), answer(6.2, "x", "") }) == promises { "P5" });
}

// Guards against refusals after which a retry of the caller would run twice.
TEST_CASE("P6: a false \"not run\" is found")
{
    CHECK(brokenWith({ started(4.05, "c", "s2", "9"), ended(4.06, "s2", "9", "") }) == promises { "P6" });
}

// Guards against a second execution of one request or of one key.
TEST_CASE("P7: a second run of a non-idempotent request is found")
{
    CHECK(brokenWith({ started(3.05, "a", "s2", "9"), ended(3.06, "s2", "9", "") }) == promises { "P7" });
    CHECK(brokenWith({ started(6.05, "e", "s2", "9"), ended(6.06, "s2", "9", "") }) == promises { "P7" });
}

// Guards against a shutdown that cuts requests but is reported as graceful.
TEST_CASE("P9: a request cut by a graceful shutdown is found")
{
    CHECK(brokenWith({ invoke(40.2, "x"), failed(41.1, event_kind::broken, "x", "cut") }) == promises { "P9" });
    CHECK(brokenWith({ invoke(40.6, "x"), started(40.7, "x", "s2", "9"), ended(40.8, "s2", "9", "", "cancelled"), failed(40.9, event_kind::broken, "x", "cut") }) == promises { "P8", "P9" });
    CHECK(brokenWith({ invoke(40.6, "x"), failed(40.7, event_kind::broken, "x", "cut") }).empty());
}

// Guards against routers that miss a change or revert to an older one.
TEST_CASE("P10: a change that is late or reverts is found")
{
    CHECK(brokenWith({ onRouter(34, event_kind::inForce, "r1", 5) }) == promises { "P10" });
    CHECK(brokenWithout(event_kind::inForce, 33) == promises { "P10" });
    CHECK(brokenWith({ onRouter(51, event_kind::routerStarted, "r2"), onRouter(52, event_kind::inForce, "r2", 6) }) == promises { "P10" });
    CHECK(brokenWithout(event_kind::routerUnreachable, 22) == promises { "P10" });
}
