/// \file
/// Actions that the router core returns to its caller. The core does no input or
/// output itself; the caller carries the actions out.

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
#include "pimentoladder/Placement/OrderTracker.h"
#include "pimentoladder/Placement/PlacementPlanner.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// Identifies a transaction that the core requested, to match its result.
using transaction_number = strong_number<struct transaction_tag>;

/// Send a message to another router. Delivery is not guaranteed.
struct send_message {
    vm_id to;
    message content;
};

/// Read the table's revision of the document.
struct poll_revision {
    time_point sentAt; ///< Passed back to the core with the response.
};

/// Read from the table the rows of the document that changed since a revision.
struct fetch_rows {
    revision since;
};

/// Precondition of a transaction: the row has revision `at`, or does not exist
/// if `at` is zero.
struct document_condition {
    std::string key;
    revision at;
};

/// Write rows of the document in one conditional transaction.
struct commit_rows {
    transaction_number transactionNumber;
    std::vector<document_condition> conditions;
    std::vector<row_change> writes;
};

/// This router was removed or suspended while it was running and rejoins under
/// a new incarnation. All links must be closed and reopened under it.
struct change_incarnation {
    incarnation start;
};

/// The core has applied a revision of the document.
struct document_applied {
    revision at;
};

/// The set of suspended members has changed.
struct membership_changed { };

/// A received configuration update could not be applied.
struct report_fault {
    error fault;
};

/// Read the load of a backend server.
struct poll_load {
    server_id server;
    endpoint location;
};

/// Connect to a backend server for an attempt of a request.
struct start_attempt {
    request_number request;
    open_attempt attempt;
    endpoint location;
};

/// Tell an inference engine to stop generating a stream.
struct stop_stream {
    endpoint location;
    std::string stream;
};

/// An action of one request's lifecycle that concerns its caller or its attempt.
struct request_step {
    request_number request;
    request_action step;
};

/// Record of one routing decision, made when a request takes a grant.
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
    duration waited {}; ///< Since the request arrived.
    revision at;
    std::size_t candidates = 0; ///< Servers of the pool that are in service and that the workspace may reach.
};

/// This router became the owner of a shard or ceased to be.
struct ownership_decision {
    shard_id shard;
    fencing_token token;
    bool isOwner = false;
    time_point grantsFrom; ///< Earliest time of the first grant.
};

/// This router, as owner of a shard, issued a grant.
struct grant_issued {
    shard_id shard;
    fencing_token token;
    revision at;
    grant_decision decision;
};

/// This router, as owner of the server's shard, set or changed the server's
/// concurrency limit. Precedes the grants issued under that limit.
struct limit_decision {
    server_id server;
    std::uint32_t limit = 0; ///< 0 while the server is ejected.
};

/// Send a placement order to an engine, provided that `router_core::maySendOrder`
/// returns true just before the first byte is written. The call must end within
/// the grant lifetime (1 s).
struct order_server {
    placement_order order;
    endpoint location;
};

/// Read which models an engine holds while it has an order in progress.
struct read_models {
    server_id server;
    endpoint location;
};

/// Record of one placement decision.
struct placement_decision {
    shard_id shard;
    placement_order order;
    cost_units demand = 0; ///< Smoothed demand for the model to load.
    cost_units capacity = 0; ///< Of the servers that have the model loaded or are loading it.
    placement_reason reason = placement_reason::notLoaded;
};

using router_action = std::variant<send_message, poll_revision, fetch_rows, commit_rows, change_incarnation,
    document_applied, membership_changed, report_fault, poll_load, start_attempt, stop_stream, request_step,
    write_claims, read_claims, store_body, route_decision, ownership_decision, grant_issued, limit_decision,
    order_server, read_models, placement_decision>;
using router_actions = std::vector<router_action>;

}
