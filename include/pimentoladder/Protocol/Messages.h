/// \file
/// Messages between routers, free of any encoding. The Wire library turns them
/// into frames and back.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Config/Document.h"
#include "pimentoladder/Config/Rows.h"
#include "pimentoladder/Protocol/PublishedRow.h"

namespace pimentoladder {

/// Periodic message between neighbours. It is at once a probe, the answer to
/// the peer's last probe, and a statement of the sender's revision.
struct heartbeat {
    std::uint64_t sequence = 0; ///< Number of this probe, counted by its sender.
    time_point sentAt; ///< Sender's clock when it sent this message.
    std::uint64_t echoSequence = 0; ///< Number of the last probe received from the peer; 0: none.
    revision applied; ///< Revision of the document that the sender has applied.
    std::uint64_t suspendedDigest = 0; ///< Digest of the sender's set of suspended members.
    std::optional<duration> basisAge; ///< Age of the sender's freshness basis; none if not fresh.
    /// Age of the basis for suspensions, which a table read does not advance; none if not fresh.
    std::optional<duration> suspensionAge;
    duration echoHeld {}; ///< At most the time since the sender received probe `echoSequence`.
};

/// States that the table holds a revision, sent as soon as the sender knows.
struct revision_announce {
    revision at;
};

/// Asks a peer for the rows changed since a revision.
struct config_request {
    revision have;
};

/// Rows that lead from revision `from` to revision `to`. With `from` zero the
/// rows are the whole document.
struct config_update {
    revision from;
    revision to;
    std::vector<row_change> rows;
};

/// Asks witnesses to suspend members, or states the sender's whole set. A
/// witness that agrees to a proposal answers with the same proposal.
struct suspend {
    std::vector<member_ref> proposed; ///< Members that have been silent towards the sender for the removal delay.
    std::vector<member_ref> suspended; ///< Every member that the sender holds suspended.
    revision listedBy; ///< Every member named above was in the document at or before this revision.
};

/// A waiting request for which a router asks a grant.
struct demand_entry {
    request_number request;
    workspace_id workspace;
    cost_units costHint = 1;
    fingerprint print {}; ///< Set only for requests under crash suspicion.
    std::uint64_t prefixHash = 0; ///< Prompt prefix, for cache affinity; 0: none.
    model_id model {}; ///< Only servers that have it loaded serve the request; empty: any server.
};

/// Asks the owner of a shard for grants, and withdraws earlier requests.
struct acquire {
    shard_id shard;
    fencing_token token;
    std::vector<demand_entry> waiting; ///< New requests since the last frame.
    std::vector<request_number> withdrawn; ///< Requests that no longer wait.
    std::uint32_t advanceWanted = 0; ///< Grants for any workspace that the sender could use.
};

/// Permission to send one request to one backend server.
struct grant_entry {
    grant_number number;
    server_id server;
    request_number request; ///< Zero for an advance grant, usable by any workspace.
    time_point expiresAt; ///< On the owner's clock; the grant must be started before.
};

struct grant {
    shard_id shard;
    fencing_token token;
    std::vector<grant_entry> entries;
};

/// What became of a grant.
enum class grant_event {
    started, ///< The request is about to be sent.
    progress, ///< The request is running and has cost so far `cost`.
    returned, ///< The grant was not used.
    finished, ///< The server's answer ended in time and whole.
    failed, ///< The server reset, stalled, refused or cut the request short.
    cancelled, ///< The caller left; says nothing about the server.
};

struct grant_report_entry {
    grant_number number;
    fencing_token issuedUnder; ///< Token of the owner that issued the grant; an earlier one's after an owner change.
    grant_event event = grant_event::returned;
    workspace_id workspace;
    cost_units cost = 0; ///< When started the hint, in progress the cost so far, at the end the actual cost.
    duration firstByteLatency {}; ///< From start to the first byte of the answer; zero if none came.
};

/// Reports what became of grants to the owner of the shard.
struct grant_report {
    shard_id shard;
    fencing_token token;
    std::uint64_t sequence = 0; ///< Counts this router's reports and in-flight reports for the shard.
    std::vector<grant_report_entry> entries;
};

/// Asks for the return of unused advance grants, because work is waiting.
struct recall {
    shard_id shard;
    fencing_token token;
};

/// A request in flight, as told to a new owner.
struct in_flight_entry {
    grant_number number; ///< Number given by the earlier owner.
    fencing_token issuedUnder;
    server_id server;
    workspace_id workspace;
    cost_units costHint = 1;
    cost_units cost = 0;
};

/// States every request that the sender has in flight in a shard: to a new
/// owner, after a link was replaced, and at a long interval. A started grant
/// that is not listed has ended.
struct in_flight_report {
    shard_id shard;
    fencing_token token;
    std::uint64_t sequence = 0; ///< Shared with `grant_report`; an older one than the last received is ignored.
    std::vector<in_flight_entry> entries;
};

/// States that the sender owns a shard under `token`. Sent when it begins to
/// own it, and to a router that asks under another token.
struct shard_owner {
    shard_id shard;
    fencing_token token;
};

/// States that the sender no longer acts as owner of a shard under `token`.
struct shard_release {
    shard_id shard;
    fencing_token token;
};

/// Service that one owner has charged to one workspace since its start. Both
/// numbers only grow.
struct service_counter {
    member_ref owner;
    workspace_id workspace;
    cost_units charged = 0;
    cost_units credited = 0;
};

/// Virtual time added at one shard when a workspace returned from idle. It
/// only grows. With an empty workspace it is the virtual clock of the shard.
struct service_lift {
    shard_id shard;
    workspace_id workspace;
    double lift = 0;
};

struct service_counters {
    std::vector<service_counter> entries;
    std::vector<service_lift> lifts;
};

/// A backend server was lost while it ran the named requests.
struct crash_report {
    server_id server;
    incarnation serverStart;
    std::vector<fingerprint> running;
};

/// How far a router has followed one table of the store.
struct table_position {
    std::uint32_t table = 0; ///< Index that all routers of a version share.
    revision at;
};

/// Asks a router that reads the store to pass on what it reads, and to answer
/// at once with the age of its own knowledge. Sent at a regular interval.
struct follow_rows {
    std::uint64_t sequence = 0; ///< Number of this message, counted by its sender.
    std::vector<table_position> have;
};

/// Rows of one table that changed after `from`, up to `to`. If `isWhole` they
/// are the whole table.
struct table_update {
    std::uint32_t table = 0;
    revision from;
    revision to;
    bool isWhole = false;
    std::vector<published_row> rows;
};

/// What the sender has read of the store.
struct rows_update {
    std::uint64_t echoSequence = 0; ///< The `follow_rows` that this answers; 0: none.
    std::optional<duration> basisAge; ///< Age of the read that last confirmed the operators' rows.
    std::vector<table_update> tables;
    std::optional<duration> returnedAge; ///< Time since the store answered again after an outage, if that is recent.
};

/// Tokens of one workspace.
struct usage_entry {
    workspace_id workspace;
    cost_units asked = 0;
    cost_units admitted = 0;
};

/// How a backend server served lately.
struct server_observation {
    server_id server;
    duration delay {}; ///< Until the first event, beyond what the request itself needed.
    std::uint32_t running = 0; ///< As the server stated.
    std::uint32_t waiting = 0; ///< As the server stated.
    double pendingTokens = 0; ///< Prompt tokens sent to it that it has yet to read.
};

/// Tokens that the sender's requests have asked for and received since its
/// start, which only grow, and what it has seen of servers since its last report.
struct usage_report {
    std::vector<usage_entry> entries;
    std::vector<server_observation> observed;
};

/// Tokens over the last window at all routers that report to the sender, and what
/// they have seen of servers.
struct usage_totals {
    std::uint32_t routers = 0; ///< That have reported within the window.
    std::vector<usage_entry> entries;
    std::vector<server_observation> observed;
};

using message = std::variant<heartbeat, revision_announce, config_request, config_update, suspend, acquire, grant,
    grant_report, recall, in_flight_report, shard_release, service_counters, crash_report, shard_owner, follow_rows, rows_update,
    usage_report, usage_totals>;

}
