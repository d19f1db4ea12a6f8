/// \file
/// A fleet of router cores in simulated time with message delays, which counts the
/// messages, bytes, processor time and table calls. Backend servers and the table
/// are fakes that fail only if a scenario says so.

#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "pimentoladder/Base/Random.h"
#include "pimentoladder/Router/RouterCore.h"

namespace pimentoladder::measure {

/// Size of a fleet, of its document and of its load.
struct fleet_size {
    std::size_t routers = 8;
    std::size_t servers = 16;
    std::size_t pools = 2;
    std::size_t dataCentres = 4;
    std::size_t workspaces = 16;
    std::size_t backlogged = 2; ///< Workspaces that always have requests waiting.
    double requestsPerSecond = 85;
    double changesPerSecond = 0;
};

/// Categories of the processor time of a router core.
enum class work_kind {
    requests, ///< Events from callers and backend servers.
    admission, ///< Messages that request, issue, recall and report grants.
    control, ///< Everything else: heartbeats, counters, the document, ticks, load reports.
};
constexpr std::size_t workKinds = 3;

/// Messages, bytes and processor time of one router since the last reset.
struct router_cost {
    std::array<std::uint64_t, std::variant_size_v<message>> messages {};
    std::array<std::uint64_t, std::variant_size_v<message>> bytes {};
    std::array<duration, workKinds> time {};

    std::uint64_t allMessages() const;
    std::uint64_t allBytes() const;
};

/// Calls of the whole fleet to the table since the last reset.
struct table_calls {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t mostReadsInSecond = 0;
    std::uint64_t mostWritesInSecond = 0;
};

/// Simulates the routers of a fleet. Not thread-safe.
class core_fleet {
public:
    core_fleet(const fleet_size& size, std::uint64_t seed);
    ~core_fleet();

    /// Starts all routers; the table lists them as members already.
    void start();

    /// Advances the simulated time by \p length and runs all events that are due.
    void run(duration length);

    /// Starts the requests and the document changes.
    void startLoad();

    /// Resets all counters. If \p isEncoding, messages are encoded to count their
    /// bytes.
    void resetCounters(bool isEncoding);

    /// Drains a router, stops it and starts it again as a new process.
    void restart(std::size_t router);

    void setTableUp(bool isUp) { m_isTableUp = isUp; }

    const std::vector<router_cost>& costs() const { return m_costs; }
    table_calls tableCalls() const;
    std::uint64_t answered() const { return m_answered; }
    std::uint64_t refused() const { return m_refused; }

    /// Returns the number of running routers that may act as owners: listed, fresh
    /// and not suspended.
    std::size_t readyRouters() const;

    std::size_t shardsOwned(std::size_t router) const;

private:
    struct node;
    struct timed_event {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator>(const timed_event& other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
    };
    struct caller {
        std::size_t workspace = 0;
        bool isClosedLoop = false; ///< Submits the next request when this one ends.
    };
    using core_event = std::function<router_actions(router_core&, time_point)>;

    void scheduleAt(time_point when, std::function<void()> action);
    void dispatchEvent(std::size_t router, work_kind kind, const core_event& event);
    void dispatchAfter(std::size_t router, duration delay, work_kind kind, core_event event);
    void startNode(std::size_t router);
    void tick(std::size_t router);
    void openLink(std::size_t router, std::size_t other);
    void connectToTargets(std::size_t router);
    void submitNextArrival();
    void scheduleNextChange();
    void submit(const caller& from);
    void countTableCall(bool isWrite);
    result<revision> commit(const commit_rows& requested);

    void perform(std::size_t router, const send_message& step);
    void perform(std::size_t router, const poll_revision& step);
    void perform(std::size_t router, const fetch_rows& step);
    void perform(std::size_t router, const commit_rows& step);
    void perform(std::size_t router, const poll_load& step);
    void perform(std::size_t router, const start_attempt& step);
    void perform(std::size_t router, const request_step& step);
    void perform(std::size_t router, const change_incarnation& step);
    void perform(std::size_t router, const document_applied& step);
    template <typename Other>
    void perform(std::size_t, const Other&) { }

    fleet_size m_size;
    random_source m_random;
    std::uint64_t m_seed;
    std::vector<node> m_nodes;
    std::unordered_map<vm_id, std::size_t> m_routerByVm;
    std::vector<router_cost> m_costs;
    std::map<server_id, std::uint32_t> m_inFlight;
    std::map<std::pair<std::size_t, request_number>, caller> m_callers;
    std::map<std::string, row_change> m_rows;
    revision m_revision;
    bool m_isTableUp = true;
    std::map<std::int64_t, table_calls> m_calls; ///< By second of simulated time.
    std::string m_answer;
    bool m_isEncoding = false;
    std::uint64_t m_answered = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_order = 0;
    std::priority_queue<timed_event, std::vector<timed_event>, std::greater<>> m_events;
    time_point m_now { std::chrono::seconds(1000) };
};

}
