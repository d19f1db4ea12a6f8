/// \file
/// Index over one document that answers the questions of the request path
/// without running selectors.

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <type_traits>
#include <unordered_map>
#include <vector>

#include "pimentoladder/Config/Document.h"

namespace pimentoladder {

/// Which backend servers each workspace may reach, which data centres are in
/// service, and which pool and workspace a request belongs to.
///
/// It is built once for each document; selectors run only then. The lookups do
/// not allocate. Objects returned by pointer live as long as the index.
/// Not thread-safe; call on the loop's thread.
class access_index {
public:
    /// Builds the index. Precondition: \p source is not null and is never
    /// changed while the index exists.
    explicit access_index(std::shared_ptr<const document> source);

    const document& source() const { return *m_source; }

    /// Returns the pool with the longest prefix of \p path, or null. A prefix
    /// matches whole segments: `/index` matches `/index` and `/index/now`, and
    /// not `/indexes`. \p path holds no query.
    const pool* poolForPath(std::string_view path) const;

    /// Returns the workspace whose key has this digest (lower-case hexadecimal
    /// SHA-256), or null.
    const workspace* workspaceByKeyDigest(std::string_view digest) const;

    /// Returns whether the data centre exists and no service rule takes it out
    /// of service.
    bool isInService(const data_centre_id& id) const;

    /// Returns whether the server may get new work: it exists, is not leaving,
    /// and its data centre is in service.
    bool isInService(const server_id& id) const;

    /// Returns whether an access rule lets the workspace reach the server. The
    /// server may be out of service.
    bool mayReach(const workspace_id& tenant, const server_id& server) const;

    /// Returns whether the workspace may reach a server of the pool that is in
    /// service.
    bool hasServer(const workspace_id& tenant, const pool_id& pool) const;

    /// Calls \p use with every server of the pool that the workspace may reach
    /// and that is in service, in order of id; if it takes a second argument, also
    /// with the server's position among all servers of the index.
    template <typename Use>
    void forEachServer(const workspace_id& tenant, const pool_id& pool, Use use) const
    {
        const auto row = rowOf(tenant);
        const auto range = rangeOf(pool);
        for (std::size_t i = range.first; row && i < range.last; ++i) {
            if (!m_serversInService[i] || !isSet(*row, i))
                continue;
            if constexpr (std::is_invocable_v<Use, const backend_server&, std::size_t>)
                use(*m_servers[i], i);
            else
                use(*m_servers[i]);
        }
    }

    /// Returns all servers of the document; the index in the list is a server's position.
    const std::vector<const backend_server*>& servers() const { return m_servers; }

private:
    // Servers of one pool, as positions in m_servers.
    struct server_range {
        std::size_t first = 0;
        std::size_t last = 0;
    };

    void indexServers();
    void indexDataCentres();
    void indexAccess();
    std::optional<std::size_t> rowOf(const workspace_id& tenant) const;
    server_range rangeOf(const pool_id& pool) const;
    bool isSet(std::size_t row, std::size_t server) const;

    std::shared_ptr<const document> m_source;
    std::vector<const pool*> m_poolsByPrefix; // Longest prefix first.
    std::vector<const backend_server*> m_servers; // By pool, then by id.
    std::vector<bool> m_serversInService;
    std::unordered_map<std::string_view, std::size_t> m_serverNumbers;
    std::unordered_map<std::string_view, std::size_t> m_workspaceNumbers;
    std::unordered_map<std::string_view, server_range> m_poolRanges;
    std::unordered_map<std::string_view, bool> m_dataCentresInService;
    std::unordered_map<std::string_view, const workspace*> m_workspacesByDigest;
    std::size_t m_wordsPerRow = 0;
    std::vector<std::uint64_t> m_reach; // One row of bits for each workspace.
};

/// Returns \p prefix without slashes at its end, as prefixes are compared.
/// Thread-safe.
std::string_view normalisedPathPrefix(std::string_view prefix);

}
