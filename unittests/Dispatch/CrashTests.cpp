#include <doctest/doctest.h>

#include "Fixture.h"

using namespace pimentoladder;
using namespace pimentoladder::dispatch_test;

namespace {

constexpr std::uint64_t deadlyPart = 0xdead;
constexpr std::uint64_t soundPart = 0x50;

served_head makeHead()
{
    served_head head;
    head.status = 200;
    head.isAuthentic = true;
    return head;
}

// A fleet with enough engines for some of them to be lost.
struct engine_fleet : small_fleet {
    engine_fleet()
    {
        for (int i = 4; i <= 12; ++i)
            core.putServer(now, makeServer("e" + std::to_string(i), "llm"));
        // The engines are cold after their registration.
        now += 10s;
        core.confirm(now);
    }

    dispatch_actions sendPrompt(std::uint64_t part, request_number& number, const std::string& path = "/stream/1")
    {
        inbound_request request;
        request.callerId = "id";
        request.host = "host";
        request.path = path;
        request.keyDigest = keyDigest;
        request.timeLeft = 10s;
        request.contentHash = ++m_sent;
        request.prompt = prompt_work { { { part, 100 }, { 1'000'000 + m_sent, 10 } }, 110, 10 };
        return core.onRequest(now, request, number);
    }

    // Ends the attempt as if its server had ended, and returns what follows.
    dispatch_actions loseServer(attempt_number attempt)
    {
        core.mayStartSending(now, attempt);
        return core.onAttemptEnded(now, attempt, { attempt_end_kind::resetAfterSent, true });
    }

    // Sends a request with the part, and loses each server that it is sent to.
    // Returns how many servers it was sent to.
    std::size_t loseServersTo(std::uint64_t part)
    {
        request_number number;
        std::size_t servers = 0;
        dispatch_actions actions = sendPrompt(part, number);
        for (const auto* opened = find<open_dispatch>(actions); opened; opened = find<open_dispatch>(actions)) {
            const attempt_number attempt = opened->attempt;
            const server_id server = opened->server;
            ++servers;
            actions = loseServer(attempt);
            core.removeServer(now, server);
            core.putServer(now, makeServer(server.value() + "'", "llm"));
        }
        pass(1s);
        return servers;
    }

    dispatch_actions pass(duration time)
    {
        now += time;
        core.confirm(now);
        return core.onTick(now);
    }

    void serve(std::uint64_t part)
    {
        request_number number;
        const auto actions = sendPrompt(part, number);
        const auto* opened = find<open_dispatch>(actions);
        REQUIRE(opened);
        core.mayStartSending(now, opened->attempt);
        core.onHead(now, opened->attempt, makeHead());
        core.onBytes(now, opened->attempt, "id: 1\n\n", { 1, 1 });
        core.onAttemptEnded(now, opened->attempt, { attempt_end_kind::complete, true });
    }

private:
    std::uint64_t m_sent = 0;
};

}

TEST_CASE("requests that share a prompt part do not take down server after server")
{
    engine_fleet fleet;
    std::size_t lost = 0;
    for (int i = 0; i < 9; ++i)
        lost += fleet.loseServersTo(deadlyPart);
    CHECK(lost == crash_attribution::quarantineThreshold);
    request_number number;
    const auto refused = fleet.sendPrompt(deadlyPart, number);
    REQUIRE(find<refuse_inbound>(refused));
    CHECK(find<refuse_inbound>(refused)->kind == refusal_kind::quarantined);
    CHECK(find<request_outcome>(refused)->quarantinedBy == request_trait { trait_kind::promptPart, deadlyPart });
    fleet.serve(soundPart);
}

// Guards against trials that cost more servers than the three that the promise allows after the fifth.
TEST_CASE("trials of a part that keeps crashing servers stay within the promise for twenty minutes")
{
    engine_fleet fleet;
    std::size_t lost = 0;
    for (int i = 0; i < 1200; ++i)
        lost += fleet.loseServersTo(deadlyPart);
    CHECK(lost > crash_attribution::quarantineThreshold);
    CHECK(lost <= 5 + 3);
}

// Guards against one and the same request that crashes each server that runs it.
TEST_CASE("a request that crashed three servers is not sent again")
{
    engine_fleet fleet;
    std::size_t sent = 0;
    for (int i = 0; i < 10; ++i) {
        request_number number;
        const auto actions = fleet.send("/order/1", number);
        if (const auto* opened = find<open_dispatch>(actions)) {
            ++sent;
            const server_id server = opened->server;
            fleet.loseServer(opened->attempt);
            fleet.core.removeServer(fleet.now, server);
            fleet.core.putServer(fleet.now, makeServer(server.value() + "'", "portal"));
        }
        fleet.pass(1s);
    }
    CHECK(sent == crash_attribution::quarantineThreshold);
}

TEST_CASE("a quarantined part is served again once it no longer crashes servers")
{
    engine_fleet fleet;
    for (int i = 0; i < 4; ++i)
        fleet.loseServersTo(deadlyPart);
    request_number number;
    REQUIRE(find<refuse_inbound>(fleet.sendPrompt(deadlyPart, number)));
    fleet.pass(60s);
    fleet.serve(deadlyPart);
    fleet.pass(1s);
    fleet.serve(deadlyPart);
}

TEST_CASE("attempts that have not begun are cancelled when their part is quarantined elsewhere")
{
    engine_fleet fleet;
    request_number number;
    const auto actions = fleet.sendPrompt(deadlyPart, number);
    const attempt_number waiting = find<open_dispatch>(actions)->attempt;
    fleet.core.mayStartSending(fleet.now, waiting);
    server_losses reported;
    for (const char* server : { "x1", "x2", "x3" }) {
        reported.entries.push_back({ server_id(server), incarnation(1), 1s, false,
            { { { trait_kind::promptPart, deadlyPart }, 1, false, { vm_id("r1"), vm_id("r2") }, { fingerprint(1), fingerprint(2) } } } });
    }
    const auto ended = fleet.core.onServerLosses(fleet.now, reported);
    REQUIRE(find<cancel_dispatch>(ended));
    CHECK(find<cancel_dispatch>(ended)->attempt == waiting);
    REQUIRE(find<refuse_inbound>(ended));
    CHECK(find<refuse_inbound>(ended)->kind == refusal_kind::serverFailed);
}

TEST_CASE("a request that was not sent is refused truthfully when its part is quarantined")
{
    engine_fleet fleet;
    request_number number;
    const auto actions = fleet.sendPrompt(deadlyPart, number);
    REQUIRE(find<open_dispatch>(actions));
    server_losses reported;
    for (const char* server : { "x1", "x2", "x3" }) {
        reported.entries.push_back({ server_id(server), incarnation(1), 1s, false,
            { { { trait_kind::promptPart, deadlyPart }, 1, false, { vm_id("r1"), vm_id("r2") }, { fingerprint(1), fingerprint(2) } } } });
    }
    const auto ended = fleet.core.onServerLosses(fleet.now, reported);
    REQUIRE(find<refuse_inbound>(ended));
    CHECK(find<refuse_inbound>(ended)->kind == refusal_kind::quarantined);
}
