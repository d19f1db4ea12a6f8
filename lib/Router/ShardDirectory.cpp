#include "pimentoladder/Router/ShardDirectory.h"

#include <algorithm>

namespace pimentoladder {

shard_directory::shard_directory()
    : m_access(std::make_unique<access_index>(std::make_shared<const document>()))
{
}

void shard_directory::rebuild(const document& source, const std::set<member_ref>& suspended)
{
    m_access = std::make_unique<access_index>(std::make_shared<const document>(source));
    m_shards = shard_map(m_access->source(), suspended);
}

std::vector<const shard*> shard_directory::shardsFor(const workspace_id& workspaceId, const pool_id& pool) const
{
    std::vector<const shard*> found;
    m_access->forEachReachableServer(workspaceId, pool, [&](const backend_server& server) {
        const shard* shardOfServer = m_shards.shardOf(server.id);
        if (shardOfServer && std::find(found.begin(), found.end(), shardOfServer) == found.end())
            found.push_back(shardOfServer);
    });
    return found;
}

const backend_server* shard_directory::findServer(const server_id& id) const
{
    const auto& servers = m_access->source().servers;
    const auto found = servers.find(id);
    return found == servers.end() ? nullptr : &found->second;
}

directory_shard_view::directory_shard_view(shard_id id, const shard_directory& directory)
    : m_id(std::move(id))
    , m_directory(directory)
{
}

std::vector<shard_server> directory_shard_view::servers() const
{
    std::vector<shard_server> listed;
    const shard* listedShard = m_directory.shards().find(m_id);
    if (!listedShard)
        return listed;
    for (const server_id& id : listedShard->servers) {
        if (const backend_server* server = m_directory.findServer(id))
            listed.push_back({ id, server->dataCentre, server->floor, server->ceiling, m_directory.access().isInService(id) });
    }
    return listed;
}

bool directory_shard_view::mayUse(const workspace_id& workspaceId, const server_id& server) const
{
    return m_directory.access().mayReach(workspaceId, server);
}

double directory_shard_view::weight(const workspace_id& workspaceId) const
{
    const auto& workspaces = m_directory.access().source().workspaces;
    const auto found = workspaces.find(workspaceId);
    return found == workspaces.end() ? 1 : found->second.weight;
}

}
