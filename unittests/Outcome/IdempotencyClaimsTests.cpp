#include "pimentoladder/Outcome/IdempotencyClaims.h"

#include <cstdint>
#include <map>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

const claim_key requestKey { workspace_id("w"), "hash" };
constexpr fingerprint requestPrint(7);
constexpr fingerprint otherPrint(8);
constexpr std::size_t scriptLength = 60;

/// In-memory model of the claims namespace of the table service.
struct fake_table {
    revision last { 10 };
    std::map<claim_key, claim_row> rows;

    claim_write_answer apply(const write_claims& write)
    {
        claim_write_answer answer { write.batch, claim_write_result::committed, {}, {} };
        for (const claim_write& each : write.writes) {
            const auto found = rows.find(each.row.key);
            const revision present = found == rows.end() ? revision() : found->second.changedAt;
            if (present != each.expected)
                answer.result = claim_write_result::conflict;
            if (found != rows.end())
                answer.present.push_back(found->second);
        }
        if (answer.result == claim_write_result::conflict)
            return answer;
        answer.present.clear();
        answer.at = last = revision(last.value() + 1);
        for (const claim_write& each : write.writes) {
            rows.erase(each.row.key);
            if (each.isDelete)
                continue;
            claim_row row = each.row;
            row.changedAt = last;
            rows.emplace(row.key, row);
        }
        return answer;
    }

    claim_read_answer read(const read_claims& read) const
    {
        claim_read_answer answer { read.batch, true, {} };
        for (const claim_key& key : read.keys) {
            const auto found = rows.find(key);
            if (found != rows.end())
                answer.present.push_back(found->second);
        }
        return answer;
    }
};

/// One router incarnation with its pending table calls.
struct fake_router {
    explicit fake_router(const char* vm, std::uint64_t start, bool arePeersAlive = true)
        : claims({ vm_id(vm), incarnation(start) }, [arePeersAlive](const member_ref&) { return arePeersAlive; })
    {
    }

    void apply(const claim_actions& actions)
    {
        for (const claim_action& action : actions)
            std::visit([this](const auto& each) { take(each); }, action);
    }
    void take(const write_claims& each) { write = each; }
    void take(const read_claims& each) { read = each; }
    void take(const store_body& each) { stored = each; }
    void take(const claim_granted& each) { granted.push_back(each.request); }
    void take(const claim_replayed& each) { replayed.push_back(each.outcome); }
    void take(const claim_refused& each) { refused.push_back(each.kind); }

    void claim(std::uint64_t number, fingerprint print = requestPrint, const claim_key& key = requestKey)
    {
        apply(claims.claim(now, request_number(number), key, print));
    }
    void record(std::uint64_t number, std::optional<recorded_outcome> outcome)
    {
        apply(claims.record(now, request_number(number), std::move(outcome)));
    }
    void answerWrite(const claim_write_answer& answer)
    {
        write.reset();
        apply(claims.writeAnswered(now, answer));
    }
    void lose(claim_write_result result) { answerWrite({ write->batch, result, {}, {} }); }

    /// Answers table calls until none is pending.
    void run(fake_table& table)
    {
        while (write || read) {
            if (write) {
                answerWrite(table.apply(*write));
                continue;
            }
            const claim_read_answer answer = table.read(*read);
            read.reset();
            apply(claims.readAnswered(now, answer));
        }
    }

    idempotency_claims claims;
    time_point now { 100s };
    std::optional<write_claims> write;
    std::optional<read_claims> read;
    std::optional<store_body> stored;
    std::vector<request_number> granted;
    std::vector<recorded_outcome> replayed;
    std::vector<refusal_kind> refused;
};

const recorded_outcome orderCreated { 201, { { "Location", "/orders/1" } }, "order 1", "" };

}

// Guards against running a request twice when one key reaches two routers at
// once, and against a later repeat that does not get the recorded outcome.
TEST_CASE("the same key on two routers at once runs on one")
{
    fake_table table;
    fake_router first("a", 1);
    fake_router second("b", 1);
    first.claim(1);
    second.claim(1);
    first.run(table);
    second.run(table);
    CHECK(first.granted.size() == 1);
    CHECK(second.granted.empty());
    CHECK(second.refused == std::vector { refusal_kind::claimInProgress });

    first.record(1, orderCreated);
    first.run(table);
    second.claim(2);
    second.run(table);
    CHECK(second.replayed == std::vector { orderCreated });
    second.claim(3, otherPrint);
    second.run(table);
    CHECK(second.refused.back() == refusal_kind::keyReused);
}

