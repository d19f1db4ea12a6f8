/// \file
/// Links between routers: authenticated streams of messages.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Random.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Config/Document.h"
#include "pimentoladder/Protocol/Messages.h"
#include "pimentoladder/Wire/MessageCodec.h"

struct event_base;

namespace pimentoladder {

/// Identity of a router and the parameters of its links.
struct peer_link_settings {
    member_ref self;
    std::string fleetKey; ///< Shared secret of all routers; at least 16 bytes.
    duration handshakeTimeout = std::chrono::seconds(2); ///< From the start of connecting to the end of the handshake.
    std::size_t outputLimit = 4UL * 1024 * 1024; ///< A peer with more queued output than this is disconnected.
    duration reconnectDelay = std::chrono::milliseconds(100); ///< Delay after the first failure; doubles with each further one.
    duration maxReconnectDelay = std::chrono::seconds(3);
};

/// Frames of one kind.
struct message_kind_counter {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< Including the length prefix of each frame.
};

/// Traffic over links, by kind of message.
struct peer_link_counters {
    std::array<message_kind_counter, messageKindCount> sent {};
    std::array<message_kind_counter, messageKindCount> received {};
    message_kind_counter unknown; ///< Frames of unknown kind, skipped.
    message_kind_counter handshake; ///< Handshake frames sent and received.
    std::uint64_t rejected = 0; ///< Links closed because of a failed handshake.
    std::uint64_t malformed = 0; ///< Links closed because of a malformed frame.
    std::uint64_t overflowed = 0; ///< Links closed because the peer did not read.
};

class peer_link;

/// Callbacks to the owner of links. A handler may destroy the dialled link that
/// calls it, but not the listener that owns an accepted one.
struct peer_link_handlers {
    std::function<void(peer_link&)> opened; ///< The handshake has succeeded.
    std::function<void(peer_link&, message)> received;
    /// An open link is down, or its handshake has failed; a dialled one will
    /// reconnect. Not called when connecting fails.
    std::function<void(peer_link&, const error&)> closed;
};

/// One stream of messages to another router.
///
/// Before any message is read, both ends prove that they know the fleet key:
/// each answers the other's challenge with an HMAC-SHA256 over both challenges,
/// both VM ids, both incarnations and the direction.
///
/// Not thread-safe; call on the loop's thread.
class peer_link {
public:
    /// Makes a link that connects to \p location and reconnects, with jittered
    /// backoff, until it is destroyed. \p expected is the VM that must answer;
    /// empty: any VM of the fleet. \p base, \p settings and \p counters must
    /// outlive the link.
    static std::unique_ptr<peer_link> dial(event_base* base, const peer_link_settings& settings, endpoint location,
        vm_id expected, peer_link_handlers handlers, peer_link_counters& counters, std::uint64_t seed);

    virtual ~peer_link() = default;
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Sends a message, or queues it while the peer reads slowly.
    /// Errors: `unavailable` if the handshake has not succeeded or the link is
    /// down; `resourceExhausted` if the message is too large for a frame, or
    /// the peer does not read, in which case the link is closed after the
    /// event in progress.
    virtual result<void> send(const message& source) = 0;

    /// Returns whether the handshake has succeeded and the link is up.
    virtual bool isOpen() const = 0;

    /// Returns the authenticated identity of the peer; empty before the first
    /// handshake.
    virtual const member_ref& peer() const = 0;

    /// Returns whether this end made the connection.
    virtual bool isDialled() const = 0;

    /// Returns the number of bytes queued for sending.
    virtual std::size_t queuedBytes() const = 0;

protected:
    peer_link() = default;
};

/// Accepts links from other routers. It owns the links that it accepts; a link
/// is destroyed after its `closed` handler has returned.
///
/// Not thread-safe; call on the loop's thread.
class peer_listener {
public:
    /// Listens on \p location. Port 0 chooses a free port.
    /// \p base, \p settings and \p counters must outlive the listener.
    /// Errors: `invalidArgument` if the address is not numeric; `unavailable`
    /// if it cannot be bound.
    static result<std::unique_ptr<peer_listener>> listen(event_base* base, const peer_link_settings& settings,
        const endpoint& location, peer_link_handlers handlers, peer_link_counters& counters);

    virtual ~peer_listener() = default;
    peer_listener(const peer_listener&) = delete;
    peer_listener& operator=(const peer_listener&) = delete;

    /// Returns the bound address, with the port in use.
    virtual endpoint location() const = 0;

protected:
    peer_listener() = default;
};

}
