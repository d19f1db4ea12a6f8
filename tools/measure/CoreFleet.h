/// \file
/// Whole router cores with delayed messages in simulated time, to count what
/// they cost. Backend servers and the table are fakes that never fail unless
/// a scenario says so.

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

/// Size of a fleet and of its document.
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

/// What the processor time of a core was spent on.
enum class work_kind {
    requests, ///< Callers and backend servers of requests.
    admission, ///< Messages that ask for, give and report grants.
    control, ///< Everything else: heartbeats, counters, the document, ticks, load reports.
};
constexpr std::size_t workKinds = 3;

/// What one router sent and spent since counting began.
struct router_cost {
    std::array<std::uint64_t, std::variant_size_v<message>> messages {};
    std::array<std::uint64_t, std::variant_size_v<message>> bytes {};
    std::array<duration, workKinds> time {};

    std::uint64_t allMessages() const;
    std::uint64_t allBytes() const;
};

/// Calls of the whole fleet to the table since counting began.
struct table_calls {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t mostReadsInSecond = 0;
    std::uint64_t mostWritesInSecond = 0;
};

/// Not thread-safe.
class core_fleet {
public:
    core_fleet(const fleet_size& size, std::uint64_t seed);
    ~core_fleet();

    /// Starts all routers; the table lists them as members already.
    void start();

    /// Moves time, carrying out everything that is due.
    void run(duration length);

    /// Lets requests arrive from now on.
    void load();

    /// Sets all counts to zero. With \p isEncoding messages are encoded to
    /// count their bytes.
    void count(bool isEncoding);

    /// Restarts a router as a new process after it has left the fleet.
    void restart(std::size_t router);

    void setTableUp(bool isUp) { m_isTableUp = isUp; }

    const std::vector<router_cost>& costs() const { return m_costs; }
    table_calls tableCalls() const;
    std::uint64_t answered() const { return m_answered; }
    std::uint64_t refused() const { return m_refused; }

    /// Returns how many routers are fresh and listed.
    std::size_t ready() const;

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
        bool isRepeating = false; ///< Sends the next request when this one ends.
    };
    using core_event = std::function<router_actions(router_core&, time_point)>;

    void at(time_point when, std::function<void()> action);
    void post(std::size_t router, work_kind kind, const core_event& event);
    void later(std::size_t router, duration delay, work_kind kind, core_event event);
    void startNode(std::size_t router);
    void tick(std::size_t router);
    void openLink(std::size_t router, std::size_t other);
    void linkTargets(std::size_t router);
    void arrive();
    void change();
    void submit(const caller& from);
    void noteCall(bool isWrite);
    result<revision> commit(const commit_rows& asked);

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
    std::unordered_map<vm_id, std::size_t> m_numbers;
    std::vector<router_cost> m_costs;
    std::map<server_id, std::uint32_t> m_inFlight;
    std::map<std::pair<std::size_t, request_number>, caller> m_callers;
    std::map<std::string, row_change> m_rows;
    revision m_revision;
    bool m_isTableUp = true;
    std::map<std::int64_t, table_calls> m_calls; ///< By second.
    std::string m_answer;
    bool m_isEncoding = false;
    std::uint64_t m_answered = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_order = 0;
    std::priority_queue<timed_event, std::vector<timed_event>, std::greater<>> m_events;
    time_point m_now { std::chrono::seconds(1000) };
};

}
