/// \file
/// Links to all other routers.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pimentoladder/Membership/PeerDirectory.h"
#include "pimentoladder/Net/EventLoop.h"
#include "pimentoladder/Net/PeerLink.h"
#include "pimentoladder/Router/Actions.h"
#include "pimentoladder/Telemetry/Log.h"

namespace pimentoladder {

/// Callbacks through which a mesh queries and notifies its owner.
struct peer_mesh_owner {
    /// Returns the routers to which this router dials and keeps links.
    std::function<std::vector<peer_target>()> targets;
    /// Returns the address at which a router listens, if known.
    std::function<std::optional<endpoint>(const vm_id&)> locate;
    /// Called when a link is up; \p dialledTo has port 0 if the peer opened it.
    std::function<void(const member_ref& peer, const endpoint& dialledTo)> opened;
    std::function<void(const member_ref& peer, const message& received)> received;
    /// Called when the last open link to a router is down. May be empty.
    std::function<void(const vm_id& peer)> closed;
};

/// Maintains the links that its owner asks for, passes received messages to the
/// owner and sends its messages. A link to any other router, such as the owner
/// of a shard in a large fleet, is opened on first use.
/// Not thread-safe; call on the loop's thread.
class peer_mesh {
public:
    /// The references outlive the mesh.
    peer_mesh(event_loop& loop, logger& log, peer_link_settings settings, peer_mesh_owner owner, std::uint64_t seed);
    ~peer_mesh();
    peer_mesh(const peer_mesh&) = delete;
    peer_mesh& operator=(const peer_mesh&) = delete;

    /// Sets the key of the fleet. Precondition: called before `listen`.
    void setFleetKey(std::string key) { m_settings.fleetKey = std::move(key); }

    /// Starts to accept links at \p location, which other routers reach at
    /// \p advertised. Errors: as for `peer_listener::listen`.
    result<void> listen(const endpoint& location, const endpoint& advertised);

    /// Opens the links to the owner's targets, and closes dialled links that are
    /// no longer targets and have not been used for a while.
    void refreshTargets();

    /// Sends a message. Without an open link the message is dropped, and a link
    /// is dialled if the location of \p to is known.
    void send(const vm_id& to, const message& content);

    /// Returns the routers to which a link is open.
    std::set<vm_id> openPeers() const;

    /// Closes all links and opens them again under a new incarnation.
    void perform(const change_incarnation& changed);

    const peer_link_counters& counters() const { return m_counters; }

private:
    struct dialled_link {
        peer_target target;
        std::unique_ptr<peer_link> link;
        time_point usedAt;
    };

    peer_link_handlers handlers(const endpoint& dialledTo);
    void onOpened(peer_link& link, const endpoint& dialledTo);
    void onReceived(peer_link& link, const message& received);
    void onClosed(peer_link& link, const error& reason);
    void dial(const peer_target& target);
    peer_link* openLinkTo(const vm_id& vm);
    void restart();

    event_loop& m_loop;
    logger& m_log;
    peer_link_settings m_settings;
    peer_mesh_owner m_owner;
    std::uint64_t m_seed;
    peer_link_counters m_counters;
    endpoint m_location;
    endpoint m_advertised; ///< Address to which the other routers connect.
    std::unique_ptr<peer_listener> m_listener;
    std::map<endpoint, dialled_link> m_dialled;
    std::multimap<vm_id, peer_link*> m_open; ///< Open links by peer, accepted ones included.
    deferred_call m_restart;
};

}
