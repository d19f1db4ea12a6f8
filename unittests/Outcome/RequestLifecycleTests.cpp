#include "pimentoladder/Outcome/RequestLifecycle.h"

#include "pimentoladder/Outcome/RetryBudget.h"

#include <cstdint>
#include <set>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

enum class method_kind {
    idempotent,
    plain,
    claimed,
    stream,
};

/// Executes the actions of one request and records their effects.
struct harness {
    explicit harness(method_kind kind)
        : request(recordOf(kind), {}, budget, attempts)
    {
    }

    static request_record recordOf(method_kind kind)
    {
        request_record record;
        record.number = request_number(1);
        record.pool = pool_id("p");
        record.isIdempotent = kind == method_kind::idempotent;
        record.hasClaim = kind == method_kind::claimed;
        record.canResume = kind == method_kind::stream;
        record.receivedAt = time_point { 100s };
        return record;
    }

    void apply(const request_actions& actions)
    {
        for (const request_action& action : actions)
            std::visit([this](const auto& each) { take(each); }, action);
    }

    void take(const wait_for_grant&) { isWaiting = true; }
    void take(const stop_waiting&) { isWaiting = false; }
    void take(const claim_request&) { }
    void take(const release_claim&) { ++releases; }
    void take(const record_claim& each) { records.push_back(each.isKnown); }
    void take(const open_attempt& each)
    {
        attempt = each.attempt;
        resumes += each.resume.has_value();
        position = each.resume.value_or(position);
    }
    void take(const cancel_attempt&) { ++cancels; }
    void take(const cancel_stream&) { ++streamCancels; }
    void take(const report_grant& each)
    {
        if (each.event != grant_event::started)
            open.erase(each.grant.number);
        lastEvent = each.event;
    }
    void take(const forward_head&) { ++heads; }
    void take(const forward_bytes&) { ++parts; }
    void take(const end_answer&) { ++ends; }
    void take(const abort_answer&) { ++aborts; }
    void take(const refuse_request& each) { refusals.push_back(each.kind); }
    void take(const replay_outcome&) { ++replays; }

    void grant()
    {
        isWaiting = false;
        const grant_number number(++lastGrant);
        open.insert(number);
        apply(request.granted(now, { shard_id("p#0"), fencing_token(1), number, server_id("s"), now + 1s }));
    }
    bool send()
    {
        const send_decision decision = request.mayStartSending(now, attempt);
        apply(decision.actions);
        return decision.maySend;
    }
    void head(response_head_info facts = { 200, false, "" }) { apply(request.headArrived(now, attempt, facts)); }
    void bytes(std::size_t count = 10) { apply(request.bytesArrived(now, attempt, count)); }
    void end(attempt_end_kind kind)
    {
        apply(request.attemptEnded(now, attempt, { kind, kind != attempt_end_kind::notSent }));
    }

    void advanceTo(request_phase phase)
    {
        if (phase >= request_phase::queued)
            apply(request.start(now));
        if (phase >= request_phase::granted)
            grant();
        if (phase >= request_phase::connecting)
            apply(request.claimGranted(now));
        if (phase >= request_phase::sent)
            send();
        if (phase >= request_phase::answering)
            head({ 200, false, "stream-1" });
        if (phase >= request_phase::done)
            end(attempt_end_kind::complete);
    }

    int answers() const { return ends + aborts + replays + static_cast<int>(refusals.size()); }

    retry_budget budget;
    attempt_counter attempts;
    request_lifecycle request;
    time_point now { 100s };
    attempt_number attempt;
    std::uint64_t lastGrant = 0;
    std::set<grant_number> open;
    std::vector<refusal_kind> refusals;
    std::vector<bool> records;
    stream_position position;
    grant_event lastEvent = grant_event::returned;
    bool isWaiting = false;
    int releases = 0;
    int cancels = 0;
    int streamCancels = 0;
    int resumes = 0;
    int heads = 0;
    int parts = 0;
    int ends = 0;
    int aborts = 0;
    int replays = 0;
};

using enum request_phase;
using enum attempt_end_kind;

