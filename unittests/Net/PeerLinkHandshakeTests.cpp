#include "../../lib/Net/PeerLinkHandshake.h"

#include <doctest/doctest.h>

using namespace pimentoladder;

namespace {

using role = peer_handshake::role;

const std::string key = "a key that all routers share";

peer_handshake makeEnd(role own, const std::string& vm, char challenge, std::uint64_t start = 1)
{
    return { own, { vm_id(vm), incarnation(start) }, key, {}, std::string(32, challenge) };
}

}

// Guards against a proof that is accepted on another connection, for another
// incarnation, or in the other direction.
TEST_CASE("a proof is valid for one connection and one direction only")
{
    peer_handshake dialler = makeEnd(role::dialler, "left", 'a');
    peer_handshake acceptor = makeEnd(role::acceptor, "right", 'b');
    const std::string answer = *acceptor.receive(dialler.hello());
    const std::string proof = *dialler.receive(answer);
    CHECK(dialler.isDone());
    CHECK_FALSE(acceptor.isDone());

    const auto faultOf = [&](peer_handshake end, const peer_handshake& claimed, const std::string& given) {
        REQUIRE(end.receive(claimed.hello()));
        const auto verified = end.receive(given);
        CHECK_FALSE(end.isDone());
        return verified ? error_kind::conflict : verified.error().kind;
    };
    const auto fresh = makeEnd(role::acceptor, "right", 'c');
    const auto same = makeEnd(role::acceptor, "right", 'b');
    CHECK(faultOf(fresh, dialler, proof) == error_kind::unauthenticated);
    CHECK(faultOf(same, makeEnd(role::dialler, "left", 'a', 2), proof) == error_kind::unauthenticated);
    CHECK(faultOf(same, makeEnd(role::dialler, "other", 'a'), proof) == error_kind::unauthenticated);
    CHECK(faultOf(same, dialler, answer.substr(0, 32)) == error_kind::unauthenticated);
    CHECK(faultOf(same, dialler, "") == error_kind::unauthenticated);
    CHECK(acceptor.receive(proof));
    CHECK(acceptor.isDone());
    CHECK(acceptor.peer() == member_ref { vm_id("left"), incarnation(1) });
}

// Guards against reads outside a truncated frame.
TEST_CASE("truncated frames are refused")
{
    const std::string hello = makeEnd(role::dialler, "left", 'a').hello();
    const std::string answer = *makeEnd(role::acceptor, "right", 'b').receive(hello);
    for (std::size_t size = 0; size < hello.size() - 3; ++size)
        CHECK_FALSE(makeEnd(role::acceptor, "right", 'b').receive(hello.substr(0, size)));
    for (std::size_t size = 0; size < answer.size(); ++size)
        CHECK_FALSE(makeEnd(role::dialler, "left", 'a').receive(answer.substr(0, size)));
}
