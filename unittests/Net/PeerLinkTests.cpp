#include "pimentoladder/Net/PeerLink.h"

#include <random>
#include <vector>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pimentoladder/Net/EventLoop.h"
#include "pimentoladder/Wire/Frame.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

const std::string fleetKey = "a key that all routers share";
const endpoint anyPort { "127.0.0.1", 0 };

// One router's side of its links.
struct test_end {
    explicit test_end(const std::string& vm, std::string key = fleetKey)
    {
        settings.self = { vm_id(vm), incarnation(7) };
        settings.fleetKey = std::move(key);
        settings.handshakeTimeout = 100ms;
        settings.reconnectDelay = 5ms;
    }

    peer_link_handlers handlers()
    {
        return { [this](peer_link& link) {
                    ++opened;
                    accepted = &link;
                },
            [this](peer_link&, message content) { received.push_back(std::move(content)); },
            [this](peer_link&, const error& reason) {
                accepted = nullptr;
                closed.push_back(reason.kind);
            } };
    }

    std::unique_ptr<peer_listener> listen(event_loop& loop, const endpoint& location = anyPort)
    {
        auto listener = peer_listener::listen(loop.base(), settings, location, handlers(), counters);
        REQUIRE(listener);
        return std::move(*listener);
    }

    std::unique_ptr<peer_link> dial(event_loop& loop, const endpoint& location, const std::string& expected = "")
    {
        return peer_link::dial(loop.base(), settings, location, vm_id(expected), handlers(), counters, 3);
    }

    peer_link_settings settings;
    peer_link_counters counters;
    int opened = 0;
    peer_link* accepted = nullptr;
    std::vector<message> received;
    std::vector<error_kind> closed;
};

template <typename Condition>
bool runUntil(event_loop& loop, Condition isReached, duration limit = 5s)
{
    const time_point end = loop.now() + limit;
    while (!isReached() && loop.now() < end)
        loop.runFor(5ms);
    return isReached();
}

// A plain TCP connection without the peer protocol.
struct raw_socket {
    explicit raw_socket(std::uint16_t port)
        : descriptor(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
        fcntl(descriptor, F_SETFL, O_NONBLOCK);
    }
    ~raw_socket() { close(descriptor); }
    raw_socket(const raw_socket&) = delete;
    raw_socket& operator=(const raw_socket&) = delete;

    void write(const std::string& bytes) const { send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL); }

    bool isClosed() const
    {
        char bytes[1024];
        ssize_t size = recv(descriptor, bytes, sizeof(bytes), 0);
        while (size > 0)
            size = recv(descriptor, bytes, sizeof(bytes), 0);
        return size == 0 || errno != EAGAIN;
    }

    int descriptor;
};

config_update updateOf(std::size_t bytes)
{
    workspace large;
    large.id = workspace_id("large");
    large.keyDigest = std::string(bytes, '0');
    return { revision(1), revision(2), { { "config/workspace/large", large, revision(2) } } };
}

}

// Guards against links that open without authentication or report the wrong peer.
TEST_CASE("both ends identify each other and exchange messages")
{
    event_loop loop;
    test_end left("left");
    test_end right("right");
    const auto listener = right.listen(loop);
    const auto link = left.dial(loop, listener->location(), "right");
    CHECK(link->send(recall { shard_id("s"), {} }).error().kind == error_kind::unavailable);
    REQUIRE(runUntil(loop, [&] { return link->isOpen() && right.opened == 1; }));
    CHECK(link->peer() == member_ref { vm_id("right"), incarnation(7) });
    CHECK(right.accepted->peer() == member_ref { vm_id("left"), incarnation(7) });

    for (std::uint64_t at = 1; at <= 100; ++at)
        CHECK(link->send(revision_announce { revision(at) }));
    CHECK(right.accepted->send(recall { shard_id("s"), {} }));
    REQUIRE(runUntil(loop, [&] { return right.received.size() == 100 && left.received.size() == 1; }));
    CHECK(std::get<revision_announce>(right.received.back()).at == revision(100));
    CHECK(right.counters.received[1].messages == 100);
    CHECK(left.counters.sent[1].bytes == right.counters.received[1].bytes);
}

// Guards against links to routers of another fleet, and against messages that are
// exchanged before the peer has proved the key.
TEST_CASE("a wrong key opens no link on either side")
{
    event_loop loop;
    test_end left("left", "another key, of another fleet");
    test_end right("right");
    const auto listener = right.listen(loop);
    const auto link = left.dial(loop, listener->location());
    REQUIRE(runUntil(loop, [&] { return left.counters.rejected >= 2; }));
    CHECK(left.opened + right.opened == 0);
    CHECK(left.closed.front() == error_kind::unauthenticated);
    CHECK(left.received.size() + right.received.size() == 0);
}