// Guards against refusing a claim, or granting it twice, when the table's answer to
// its write was lost: the router must read the claim back.
TEST_CASE("a claim whose answer is lost is settled by reading it back")
{
    for (const bool isApplied : { true, false }) {
        fake_table table;
        fake_router router("a", 1);
        router.claim(1);
        if (isApplied)
            table.apply(*router.write);
        router.lose(claim_write_result::unknown);
        REQUIRE(router.read);
        router.run(table);
        CHECK(router.granted.size() == 1);
        CHECK(table.rows.size() == 1);
    }
}

// Guards against refusing a request because its own claim write, whose result was
// unknown, is executed late.
TEST_CASE("a delayed claim write does not stop its own request")
{
    fake_table table;
    fake_router router("a", 1);
    router.claim(1);
    const write_claims delayed = *router.write;
    router.lose(claim_write_result::unknown);
    REQUIRE(router.read);
    const claim_read_answer absent = table.read(*std::exchange(router.read, std::nullopt));
    router.apply(router.claims.readAnswered(router.now, absent));
    table.apply(delayed);
    router.run(table);
    CHECK(router.granted.size() == 1);
}

// Guards against dispatching without a claim while the table is unavailable, and
// against a leftover claim that blocks the key after the caller was told "not run".
TEST_CASE("without a table the request is refused as not run and can be repeated")
{
    fake_table table;
    fake_router router("a", 1);
    router.claim(1);
    router.lose(claim_write_result::unavailable);
    CHECK(router.refused == std::vector { refusal_kind::claimUnavailable });
    CHECK(refusalOf(router.refused[0]).ran == run_state::notRun);
    CHECK(router.claims.size() == 0);

    router.claim(2);
    table.apply(*router.write);
    router.now += idempotency_claims::claimTimeout;
    router.apply(router.claims.tick(router.now));
    CHECK(router.refused.size() == 2);
    router.run(table);
    CHECK(table.rows.empty());
    CHECK(router.claims.size() == 0);
    fake_router peer("b", 1);
    peer.claim(1);
    peer.run(table);
    CHECK(peer.granted.size() == 1);
}

// Guards against a claim that blocks its key because it was written after its
// request had been abandoned. Only the router incarnation that sent the write may
// take the claim over, because it knows that no byte of the request was sent.
TEST_CASE("an abandoned, unsent claim can be taken over by the same incarnation only")
{
    fake_table table;
    fake_router router("a", 1);
    router.claim(1);
    const write_claims delayed = *router.write;
    router.now += idempotency_claims::claimTimeout;
    router.apply(router.claims.tick(router.now));
    router.run(table);
    table.apply(delayed);

    fake_router restarted("a", 2, false);
    restarted.claim(1);
    restarted.run(table);
    CHECK(restarted.refused == std::vector { refusal_kind::outcomeUnknown });
    router.claim(2);
    router.run(table);
    CHECK(router.granted.size() == 1);
}

// Guards against answering "in progress" forever after the router that ran a
// request is lost, and against running the request again.
TEST_CASE("a repeat after a lost router gets outcome_unknown")
{
    fake_table table;
    fake_router lost("a", 1);
    lost.claim(1);
    lost.run(table);
    fake_router other("b", 1, false);
    other.claim(1);
    other.run(table);
    CHECK(other.refused == std::vector { refusal_kind::outcomeUnknown });
}

