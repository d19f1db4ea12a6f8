/// \file
/// The configuration document: everything that operators and members write to
/// the table and that every router replicates, at one revision.

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

/// A network address given by number.
struct endpoint {
    std::string address; ///< IPv4 or IPv6 in numeric form.
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// A tenant of the shared backend servers.
struct workspace {
    workspace_id id;
    label_map labels;
    double weight = 1; ///< Share of capacity relative to other workspaces; above 0.
    std::string keyDigest; ///< Lower-case hexadecimal SHA-256 of the workspace's key.
    std::uint32_t queueLimit = 1000; ///< Requests that may wait on one router.
    std::uint32_t connectionLimit = 1000; ///< Requests in progress on one router, waiting ones included.

    bool operator==(const workspace&) const = default;
};

/// What kind of service the servers of a pool run.
enum class pool_kind {
    model, ///< A model engine: streams, tokens, resume and cancel.
    service, ///< A plain HTTP service.
};

/// A group of backend servers that serve the same paths.
struct pool {
    pool_id id;
    label_map labels;
    pool_kind kind = pool_kind::service;
    std::string pathPrefix; ///< Requests with the longest matching prefix go to this pool.
    cost_units defaultCost = 1; ///< Hint for requests that carry none.

    bool operator==(const pool&) const = default;
};

/// A process that serves requests of one pool.
struct backend_server {
    server_id id;
    pool_id pool;
    data_centre_id dataCentre;
    vm_id vm; ///< The VM it runs on; empty if the platform's list does not cover it.
    label_map labels;
    endpoint location;
    std::uint32_t floor = 1; ///< Requests in flight that the server bears when cold.
    std::uint32_t ceiling = 8; ///< Requests in flight that the server bears when warm.
    bool isLeaving = false; ///< Set by operators; a leaving server gets no new work.
    bool isFenced = false; ///< Whether its engine refuses orders with an old fencing token.

    bool operator==(const backend_server&) const = default;
};

struct data_centre {
    data_centre_id id;
    label_map labels;

    bool operator==(const data_centre&) const = default;
};

/// Lets the selected workspaces reach the selected backend servers. Without a
/// matching rule a workspace reaches no server.
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

/// A router that may own shards. Each start of a router is a new incarnation.
struct member {
    vm_id vm;
    incarnation start;
    data_centre_id dataCentre;
    endpoint peerLocation; ///< Where other routers connect to it.

    bool operator==(const member&) const = default;
};

/// One start of one router.
struct member_ref {
    vm_id vm;
    incarnation start;

    auto operator<=>(const member_ref&) const = default;
};

/// The members whose acknowledgements make a change accepted. During a change
/// of the roster `previous` holds the witnesses that it replaces.
struct witness_roster {
    std::vector<member_ref> witnesses;
    std::vector<member_ref> previous;

    bool operator==(const witness_roster&) const = default;
};

/// The document at one revision. Maps are ordered, so that every router
/// iterates alike.
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
