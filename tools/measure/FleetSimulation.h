/// \file
/// Shard owners, routers and fake backend servers in one process and simulated
/// time.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "pimentoladder/Admission/GrantHolder.h"
#include "pimentoladder/Admission/ShardScheduler.h"

namespace pimentoladder::measure {

/// How requests are admitted.
enum class admission_kind {
    fair, ///< One owner for each pool, fair order.
    baseline, ///< Each router alone, an equal split of the limits, least load, arrival order.
};

/// Shape of one pool's servers and requests.
struct pool_shape {
    std::string name;
    std::size_t servers = 1;
    std::uint32_t floor = 1;
    std::uint32_t ceiling = 8; ///< Also the true limit, above which a server collapses.
    cost_units leastCost = 1;
    cost_units largestCost = 1;
    duration baseTime {}; ///< Service time of a request beside its cost.
    duration timePerUnit {};
    duration firstByte {};
};

/// Demand of one workspace: requests kept waiting or running in each pool.
struct workspace_load {
    std::vector<std::size_t> outstanding; ///< For each pool.
    double hintFactor = 1;
    double laterHintFactor = 1; ///< From the middle of the measured time on.
    bool isHintRandom = false; ///< Each hint is a tenth of the cost, the cost, or ten times the cost.
    std::size_t homeRouter = 0;
};

struct simulation_shape {
    admission_kind kind = admission_kind::fair;
    std::size_t routers = 8;
    std::size_t dataCentres = 4;
    std::vector<pool_shape> pools;
    std::vector<workspace_load> workspaces;
    duration betweenDataCentres = std::chrono::microseconds(1500);
    duration withinDataCentre = std::chrono::microseconds(200);
    duration exchangeInterval = std::chrono::milliseconds(250);
    duration warmUp = std::chrono::seconds(20);
    duration measured = std::chrono::seconds(60);
    std::optional<duration> ownerLostAt; ///< Of the first pool, since the start.
    duration removalDelay = std::chrono::seconds(3);
    duration startUpWait = std::chrono::seconds(3); ///< Freshness window and grant lifetime.
};

/// Messages and entries that one router sent.
struct control_count {
    std::uint64_t messages = 0;
    std::uint64_t entries = 0;
};

struct pool_result {
    double granted = 0; ///< Share of the limits in force that grants held while work waited.
    double running = 0; ///< Share of the limits in force that servers ran while work waited.
    std::uint32_t mostAboveLimit = 0; ///< Requests above the true limit of a server, at most.
    double unitsPerSecond = 0;
};

struct simulation_result {
    double gap = 0; ///< Largest gap between two workspaces over any interval measured, at the owners.
    double gapAtStart = 0; ///< The same at the routers, where requests start after the grant's transit.
    double largestUnknown = 0; ///< U of the bound: largest sum of |charged - actual| in flight.
    double errorGap = 0; ///< Over any interval, change of the difference of (charged - actual) in flight of two workspaces.
    double leastShare = 0; ///< Least service of a workspace divided by the mean.
    std::vector<pool_result> pools;
    std::vector<control_count> sentByRouter;
    std::uint64_t grants = 0;
    duration ownerProcessorTime {}; ///< Spent in shard schedulers.
};

/// Runs one simulation. Not thread-safe.
class fleet_simulation {
public:
    fleet_simulation(simulation_shape shape, std::uint64_t seed);
    ~fleet_simulation();

    simulation_result run();

private:
    struct pool_view;
    struct router_owner;
    struct request_state {
        std::size_t pool = 0;
        std::size_t workspace = 0;
        std::size_t router = 0;
        cost_units cost = 0;
        cost_units hint = 0;
        cost_units charged = 0;
        bool isGranted = false; ///< Its cost counts as service since.
    };
    struct event {
        time_point at;
        std::uint64_t sequence = 0;
        std::function<void()> run;
        bool operator<(const event& other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };
    struct server_state {
        std::uint32_t running = 0;
    };
    struct grant_place {
        std::size_t owner = 0; ///< Router of the owner in the baseline; zero otherwise.
        fencing_token token;
        grant_number number;
        auto operator<=>(const grant_place&) const = default;
    };
    struct pool_state {
        std::unique_ptr<pool_view> view;
        std::vector<std::unique_ptr<router_owner>> owners; ///< One, or one for each router in the baseline.
        std::vector<std::unique_ptr<grant_holder>> holders;
        std::vector<std::optional<time_point>> wakes;
        std::vector<server_state> servers;
        std::uint64_t token = 1;
        double grantedTime = 0;
        double runningTime = 0;
        double limitTime = 0;
        pool_result result;
        std::map<grant_place, request_number> granted; ///< Not yet reported as ended.
    };

    void at(time_point when, std::function<void()> run);
    duration delay(std::size_t from, std::size_t to) const;
    void makeOwner(std::size_t pool, std::size_t slot, std::size_t router, duration wait);
    router_owner* ownerOf(std::size_t pool, std::size_t router);
    void loseOwner(std::size_t pool);
    void replaceOwner(std::size_t pool);
    void exchangeCounters();
    void submit(std::size_t pool, std::size_t workspace);
    double hintFactor(std::size_t workspace);
    std::size_t routerFor(std::size_t workspace);
    void turnHolder(std::size_t pool, std::size_t router);
    void wakeHolder(std::size_t pool, std::size_t router);
    template <typename Message, typename Handler>
    void sendToOwner(std::size_t pool, std::size_t router, const Message& sent, std::size_t entries, Handler handler);
    void turnOwner(std::size_t pool, router_owner& owner);
    void start(std::size_t pool, std::size_t router, const start_order& order);
    void end(std::size_t pool, std::size_t server, request_number request);
    void noteUnknown(const request_state& request, double sign);
    void noteGranted(std::size_t pool, const router_owner& owner, const scheduler_actions& actions);
    std::size_t ownerSlot(std::size_t pool, std::size_t router) const { return m_pools[pool].owners.size() == 1 ? 0 : router; }
    void noteReported(std::size_t pool, std::size_t router, const grant_report& report);
    void noteProgress(std::size_t pool, request_number number, time_point startedAt, duration time);
    void sample();
    void sampleGaps();
    struct service_gap;
    void noteService(service_gap& measured, std::size_t workspace, cost_units cost);
    bool isMeasuring() const { return m_now >= m_start + m_shape.warmUp; }
    void count(std::size_t router, std::size_t entries);

    simulation_shape m_shape;
    random_source m_random;
    time_point m_start { std::chrono::seconds(1000) };
    time_point m_now = m_start;
    std::priority_queue<event> m_events;
    std::uint64_t m_nextEvent = 0;
    std::vector<pool_state> m_pools;
    std::map<request_number, request_state> m_requests;
    std::uint64_t m_nextRequest = 1;
    struct service_gap {
        std::vector<cost_units> service; ///< Actual cost of each workspace's requests.
        std::vector<std::vector<double>> leastLead; ///< For each pair, over the measured time.
        std::vector<std::vector<double>> mostLead;
        double largest = 0;
        bool isMeasuring = false;
    };
    service_gap m_atOwners; ///< Requests count when they are granted.
    service_gap m_errors; ///< charged - actual of the requests in flight, in place of service.
    service_gap m_atStart; ///< Requests count when they start.
    std::vector<cost_units> m_serviceAtWarmUp;
    std::vector<double> m_unknown; ///< Sum of |charged - actual| in flight of each workspace.
    simulation_result m_result;
    std::uint64_t m_incarnations = 1;
};

}