constexpr request_phase allPhases[] { received, queued, granted, connecting, sent, answering, done };
constexpr attempt_end_kind allEnds[] { complete, notSent, resetAfterSent, truncated, timeout, malformed };

/// Expected phase and refusal after an attempt of a non-idempotent, claimed request
/// ends.
struct end_case {
    request_phase from;
    attempt_end_kind end;
    request_phase to;
    int refusal; ///< -1: none.
};

constexpr std::size_t scriptLength = 60;
constexpr int unknownOutcome = static_cast<int>(refusal_kind::outcomeUnknown);

/// Runs random events and checks the invariants that must hold after them.
void runScript(method_kind kind, const std::vector<int>& script)
{
    harness test(kind);
    std::set<attempt_number> sentAttempts;
    bool isAllowed = false;
    test.apply(test.request.start(test.now));
    const auto step = [&](int choice) {
        const bool hasSent = sentAttempts.contains(test.attempt);
        switch (choice % 16) {
        case 0:
            test.apply(test.request.claimGranted(test.now));
            break;
        case 1:
        case 2:
            if (test.isWaiting)
                test.grant();
            break;
        case 3:
        case 4:
        case 5:
            isAllowed = test.send();
            if (isAllowed && choice >= 64)
                sentAttempts.insert(test.attempt);
            break;
        case 6:
        case 7:
            if (hasSent)
                test.head({ choice >= 128 ? 503 : 200, true, choice >= 64 ? "stream" : "" });
            break;
        case 8:
            if (hasSent)
                test.bytes();
            break;
        case 9:
        case 10:
        case 11:
        case 12:
            if (hasSent)
                test.end(allEnds[choice / 16 % 6 == 1 ? 2 : choice / 16 % 6]);
            else
                test.end(notSent);
            break;
        case 13:
            test.now += choice * 20ms;
            break;
        case 14:
            test.apply(test.request.deadlinePassed(test.now += 10s));
            break;
        default:
            if (choice >= 128)
                test.apply(test.request.callerDisconnected(test.now));
            else if (choice < 32)
                test.apply(test.request.refuseIfWaiting(test.now, refusal_kind::draining));
        }
    };
    for (const int choice : script)
        step(choice);

    for (const refusal_kind refused : test.refusals)
        RC_ASSERT(refusalOf(refused).ran != run_state::notRun || sentAttempts.empty());
    RC_ASSERT(test.answers() <= 1);
    const bool isDone = test.request.phase() == request_phase::done;
    if (isDone) {
        RC_ASSERT(test.open.empty());
        RC_ASSERT(!test.isWaiting);
        RC_ASSERT(test.answers() == 1 || test.request.hasCallerDisconnected());
    }
    const bool isClaimed = test.request.record().hasClaim;
    RC_ASSERT(test.releases + static_cast<int>(test.records.size()) == (isDone && isClaimed ? 1 : 0));
    RC_ASSERT(test.releases == 0 || sentAttempts.empty());
    if (!test.request.record().isIdempotent)
        RC_ASSERT(static_cast<int>(sentAttempts.size()) <= 1 + test.resumes);
}

}

// Guards against mishandling an attempt that ends in an unexpected way for its
// phase: the request must be requeued, be refused as "outcome unknown", or have its
// answer completed or aborted.
TEST_CASE("every way an attempt can end in every phase")
{
    const end_case cases[] {
        { connecting, notSent, queued, -1 },
        { connecting, complete, done, unknownOutcome },
        { connecting, resetAfterSent, done, unknownOutcome },
        { connecting, truncated, done, unknownOutcome },
        { connecting, timeout, done, unknownOutcome },
        { connecting, malformed, done, unknownOutcome },
        { sent, notSent, queued, -1 },
        { sent, complete, done, unknownOutcome },
        { sent, resetAfterSent, done, unknownOutcome },
        { sent, truncated, done, unknownOutcome },
        { sent, timeout, done, unknownOutcome },
        { sent, malformed, done, unknownOutcome },
        { answering, complete, done, -1 },
        { answering, notSent, done, -1 },
        { answering, resetAfterSent, done, -1 },
        { answering, truncated, done, -1 },
        { answering, timeout, done, -1 },
        { answering, malformed, done, -1 },
    };
    for (const end_case& each : cases) {
        CAPTURE(static_cast<int>(each.from));
        CAPTURE(static_cast<int>(each.end));
        harness test(method_kind::claimed);
        test.advanceTo(each.from);
        REQUIRE(test.request.phase() == each.from);
        test.end(each.end);
        CHECK(test.request.phase() == each.to);
        CHECK(test.refusals.size() == (each.refusal < 0 ? 0u : 1u));
        if (each.refusal >= 0 && !test.refusals.empty())
            CHECK(static_cast<int>(test.refusals[0]) == each.refusal);
        CHECK(test.ends == (each.from == answering && each.end == complete));
        CHECK(test.aborts == (each.from == answering && each.end != complete));
        CHECK(test.open.empty());
        // Only a whole answer is recorded as the outcome.
        if (each.to == done)
            CHECK(test.records == std::vector<bool> { each.from == answering && each.end == complete });
    }
}

