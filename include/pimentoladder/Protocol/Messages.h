/// \file
/// Messages between routers, independent of their encoding. The Wire library
/// encodes them as frames and decodes them.

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

/// Periodic message between neighbours. It serves as a probe, as the response to
/// the peer's last probe, and as a report of the sender's revision.
struct heartbeat {
    std::uint64_t sequence = 0; ///< Number of this probe, counted by its sender.
    time_point sentAt; ///< Sender's clock when it sent this message.
    std::uint64_t echoSequence = 0; ///< Number of the last probe received from the peer; 0: none.
    revision applied; ///< Revision of the document that the sender has applied.
    std::uint64_t suspendedDigest = 0; ///< Digest of the sender's set of suspended members.
    std::optional<duration> basisAge; ///< Age of the sender's freshness basis; none if not fresh.
    /// Age of the basis for suspensions, which a table read does not advance; none if not fresh.
    std::optional<duration> suspensionAge;
    duration echoHeld {}; ///< Lower bound on the time since the sender received probe `echoSequence`.
};

/// Announces that the table holds a revision. Sent as soon as the sender learns
/// of it.
struct revision_announce {
    revision at;
};

/// Asks a peer for the rows changed since a revision.
struct config_request {
    revision have;
};

/// Rows changed between revision `from` and revision `to`. If `from` is zero, the
/// rows are the whole document.
struct config_update {
    revision from;
    revision to;
    std::vector<row_change> rows;
};

/// Asks witnesses to suspend members, or sends the sender's whole set of suspended
/// members. A witness that agrees to a proposal replies with the same proposal.
struct suspend {
    std::vector<member_ref> proposed; ///< Members from which the sender has heard nothing for the removal delay.
    std::vector<member_ref> suspended; ///< Every member that the sender considers suspended.
    revision listedBy; ///< Every member named above was in the document at or before this revision.
};

/// A waiting request for which a router asks for a grant.
struct demand_entry {
    request_number request;
    workspace_id workspace;
    cost_units costHint = 1;
    fingerprint requestFingerprint {}; ///< Set only for requests suspected of crashing servers.
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
    time_point expiresAt; ///< On the owner's clock; the request must start before then.
};

/// Grants issued by the owner of a shard to one router.
struct grant {
    shard_id shard;
    fencing_token token;
    std::vector<grant_entry> entries;
};

/// How a grant was used.
enum class grant_event {
    started, ///< The request is about to be sent.
    progress, ///< The request is running and has cost `cost` so far.
    returned, ///< The grant was not used.
    finished, ///< The server's response ended completely and in time.
    failed, ///< The server reset, stalled, refused or cut the request short.
    cancelled, ///< The caller disconnected, which does not indicate a fault of the server.
};

struct grant_report_entry {
    grant_number number;
    fencing_token issuedUnder; ///< Token of the owner that issued the grant; after an owner change, that of an earlier owner.
    grant_event event = grant_event::returned;
    workspace_id workspace;
    cost_units cost = 0; ///< `started`: the hint; `progress`: the cost so far; at the end: the actual cost.
    duration firstByteLatency {}; ///< From start to the first byte of the response; zero if none arrived.
};

/// Reports to the owner of a shard how its grants were used.
struct grant_report {
    shard_id shard;
    fencing_token token;
    std::uint64_t sequence = 0; ///< Numbers this router's grant reports and in-flight reports for the shard.
    std::vector<grant_report_entry> entries;
};

/// Asks for the return of unused advance grants, because requests are waiting.
struct recall {
    shard_id shard;
    fencing_token token;
};

/// A request in flight, as reported to a new owner.
struct in_flight_entry {
    grant_number number; ///< Number assigned by the earlier owner.
    fencing_token issuedUnder;
    server_id server;
    workspace_id workspace;
    cost_units costHint = 1;
    cost_units cost = 0;
};

/// Lists every request that the sender has in flight in a shard. Sent to a new
/// owner, after a link was replaced, and at a long interval. A started grant that
/// is not listed has ended.
struct in_flight_report {
    shard_id shard;
    fencing_token token;
    std::uint64_t sequence = 0; ///< Shared with `grant_report`; an older one than the last received is ignored.
    std::vector<in_flight_entry> entries;
};

/// Announces that the sender owns a shard under `token`. Sent when it becomes the
/// owner, when a link opens, and to a router that asks under another token.
struct shard_owner {
    shard_id shard;
    fencing_token token;
};

/// Announces that the sender no longer acts as owner of a shard under `token`.
struct shard_release {
    shard_id shard;
    fencing_token token;
};

/// Service that one owner has charged and credited to one workspace since the
/// owner's start. Neither number decreases.
struct service_counter {
    member_ref owner;
    workspace_id workspace;
    cost_units charged = 0;
    cost_units credited = 0;
};

/// Virtual time added at one shard when a workspace became active after being
/// idle. It never decreases. If `workspace` is empty, `lift` is the virtual clock
/// of the shard.
struct service_lift {
    shard_id shard;
    workspace_id workspace;
    double lift = 0;
};

