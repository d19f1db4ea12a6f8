/// \file
/// Mutual challenge-response authentication with the fleet key, without I/O.

#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Config/Document.h"

namespace pimentoladder {

/// Maximum frame size in bytes until the peer is authenticated.
constexpr std::size_t maxHandshakeFrame = 512;

/// One end of a handshake:
///
///     dialler  -> acceptor: hello of the dialler
///     acceptor -> dialler:  proof of the acceptor, hello of the acceptor
///     dialler  -> acceptor: proof of the dialler
///
/// A hello holds a random challenge, the incarnation and the VM id. A proof is
/// an HMAC-SHA256 with the fleet key over the role of its sender and both
/// hellos, so it is not valid for another pair of routers, connection or
/// direction.
///
/// Not thread-safe.
class peer_handshake {
public:
    enum class role {
        dialler,
        acceptor,
    };

    /// \p challenge must be 32 random bytes. \p expected is the VM that must
    /// answer; empty: any VM except this one.
    peer_handshake(role own, const member_ref& self, std::string key, vm_id expected, std::string_view challenge);

    /// Returns the dialler's first frame; the acceptor waits for it.
    const std::string& hello() const { return m_hello; }

    /// Handles the next frame of the peer and returns the reply, which is empty if
    /// none is due. Errors: `corruptData` if the frame is malformed,
    /// `unauthenticated` if the proof or the VM is wrong; the link must be closed.
    result<std::string> receive(std::string_view frame);

    /// Returns whether the peer is authenticated.
    bool isDone() const { return m_isDone; }

    /// Returns the identity that the peer claims; it is authenticated once `isDone`.
    const member_ref& peer() const { return m_peer; }

private:
    result<void> readHello(std::string_view frame);
    result<void> verify(role sender, std::string_view given) const;
    std::string proof(role sender) const;

    role m_role;
    std::string m_key;
    vm_id m_ownVm;
    vm_id m_expected;
    std::string m_hello;
    std::string m_peerHello;
    member_ref m_peer;
    bool m_isDone = false;
};

}
