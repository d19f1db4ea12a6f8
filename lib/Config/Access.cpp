#include "pimentoladder/Config/Access.h"

#include <algorithm>
#include <cassert>

#include "LabelIndex.h"

namespace pimentoladder {

namespace {

    bool isPrefixOfPath(std::string_view prefix, std::string_view path)
    {
        return path.starts_with(prefix) && (path.size() == prefix.size() || path[prefix.size()] == '/');
    }

    template <typename Map>
    label_index makeLabelIndex(const Map& objects)
    {
        std::vector<const label_map*> labels;
        labels.reserve(objects.size());
        for (const auto& [id, object] : objects)
            labels.push_back(&object.labels);
        return label_index(labels);
    }

}

std::string_view normalisedPathPrefix(std::string_view prefix)
{
    while (prefix.ends_with('/'))
        prefix.remove_suffix(1);
    return prefix;
}

access_index::access_index(std::shared_ptr<const document> source)
    : m_source(std::move(source))
{
    assert(m_source && "an index needs a document");
    for (const auto& [id, entry] : m_source->pools)
        m_poolsByPrefix.push_back(&entry);
    std::stable_sort(m_poolsByPrefix.begin(), m_poolsByPrefix.end(), [](const pool* a, const pool* b) {
        return normalisedPathPrefix(a->pathPrefix).size() > normalisedPathPrefix(b->pathPrefix).size();
    });
    for (const auto& [id, entry] : m_source->workspaces) {
        m_workspaceRows.emplace(id.value(), m_workspaceRows.size());
        if (!entry.keyDigest.empty())
            m_workspacesByDigest.emplace(entry.keyDigest, &entry);
    }
    indexDataCentres();
    indexServers();
    indexAccess();
}

void access_index::indexDataCentres()
{
    for (const auto& [id, dataCentre] : m_source->dataCentres) {
        const bool isOut = std::any_of(m_source->serviceRules.begin(), m_source->serviceRules.end(),
            [&dataCentre = dataCentre](const auto& rule) { return rule.second.dataCentresOut.matches(dataCentre.labels); });
        m_dataCentresInService.emplace(id.value(), !isOut);
    }
}

void access_index::indexServers()
{
    for (const auto& [id, server] : m_source->servers)
        m_servers.push_back(&server);
    std::stable_sort(m_servers.begin(), m_servers.end(),
        [](const backend_server* a, const backend_server* b) { return a->pool < b->pool; });
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        const backend_server& server = *m_servers[i];
        m_serverIndexes.emplace(server.id.value(), i);
        m_serversInService.push_back(!server.isLeaving && isInService(server.dataCentre));
        auto& range = m_poolRanges.try_emplace(server.pool.value(), server_range { i, i }).first->second;
        range.last = i + 1;
    }
}

void access_index::indexAccess()
{
    std::vector<const label_map*> serverLabels;
    serverLabels.reserve(m_servers.size());
    for (const auto* server : m_servers)
        serverLabels.push_back(&server->labels);
    const label_index servers(serverLabels);
    const label_index workspaces = makeLabelIndex(m_source->workspaces);

    m_wordsPerRow = (m_servers.size() + 63) / 64;
    m_accessBits.assign(m_wordsPerRow * m_source->workspaces.size(), 0);
    for (const auto& [id, rule] : m_source->accessRules) {
        const dynamic_bitset reached = servers.matching(rule.servers);
        workspaces.matching(rule.workspaces).forEach([&](std::size_t row) {
            std::uint64_t* words = m_accessBits.data() + row * m_wordsPerRow;
            for (const std::uint64_t word : reached.words())
                *words++ |= word;
        });
    }
}

const pool* access_index::poolForPath(std::string_view path) const
{
    for (const auto* candidate : m_poolsByPrefix) {
        if (isPrefixOfPath(normalisedPathPrefix(candidate->pathPrefix), path))
            return candidate;
    }
    return nullptr;
}

const workspace* access_index::workspaceByKeyDigest(std::string_view digest) const
{
    const auto found = m_workspacesByDigest.find(digest);
    return found == m_workspacesByDigest.end() ? nullptr : found->second;
}

bool access_index::isInService(const data_centre_id& id) const
{
    const auto found = m_dataCentresInService.find(id.value());
    return found != m_dataCentresInService.end() && found->second;
}

bool access_index::isInService(const server_id& id) const
{
    const auto found = m_serverIndexes.find(id.value());
    return found != m_serverIndexes.end() && m_serversInService[found->second];
}

bool access_index::mayReach(const workspace_id& workspace, const server_id& server) const
{
    const auto row = rowOf(workspace);
    const auto found = m_serverIndexes.find(server.value());
    return row && found != m_serverIndexes.end() && isSet(*row, found->second);
}

bool access_index::hasReachableServer(const workspace_id& workspace, const pool_id& pool) const
{
    const auto row = rowOf(workspace);
    const auto range = rangeOf(pool);
    for (std::size_t i = range.first; row && i < range.last; ++i) {
        if (m_serversInService[i] && isSet(*row, i))
            return true;
    }
    return false;
}

std::optional<std::size_t> access_index::rowOf(const workspace_id& workspace) const
{
    const auto found = m_workspaceRows.find(workspace.value());
    if (found == m_workspaceRows.end())
        return std::nullopt;
    return found->second;
}

access_index::server_range access_index::rangeOf(const pool_id& pool) const
{
    const auto found = m_poolRanges.find(pool.value());
    return found == m_poolRanges.end() ? server_range {} : found->second;
}

bool access_index::isSet(std::size_t row, std::size_t server) const
{
    return m_accessBits[row * m_wordsPerRow + server / 64] >> (server % 64) & 1;
}

}
