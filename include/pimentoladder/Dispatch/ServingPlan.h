/// \file
/// What operators and backend servers have published, as the dispatcher uses
/// it: routes, keys, pools and registered servers.

#pragma once

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

/// What may be done with a request that may already have run.
enum class repeat_policy {
    atMostOnce, ///< Never sent again after its first byte.
    idempotent, ///< May run several times.
    resumable, ///< A stream that another server may continue after the last whole event.
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
    std::uint32_t maxAttempts = 1; ///< Servers that may run one request.
    std::uint32_t priority = 0; ///< 0 ranks highest.
    duration timeout {}; ///< Longest time that a caller is kept waiting.
    duration objective {}; ///< Time to the answer, or to a stream's first event, for full value.
    duration pauseLimit {}; ///< Longest pause between two events of a stream.

    bool operator==(const route&) const = default;
};

/// Properties shared by the servers of one pool.
struct pool_profile {
    pool_kind kind = pool_kind::service;
    duration coldStart {}; ///< How long a server stays cold after its start.
    double coldRequestsPerSecond = 0; ///< That one cold server bears from all routers; 0: no limit.

    bool operator==(const pool_profile&) const = default;
};

/// A workspace's credentials.
struct workspace_keys {
    workspace_id workspace;
    std::vector<std::string> keyDigests; ///< Lower-case hexadecimal SHA-256 of each key.
    std::optional<std::uint32_t> priority; ///< Takes precedence over the route's.

    bool operator==(const workspace_keys&) const = default;
};

/// One version of the operators' configuration, complete.
struct serving_plan {
    revision version;
    std::vector<route> routes;
    std::map<pool_id, pool_profile> pools;
    std::vector<workspace_keys> workspaces; ///< Empty: no request needs a key.
    double tokensPerSecond = 0; ///< That all engines produce together; 0: not stated.
    std::uint64_t maxHeadBytes = 0; ///< Of a caller's request; 0: not stated.
    std::uint64_t maxBodyBytes = 0; ///< Of a caller's request; 0: not stated.
    duration headTimeout {}; ///< For a caller to send a head; zero: not stated.
    duration idleTimeout {}; ///< For a caller's unused connection; zero: not stated.
};

/// A backend server as it has registered itself.
struct registered_server {
    server_id id;
    pool_id pool;
    endpoint location;
    data_centre_id dataCentre;
    std::uint32_t slots = 1; ///< Requests that it runs at once.
    bool isLeaving = false;
    duration coldLeft {}; ///< How long it stays cold, counted from its last report.
    incarnation start; ///< Differs for each start of its process.

    bool operator==(const registered_server&) const = default;
};

/// Finds the route of a request.
/// Not thread-safe; call on the loop's thread.
class route_table {
public:
    route_table() = default;
    explicit route_table(const std::vector<route>& routes);

    /// Returns the route of \p host with the longest prefix of \p path, or
    /// null. \p path holds no query. The route lives as long as the table.
    const route* find(std::string_view host, std::string_view path) const;

private:
    std::map<std::string, std::map<std::string, route, std::less<>>, std::less<>> m_byHost;
};

}
