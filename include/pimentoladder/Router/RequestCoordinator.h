/// \file
/// Coordination of the callers' requests in progress on this router.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pimentoladder/Outcome/CrashQuarantine.h"
#include "pimentoladder/Outcome/IdempotencyClaims.h"
#include "pimentoladder/Outcome/RequestLifecycle.h"
#include "pimentoladder/Outcome/RetryBudget.h"
#include "pimentoladder/Router/Actions.h"
#include "pimentoladder/Router/CostMeter.h"
#include "pimentoladder/Router/RequesterRole.h"

namespace pimentoladder {

/// A caller's request as parsed by the front end.
struct incoming_request {
    std::string method;
    std::string path; ///< Without query.
    std::string keyDigest; ///< Lower-case hexadecimal SHA-256 of the caller's key; empty if there is none.
    std::optional<std::string> costHint; ///< As sent.
    std::string idempotencyKeyHash; ///< Empty if there is no key.
    std::uint64_t contentHash = 0; ///< Hash of query and body.
    std::uint64_t prefixHash = 0; ///< Hash of the start of the body; zero: none.
    std::size_t bodyBytes = 0;
    std::optional<std::string> model; ///< Name of a model or adapter, as sent.
};

/// Head of a backend server's response.
struct response_head {
    response_head_info facts;
    std::vector<header_field> headers;
};

/// Figures for metrics.
struct request_statistics {
    std::size_t inProgress = 0;
    std::size_t waiting = 0;
};

/// Drives each request from its arrival to the end of its response. Event
/// handlers append the resulting actions to `out`. Not thread-safe; call on the
/// loop's thread.
class request_coordinator {
public:
    /// The references outlive the coordinator.
    request_coordinator(const fleet_coordinator& fleet, const shard_directory& directory, requester_role& requester,
        lifecycle_limits limits);
    ~request_coordinator();

    /// Accepts or refuses a request. Returns the number assigned to it.
    request_number onRequest(const incoming_request& received, time_point now, router_actions& out);

    void onCallerDisconnected(request_number request, time_point now, router_actions& out);

    /// Returns whether the first byte of an attempt may be written to its socket.
    bool mayStartSending(attempt_number attempt, time_point now, router_actions& out);

    void onHead(attempt_number attempt, const response_head& head, time_point now, router_actions& out);
    void onBytes(attempt_number attempt, std::string_view bytes, time_point now, router_actions& out);
    void onAttemptEnded(attempt_number attempt, attempt_end end, time_point now, router_actions& out);

    void onGranted(const granted_request& granted, time_point now, router_actions& out);

    /// These requests are no longer queued at any shard, because their shard no
    /// longer exists. Queues each at another shard or refuses it.
    void onUnassigned(const std::vector<request_number>& requests, time_point now, router_actions& out);

    void onClaimsWritten(const claim_write_answer& answer, time_point now, router_actions& out);
    void onClaimsRead(const claim_read_answer& answer, time_point now, router_actions& out);
    void onBodyStored(request_number request, bool isStored, time_point now, router_actions& out);

    void onCrashReport(const crash_report& report, time_point now);

    /// Refuses new requests from now on.
    void drain() { m_isDraining = true; }

    void onTick(time_point now, router_actions& out);
    std::optional<time_point> nextDeadline() const;

    request_statistics figures() const;

    /// Returns whether the request was accepted and has not ended.
    bool isInProgress(request_number request) const { return m_requests.contains(request); }

    /// Returns the cost of this router's finished attempts since its start, for
    /// each workspace.
    const std::map<workspace_id, cost_units>& servedCosts() const { return m_served; }

private:
    struct tracked_request;
    using tracked = std::shared_ptr<tracked_request>;
    struct step_handlers;

    std::optional<refusal_kind> check(const incoming_request& received, const workspace* callerWorkspace, const pool* target, time_point now) const;
    tracked findByAttempt(attempt_number attempt) const;
    tracked find(request_number request) const;
    void perform(const tracked& request, request_actions steps, time_point now, router_actions& out);
    void performClaimActions(claim_actions steps, time_point now, router_actions& out);
    void reschedule(const tracked& request);
    void eraseIfDone(const tracked& request);
    void waitForGrant(const tracked& request, time_point now, router_actions& out);
    void startAttempt(const tracked& request, const open_attempt& opened, time_point now, router_actions& out);
    void reportGrant(const tracked& request, const report_grant& reported, router_actions& out);
    void suspectCrash(const server_id& server, router_actions& out);
    void recordClaim(const tracked& request, bool isKnown, time_point now, router_actions& out);

    const fleet_coordinator& m_fleet;
    const shard_directory& m_directory;
    requester_role& m_requester;
    lifecycle_limits m_limits;
    retry_budget m_retryBudget;
    attempt_counter m_attempts;
    idempotency_claims m_claims;
    crash_quarantine m_quarantine;
    std::unordered_map<request_number, tracked> m_requests;
    std::unordered_map<attempt_number, request_number> m_byAttempt;
    std::set<std::pair<time_point, request_number>> m_deadlines;
    std::unordered_map<workspace_id, std::size_t> m_inProgress;
    std::unordered_map<workspace_id, std::size_t> m_waiting;
    std::map<workspace_id, cost_units> m_served;
    std::uint64_t m_lastRequest = 0;
    bool m_isDraining = false;
};

}
