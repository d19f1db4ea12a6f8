#include "pimentoladder/Platform/CallRunner.h"
#include "pimentoladder/Platform/ObjectClient.h"
#include "pimentoladder/Platform/VmListClient.h"

#include <optional>

#include <doctest/doctest.h>

#include "FakeLoop.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

const transport_answer ok { .end = transport_end::answered, .status = 200 };
const transport_answer refused { .end = transport_end::answered, .status = 503 };
const transport_answer lost { .end = transport_end::outcomeUnknown };
const transport_answer notSent { .end = transport_end::notSent };

struct fixture {
    explicit fixture(std::vector<transport_answer> answers, call_policy policy = {})
        : script(std::move(answers))
        , link(timers, [this](const transport_request&) { return std::pair(script.at(std::min(next++, script.size() - 1)), duration(10ms)); })
        , runner(link, timers, policy, 1)
    {
    }

    result<platform_answer> run(platform_call call)
    {
        std::optional<result<platform_answer>> ended;
        runner.run(std::move(call), [&](const result<platform_answer>& outcome) { ended = outcome; });
        timers.runAll();
        REQUIRE(ended);
        return *ended;
    }

    platform_call write(duration patience = 10s, bool isRepeatable = true)
    {
        return { { "POST", "/x", {} }, timers.now() + patience, isRepeatable, true };
    }

    std::vector<transport_answer> script;
    std::size_t next = 0;
    fake_scheduler timers;
    fake_transport link;
    call_runner runner;
};

}

// Guards against reporting a write that was executed as not executed.
TEST_CASE("a write that may have taken effect never ends as unavailable")
{
    CHECK(fixture({ lost, notSent }).run(fixture({}).write()).error().kind == error_kind::outcomeUnknown);
    fixture once({ lost, ok });
    CHECK(once.run(once.write(10s, false)).error().kind == error_kind::outcomeUnknown);
    CHECK(once.next == 1);
    fixture gateway({ { .end = transport_end::answered, .status = 502 }, refused });
    CHECK(gateway.run(gateway.write()).error().kind == error_kind::outcomeUnknown);
}

// Guards against "outcome unknown" for calls that certainly had no effect, which
// could otherwise be reported to callers as not executed.
TEST_CASE("a write that certainly had no effect ends as unavailable, and a retry hides a short outage")
{
    fixture down({ notSent, refused });
    CHECK(down.run(down.write()).error().kind == error_kind::unavailable);
    fixture brief({ notSent, refused, ok });
    const auto answered = brief.run(brief.write());
    REQUIRE(answered);
    CHECK_FALSE(answered->wasAmbiguous);
    CHECK(answered->sentAt == brief.link.sentAt.back());
    fixture late({ ok });
    CHECK(late.run(late.write(0s)).error().kind == error_kind::timeout);
}

// Guards against calls that outlive their deadline when the platform hangs.
TEST_CASE("a call to a hanging platform fails by its deadline")
{
    fake_scheduler timers;
    fake_transport link(timers, [](const transport_request&) { return std::pair(transport_answer {}, duration(1h)); });
    call_runner runner(link, timers, {}, 1);
    const time_point deadline = timers.now() + 1500ms;
    std::optional<time_point> endedAt;
    runner.run({ { "GET", "/x", {} }, deadline }, [&](const result<platform_answer>& outcome) {
        CHECK(outcome.error().kind == error_kind::unavailable);
        endedAt = timers.now();
    });
    timers.runAll();
    REQUIRE(endedAt);
    CHECK(*endedAt <= deadline);
    CHECK(link.sentAt.size() == 2);
}

// Guards against retries that multiply the load of a platform that is down.
TEST_CASE("retries stay within their budget and back off")
{
    fixture down({ notSent }, { .retryShare = 0.2, .retryBurst = 5 });
    constexpr std::size_t calls = 100;
    for (std::size_t i = 0; i < calls; ++i)
        CHECK_FALSE(down.run(down.write(60s)));
    CHECK(down.link.sentAt.size() <= calls + 5 + calls / 5);
    fixture alone({ notSent }, { .backoffJitter = 0 });
    alone.run(alone.write(60s));
    const std::vector<time_point>& sent = alone.link.sentAt;
    REQUIRE(sent.size() > 3);
    CHECK(sent[2] - sent[1] - 10ms == 2 * (sent[1] - sent[0] - 10ms));
}

// Guards against an unbounded number of calls during an outage.
TEST_CASE("calls in flight and waiting are bounded")
{
    fixture busy({ ok }, { .maxCallsInFlight = 2, .maxCallsWaiting = 3 });
    std::size_t answered = 0;
    std::size_t rejected = 0;
    for (int i = 0; i < 8; ++i) {
        busy.runner.run(busy.write(), [&](const result<platform_answer>& outcome) {
            outcome ? ++answered : ++rejected;
            if (!outcome)
                CHECK(outcome.error().kind == error_kind::resourceExhausted);
        });
        CHECK(busy.runner.inFlight() <= 2);
    }
    CHECK(rejected == 3);
    busy.timers.runAll();
    CHECK(answered == 5);
}

// Guards against taking an absent object or a malformed list for a valid answer.
TEST_CASE("an absent object reads as none, and a malformed list of VMs is corrupt data")
{
    fixture absent({ { .end = transport_end::answered, .status = 404 } });
    bool isAbsent = false;
    object_client(absent.runner).get("a b", absent.timers.now() + 1s, [&](const result<std::optional<std::string>>& found) { isAbsent = found && !*found; });
    absent.timers.runAll();
    CHECK(isAbsent);
    fixture broken({ { .end = transport_end::answered, .status = 200, .body = R"({"vms":[{"id":7}]})" } });
    std::optional<error_kind> kind;
    vm_list_client(broken.runner).read(broken.timers.now() + 1s, [&](const result<std::vector<listed_vm>>& vms) { kind = vms.error().kind; });
    broken.timers.runAll();
    CHECK(kind == error_kind::corruptData);
}
