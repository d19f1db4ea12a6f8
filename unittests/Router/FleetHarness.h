/// \file
/// Simulates several router cores that exchange delayed messages, with fakes of the
/// table and of backend servers. Time is virtual and advanced by the test.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "pimentoladder/Base/Random.h"
#include "pimentoladder/Router/RouterCore.h"

namespace pimentoladder {

/// Fake of the platform's table: document rows and claims, each with a revision.
struct fake_table {
    bool isUp = true;
    bool losesAnswers = false; ///< Writes take effect, but their responses are lost.
    revision at;
    std::map<std::string, row_change> rows;
    revision claimsAt;
    std::map<claim_key, claim_row> claims;

    result<revision> commit(const commit_rows& asked);
    claim_write_answer write(const write_claims& asked);
};

/// Fake of a backend server with a concurrency limit of `warmLimit`, or of
/// `coldLimit` until `warmAfter` requests have finished since it became cold.
struct fake_server {
    std::uint32_t coldLimit = 1;
    std::uint32_t warmLimit = 8;
    std::uint32_t warmAfter = 6;
    duration service = std::chrono::milliseconds(20);
    incarnation start { 1 };
    bool isUp = true;
    std::uint32_t finishedSinceCold = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t mostInFlightCold = 0;
    std::uint32_t mostInFlight = 0;
    std::uint64_t executions = 0;

    std::set<model_id> models;
    std::set<model_id> loading;
    fencing_token highestToken;
    bool isFenced = true; ///< Refuses orders with a token lower than `highestToken`.
    bool losesOrderAnswers = false; ///< Orders take effect, but their responses are lost.

    bool isCold() const { return finishedSinceCold < warmAfter; }
};

/// A request of a test and its observed outcome.
struct observed_request {
    std::size_t router = 0;
    std::string key;
    time_point sentAt;
    std::optional<time_point> endedAt;
    std::optional<refusal_kind> refused;
    bool isAnswered = false;
    bool isAborted = false;
    bool isReplayed = false;
    bool isOrder = false; ///< Its method is not idempotent.
    std::uint32_t executions = 0;
    std::string body; ///< Bytes that the caller received, including those of a recorded outcome.
};

/// One observed execution at a server.
struct observed_execution {
    time_point at;
    server_id server;
    std::size_t record = 0;
    std::uint32_t inFlight = 0; ///< At the server, including this one.
};

/// A limit reported by the owner of a server's shard.
struct observed_limit {
    time_point at;
    server_id server;
    std::uint32_t limit = 0;
};

/// An order that reached a server.
struct observed_order {
    time_point at;
    std::size_t router = 0;
    placement_order order;
    bool isRefused = false;
};

/// A document applied by a router.
struct observed_document {
    time_point at;
    std::size_t router = 0;
    incarnation start;
    revision applied;
};

class fleet_harness {
public:
    fleet_harness(std::size_t routers, std::uint64_t seed);
    ~fleet_harness();

    /// Starts all routers and runs long enough for them to become fresh and open
    /// their shards.
    void startAll();

    /// Writes rows as an operator would, and reports the commit to \p router.
    revision change(std::size_t router, const std::vector<document_value>& values);

    /// Writes rows as an operator would through \p router. Errors: `unavailable`
    /// if the router does not reach the table, `conflict` if the table reports one.
    result<revision> commit(std::size_t router, const commit_rows& asked);

    /// Advances time by \p length and executes the events that become due.
    void run(duration length);

    std::size_t send(std::size_t router, const std::string& workspace, const std::string& method,
        const std::string& path, const std::string& key = {}, std::uint64_t content = 1, const std::string& model = {});

    void kill(std::size_t router);
    void drain(std::size_t router);
    void restart(std::size_t router);
    void freeze(std::size_t router) { m_nodes[router].isFrozen = true; }
    void thaw(std::size_t router);
    void cut(std::size_t left, std::size_t right, bool isCut);
    void cutFromTable(std::size_t router, bool isCut) { m_nodes[router].isCutFromTable = isCut; }

    bool isFrozen(std::size_t router) const { return m_nodes[router].isFrozen; }

    /// Restarts the server's process cold. Its connections are reset, and bytes of
    /// the interrupted responses arrive after the reset was reported.
    void crash(const server_id& server);

    router_core& core(std::size_t router) { return *m_nodes[router].core; }
    bool isUp(std::size_t router) const { return m_nodes[router].isUp; }
    time_point now() const { return m_now; }
    std::size_t size() const { return m_nodes.size(); }

    /// Returns the index of the router that owns \p shard under the document of
    /// \p router, or `size()` if there is none.
    std::size_t ownerOf(std::size_t router, const shard_id& shard);

