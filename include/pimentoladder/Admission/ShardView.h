/// \file
/// Part of the configuration document that admission reads.

#pragma once

#include <cstdint>
#include <vector>

#include "pimentoladder/Admission/ServerMask.h"
#include "pimentoladder/Base/Ids.h"

namespace pimentoladder {

/// A backend server as its shard sees it.
struct shard_server {
    server_id id;
    data_centre_id dataCentre;
    std::uint32_t floor = 1;
    std::uint32_t ceiling = 8;
    bool isInService = true; ///< False while its data centre is out of service or the server is leaving.
};

/// Read access to the part of the document that concerns one shard.
/// Not thread-safe; call on the loop's thread.
class shard_view {
public:
    virtual ~shard_view() = default;

    /// Returns the servers of the shard, at most `maxShardServers`, in a fixed order.
    virtual std::vector<shard_server> servers() const = 0;

    /// Returns whether the access rules allow \p workspace to use \p server.
    virtual bool mayUse(const workspace_id& workspace, const server_id& server) const = 0;

    /// Returns the weight of \p workspace; above 0.
    virtual double weight(const workspace_id& workspace) const = 0;
};

}
