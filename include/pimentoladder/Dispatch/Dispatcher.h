/// \file
/// Handles each request from its arrival to the end of its response; this router
/// selects the servers without consulting other routers.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>

#include "pimentoladder/Dispatch/DispatchActions.h"
#include "pimentoladder/Dispatch/EstimateError.h"
#include "pimentoladder/Dispatch/FleetView.h"
#include "pimentoladder/Dispatch/LoadShedder.h"
#include "pimentoladder/Dispatch/PromptAdmission.h"
#include "pimentoladder/Dispatch/RolloutSplit.h"
#include "pimentoladder/Dispatch/ServerSelector.h"
#include "pimentoladder/Dispatch/StreamVersions.h"
#include "pimentoladder/Dispatch/WorkspaceShare.h"
#include "pimentoladder/Outcome/AttemptEnd.h"
#include "pimentoladder/Outcome/CrashAttribution.h"
#include "pimentoladder/Outcome/RetryBudget.h"
#include "pimentoladder/Rollout/RolloutOrder.h"

namespace pimentoladder {

/// Configuration of the dispatcher.
struct dispatch_limits {
    selection_limits selection;
    freshness_limits freshness;
    rollout_limits rollout;
    duration maxListAge = std::chrono::milliseconds(1200); ///< Age up to which the list of servers proves that one software version only is in use.
    double retryShare = 0.1; ///< Retries that this router may send per request.
    std::uint64_t fleetRetries = 36; ///< Retries that all routers together may send in 10 s, whatever the request rate.
    duration idempotentTimeout = std::chrono::milliseconds(300); ///< Wait for the response head before an idempotent request is sent to another server, and for the end of a refusal.
    duration streamStallTimeout = std::chrono::milliseconds(1500); ///< Wait for an event beyond the route's objective or pause limit before a stream is resumed on another server.
};

/// Counters for metrics and readiness.
struct dispatch_figures {
    std::size_t inProgress = 0;
};

/// Makes all routing decisions of one router without consulting other routers. It
/// performs no I/O and has no clock or thread: each event carries its time, and the
/// front end executes the returned actions in order. Times must not decrease.
/// Not thread-safe; call on the loop's thread.
class dispatcher {
public:
    dispatcher(dispatch_limits limits, std::uint64_t seed);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    // Callers and backend servers.

    /// Returns whether to refuse a new request because this router is overloaded, before
    /// `onRequest`. \p keyDigest: of the request's key, or null.
    bool shouldShed(time_point now, const std::string* keyDigest);

    /// Returns whether requests were refused lately because this router is overloaded.
    bool isShedding(time_point now) const { return m_shedder.isRefusing(now); }

    /// Takes the numbers of requests that were refused because of overload since the last call.
    std::map<workspace_id, std::uint64_t> takeShed() { return m_shedder.takeRefused(); }

    /// Starts a request and stores its number in \p number.
    dispatch_actions onRequest(time_point now, const inbound_request& received, request_number& number);
    dispatch_actions onCallerDisconnected(time_point now, request_number request);

    /// Returns whether the first byte of an attempt may be written to its socket. If
    /// not, the front end ends the attempt as `notSent`; no other server is selected here.
    /// \p hasCallerClosed: the caller has closed its connection, and `onCallerDisconnected` will follow.
    bool mayStartSending(time_point now, attempt_number attempt, bool hasCallerClosed = false);

    dispatch_actions onHead(time_point now, attempt_number attempt, const served_head& head);

    /// Handles bytes of the response. For a stream they are complete events with
    /// these ids.
    dispatch_actions onBytes(time_point now, attempt_number attempt, std::string_view bytes, event_ids events);
    dispatch_actions onAttemptEnded(time_point now, attempt_number attempt, attempt_end end);

    // State read from the platform's store.

    /// Returns whether the version was applied.
    bool applyPlan(serving_plan plan, bool mayBeOlder = false);
    void setOutOfService(time_point now, std::set<data_centre_id> dataCentres);
    void putServer(time_point now, const registered_server& server);