// Guards against a link to another VM that has taken over the address of the
// expected one, and against a router that links to itself.
TEST_CASE("an unexpected VM is refused")
{
    event_loop loop;
    test_end left("left");
    test_end right("right");
    test_end twin("right");
    const auto listener = right.listen(loop);
    const auto link = left.dial(loop, listener->location(), "middle");
    const auto loopback = twin.dial(loop, listener->location());
    REQUIRE(runUntil(loop, [&] { return !left.closed.empty() && !twin.closed.empty(); }));
    CHECK(left.closed.front() == error_kind::unauthenticated);
    CHECK(right.opened == 0);
}

// Guards against unauthenticated peers that hold connections open, allocate memory
// or crash the listener.
TEST_CASE("unauthenticated connections are closed before any message is read")
{
    event_loop loop;
    test_end right("right");
    const auto listener = right.listen(loop);
    const std::uint16_t port = listener->location().port;
    const raw_socket silent(port);
    const raw_socket huge(port);
    huge.write(std::string("\x7f\xff\xff\xff", 4));
    const raw_socket eager(port);
    eager.write(*encodeFrame(encodeMessage(revision_announce { revision(9) })));
    REQUIRE(runUntil(
        loop, [&] { return huge.isClosed() && eager.isClosed(); }, 1s));
    CHECK(runUntil(loop, [&] { return silent.isClosed(); }));

    std::mt19937 random(77);
    for (int round = 0; round < 50; ++round) {
        std::string noise = "pimentoladder peer 1\n";
        for (std::uint32_t size = random() % 300; size > 0; --size)
            noise += static_cast<char>(random());
        const raw_socket stranger(port);
        stranger.write(round % 2 == 0 ? *encodeFrame(noise) : noise);
        loop.runFor(1ms);
    }
    CHECK(right.opened == 0);
    CHECK(right.received.empty());
}

// Guards against unbounded output buffers for a slow or stuck peer.
TEST_CASE("a peer that does not read is disconnected")
{
    event_loop loop;
    event_loop stuckLoop;
    test_end left("left");
    test_end right("right");
    left.settings.outputLimit = 1024 * 1024;
    const auto listener = right.listen(stuckLoop);
    const auto link = left.dial(loop, listener->location());
    REQUIRE(runUntil(loop, [&] {
        stuckLoop.runFor(1ms);
        return link->isOpen();
    }));
    // Sends far more than the limit and the socket buffers; the loop of `right` does
    // not run meanwhile.
    result<void> sent;
    for (int round = 0; round < 1000 && sent; ++round) {
        sent = link->send(updateOf(100'000));
        loop.runFor(1ms);
        CHECK(link->queuedBytes() <= left.settings.outputLimit);
    }
    REQUIRE_FALSE(sent);
    CHECK(sent.error().kind == error_kind::resourceExhausted);
    REQUIRE(runUntil(loop, [&] { return !left.closed.empty(); }));
    CHECK(left.counters.overflowed == 1);
    CHECK(encodeFrame(encodeMessage(updateOf(2 * maxFrameSize))).error().kind == error_kind::resourceExhausted);
}

// Guards against a link that stays down after its peer has restarted, and against
// mistaking the restarted peer for its previous incarnation.
TEST_CASE("a dialled link reconnects to a restarted peer")
{
    event_loop loop;
    test_end left("left");
    test_end right("right");
    auto listener = right.listen(loop);
    const endpoint location = listener->location();
    const auto link = left.dial(loop, location, "right");
    REQUIRE(runUntil(loop, [&] { return link->isOpen(); }));
    listener.reset();
    REQUIRE(runUntil(loop, [&] { return !link->isOpen(); }));
    CHECK(left.closed.size() == 1);
    loop.runFor(50ms);
    right.settings.self.start = incarnation(8);
    listener = right.listen(loop, location);
    REQUIRE(runUntil(loop, [&] { return link->isOpen(); }));
    CHECK(link->peer().start == incarnation(8));
}

// Guards against name resolution, which blocks the loop.
TEST_CASE("names are not resolved")
{
    event_loop loop;
    test_end left("left");
    const auto listener = peer_listener::listen(loop.base(), left.settings, { "localhost", 0 }, {}, left.counters);
    REQUIRE_FALSE(listener);
    CHECK(listener.error().kind == error_kind::invalidArgument);
    const auto link = left.dial(loop, { "localhost", 1 });
    loop.runFor(20ms);
    CHECK_FALSE(link->isOpen());
}
