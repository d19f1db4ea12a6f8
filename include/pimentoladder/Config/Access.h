/// \file
/// Precomputed index over one document, so that the request path evaluates no
/// selectors.

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
/// Built once for each document; selectors are evaluated only then. Lookups do
/// not allocate. Objects returned by pointer live as long as the index.
/// Not thread-safe; call on the loop's thread.
class access_index {
public:
    /// Precondition: \p source is not null and does not change while the index
    /// exists.
    explicit access_index(std::shared_ptr<const document> source);

    const document& source() const { return *m_source; }

    /// Returns the pool with the longest prefix that matches \p path, or null. A prefix
    /// matches whole segments: `/index` matches `/index` and `/index/now`, but
    /// not `/indexes`. \p path must not contain a query.
    const pool* poolForPath(std::string_view path) const;

    /// Returns the workspace whose key has this digest (lower-case hexadecimal
    /// SHA-256), or null.
    const workspace* workspaceByKeyDigest(std::string_view digest) const;

    /// Returns whether the data centre exists and no service rule selects it.
    bool isInService(const data_centre_id& id) const;

    /// Returns whether the server may receive new requests: it exists, is not
    /// leaving, and its data centre is in service.
    bool isInService(const server_id& id) const;

    /// Returns whether an access rule lets the workspace reach the server,
    /// whether or not the server is in service.
    bool mayReach(const workspace_id& workspace, const server_id& server) const;

    /// Returns whether the workspace may reach at least one server of the pool
    /// that is in service.
    bool hasReachableServer(const workspace_id& workspace, const pool_id& pool) const;

    /// Calls \p visitor with every server of the pool that the workspace may reach
    /// and that is in service, in order of id. A visitor with a second parameter
    /// also gets the server's index in `servers()`.
    template <typename Visitor>
    void forEachReachableServer(const workspace_id& workspace, const pool_id& pool, Visitor visitor) const
    {
        const auto row = rowOf(workspace);
        const auto range = rangeOf(pool);
        for (std::size_t i = range.first; row && i < range.last; ++i) {
            if (!m_serversInService[i] || !isSet(*row, i))
                continue;
            if constexpr (std::is_invocable_v<Visitor, const backend_server&, std::size_t>)
                visitor(*m_servers[i], i);
            else
                visitor(*m_servers[i]);
        }
    }

    /// Returns all servers of the document, by pool and then by id.
    const std::vector<const backend_server*>& servers() const { return m_servers; }

private:
    // The half-open range of one pool's servers in m_servers.
    struct server_range {
        std::size_t first = 0;
        std::size_t last = 0;
    };

    void indexServers();
    void indexDataCentres();
    void indexAccess();
    std::optional<std::size_t> rowOf(const workspace_id& workspace) const;
    server_range rangeOf(const pool_id& pool) const;
    bool isSet(std::size_t row, std::size_t server) const;

    std::shared_ptr<const document> m_source;
    std::vector<const pool*> m_poolsByPrefix; // Longest prefix first.
    std::vector<const backend_server*> m_servers; // By pool, then by id.
    std::vector<bool> m_serversInService;
    std::unordered_map<std::string_view, std::size_t> m_serverIndexes;
    std::unordered_map<std::string_view, std::size_t> m_workspaceRows;
    std::unordered_map<std::string_view, server_range> m_poolRanges;
    std::unordered_map<std::string_view, bool> m_dataCentresInService;
    std::unordered_map<std::string_view, const workspace*> m_workspacesByDigest;
    std::size_t m_wordsPerRow = 0;
    std::vector<std::uint64_t> m_accessBits; // Bit matrix: a row for each workspace, a column for each server.
};

/// Returns \p prefix without trailing slashes, the form in which prefixes are
/// compared. /// Thread-safe.
std::string_view normalisedPathPrefix(std::string_view prefix);

}
