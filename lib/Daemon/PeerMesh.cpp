#include "pimentoladder/Daemon/PeerMesh.h"

#include <algorithm>
#include <set>
#include <utility>

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    constexpr duration unusedLinkLifetime = 60s; ///< How long an idle link to a non-target router is kept.

}

peer_mesh::peer_mesh(event_loop& loop, logger& log, peer_link_settings settings, peer_mesh_owner owner, std::uint64_t seed)
    : m_loop(loop)
    , m_log(log)
    , m_settings(std::move(settings))
    , m_owner(std::move(owner))
    , m_seed(seed)
    , m_restart(loop, [this] { restart(); })
{
}

peer_mesh::~peer_mesh() = default;

result<void> peer_mesh::listen(const endpoint& location, const endpoint& advertised)
{
    m_location = location;
    m_advertised = advertised;
    auto listener = peer_listener::listen(m_loop.base(), m_settings, location, handlers({}), m_counters);
    if (!listener)
        return tl::unexpected(listener.error());
    m_listener = std::move(*listener);
    return {};
}

peer_link_handlers peer_mesh::handlers(const endpoint& dialledTo)
{
    peer_link_handlers made;
    made.opened = [this, dialledTo](peer_link& link) { onOpened(link, dialledTo); };
    made.received = [this](peer_link& link, const message& received) { onReceived(link, received); };
    made.closed = [this](peer_link& link, const error& reason) { onClosed(link, reason); };
    return made;
}

void peer_mesh::onOpened(peer_link& link, const endpoint& dialledTo)
{
    const member_ref peer = link.peer();
    m_open.emplace(peer.vm, &link);
    m_log.write(log_level::info, "peer_link_opened", { { "peer", std::string_view(peer.vm.value()) }, { "incarnation", peer.start.value() }, { "dialled", link.isDialled() } });
    m_owner.opened(peer, dialledTo);
}

void peer_mesh::onReceived(peer_link& link, const message& received)
{
    m_owner.received(link.peer(), received);
}

void peer_mesh::onClosed(peer_link& link, const error& reason)
{
    std::erase_if(m_open, [&](const auto& entry) { return entry.second == &link; });
    const vm_id peer = link.peer().vm;
    m_log.write(log_level::info, "peer_link_closed", { { "peer", std::string_view(peer.value()) }, { "reason", std::string_view(reason.message) } });
    if (m_owner.closed && !peer.isEmpty() && !m_open.contains(peer))
        m_owner.closed(peer);
}

void peer_mesh::dial(const peer_target& target)
{
    dialled_link dialled { target, nullptr, m_loop.now() };
    dialled.link = peer_link::dial(m_loop.base(), m_settings, target.location, target.vm, handlers(target.location), m_counters, ++m_seed);
    m_dialled[target.location] = std::move(dialled);
}

void peer_mesh::refreshTargets()
{
    std::set<endpoint> wanted;
    for (const peer_target& target : m_owner.targets()) {
        if (target.location == m_advertised)
            continue;
        wanted.insert(target.location);
        const auto known = m_dialled.find(target.location);
        if (known == m_dialled.end())
            dial(target);
    }
    const time_point now = m_loop.now();
    for (auto it = m_dialled.begin(); it != m_dialled.end();) {
        const bool isKept = wanted.contains(it->first) || now - it->second.usedAt < unusedLinkLifetime;
        if (isKept) {
            ++it;
            continue;
        }
        std::erase_if(m_open, [&](const auto& entry) { return entry.second == it->second.link.get(); });
        it = m_dialled.erase(it);
    }
}

peer_link* peer_mesh::openLinkTo(const vm_id& vm)
{
    const auto [first, last] = m_open.equal_range(vm);
    // The newest link is tried first: an older one may belong to an earlier
    // incarnation whose end has not been detected yet.
    for (auto it = last; it != first;) {
        --it;
        if (it->second->isOpen())
            return it->second;
    }
    return nullptr;
}

void peer_mesh::send(const vm_id& to, const message& content)
{
    if (peer_link* link = openLinkTo(to)) {
        link->send(content);
        return;
    }
    const auto location = m_owner.locate(to);
    if (!location || *location == m_advertised)
        return;
    const auto known = m_dialled.find(*location);
    if (known == m_dialled.end())
        dial({ to, *location });
    else
        known->second.usedAt = m_loop.now();
}

std::set<vm_id> peer_mesh::openPeers() const
{
    std::set<vm_id> peers;
    for (const auto& [vm, link] : m_open) {
        if (link->isOpen())
            peers.insert(vm);
    }
    return peers;
}

void peer_mesh::perform(const change_incarnation& changed)
{
    m_settings.self.start = changed.start;
    m_restart.schedule();
}

void peer_mesh::restart()
{
    // The handshake authenticates the incarnation, so all links are reopened.
    m_open.clear();
    m_dialled.clear();
    m_listener.reset();
    if (const auto listening = listen(m_location, m_advertised); !listening)
        m_log.write(log_level::error, "peer_listen_failed", { { "reason", std::string_view(listening.error().message) } });
    refreshTargets();
}

}