// Guards against late and duplicate events that forward bytes of an earlier
// attempt or answer the caller twice.
TEST_CASE("events of other attempts and events after the end do nothing")
{
    for (const request_phase phase : allPhases) {
        CAPTURE(static_cast<int>(phase));
        harness test(method_kind::claimed);
        test.advanceTo(phase);
        const int answers = test.answers();
        const attempt_number current = test.attempt;
        for (const std::uint64_t other : { std::uint64_t { 0 }, std::uint64_t { 77 } }) {
            test.attempt = attempt_number(other);
            CHECK_FALSE(test.send());
            test.head();
            test.bytes();
            for (const attempt_end_kind end : allEnds)
                test.end(end);
        }
        CHECK(test.request.phase() == phase);
        CHECK(test.answers() == answers);
        CHECK(test.parts == 0);
        if (phase != done)
            continue;
        test.attempt = current;
        CHECK_FALSE(test.send());
        test.head();
        test.bytes();
        test.apply(test.request.callerDisconnected(test.now));
        test.apply(test.request.claimRefused(test.now, refusal_kind::keyReused));
        test.apply(test.request.deadlinePassed(test.now + 1h));
        CHECK(test.answers() == answers);
        test.grant();
        CHECK(test.open.empty());
    }
}

// Guards against leaking attempts, grants and claims when the caller disconnects.
// A claimed request that was sent continues, so that a repeat can get its outcome.
TEST_CASE("the caller disconnects in every phase")
{
    for (const request_phase phase : { queued, granted, connecting, sent, answering }) {
        CAPTURE(static_cast<int>(phase));
        harness plain(method_kind::stream);
        plain.advanceTo(phase);
        plain.apply(plain.request.callerDisconnected(plain.now));
        CHECK(plain.request.phase() == done);
        CHECK(plain.open.empty());
        CHECK_FALSE(plain.isWaiting);
        CHECK(plain.cancels == (phase >= granted));
        CHECK(plain.streamCancels == (phase == answering));

        harness claimed(method_kind::claimed);
        claimed.advanceTo(phase);
        claimed.apply(claimed.request.callerDisconnected(claimed.now));
        CHECK(claimed.releases == (phase < sent));
        CHECK((claimed.request.phase() == done) == (phase < sent));
        if (phase < sent)
            continue;
        claimed.head();
        claimed.end(complete);
        CHECK(claimed.records == std::vector<bool> { true });
    }
}

// Guards against a router that was paused and uses a grant after its expiry.
TEST_CASE("no byte is sent under a grant that expired while connecting")
{
    harness test(method_kind::plain);
    test.advanceTo(connecting);
    test.now += 1s;
    CHECK_FALSE(test.send());
    test.end(notSent);
    CHECK(test.lastEvent == grant_event::returned);
    CHECK(test.request.phase() == queued);
    test.grant();
    CHECK(test.send());
}

// Guards against failing requests, and counting failures of the server, because a
// grant names a server that operators have just taken out of service.
TEST_CASE("a withheld attempt costs no retry and is no failure of the server")
{
    harness test(method_kind::plain);
    test.advanceTo(request_phase::queued);
    for (int i = 0; i < 10; ++i) {
        test.grant();
        test.request.forbidSend(test.attempt);
        test.end(notSent);
        CHECK(test.lastEvent == grant_event::returned);
        CHECK(test.isWaiting);
    }
    test.now += 31s;
    test.apply(test.request.deadlinePassed(test.now));
    CHECK(test.refusals == std::vector { refusal_kind::queueTimeout });
}

