/// \file
/// What the core asks its surroundings to do. The core returns these values;
/// it never does them itself.

#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "pimentoladder/Admission/ShardScheduler.h"
#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Config/Rows.h"
#include "pimentoladder/Outcome/IdempotencyClaims.h"
#include "pimentoladder/Outcome/RequestLifecycle.h"
#include "pimentoladder/Placement/OrderBook.h"
#include "pimentoladder/Placement/PlacementPlanner.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// Number of a transaction asked for by the core, for its result.
using transaction_ticket = strong_number<struct transaction_tag>;

/// Send a message to another router; it may be lost.
struct send_message {
    vm_id to;
    message content;
};

/// Read the table's revision of the document.
struct poll_revision {
    time_point sentAt; ///< To be handed back with the answer.
};

/// Read the rows of the document changed since a revision from the table.
struct fetch_rows {
    revision since;
};

/// A row that must still have this revision; zero: that must not exist.
struct document_condition {
    std::string key;
    revision at;
};

/// Write rows of the document in one conditional transaction.
struct commit_rows {
    transaction_ticket ticket;
    std::vector<document_condition> conditions;
    std::vector<row_change> writes;
};

/// This router was removed or suspended while it lived and returns under a new
/// incarnation: all links must be closed and opened again under it.
struct change_incarnation {
    incarnation start;
};

/// The document was applied at a revision.
struct document_in_force {
    revision at;
};

/// The set of suspended members has changed.
struct membership_changed { };

/// Something was received that cannot be used.
struct report_fault {
    error fault;
};

/// Read the load of a backend server.
struct poll_load {
    server_id server;
    endpoint location;
};

/// Open an attempt at a backend server.
struct start_attempt {
    request_number request;
    open_attempt attempt;
    endpoint location;
};

/// Tell an engine to stop a stream.
struct stop_stream {
    endpoint location;
    std::string stream;
};

/// A step of one request that concerns its caller or its attempt.
struct request_step {
    request_number request;
    request_action step;
};

/// A grant was used: the record of one routing decision.
struct route_decision {
    request_number request;
    attempt_number attempt;
    workspace_id workspace;
    pool_id pool;
    server_id server;
    shard_id shard;
    member_ref owner;
    fencing_token token;
    grant_number grant;
    duration waited {};
    revision at;
    std::size_t candidates = 0; ///< Servers in service that the workspace may reach in the pool.
};

/// This router became, or ceased to be, owner of a shard.
struct ownership_decision {
    shard_id shard;
    fencing_token token;
    bool isOwner = false;
    time_point grantsFrom; ///< First grant at the earliest.
};

/// This router, as owner of a shard, issued a grant.
struct grant_issued {
    shard_id shard;
    fencing_token token;
    revision at;
    grant_decision decision;
};

/// The limit of a server was set or changed by this router as the owner of its
/// shard. Comes before the grants given under it.
struct limit_decision {
    server_id server;
    std::uint32_t limit = 0; ///< 0 while the server is ejected.
};

/// Send an order to an engine, if `router_core::mayGiveOrder` holds at the
/// first byte. Its call must end within the grant lifetime (1 s).
struct order_server {
    placement_order order;
    endpoint location;
};

/// Read the models of an engine that has an order in progress.
struct read_models {
    server_id server;
    endpoint location;
};

/// An order was decided: the record of one placement decision.
struct placement_decision {
    shard_id shard;
    placement_order order;
    cost_units demand = 0; ///< Smoothed demand for the model that is to be loaded.
    cost_units capacity = 0; ///< Of the servers that have that model or load it.
    placement_reason reason = placement_reason::notLoaded;
};

using router_action = std::variant<send_message, poll_revision, fetch_rows, commit_rows, change_incarnation,
    document_in_force, membership_changed, report_fault, poll_load, start_attempt, stop_stream, request_step,
    write_claims, read_claims, store_body, route_decision, ownership_decision, grant_issued, limit_decision,
    order_server, read_models, placement_decision>;
using router_actions = std::vector<router_action>;

}