    fake_table table;
    std::map<server_id, fake_server> servers;
    std::vector<observed_request> requests;
    std::vector<observed_execution> executions;
    std::vector<observed_document> appliedDocuments;
    std::vector<observed_limit> reportedLimits;
    std::vector<observed_order> orders;
    std::vector<std::pair<time_point, placement_decision>> placements;
    std::map<fencing_token, time_point> grantsFrom; ///< Start of grants under each token of a model shard.
    duration modelLoadTime = std::chrono::seconds(2);
    std::function<bool(std::size_t record, const server_id& server)> crashesServer; ///< Called at each execution; returns whether it crashes the server.
    duration messageDelay = std::chrono::microseconds(700);
    double lossRate = 0; ///< Fraction of the messages between routers that are lost; each loss replaces the link.
    std::function<void(std::size_t router)> afterEvent; ///< Called after each event of a core.
    std::function<void(const observed_execution&)> onExecution; ///< Called when a server starts a request.

private:
    struct node {
        member self;
        std::unique_ptr<router_core> core;
        std::uint64_t generation = 0; ///< Events for an earlier generation are dropped.
        bool isUp = false;
        bool isFrozen = false;
        bool isCutFromTable = false;
        std::optional<time_point> tickAt; ///< When the core's timer fires.
        std::vector<std::function<void()>> deferredActions;
    };
    struct timed_event {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator>(const timed_event& other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
    };
    struct server_attempt {
        std::size_t router = 0;
        std::uint64_t generation = 0;
        attempt_number number;
        std::size_t record = 0;
        server_id server;
        incarnation serverStart; ///< Incarnation of the process that the attempt is connected to.
        bool isOpen = true;
    };
    using core_event = std::function<router_actions(router_core&, time_point)>;

    void at(time_point when, std::function<void()> action);
    void runOnNode(std::size_t router, std::uint64_t generation, const std::function<void()>& action);
    void deliver(std::size_t router, const core_event& event);
    void deliverAfter(std::size_t router, duration delay, core_event event);
    void start(std::size_t router);
    void armTick(std::size_t router);
    void openLinks(std::size_t router);
    void openLink(std::size_t router, std::size_t other);
    bool isConnected(std::size_t from, std::size_t to) const;
    bool reachesTable(std::size_t router) const { return table.isUp && !m_nodes[router].isCutFromTable; }
    std::optional<std::size_t> find(const vm_id& vm) const;

    void perform(std::size_t router, const send_message& step);
    void perform(std::size_t router, const poll_revision& step);
    void perform(std::size_t router, const fetch_rows& step);
    void perform(std::size_t router, const commit_rows& step);
    void perform(std::size_t router, const write_claims& step);
    void perform(std::size_t router, const read_claims& step);
    void perform(std::size_t router, const poll_load& step);
    void perform(std::size_t router, const start_attempt& step);
    void perform(std::size_t router, const request_step& step);
    void perform(std::size_t router, const document_applied& step);
    void perform(std::size_t router, const change_incarnation& step);
    void perform(std::size_t router, const store_body& step);
    void perform(std::size_t router, const limit_decision& step);
    void perform(std::size_t router, const order_server& step);
    void perform(std::size_t router, const read_models& step);
    void perform(std::size_t router, const placement_decision& step);
    void perform(std::size_t router, const ownership_decision& step);
    template <typename Other>
    void perform(std::size_t, const Other&) { }

    order_outcome applyOrder(std::size_t router, const placement_order& order);
    void execute(const std::shared_ptr<server_attempt>& attempt);
    void finishAttempt(const std::shared_ptr<server_attempt>& attempt, attempt_end end);
    void deliverAnswer(const std::shared_ptr<server_attempt>& attempt);

    std::vector<node> m_nodes;
    std::priority_queue<timed_event, std::vector<timed_event>, std::greater<>> m_events;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::map<std::pair<std::size_t, std::size_t>, time_point> m_lastArrivals; ///< A link preserves the order of its messages.
    std::map<std::pair<std::size_t, request_number>, std::size_t> m_records;
    std::map<std::pair<std::size_t, attempt_number>, std::shared_ptr<server_attempt>> m_attempts;
    std::string m_arrivingBytes; ///< Response bytes of the event that a core is handling.
    random_source m_random;
    std::uint64_t m_seed;
    std::uint64_t m_eventCount = 0;
    std::uint64_t m_incarnations = 0;
    time_point m_now { std::chrono::seconds(1000) };
};

/// Returns a document with one model pool, one portal pool, `dataCentres` data
/// centres and rules that let every workspace reach every server.
std::vector<document_value> smallDocument(std::size_t dataCentres, std::size_t workspaces);

/// Returns the response body that a server sends for the request of a record.
std::string answerTo(std::size_t record);

/// Returns the digest of a test workspace's key.
std::string keyDigestOf(const std::string& workspace);

}