/// Service counters that owners exchange, so that fairness holds across shards.
struct service_counters {
    std::vector<service_counter> entries;
    std::vector<service_lift> lifts;
};

/// A backend server was lost while it ran the listed requests.
struct crash_report {
    server_id server;
    incarnation serverStart; ///< Zero: the sender suspects a crash, for the owner of the shard to confirm.
    std::vector<fingerprint> running;
};

/// What a request trait identifies.
enum class trait_kind : std::uint8_t {
    request = 1, ///< Equal requests.
    promptPart = 2, ///< Requests whose prompts share a part.
};

/// Property that several requests can share, and that may make servers crash.
struct request_trait {
    trait_kind kind = trait_kind::request;
    std::uint64_t id = 0; ///< Fingerprint of the request, or id of the part.

    auto operator<=>(const request_trait&) const = default;
};

/// A trait of requests that had not begun when a server was lost.
struct crash_suspect {
    request_trait trait;
    std::uint32_t depth = 0; ///< Position among the traits of its request; a later one is more specific.
    bool isCleared = false; ///< A request with it has begun on another server since.
    std::vector<vm_id> reporters; ///< Some of the routers that had such a request on the server.
    std::vector<fingerprint> requests; ///< Some of these requests.
};

/// A backend server that was lost while requests on it had not begun.
struct server_loss {
    server_id server;
    incarnation serverStart;
    duration age {}; ///< Time since the loss.
    bool isRefuted = false; ///< The server has answered on a connection that is older than the loss.
    std::vector<crash_suspect> suspects;
};

/// Losses of servers that the sender has seen or been told of.
struct server_losses {
    std::vector<server_loss> entries;
};

/// Position up to which a router has read one table of the store.
struct table_position {
    std::uint32_t table = 0; ///< Index that all routers of a version share.
    store_position position;
    bool hasEra = true; ///< False: the sender's version sends no era.
};

/// Asks a router that reads the store to forward what it reads, and to reply at
/// once with the age of its own data. Sent at a regular interval.
struct follow_rows {
    std::uint64_t sequence = 0; ///< Number of this message, counted by its sender.
    std::vector<table_position> have;
};

/// Rows of one table that changed after `from`, up to `to`. Both positions and the rows
/// are of one era. If `isWhole` is set, they are the whole table.
struct table_update {
    std::uint32_t table = 0;
    store_position from;
    store_position to;
    bool isWhole = false;
    std::vector<published_row> rows;
};

/// Rows of one table that are in force at the sender, although the store, which was
/// restored from a copy, has older ones or lacks them. A deleted row has its last value.
struct retained_rows {
    std::uint32_t table = 0;
    store_position position; ///< Position up to which the sender has compared its rows with the store's.
    duration remaining {}; ///< Time until the store's rows are accepted.
    std::vector<published_row> rows;
};

/// Rows that the sender has read from the store.
struct rows_update {
    std::uint64_t echoSequence = 0; ///< Number of the `follow_rows` that this answers; 0: none.
    std::optional<duration> basisAge; ///< Age of the read that last confirmed the operators' rows.
    std::vector<table_update> tables;
    std::optional<duration> returnedAge; ///< Time since the store became available again after an outage, if that is recent.
    store_era era; ///< Earliest era among the tables that `basisAge` is of.
    std::vector<retained_rows> retained;
    std::optional<duration> servedAge {}; ///< Time for which the servers have been confirmed to the sender without an outage; nothing: they are not now.
};

/// Model tokens of one workspace.
struct usage_entry {
    workspace_id workspace;
    cost_units asked = 0;
    cost_units admitted = 0;
};

/// Learnt speed of one incarnation of a backend server.
struct learnt_slowness {
    incarnation start;
    double slowness = 1; ///< Time that it takes, as a multiple of its pool's.
};

/// Recent performance of a backend server.
struct server_observation {
    server_id server;
    duration delay {}; ///< Until the first event, beyond what the request itself needed.
    std::uint32_t running = 0; ///< As reported by the server.
    std::uint32_t waiting = 0; ///< As reported by the server.
    double pendingTokens = 0; ///< Prompt tokens sent to the server that it has not processed yet.
    std::optional<duration> loadAge {}; ///< Of the server's report; nothing: the sender has no recent one.
    std::optional<learnt_slowness> learnt {}; ///< Only in sums; nothing if it is not known.
};

/// First event of a request at a backend server that had no queue, and what the server did until then.
struct speed_sample {
    server_id server;
    incarnation start; ///< Of the server.
    pool_id pool;
    double tokens = 0; ///< Prompt tokens that the server read.
    double running = 0; ///< Requests that the server ran, as reported; zero if it was not known.
    double plainInProgress = 0; ///< The sender's requests without a prompt that the server had not completed.
    duration taken {}; ///< At the server's usual speed.
};

/// Learnt speed of the servers of one pool.
struct pool_speed_entry {
    pool_id pool;
    std::vector<double> milliseconds; ///< By coefficient of `pool_speed`.
};

/// By how much first events from the servers of a pool come later than expected.
struct pool_lateness {
    pool_id pool;
    duration late {}; ///< Negative: earlier.
};

