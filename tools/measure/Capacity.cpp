#include "Scenarios.h"

#include <malloc.h>

#include <chrono>
#include <deque>
#include <memory>

#include "pimentoladder/Admission/ShardScheduler.h"

namespace pimentoladder::measure {

using namespace std::chrono_literals;

namespace {

    constexpr std::size_t shardServers = 16;
    constexpr std::size_t workspaceCount = 2000;
    constexpr std::size_t backloggedWorkspaces = 200;
    constexpr std::size_t queuedPerWorkspace = 5; ///< Waiting requests of each backlogged workspace.
    constexpr std::size_t decisions = 30000;
    constexpr double requestsPerSecond = 300;
    // The design allows each router 1.7% of a core for all control work; the owner
    // of one shard may spend all of it on scheduling decisions.
    constexpr double coreShareTarget = 0.017;
    constexpr double memoryTarget = 64e6;

    /// A shard view whose servers and access rules never change.
    struct fixed_shard_view : shard_view {
        std::vector<shard_server> listed;

        std::vector<shard_server> servers() const override { return listed; }
        bool mayUse(const workspace_id& workspace, const server_id& server) const override
        {
            // A tenth of the workspaces may use only about half of the servers.
            return workspace.value().back() != '7' || server.value().size() % 2 == 0;
        }
        double weight(const workspace_id&) const override { return 1; }
    };

    double usedMemory()
    {
        return static_cast<double>(mallinfo2().uordblks);
    }

    struct running_grant {
        member_ref router;
        grant_number number;
        workspace_id workspace;
    };

    /// One shard scheduler in simulated time under a constant backlog.
    class scheduler_benchmark {
    public:
        scheduler_benchmark(std::size_t routers, std::uint64_t seed)
            : m_random(seed)
        {
            for (std::size_t i = 0; i < shardServers; ++i)
                m_view.listed.push_back({ server_id("server" + std::to_string(i)), data_centre_id(std::to_string(i % 6)), 8, 8 });
            m_scheduler = std::make_unique<shard_scheduler>(
                shard_ownership { shard_id("model#0"), pool_id("model"), fencing_token(1), m_now, m_now },
                shard_scheduler_dependencies { m_view, m_ledger, m_estimator, m_order, m_choice }, seed);
            std::vector<shard_router> listed;
            for (std::size_t i = 0; i < routers; ++i) {
                m_routers.push_back({ vm_id("router" + std::to_string(i)), incarnation(1) });
                listed.push_back({ m_routers.back(), data_centre_id(std::to_string(i % 6)) });
            }
            m_scheduler->setRouters(listed, m_now);
            // Every workspace has been served before; a tenth is backlogged.
            for (std::size_t i = 0; i < workspaceCount; ++i)
                m_ledger.charge(workspaceName(i), 1 + static_cast<double>(i % 7));
            for (std::size_t i = 0; i < backloggedWorkspaces * queuedPerWorkspace; ++i)
                addDemand(workspaceName(i % backloggedWorkspaces));
            applyActions(m_scheduler->onTick(m_now));
        }

        /// Ends the oldest running request, adds a new one of the same workspace and
        /// runs the scheduler.
        void runDecision()
        {
            m_now += duration(static_cast<duration::rep>(1e9 / requestsPerSecond));
            const running_grant ended = m_running.front();
            m_running.pop_front();
            m_scheduler->onGrantReport(ended.router,
                { shard_id("model#0"), fencing_token(1), 0,
                    { { ended.number, fencing_token(1), grant_event::finished, ended.workspace, 3, 40ms } } },
                m_now);
            addDemand(ended.workspace);
            applyActions(m_scheduler->onTick(m_now));
        }

    private:
        static workspace_id workspaceName(std::size_t number) { return workspace_id("workspace" + std::to_string(number)); }

        void addDemand(const workspace_id& workspace)
        {
            const member_ref& router = m_routers[m_random.index(m_routers.size())];
            const request_number request(m_nextRequest++);
            m_workspaces.push_back(workspace);
            m_scheduler->onAcquire(
                router, { shard_id("model#0"), fencing_token(1), { { request, workspace, 2 } }, {}, 2 }, m_now);
        }

        void applyActions(const scheduler_actions& actions)
        {
            for (const auto& [to, granted] : actions.grants) {
                grant_report started { granted.shard, granted.token, 0, {} };
                for (const grant_entry& entry : granted.entries) {
                    const workspace_id& workspace = m_workspaces[entry.request.value() - 1];
                    m_running.push_back({ to, entry.number, workspace });
                    started.entries.push_back({ entry.number, granted.token, grant_event::started, workspace, 2, {} });
                }
                m_scheduler->onGrantReport(to, started, m_now);
            }
        }

        random_source m_random;
        time_point m_now { 1000s };
        fixed_shard_view m_view;
        service_ledger m_ledger { member_ref { vm_id("router0"), incarnation(1) } };
        cost_estimator m_estimator;
        least_virtual_time m_order;
        local_then_prefix m_choice;
        std::vector<member_ref> m_routers;
        std::vector<workspace_id> m_workspaces; ///< Workspace of each request; request N is at index N - 1.
        std::deque<running_grant> m_running;
        std::uint64_t m_nextRequest = 1;
        std::unique_ptr<shard_scheduler> m_scheduler;
    };

}

void measureCapacity(std::uint64_t seed, figure_printer& printer)
{
    for (const std::size_t routers : { 8, 40, 120, 340 }) {
        const double before = usedMemory();
        scheduler_benchmark load(routers, seed);
        const double memory = usedMemory() - before;
        const auto begin = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < decisions; ++i)
            load.runDecision();
        const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - begin;
        const double perDecision = spent.count() / static_cast<double>(decisions);
        const std::string prefix = "capacity.routers_" + std::to_string(routers);
        printer.print({ prefix + ".time_per_decision", perDecision, "us" });
        printer.print({ prefix + ".core_share_at_300_per_s", perDecision * 1e-6 * requestsPerSecond, "ratio",
            target_kind::atMost, coreShareTarget });
        printer.print({ prefix + ".memory", memory, "bytes", target_kind::atMost, memoryTarget });
    }
}

}