    /// Returns for how long the removal is delayed (see `fleet_view::removeServer`).
    duration removeServer(time_point now, const server_id& server);

    /// Starts or replaces the roll-out of the order's pool; \p at: revision of the order's row.
    void setRollout(time_point now, revision at, const rollout_order& order);

    /// Ends the roll-out of a pool, whose versions are no longer told apart.
    void endRollout(time_point now, const pool_id& pool);

    /// Marks the initial list of servers as complete: servers added from now on have just started.
    void markServersListed(time_point now);
    void confirm(time_point sentAt);
    void onStoreRecovered(time_point at) { m_fleet.onStoreRecovered(at); }
    void onOutageRefuted() { m_fleet.onOutageRefuted(); }

    // Other routers.

    /// Returns the token counters of this router's requests and its observations of
    /// servers since the last call, to be sent to the other routers.
    usage_report takeUsage(time_point now);

    /// Sets the token usage and the server observations of the whole fleet.
    void setFleetUsage(time_point now, const usage_totals& totals);

    /// Returns what responses to this router say about request limits of servers and about servers
    /// that take no requests, to be sent to the other routers.
    server_rate_limits ownServerLimits(time_point now) const { return { m_selector.ownLimits(now), m_selector.ownHolds(now) }; }

    /// Applies what responses to other routers say about request limits, and prefers other servers
    /// to those that are reported to take no requests.
    dispatch_actions onServerLimits(time_point now, const server_rate_limits& received);

    /// Applies permits to send requests to the target version of roll-outs.
    void setRolloutPermits(time_point now, const rollout_permits& permits);

    /// Returns the evidence on roll-outs from this router's own attempts.
    rollout_report rolloutEvidence(time_point now) const;

    /// Which software version began each stream.
    stream_versions& streamVersions() { return m_versions; }

    /// Merges the other routers' evidence on lost servers. Ends the attempts whose
    /// requests are quarantined by it.
    dispatch_actions onServerLosses(time_point now, const server_losses& received);

    /// Returns the evidence on lost servers that has changed since the last call, for the other routers.
    evidence_changes takeServerLosses(time_point now) { return m_crashes.takeChanges(now); }

    /// Evidence on lost servers and the traits of requests that it speaks against.
    const crash_attribution& crashes() const { return m_crashes; }

    /// Learnt speed of the servers of each pool.
    const std::map<pool_id, pool_speed>& speeds() const { return m_selector.speeds(); }

    void setRouters(std::vector<vm_id> routers);

    /// Sets the smoothed lag of this router's event loop, which delays each request several
    /// times. If it is large, a part of the new requests is refused at once.
    void setLoopLag(time_point now, duration lag);

    /// Plans a shutdown: from \p drainAt on, new requests are refused, and shortly before
    /// \p endAt no request is sent to a further server.
    void planShutdown(time_point drainAt, time_point endAt);

    /// Ends all requests in progress at the end of a shutdown. Callers without a response head
    /// get an error that tells whether their request may have run; the others see that the
    /// response is incomplete.
    dispatch_actions endAll(time_point now);

    dispatch_actions onTick(time_point now);
    /// Returns when `onTick` is due, at the latest one interval from \p now.
    time_point nextDeadline(time_point now) const;

    const fleet_view& fleet() const { return m_fleet; }
    dispatch_figures figures() const { return { m_requests.size() }; }

private:
    struct tracked_request;
    using tracked = std::shared_ptr<tracked_request>;