// Guards against holding a grant for a slow claim past its expiry, when the shard
// owner grants the capacity to another request.
TEST_CASE("a grant is returned when the claim takes longer than its lifetime")
{
    harness test(method_kind::claimed);
    test.advanceTo(granted);
    test.now = *test.request.deadline();
    test.apply(test.request.deadlinePassed(test.now));
    CHECK(test.open.empty());
    CHECK(test.request.phase() == queued);
    test.apply(test.request.claimGranted(test.now));
    CHECK(test.request.phase() == queued);
    test.grant();
    CHECK(test.request.phase() == connecting);
}

// Guards against answering "not run" for an idempotent request that was sent,
// failed, and then got no grant for its retry.
TEST_CASE("a queue timeout after a sent attempt does not say not run")
{
    harness test(method_kind::idempotent);
    test.advanceTo(sent);
    test.end(resetAfterSent);
    REQUIRE(test.request.phase() == queued);
    test.now = *test.request.deadline();
    test.apply(test.request.deadlinePassed(test.now));
    REQUIRE(test.refusals.size() == 1);
    CHECK(refusalOf(test.refusals[0]).ran == run_state::unknown);
}

// Guards against exceeding the retry limit of one request, and against retrying
// after a timeout.
TEST_CASE("an idempotent request is tried three times, and not after a timeout")
{
    harness test(method_kind::idempotent);
    test.advanceTo(sent);
    for (int i = 0; i < 2; ++i) {
        test.end(resetAfterSent);
        test.grant();
        CHECK(test.send());
    }
    test.head({ 503, true, "" });
    CHECK(test.heads == 1);

    harness slow(method_kind::idempotent);
    slow.advanceTo(sent);
    slow.end(timeout);
    CHECK(slow.refusals == std::vector { refusal_kind::serverTimeout });
}

// Guards against retrying a non-idempotent request that a server refused; the
// caller must see the refusal.
TEST_CASE("503 with Retry-After is retried for idempotent methods only")
{
    harness test(method_kind::idempotent);
    test.advanceTo(sent);
    test.head({ 503, true, "" });
    CHECK(test.request.phase() == queued);
    CHECK(test.cancels == 1);
    CHECK(test.heads == 0);

    harness order(method_kind::plain);
    order.advanceTo(sent);
    order.head({ 503, true, "" });
    CHECK(order.request.phase() == answering);
}

// Guards against lost or duplicated bytes where a stream is resumed, and against
// late bytes of the broken attempt.
TEST_CASE("a model stream resumes at the offset forwarded to the caller")
{
    harness test(method_kind::stream);
    test.advanceTo(answering);
    test.bytes(10);
    test.bytes(5);
    const attempt_number broken = test.attempt;
    test.end(resetAfterSent);
    CHECK(test.resumes == 1);
    CHECK(test.position == stream_position { "stream-1", 15 });
    CHECK(test.request.bytesArrived(test.now, broken, 3).empty());
    CHECK(test.send());
    test.head();
    test.bytes(7);
    CHECK(test.heads == 1);
    test.end(truncated);
    CHECK(test.position.offset == 22);
    CHECK(test.send());
    test.head({ 404, false, "" });
    CHECK(test.aborts == 1);
    CHECK(test.ends == 0);
    CHECK(test.open.empty());
}

// Guards against a "not run" refusal after a byte may have been sent, sending a
// non-idempotent request twice, answering a caller twice, and leaking grants or
// claims, in any order of events.
TEST_CASE("random events preserve the invariants of the life cycle")
{
    CHECK(rc::check([] {
        const auto script = *rc::gen::container<std::vector<int>>(scriptLength, rc::gen::inRange(0, 256));
        for (const method_kind kind :
            { method_kind::idempotent, method_kind::plain, method_kind::claimed, method_kind::stream })
            runScript(kind, script);
    }));
}
