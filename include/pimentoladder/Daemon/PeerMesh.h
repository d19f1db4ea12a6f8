/// \file
/// Links to all other routers.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pimentoladder/Daemon/CoreDriver.h"
#include "pimentoladder/Net/PeerLink.h"
#include "pimentoladder/Telemetry/Log.h"

namespace pimentoladder {

/// Keeps the links that the core wants, passes received messages to the core
/// and sends its messages. A link to a router that the core does not keep one
/// to, such as the owner of a shard at a large fleet, is opened on use.
/// Not thread-safe; call on the loop's thread.
class peer_mesh {
public:
    /// The references outlive the mesh.
    peer_mesh(core_driver& driver, logger& log, peer_link_settings settings, std::uint64_t seed);
    ~peer_mesh();
    peer_mesh(const peer_mesh&) = delete;
    peer_mesh& operator=(const peer_mesh&) = delete;

    /// Starts to accept links at \p location, which other routers reach at
    /// \p advertised. Errors: as for `peer_listener::listen`.
    result<void> listen(const endpoint& location, const endpoint& advertised);

    /// Opens the links that the core wants and closes dialled ones that it does
    /// not want any more.
    void refreshTargets();

    /// Sends a message; without an open link it is lost.
    void perform(const send_message& sent);

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

    core_driver& m_driver;
    logger& m_log;
    peer_link_settings m_settings;
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
