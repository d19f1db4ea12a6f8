#include "pimentoladder/Admission/PrefixAffinity.h"

namespace pimentoladder {

void prefix_affinity::recordServer(std::uint64_t prefix, const server_id& server)
{
    if (prefix == 0)
        return;
    if (!m_servers.contains(prefix))
        m_insertionOrder.push_back(prefix);
    m_servers[prefix] = server;
    if (m_insertionOrder.size() <= m_capacity)
        return;
    m_servers.erase(m_insertionOrder.front());
    m_insertionOrder.pop_front();
}

bool prefix_affinity::wasLastServedBy(std::uint64_t prefix, const server_id& server) const
{
    const auto found = m_servers.find(prefix);
    return prefix != 0 && found != m_servers.end() && found->second == server;
}

}