// Guards against losing an outcome because the table was unavailable when the
// request ended, and against storing a large body in the row.
TEST_CASE("an outcome is recorded when the table is available again, a large body as an object")
{
    fake_table table;
    fake_router router("a", 1);
    router.claim(1);
    router.run(table);
    recorded_outcome large = orderCreated;
    large.body.assign(idempotency_claims::inlineBodyBytes + 1, 'x');
    router.record(1, large);
    REQUIRE(router.stored);
    CHECK(router.stored->body.size() == large.body.size());
    router.apply(router.claims.bodyStored(router.now, request_number(1), true));
    router.lose(claim_write_result::unavailable);
    CHECK(router.claims.deadline() == router.now + idempotency_claims::retryInterval);
    router.claim(2);
    CHECK(router.replayed.size() == 1);
    router.now += idempotency_claims::retryInterval;
    router.apply(router.claims.tick(router.now));
    router.run(table);
    CHECK(table.rows[requestKey].state == claim_state::ended);
    CHECK(table.rows[requestKey].outcome.body.empty());
    CHECK(table.rows[requestKey].outcome.bodyObject == router.stored->object);
    CHECK(router.claims.size() == 0);
}

// Guards against one table transaction per claim under load, and against refusing
// a whole batch because one of its claims conflicts.
TEST_CASE("claims that arrive during a table call share the next one")
{
    fake_table table;
    fake_router router("a", 1);
    fake_router peer("b", 1);
    const claim_key taken { workspace_id("w"), "5" };
    peer.claim(1, requestPrint, taken);
    peer.run(table);
    for (std::uint64_t i = 1; i <= 20; ++i)
        router.claim(i, requestPrint, { workspace_id("w"), std::to_string(i) });
    CHECK(router.write->writes.size() == 1);
    router.answerWrite(table.apply(*router.write));
    CHECK(router.write->writes.size() == 19);
    router.run(table);
    CHECK(router.granted.size() == 19);
    CHECK(router.refused == std::vector { refusal_kind::claimInProgress });
}

// Guards against sending a non-idempotent request twice for one claim, across
// several routers, restarts, lost answers and delayed writes.
TEST_CASE("a claimed request is sent at most once across routers and restarts")
{
    CHECK(rc::check([] {
        const auto script = *rc::gen::container<std::vector<int>>(scriptLength, rc::gen::inRange(0, 1024));
        fake_table table;
        std::vector<fake_router> routers;
        for (const char* vm : { "a", "b", "c" })
            routers.emplace_back(vm, 1);
        std::vector<write_claims> delayed;
        std::vector<std::size_t> handled(3);
        std::uint64_t numbers = 0;
        int sends = 0;
        for (const int choice : script) {
            const auto index = static_cast<std::size_t>(choice % 3);
            fake_router& router = routers[index];
            switch (choice / 3 % 10) {
            case 0:
            case 1:
                router.claim(++numbers);
                break;
            case 2:
            case 3:
                if (router.write)
                    router.answerWrite(table.apply(*router.write));
                break;
            case 4: // The write is executed now or later, and its answer is lost.
                if (!router.write)
                    break;
                if (choice >= 512)
                    table.apply(*router.write);
                else
                    delayed.push_back(*router.write);
                router.lose(claim_write_result::unknown);
                break;
            case 5:
                if (router.write)
                    router.lose(claim_write_result::unavailable);
                break;
            case 6:
                if (router.read) {
                    const claim_read_answer answer = table.read(*std::exchange(router.read, std::nullopt));
                    router.apply(router.claims.readAnswered(router.now, answer));
                }
                break;
            case 7: // A granted request is sent, or released unsent.
                if (handled[index] == router.granted.size())
                    break;
                if (choice >= 128) {
                    ++sends;
                    router.record(router.granted[handled[index]++].value(),
                        choice >= 512 ? std::optional(orderCreated) : std::nullopt);
                } else {
                    router.apply(router.claims.release(router.now, router.granted[handled[index]++]));
                }
                break;
            case 8: // Time passes, and a delayed write is executed.
                router.apply(router.claims.tick(router.now += 2s));
                if (!delayed.empty()) {
                    table.apply(delayed.back());
                    delayed.pop_back();
                }
                break;
            default:
                if (choice < 256)
                    break;
                sends += static_cast<int>(router.granted.size() - handled[index]);
                routers[index] = fake_router(index == 0 ? "a" : index == 1 ? "b"
                                                                           : "c",
                    ++numbers + 1, false);
                handled[index] = 0;
            }
        }
        // A granted request that has not been handled yet may still be sent.
        for (std::size_t i = 0; i < routers.size(); ++i)
            sends += static_cast<int>(routers[i].granted.size() - handled[i]);
        RC_ASSERT(sends <= 1);
    }));
}
