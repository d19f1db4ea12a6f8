/// \file
/// Simulation of one shard owner, its routers and its backend servers. The links
/// delay, lose, repeat and reorder messages.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pimentoladder/Admission/GrantHolder.h"
#include "pimentoladder/Admission/ShardScheduler.h"

namespace pimentoladder {

struct test_view : shard_view {
    std::vector<shard_server> listed;
    std::set<std::pair<workspace_id, server_id>> denied;
    std::map<workspace_id, double> weights;

    std::vector<shard_server> servers() const override { return listed; }
    bool mayUse(const workspace_id& workspace, const server_id& server) const override
    {
        return !denied.contains({ workspace, server });
    }
    double weight(const workspace_id& workspace) const override
    {
        const auto found = weights.find(workspace);
        return found == weights.end() ? 1 : found->second;
    }
};

struct link_faults {
    duration least = std::chrono::milliseconds(1);
    duration spread {}; ///< Random extra delay, which reorders messages.
    std::size_t lostInThousand = 0;
    std::size_t repeatedInThousand = 0;
};

struct fleet {
    struct job {
        workspace_id workspace;
        cost_units cost = 1;
        duration service;
        bool isFailing = false;
        double hintFactor = 1;
        model_id model = {};
    };
    struct fake_server {
        std::set<grant_key> running;
        std::size_t mostRunning = 0;
    };

    fleet(std::size_t routerCount, std::size_t serverCount, std::uint32_t floor, std::uint32_t ceiling);

    /// Replaces the owner; the old one stops acting at once.
    void changeOwner(std::uint64_t token, duration wait);

    /// A caller's request arrives at a router. Returns its number.
    request_number request(std::size_t router, const job& wanted, fingerprint print = {});
    void withdraw(std::size_t router, request_number number);

    /// Replaces the process of a router. The servers finish its requests, but nobody
    /// reports their end.
    void restartRouter(std::size_t router);

    /// Advances the simulated time. Runs the owner and all routers at each event
    /// and deadline, at most once a millisecond.
    void run(duration time);

    std::uint32_t limit(std::size_t server) const { return owner->limit(view.listed[server].id); }
    std::uint32_t inUse(std::size_t server) const { return owner->inUse(view.listed[server].id); }
    member_ref ref(std::size_t router) const;

    test_view view;
    time_point now { std::chrono::seconds(100) };
    duration ownerClockLead {}; ///< How far the upper bound is ahead of the owner's clock.
    link_faults faults;
    service_ledger ledger { member_ref { vm_id("owner"), incarnation(1) } };
    cost_estimator estimator;
    least_virtual_time order;
    local_then_prefix choice;
    std::unique_ptr<shard_scheduler> owner;
    std::vector<std::unique_ptr<grant_holder>> holders;
    std::vector<fake_server> servers;
    std::map<workspace_id, cost_units> served; ///< Actual cost of requests that ended.
    std::map<workspace_id, cost_units> startedService; ///< Actual cost of requests that started.
    std::uint64_t finished = 0;
    std::vector<grant_decision> decisions; ///< Of all owners, in order.
    std::vector<std::string> violations;
    std::function<void(const start_order&, const job&)> onStart;

private:
    void step();
    time_point nextStep() const;
    void send(std::size_t router, std::function<void()> deliver);
    void start(std::size_t router, const start_order& started);
    void end(std::size_t router, request_number ended, const job& done);
    void checkLimit(std::size_t server);
    void checkNoIdleCapacity();
    std::size_t serverNumber(const server_id& id) const;

    fencing_token m_token;
    time_point m_grantsFrom;
    std::vector<std::uint64_t> m_starts;
    std::multimap<time_point, std::function<void()>> m_events;
    std::vector<std::map<request_number, job>> m_jobs;
    std::map<grant_key, std::uint32_t> m_limitAtGrant;
    std::map<std::size_t, time_point> m_linkReplacedAt;
    random_source m_random { 1 };
    std::uint64_t m_nextRequest = 1;
};

}
