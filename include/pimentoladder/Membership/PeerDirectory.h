/// \file
/// The known routers, their addresses, and which of them exchange heartbeats.

#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Config/Document.h"
#include "pimentoladder/Freshness/VmList.h"

namespace pimentoladder {

/// Limits of `heartbeatNeighbours`.
struct neighbour_settings {
    std::size_t fullMeshLimit = 16; ///< Maximum number of members for a full mesh of heartbeats.
    std::size_t ringNeighbours = 8; ///< In larger fleets: neighbours in the ring of VM names, half on each side.
};

/// Returns the members with which \p self exchanges heartbeats: every other member
/// up to the full mesh limit, above it the witnesses and the ring neighbours. A
/// witness exchanges heartbeats with every member. Thread-safe.
std::set<vm_id> heartbeatNeighbours(const vm_id& self, const std::set<vm_id>& members, const witness_roster& roster,
    const neighbour_settings& settings = {});

/// A router to which a link is kept open.
struct peer_target {
    vm_id vm; ///< Empty for a seed whose VM is not known yet.
    endpoint location;

    auto operator<=>(const peer_target&) const = default;
};

/// Combines the seeds of the settings, the members of the document and the
/// platform's list of VMs. Not thread-safe; call on the loop's thread.
class peer_directory {
public:
    peer_directory(vm_id self, endpoint ownLocation, std::vector<endpoint> seeds, neighbour_settings settings = {});

    /// Records the members and the roster.
    void documentApplied(const document& applied);

    /// Records the platform's list of VMs. A VM that is no longer listed stops being
    /// a target; one that was never listed may be new and stays a target.
    void vmListReceived(const vm_list& list);

    /// Records which VM identified itself at \p location in a handshake.
    void peerIdentified(const endpoint& location, const vm_id& vm);

    /// Returns the members with which heartbeats are exchanged.
    const std::set<vm_id>& neighbours() const { return m_neighbours; }

    /// Returns the routers to keep links to: the neighbours, and the seeds at whose
    /// address no member is known.
    std::vector<peer_target> targets() const;

    /// Returns the address of \p vm, for links opened on demand.
    std::optional<endpoint> locate(const vm_id& vm) const;

private:
    void refreshNeighbours();
    bool isKnownMember(const endpoint& location) const;

    vm_id m_self;
    endpoint m_ownLocation;
    std::vector<endpoint> m_seeds;
    neighbour_settings m_settings;
    std::map<vm_id, endpoint> m_members;
    std::map<endpoint, vm_id> m_identified;
    witness_roster m_roster;
    std::set<vm_id> m_everListed;
    std::set<vm_id> m_removedVms;
    std::set<vm_id> m_neighbours;
};

}