    std::optional<refusal_kind> admit(time_point now, tracked_request& request);
    void choosePool(tracked_request& request);
    void startAttempt(time_point now, const tracked& request, dispatch_actions& out);
    std::optional<selected_server> choose(time_point now, tracked_request& request, selection_request& wanted, bool isFirst);
    /// Returns the server for the first attempt of a request that goes to the target version of a
    /// roll-out, or nothing if no server of it can take the request now.
    std::optional<selected_server> chooseTarget(time_point now, tracked_request& request, selection_request& wanted, const rollout_rule& rule);
    std::optional<selected_server> chooseVersion(time_point now, tracked_request& request, selection_request& wanted, bool isFirst);
    std::optional<version_filter> allowedVersions(time_point now, const tracked_request& request) const;
    bool isOriginWithdrawn(time_point now, const tracked_request& request) const;
    bool isVersionPermitted(time_point now, const tracked_request& request) const;
    const std::string& currentVersion(const tracked_request& request) const;
    std::string_view rolloutSide(time_point now, const tracked_request& request) const;
    void recordSent(time_point now, const tracked_request& request);
    share_use shareUse(time_point now, const tracked_request& request);
    /// Precondition: the request has a prompt.
    prompt_estimate estimateOf(time_point now, const tracked_request& request, const selected_server& best) const;
    duration expectedAt(time_point now, const tracked_request& request, const selected_server& best) const;
    bool isAdmissible(time_point now, tracked_request& request, const selected_server& best);
    void applyNotices(time_point now, const tracked_request& request, const served_head& head, dispatch_actions& out);
    void withdrawUnsent(time_point now, const server_id& server, dispatch_actions& out);
    void failAttempt(time_point now, const tracked& request, bool mayHaveRun, std::string_view result, int status, dispatch_actions& out);
    void retryOrFinish(time_point now, const tracked& request, bool mayHaveRun, dispatch_actions& out);
    bool canRetry(time_point now, const tracked_request& request, bool mayHaveRun) const;
    void closeAttempt(time_point now, tracked_request& request, std::string_view result, int status, dispatch_actions& out);
    void refuse(time_point now, const tracked& request, refusal_kind kind, duration retryAfter, dispatch_actions& out);
    void abortResponse(time_point now, const tracked& request, dispatch_actions& out);
    void finish(time_point now, const tracked& request, std::string_view result, std::string_view reason, dispatch_actions& out);
    void schedule(const tracked& request, time_point at);
    void onRequestTimer(time_point now, const tracked& request, dispatch_actions& out);
    time_point nextCheck(const tracked_request& request) const;
    tracked findByAttempt(attempt_number attempt) const;
    bool isVersionCertain(const server_id& server, incarnation start, const std::string& version) const;
    bool findOrigin(time_point now, tracked_request& request);
    void recordLoss(time_point now, const tracked_request& request);
    void evaluateCrashes(time_point now, dispatch_actions& out);
    bool mayTryQuarantined(time_point now, const request_trait& trait) const;
    void markCold(time_point now, const registered_server& server);

    dispatch_limits m_limits;
    fleet_view m_fleet;
    server_selector m_selector;
    workspace_share m_share;
    estimate_error m_estimateError;
    retry_budget m_budget;
    crash_attribution m_crashes;
    stream_versions m_versions;
    rollout_split m_rollouts;
    load_shedder m_shedder;
    std::map<request_trait, time_point> m_trialsAt; ///< This router's last trial of each quarantined trait.
    random_source m_random;
    std::unordered_map<request_number, tracked> m_requests;
    std::unordered_map<attempt_number, request_number> m_byAttempt;
    std::set<std::pair<time_point, request_number>> m_deadlines;
    std::uint64_t m_nextRequest = 0;
    std::uint64_t m_nextAttempt = 0;
    double m_meanTokens = 0; ///< Smoothed, of a request with a prompt.
    double m_capacity = 0; ///< Tokens per second within the servers' request limits, as of m_capacityAt.
    time_point m_capacityAt;
    duration m_loopLag {};
    std::optional<time_point> m_drainAt; ///< Set during a shutdown.
    std::optional<time_point> m_endAt; ///< Set during a shutdown.
    bool m_hasListedServers = false; ///< The initial list of servers has been read.
};

}
