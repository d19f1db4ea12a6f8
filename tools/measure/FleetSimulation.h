/// \file
/// Simulation of shard owners, routers and fake backend servers in one process, in
/// simulated time.

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
    fair, ///< One owner for each pool grants in fair order.
    baseline, ///< Each router on its own: equal split of the limits, least load, arrival order.
};

/// Shape of one pool's servers and requests.
struct pool_shape {
    std::string name;
    std::size_t servers = 1;
    std::uint32_t floor = 1;
    std::uint32_t ceiling = 8; ///< Also the true limit; above it, requests take ten times as long.
    cost_units leastCost = 1;
    cost_units largestCost = 1;
    duration baseTime {}; ///< Part of the service time that does not depend on the cost.
    duration timePerUnit {};
    duration firstByte {};
};

/// Demand of one workspace, which keeps a fixed number of requests outstanding in
/// each pool.
struct workspace_load {
    std::vector<std::size_t> outstanding; ///< For each pool.
    double hintFactor = 1;
    double laterHintFactor = 1; ///< Applies from the middle of the measured time.
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
    std::optional<duration> ownerFailsAt; ///< When the owner of the first pool fails, since the start.
    duration removalDelay = std::chrono::seconds(3);
    duration startUpWait = std::chrono::seconds(3); ///< Wait of a new owner: freshness window and grant lifetime.
};

/// Control messages and their entries that one router sent.
struct control_count {
    std::uint64_t messages = 0;
    std::uint64_t entries = 0;
};

struct pool_result {
    double granted = 0; ///< Fraction of the limits in force that was granted while work waited.
    double running = 0; ///< Fraction of the limits in force that was running while work waited.
    std::uint32_t mostAboveLimit = 0; ///< Largest number of requests above the true limit of a server.
    double unitsPerSecond = 0;
};

struct simulation_result {
    double gap = 0; ///< Largest service gap between two workspaces over any measured interval, as granted by the owners.
    double gapAtStart = 0; ///< The same as started by the routers, after the message delay of the grant.
    double largestChargeError = 0; ///< U of the bound: largest sum of |charged - actual| of a workspace's requests in flight.
    double errorGap = 0; ///< Largest change, over any interval, of the difference between two workspaces' sums of (charged - actual) in flight.
    double leastShare = 0; ///< Least service of a workspace divided by the mean.
    std::vector<pool_result> pools;
    std::vector<control_count> sentByRouter;
    std::uint64_t grants = 0;
    duration ownerProcessorTime {}; ///< Elapsed real time spent in the shard schedulers.
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
        bool isGranted = false; ///< Its cost has been counted as service.
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
    struct grant_key {
        std::size_t owner = 0; ///< Index of the owner's router in the baseline; zero otherwise.
        fencing_token token;
        grant_number number;
        auto operator<=>(const grant_key&) const = default;
    };
    struct pool_state {
        std::unique_ptr<pool_view> view;
        std::vector<std::unique_ptr<router_owner>> owners; ///< One; in the baseline, one for each router.
        std::vector<std::unique_ptr<grant_holder>> holders;
        std::vector<std::optional<time_point>> wakeTimes;
        std::vector<server_state> servers;
        std::uint64_t token = 1;
        double grantedTime = 0;
        double runningTime = 0;
        double limitTime = 0;
        pool_result result;
        std::map<grant_key, request_number> granted; ///< Grants not yet reported as finished.
    };

    void scheduleAt(time_point when, std::function<void()> run);
    duration messageDelay(std::size_t from, std::size_t to) const;
    void startOwner(std::size_t pool, std::size_t slot, std::size_t router, duration wait);
    router_owner* ownerOf(std::size_t pool, std::size_t router);
    void failOwner(std::size_t pool);
    void replaceOwner(std::size_t pool);
    void exchangeCounters();
    void submit(std::size_t pool, std::size_t workspace);
    double hintFactor(std::size_t workspace);
    std::size_t routerFor(std::size_t workspace);
    void runHolder(std::size_t pool, std::size_t router);
    void scheduleHolder(std::size_t pool, std::size_t router);
    template <typename Message, typename Handler>
    void sendToOwner(std::size_t pool, std::size_t router, const Message& sent, std::size_t entries, Handler handler);
    void runOwner(std::size_t pool, router_owner& owner);
    void start(std::size_t pool, std::size_t router, const start_order& order);
    void end(std::size_t pool, std::size_t server, request_number request);
    void recordChargeError(const request_state& request, double sign);
    void recordGrants(std::size_t pool, const router_owner& owner, const scheduler_actions& actions);
    std::size_t ownerSlot(std::size_t pool, std::size_t router) const { return m_pools[pool].owners.size() == 1 ? 0 : router; }
    void recordReport(std::size_t pool, std::size_t router, const grant_report& report);
    void scheduleProgress(std::size_t pool, request_number number, time_point startedAt, duration time);
    void sample();
    void beginGapMeasurement();
    struct service_gap;
    void recordService(service_gap& measured, std::size_t workspace, cost_units cost);
    bool isMeasuring() const { return m_now >= m_start + m_shape.warmUp; }
    void countMessage(std::size_t router, std::size_t entries);

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
        std::vector<cost_units> service; ///< Sum of the actual costs of each workspace's requests.
        std::vector<std::vector<double>> leastLead; ///< Of the first workspace of each pair, over the measured time.
        std::vector<std::vector<double>> mostLead;
        double largest = 0;
        bool isMeasuring = false;
    };
    service_gap m_atOwners; ///< Counts requests when they are granted.
    service_gap m_signedErrors; ///< Holds (charged - actual) of the requests in flight instead of service.
    service_gap m_atStart; ///< Counts requests when they start.
    std::vector<cost_units> m_serviceAtWarmUp;
    std::vector<double> m_chargeErrors; ///< Sum of |charged - actual| of each workspace's requests in flight.
    simulation_result m_result;
    std::uint64_t m_incarnations = 1;
};

}