/// Model tokens that the sender's requests have asked for and received since its
/// start, which never decrease, and its observations of servers since its last
/// report.
struct usage_report {
    std::vector<usage_entry> entries;
    std::vector<server_observation> observed;
    std::vector<speed_sample> samples {}; ///< Of the time since the last report; a few, if there were many.
    std::vector<pool_lateness> lateness {}; ///< Smoothed, of the sender's requests.
};

/// Model tokens of late, weighted by age, at all routers that report to the sender, and
/// their observations of servers.
struct usage_totals {
    std::uint32_t routers = 0; ///< Number of routers that have reported lately.
    std::vector<usage_entry> entries;
    std::vector<server_observation> observed;
    std::vector<pool_speed_entry> speeds {}; ///< Learnt from the samples of all routers.
    std::vector<pool_lateness> lateness {}; ///< Medians over the routers.
};

/// What a response of a backend server says about the request rate that it takes.
struct server_rate_limit {
    server_id server;
    bool isLimited = false; ///< False: the limit that it named before has ended.
    double perSecond = 0; ///< Requests per second from all routers together.
    duration age {}; ///< Of the response.
};

/// What a response of a backend server says about the time for which it takes no requests.
struct server_hold {
    server_id server;
    incarnation start; ///< Of the server.
    bool isLeaving = false; ///< False: it has turned a request away for a time.
    duration left {}; ///< Time for which other routers avoid it.
};

/// What the sender knows of the servers' request limits and holds: from responses to itself,
/// or, sent by a router that others follow, the newest of each server.
struct server_rate_limits {
    std::vector<server_rate_limit> entries;
    std::vector<server_hold> holds {};

    bool isEmpty() const { return entries.empty() && holds.empty(); }
};

/// Streams that servers of one software version began, by the hash of the attempt that began
/// each of them.
struct stream_group {
    pool_id pool;
    std::string version;
    std::vector<fingerprint> streams;
};

/// A software version that was in use.
struct version_use {
    pool_id pool;
    std::string version;
    duration age {}; ///< Since a server of it was last registered.
};

/// Which software versions began streams, in the order in which they were begun, and which
/// versions were in use.
struct stream_origins {
    std::vector<stream_group> groups;
    std::vector<version_use> uses;
    std::optional<duration> knownFor; ///< Time for which the sender knows all versions in use.

    bool isEmpty() const { return groups.empty() && uses.empty(); }
};

/// What one router has seen of a route on one side of a roll-out since it learnt of the
/// order. The counts never decrease while the router runs.
struct rollout_tally {
    std::string route;
    bool isTarget = false; ///< Servers of the version that the order names; false: all other servers of the pool.
    std::uint64_t sent = 0; ///< Attempts whose first byte was sent.
    std::uint64_t answers = 0; ///< Responses of servers; attempts that ended without one are not counted.
    std::uint64_t failures = 0; ///< Of the answers, those with a server error.
    std::uint64_t slow = 0; ///< Of the other answers, those that were much later than expected.
    std::uint64_t servers = 0; ///< Set of servers that answered: bit i stands for those whose name hash is i modulo 64.
    std::uint64_t faultyServers = 0; ///< Of them, those with a failed or slow answer.

    bool operator==(const rollout_tally&) const = default;
};

/// Evidence of one router on one roll-out.
struct rollout_evidence {
    pool_id pool;
    revision order; ///< Revision of the order's row.
    std::uint64_t requests = 0; ///< Requests for the pool since the router learnt of the order.
    std::uint32_t inProgress = 0; ///< Attempts in progress at servers of other versions than the target.
    std::vector<rollout_tally> tallies;
};

/// Evidence of the sender on all roll-outs in progress. Sent to the readers.
struct rollout_report {
    std::vector<rollout_evidence> rollouts;
};

/// State of a roll-out as its operator sees it.
enum class rollout_state : std::uint8_t {
    inProgress,
    completed, ///< Final: every request goes to the target version.
    reverted, ///< Final: no request goes to the target version.
};

/// Permission to send a part of a pool's requests to the target version. It ends
/// `rollout_limits::permitLifetime` after its owner confirmed it, unless the state is final.
struct rollout_permit {
    pool_id pool;
    revision order; ///< Revision of the order's row.
    fencing_token token; ///< Of the owner; a permit with a lower one than the last is void.
    std::uint64_t sequence = 0; ///< Counts the owner's changes of the share.
    rollout_state state = rollout_state::inProgress;
    double share = 0; ///< Of the pool's requests, 0 to 1, that may go to the target version.
    duration age {}; ///< Since the owner last confirmed it.

    bool operator==(const rollout_permit&) const = default;
};

/// Permits of all roll-outs that the sender knows. Sent by the owner to the other readers and
/// by readers to the routers that follow them.
struct rollout_permits {
    std::vector<rollout_permit> entries;
};

using message = std::variant<heartbeat, revision_announce, config_request, config_update, suspend, acquire, grant,
    grant_report, recall, in_flight_report, shard_release, service_counters, crash_report, shard_owner, follow_rows, rows_update,
    usage_report, usage_totals, server_losses, server_rate_limits, stream_origins, rollout_report, rollout_permits>;

}
