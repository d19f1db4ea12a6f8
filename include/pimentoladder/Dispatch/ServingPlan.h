/// \file
/// Configuration of routes, keys and pools, and the registered servers, as published by
/// operators and backend servers.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Config/Document.h"

namespace pimentoladder {

/// Whether a request that may already have run can be sent again.
enum class repeat_policy {
    atMostOnce, ///< Never sent again once its first byte has been sent.
    idempotent, ///< May be run several times.
    resumable, ///< A stream that another server may continue after the last complete event.
};

/// A pool and its share of a route's requests.
struct weighted_pool {
    pool_id pool;
    std::uint32_t weight = 1;

    bool operator==(const weighted_pool&) const = default;
};

/// Sends the requests of one host and path prefix to pools.
struct route {
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    repeat_policy repeat = repeat_policy::atMostOnce;
    bool isStream = false;
    bool isAnonymous = false; ///< Served without a key.
    std::vector<weighted_pool> pools;
    std::uint32_t maxAttempts = 1; ///< Maximum number of attempts that may run for one request.
    std::uint32_t priority = 0; ///< 0 is the highest.
    duration timeout {}; ///< Maximum duration of a request.
    duration objective {}; ///< Target time to the response, or to the first event of a stream.
    duration pauseLimit {}; ///< Target for the longest pause between two events of a stream.

    bool operator==(const route&) const = default;
};

/// Properties shared by the servers of one pool.
struct pool_profile {
    pool_kind kind = pool_kind::service;
    duration coldStart {}; ///< How long a server stays cold after its start.
    double coldRequestsPerSecond = 0; ///< Request rate that one cold server can take from all routers together; 0: no limit.

    bool operator==(const pool_profile&) const = default;
};

/// A workspace's credentials.
struct workspace_keys {
    workspace_id workspace;
    std::vector<std::string> keyDigests; ///< Lower-case hexadecimal SHA-256 of each key.
    std::optional<std::uint32_t> priority; ///< Overrides the route's priority.

    bool operator==(const workspace_keys&) const = default;
};

/// A complete version of the operators' configuration.
struct serving_plan {
    revision version;
    std::vector<route> routes;
    std::map<pool_id, pool_profile> pools;
    std::optional<std::vector<workspace_keys>> workspaces; ///< Absent: no request needs a key. Empty: no key is valid.
    std::size_t unreadableKeys = 0; ///< Keys, and workspaces without readable keys, that were left out of `workspaces`.
    double tokensPerSecond = 0; ///< Throughput of all engines together; 0: not configured.
    std::uint64_t maxHeadBytes = 0; ///< Of a caller's request; 0: not configured.
    std::uint64_t maxBodyBytes = 0; ///< Of a caller's request; 0: not configured.
    duration headTimeout {}; ///< For a caller to send a request head; zero: not configured.
    duration idleTimeout {}; ///< For a caller's idle connection; zero: not configured.
};

/// Registration of a backend server.
struct registered_server {
    server_id id;
    pool_id pool;
    endpoint location;
    data_centre_id dataCentre;
    std::uint32_t slots = 1; ///< Maximum number of concurrent requests.
    bool isLeaving = false;
    duration remainingColdTime {}; ///< How much longer it stays cold, as of its last heartbeat.
    incarnation start; ///< Identifies the start of its process.
    std::string softwareVersion; ///< Compared for equality only; empty if the registration names none.
    std::uint64_t sequence = 0; ///< Counts the writes of its registration since the start.

    bool operator==(const registered_server&) const = default;
};

/// Finds the route of a request.
/// Not thread-safe; call on the loop's thread.
class route_table {
public:
    route_table() = default;
    explicit route_table(const std::vector<route>& routes);

    /// Returns the route of \p host whose prefix is the longest match for \p path, or null.
    /// \p path has no query. The route lives as long as the table.
    const route* find(std::string_view host, std::string_view path) const;

private:
    std::map<std::string, std::map<std::string, route, std::less<>>, std::less<>> m_byHost;
};

}
