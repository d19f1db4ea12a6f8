#include "pimentoladder/Membership/PeerDirectory.h"

#include <algorithm>
#include <utility>

#include "pimentoladder/Freshness/Quorum.h"

namespace pimentoladder {

std::set<vm_id> heartbeatNeighbours(const vm_id& self, const std::set<vm_id>& members, const witness_roster& roster,
    const neighbour_settings& settings)
{
    std::set<vm_id> witnesses;
    for (const std::vector<member_ref>& set : witnessSets(roster)) {
        for (const member_ref& witness : set) {
            if (members.contains(witness.vm))
                witnesses.insert(witness.vm);
        }
    }
    std::set<vm_id> neighbours;
    if (members.size() <= settings.fullMeshLimit || witnesses.contains(self)) {
        neighbours = members;
        neighbours.erase(self);
        return neighbours;
    }

    neighbours = std::move(witnesses);
    const std::vector<vm_id> ring(members.begin(), members.end());
    const auto after = std::upper_bound(ring.begin(), ring.end(), self);
    const auto before = std::lower_bound(ring.begin(), ring.end(), self);
    const std::size_t next = static_cast<std::size_t>(after - ring.begin());
    const std::size_t previous = static_cast<std::size_t>(before - ring.begin()) + ring.size() - 1;
    for (std::size_t step = 0; step < settings.ringNeighbours / 2; ++step) {
        neighbours.insert(ring[(next + step) % ring.size()]);
        neighbours.insert(ring[(previous - step) % ring.size()]);
    }
    neighbours.erase(self);
    return neighbours;
}

peer_directory::peer_directory(
    vm_id self, endpoint ownLocation, std::vector<endpoint> seeds, neighbour_settings settings)
    : m_self(std::move(self))
    , m_ownLocation(std::move(ownLocation))
    , m_seeds(std::move(seeds))
    , m_settings(settings)
{
}

void peer_directory::documentApplied(const document& applied)
{
    m_members.clear();
    for (const auto& [vm, listed] : applied.members)
        m_members.emplace(vm, listed.peerLocation);
    m_roster = applied.roster;
    refreshNeighbours();
}

void peer_directory::vmListReceived(const vm_list& list)
{
    m_everListed.insert(list.live.begin(), list.live.end());
    m_everListed.insert(list.leaving.begin(), list.leaving.end());
    m_removedVms.clear();
    for (const vm_id& vm : m_everListed) {
        if (!list.contains(vm))
            m_removedVms.insert(vm);
    }
    // Forget VMs that are neither listed nor members.
    std::erase_if(m_everListed, [this, &list](const vm_id& vm) { return !list.contains(vm) && !m_members.contains(vm); });
    refreshNeighbours();
}

void peer_directory::peerIdentified(const endpoint& location, const vm_id& vm)
{
    m_identified[location] = vm;
}

std::vector<peer_target> peer_directory::targets() const
{
    std::vector<peer_target> targets;
    for (const vm_id& vm : m_neighbours)
        targets.push_back({ vm, m_members.at(vm) });
    for (const endpoint& seed : m_seeds) {
        if (!isKnownMember(seed))
            targets.push_back({ vm_id {}, seed });
    }
    return targets;
}

std::optional<endpoint> peer_directory::locate(const vm_id& vm) const
{
    const auto found = m_members.find(vm);
    if (found == m_members.end())
        return std::nullopt;
    return found->second;
}

void peer_directory::refreshNeighbours()
{
    std::set<vm_id> members;
    for (const auto& [vm, location] : m_members)
        members.insert(vm);
    m_neighbours = heartbeatNeighbours(m_self, members, m_roster, m_settings);
    std::erase_if(m_neighbours, [this](const vm_id& vm) { return m_removedVms.contains(vm); });
}

bool peer_directory::isKnownMember(const endpoint& location) const
{
    if (location == m_ownLocation)
        return true;
    const auto identified = m_identified.find(location);
    if (identified != m_identified.end() && (identified->second == m_self || m_members.contains(identified->second)))
        return true;
    return std::any_of(m_members.begin(), m_members.end(),
        [&location](const auto& entry) { return entry.second == location; });
}

}
