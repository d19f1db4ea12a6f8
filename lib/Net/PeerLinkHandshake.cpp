#include "PeerLinkHandshake.h"

#include <array>
#include <cassert>
#include <cstdint>
#include <utility>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace pimentoladder {

namespace {

    constexpr std::string_view protocolName = "pimentoladder peer 1\n";
    constexpr std::size_t challengeSize = 32;
    constexpr std::size_t proofSize = 32;
    constexpr std::size_t incarnationSize = 8;
    constexpr std::size_t helloHeaderSize = protocolName.size() + challengeSize + incarnationSize;

    std::string encodeBigEndian(std::uint64_t number)
    {
        std::string bytes;
        for (std::size_t index = 0; index < incarnationSize; ++index)
            bytes += static_cast<char>(number >> 8 * (incarnationSize - 1 - index) & 0xff);
        return bytes;
    }

    std::uint64_t decodeBigEndian(std::string_view bytes)
    {
        std::uint64_t number = 0;
        for (const char byte : bytes)
            number = number << 8U | static_cast<std::uint8_t>(byte);
        return number;
    }

}

peer_handshake::peer_handshake(
    role own, const member_ref& self, std::string key, vm_id expected, std::string_view challenge)
    : m_role(own)
    , m_key(std::move(key))
    , m_ownVm(self.vm)
    , m_expected(std::move(expected))
{
    assert(challenge.size() == challengeSize && "the challenge must have the fixed size");
    m_hello += protocolName;
    m_hello += challenge;
    m_hello += encodeBigEndian(self.start.value());
    m_hello += self.vm.value();
}

result<std::string> peer_handshake::receive(std::string_view frame)
{
    if (m_role == role::dialler) {
        if (frame.size() < proofSize)
            return makeError(error_kind::corruptData, "handshake reply of the peer is truncated; check that it is a router");
        if (auto hello = readHello(frame.substr(proofSize)); !hello)
            return tl::unexpected<error>(std::move(hello.error()));
        if (auto verified = verify(role::acceptor, frame.substr(0, proofSize)); !verified)
            return tl::unexpected<error>(std::move(verified.error()));
        m_isDone = true;
        return proof(role::dialler);
    }
    if (m_peerHello.empty()) {
        if (auto hello = readHello(frame); !hello)
            return tl::unexpected<error>(std::move(hello.error()));
        return proof(role::acceptor) + m_hello;
    }
    if (auto verified = verify(role::dialler, frame); !verified)
        return tl::unexpected<error>(std::move(verified.error()));
    m_isDone = true;
    return std::string();
}

result<void> peer_handshake::readHello(std::string_view frame)
{
    if (frame.size() <= helloHeaderSize || !frame.starts_with(protocolName))
        return makeError(error_kind::corruptData, "hello of the peer is malformed; check that it is a router");
    m_peerHello = frame;
    m_peer.start = incarnation(decodeBigEndian(frame.substr(protocolName.size() + challengeSize, incarnationSize)));
    m_peer.vm = vm_id(std::string(frame.substr(helloHeaderSize)));
    if (m_peer.vm == m_ownVm)
        return makeError(error_kind::unauthenticated, "peer has the VM id of this router; give each router its own");
    if (!m_expected.isEmpty() && m_peer.vm != m_expected) {
        return makeError(error_kind::unauthenticated,
            "peer is VM \"" + m_peer.vm.value() + "\" instead of \"" + m_expected.value() + "\"; check its address");
    }
    return {};
}

result<void> peer_handshake::verify(role sender, std::string_view given) const
{
    const std::string expected = proof(sender);
    if (given.size() == expected.size() && CRYPTO_memcmp(given.data(), expected.data(), expected.size()) == 0)
        return {};
    return makeError(error_kind::unauthenticated,
        "peer \"" + m_peer.vm.value() + "\" does not know the fleet key; give all routers the same key");
}

std::string peer_handshake::proof(role sender) const
{
    const bool isDialler = m_role == role::dialler;
    const std::string& diallerHello = isDialler ? m_hello : m_peerHello;
    const std::string& acceptorHello = isDialler ? m_peerHello : m_hello;
    std::string text(sender == role::dialler ? "dialler\n" : "acceptor\n");
    text += encodeBigEndian(diallerHello.size()) + diallerHello + acceptorHello;

    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    HMAC(EVP_sha256(), m_key.data(), static_cast<int>(m_key.size()),
        reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), &size);
    return { reinterpret_cast<const char*>(digest.data()), size };
}

}
