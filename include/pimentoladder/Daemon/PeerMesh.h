/// \file
/// Links to all other routers.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pimentoladder/Membership/PeerDirectory.h"
#include "pimentoladder/Net/EventLoop.h"
#include "pimentoladder/Net/PeerLink.h"
#include "pimentoladder/Router/Actions.h"
#include "pimentoladder/Telemetry/Log.h"

namespace pimentoladder {

/// What the owner of a mesh decides and is told.
struct peer_mesh_owner {
    /// Returns the routers to keep a link to that this router opens.
    std::function<std::vector<peer_target>()> targets;
    /// Returns where a router listens, if that is known.
    std::function<std::optional<endpoint>(const vm_id&)> locate;
    /// A link is up; \p dialledTo has port 0 if the peer opened it.
    std::function<void(const member_ref& peer, const endpoint& dialledTo)> opened;
    std::function<void(const member_ref& peer, const message& received)> received;
    /// The last open link to a router is down. May be empty.
    std::function<void(const vm_id& peer)> closed;
};

/// Keeps the links that the core wants, passes received messages to the core
/// and sends its messages. A link to a router that the core does not keep one
/// to, such as the owner of a shard at a large fleet, is opened on use.
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

    /// Opens the links that the core wants and closes dialled ones that it does
    /// not want any more.
    void refreshTargets();

    /// Sends a message; without an open link it is lost.
    void send(const vm_id& to, const message& content);

    /// Closes all links and opens them again under a new incarnation.
    void perform(const change_incarnation& changed);

    const link_counters& counters() const { return m_counters; }

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
    link_counters m_counters;
    endpoint m_location;
    endpoint m_advertised; ///< Where the other routers connect to.
    std::unique_ptr<peer_listener> m_listener;
    std::map<endpoint, dialled_link> m_dialled;
    std::multimap<vm_id, peer_link*> m_open; ///< Open links by peer, accepted ones included.
    deferred_call m_restart;
};

}
