/// \file
/// The requesting router's side of grants for one shard.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "pimentoladder/Admission/ShardView.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

struct grant_holder_settings {
    duration coalescingInterval = std::chrono::milliseconds(2); ///< Least time between batches of messages to the owner.
    duration progressInterval = std::chrono::milliseconds(250); ///< Least time between progress reports.
    duration resendAfter = std::chrono::seconds(2); ///< Age at which an unanswered demand is sent again.
    std::uint32_t maxResentDemands = 8; ///< Upper limit of demands sent again per `resendAfter`.
    duration inFlightInterval = std::chrono::seconds(10); ///< Time between full reports of the grants in use.
    std::uint32_t advanceGrants = 2; ///< Unused advance grants to hold while active.
    duration activityWindow = std::chrono::seconds(5); ///< A router without requests for this long wants no advance grants.
};

/// Order to send a waiting request to a server, under a grant.
struct start_order {
    request_number request;
    server_id server;
    grant_number grant;
    fencing_token token;
    time_point expiresAt; ///< On the owner's clock.
};

/// Requests that the caller must start and messages that it must send to the
/// owner of the shard. Messages are sent in the order of the members.
struct holder_actions {
    std::vector<start_order> starts;
    std::optional<grant_report> report;
    std::optional<in_flight_report> inFlight;
    std::optional<acquire> demand;
};

/// Holds the waiting requests and the grants of one router for one shard.
/// Events change the state; `onTick` returns the actions of all events since
/// its last call. Not thread-safe; call on the loop's thread.
class grant_holder {
public:
    /// \p view outlives the holder.
    grant_holder(shard_id shard, const shard_view& view, grant_holder_settings settings = {});

    /// The owner of the shard is now the one with \p token. Unused grants of
    /// the previous owner are dropped; demands and requests in flight are sent
    /// to the new one.
    void onOwner(fencing_token token, time_point now);

    /// Sets whether this router is itself the owner. Messages to a local owner
    /// cost no traffic, so they are not delayed while a request waits.
    void setOwnerLocal(bool isLocal) { m_isOwnerLocal = isLocal; }

    /// The link to the owner was replaced: sends demands and requests in flight again.
    void onLinkReplaced(time_point now);

    /// A request waits for a grant. Precondition: its number is new.
    void onRequest(const demand_entry& request, time_point now);

    /// A waiting request was cancelled by its caller or timed out.
    void onWithdrawn(request_number request);

    /// Accepts grants. Those with another token are ignored; expired ones are returned.
    void onGrant(const grant& received);

    /// The owner recalls unused advance grants.
    void onRecall(const recall& received);

    /// The running \p request has cost \p cost so far.
    void onProgress(request_number request, cost_units cost);

    /// The running \p request ended. \p event is `finished`, `failed`,
    /// `cancelled`, or `returned` if no byte was sent.
    void onEnded(request_number request, grant_event event, cost_units cost, duration firstByteLatency);

    /// Returns the actions due now. \p ownerClockUpperBound is at or after the
    /// time on the owner's clock; without it no grant is used.
    holder_actions onTick(time_point now, std::optional<time_point> ownerClockUpperBound);

    /// Returns when `onTick` has something to do without a further event.
    std::optional<time_point> nextDeadline() const;

    /// Returns whether `onTick` has something to do now.
    bool isDue(time_point now) const;

    const shard_id& shard() const { return m_shard; }
    std::size_t waitingCount() const { return m_waiting.size(); }
    std::size_t runningCount() const { return m_running.size(); }

private:
    struct waiting_request {
        demand_entry demand;
        time_point sentAt;
    };
    struct held_grant {
        grant_entry entry;
        fencing_token token;
    };
    struct running_request {
        held_grant grant;
        workspace_id workspace;
        cost_units costHint = 0;
        cost_units cost = 0;
        cost_units reportedCost = 0;
    };
    using waiting_map = std::map<request_number, waiting_request>;

    bool isRepeated(grant_number number);
    void startWithGrant(const held_grant& held, waiting_map::iterator waiting, holder_actions& actions);
    void useGrants(time_point ownerClock, holder_actions& actions);
    void useAdvanceGrants(time_point ownerClock, holder_actions& actions);
    void addReport(const held_grant& held, grant_event event, const workspace_id& workspace, cost_units cost,
        duration firstByteLatency);
    void returnGrant(const held_grant& held);
    bool isInFlightReportNeeded() const { return !m_running.empty() || m_hasReported; }
    bool mayCoalesce() const { return !m_isOwnerLocal || m_waiting.empty(); }
    void reportProgress(time_point now);
    void resendUnansweredDemands(time_point now);
    acquire buildAcquire(time_point now);
    in_flight_report buildInFlight(time_point now);
    std::uint32_t advanceWanted(time_point now) const;

    shard_id m_shard;
    const shard_view& m_view;
    grant_holder_settings m_settings;
    fencing_token m_token;
    waiting_map m_waiting;
    std::map<request_number, running_request> m_running;
    std::vector<held_grant> m_unusedGrants; ///< Grants for a named request, not yet used.
    std::vector<held_grant> m_unusedAdvanceGrants; ///< Unused advance grants.
    std::set<grant_number> m_seenGrants; ///< Latest grants of this owner, to ignore repeated messages.
    std::vector<request_number> m_unsent; ///< Waiting requests to send in the next acquire message.
    std::vector<request_number> m_withdrawn;
    std::vector<grant_report_entry> m_reports;
    std::uint64_t m_reportSequence = 0;
    std::uint32_t m_lastAdvanceWanted = 0;
    bool m_isAdvanceWantedDue = false; ///< The number of wanted advance grants must be sent although it did not change.
    bool m_isOwnerLocal = false;
    bool m_isInFlightDue = false;
    bool m_hasReported = false; ///< A grant report was sent since the last in-flight report.
    std::optional<time_point> m_sentAt;
    std::optional<time_point> m_lastRequestAt;
    time_point m_progressAt;
    time_point m_inFlightAt;
    time_point m_resentAt;
};

}
