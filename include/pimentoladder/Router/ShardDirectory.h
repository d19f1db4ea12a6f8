/// \file
/// The shards of the current document, with the view of each that admission
/// uses.

#pragma once

#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "pimentoladder/Admission/ShardView.h"
#include "pimentoladder/Config/Access.h"
#include "pimentoladder/Config/Shards.h"

namespace pimentoladder {

/// Holds access rules, shards and owners for one document and one set of suspended
/// members. Not thread-safe; call on the loop's thread.
class shard_directory {
public:
    shard_directory();

    /// Rebuilds the access index and the shards from a copy of \p source.
    void rebuild(const document& source, const std::set<member_ref>& suspended);

    const access_index& access() const { return *m_access; }
    const shard_map& shards() const { return m_shards; }

    /// Returns the shards of \p pool that hold a server which is in service and
    /// which \p workspaceId may reach.
    std::vector<const shard*> shardsFor(const workspace_id& workspaceId, const pool_id& pool) const;

    /// Returns the server, or null if the document has none with this id.
    const backend_server* findServer(const server_id& id) const;

private:
    std::unique_ptr<access_index> m_access;
    shard_map m_shards;
};

/// View of one shard for admission. Reads the directory's current state on each
/// call. Not thread-safe; call on the loop's thread.
class directory_shard_view : public shard_view {
public:
    /// \p directory outlives the view.
    directory_shard_view(shard_id id, const shard_directory& directory);

    std::vector<shard_server> servers() const override;
    bool mayUse(const workspace_id& workspaceId, const server_id& server) const override;
    double weight(const workspace_id& workspaceId) const override;

private:
    shard_id m_id;
    const shard_directory& m_directory;
};

}
