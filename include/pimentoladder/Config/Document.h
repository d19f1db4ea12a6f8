/// \file
/// The configuration document: all rows that operators and members write to the
/// table, as of one revision. Every router holds a replica.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Config/Selector.h"

namespace pimentoladder {

/// A numeric network address and a port.
struct endpoint {
    std::string address; ///< IPv4 or IPv6 in numeric form.
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// A customer that shares the backend servers with others.
struct workspace {
    workspace_id id;
    label_map labels;
    double weight = 1; ///< Share of capacity relative to other workspaces; above 0.
    std::string keyDigest; ///< Lower-case hexadecimal SHA-256 of the workspace's key.
    std::uint32_t queueLimit = 1000; ///< Most requests that may wait on one router.
    std::uint32_t connectionLimit = 1000; ///< Most requests in progress on one router, including waiting ones.

    bool operator==(const workspace&) const = default;
};

/// The kind of service that the servers of a pool run.
enum class pool_kind {
    model, ///< An inference engine: streams, tokens, resume and cancel.
    service, ///< A plain HTTP service.
};

/// A group of backend servers that serve the same paths.
struct pool {
    pool_id id;
    label_map labels;
    pool_kind kind = pool_kind::service;
    std::string pathPrefix; ///< Requests with the longest matching prefix go to this pool.
    cost_units defaultCost = 1; ///< Estimated cost of requests without a cost hint.

    bool operator==(const pool&) const = default;
};

/// A process that serves requests of one pool.
struct backend_server {
    server_id id;
    pool_id pool;
    data_centre_id dataCentre;
    vm_id vm; ///< The VM it runs on; empty if the platform's VM list does not cover it.
    label_map labels;
    endpoint location;
    std::uint32_t floor = 1; ///< Concurrency limit of a cold server, where slow start begins.
    std::uint32_t ceiling = 8; ///< Concurrency limit of a warm server.
    bool isLeaving = false; ///< Set by operators; a leaving server receives no new requests.
    bool isFenced = false; ///< Whether its engine rejects orders with a stale fencing token.

    bool operator==(const backend_server&) const = default;
};

/// A failure domain (zone) that holds backend servers and routers.
struct data_centre {
    data_centre_id id;
    label_map labels;

    bool operator==(const data_centre&) const = default;
};

/// Lets the selected workspaces reach the selected backend servers. Access is
/// denied by default: without a matching rule a workspace reaches no server.
struct access_rule {
    rule_id id;
    selector workspaces;
    selector servers;

    bool operator==(const access_rule&) const = default;
};

/// Takes the selected data centres out of service.
struct service_rule {
    rule_id id;
    selector dataCentresOut;

    bool operator==(const service_rule&) const = default;
};

/// A router that may own shards. Each start of the router process is a new
/// incarnation.
struct member {
    vm_id vm;
    incarnation start;
    data_centre_id dataCentre;
    endpoint peerLocation; ///< Where other routers connect to it.

    bool operator==(const member&) const = default;
};

/// Identifies one incarnation of one router.
struct member_ref {
    vm_id vm;
    incarnation start;

    auto operator<=>(const member_ref&) const = default;
};

/// The members whose acknowledgements make a change accepted. While the roster
/// is being replaced, `previous` holds the outgoing witnesses.
struct witness_roster {
    std::vector<member_ref> witnesses;
    std::vector<member_ref> previous;

    bool operator==(const witness_roster&) const = default;
};

/// The document at one revision. Maps are ordered, so that every router
/// iterates over them in the same order.
struct document {
    revision at;
    std::map<workspace_id, workspace> workspaces;
    std::map<pool_id, pool> pools;
    std::map<server_id, backend_server> servers;
    std::map<data_centre_id, data_centre> dataCentres;
    std::map<rule_id, access_rule> accessRules;
    std::map<rule_id, service_rule> serviceRules;
    std::map<vm_id, member> members;
    witness_roster roster;
    /// Revision of the transaction that wrote each row, by key. A row without
    /// an entry counts as written at `at`.
    std::map<std::string, revision, std::less<>> rowRevisions;

    /// Compares the contents and the revision, not the revisions of the rows.
    bool operator==(const document& other) const;
};

}
