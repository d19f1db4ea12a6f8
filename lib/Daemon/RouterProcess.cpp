#include "pimentoladder/Daemon/RouterProcess.h"

#include <utility>

#include "ConnectionLimits.h"
#include "pimentoladder/Admin/AdminService.h"
#include "pimentoladder/Daemon/AdminFront.h"
#include "pimentoladder/Daemon/CallerFront.h"
#include "pimentoladder/Daemon/CoreDriver.h"
#include "pimentoladder/Daemon/DecisionLog.h"
#include "pimentoladder/Daemon/LoadPoller.h"
#include "pimentoladder/Daemon/MetricsReport.h"
#include "pimentoladder/Daemon/OrderSender.h"
#include "pimentoladder/Daemon/PeerMesh.h"
#include "pimentoladder/Daemon/PlatformAccess.h"
#include "pimentoladder/Daemon/PlatformGateway.h"
#include "pimentoladder/Daemon/ShutdownSequence.h"
#include "pimentoladder/Net/HttpClient.h"
#include "pimentoladder/Net/HttpServer.h"
#include "pimentoladder/Telemetry/Metrics.h"

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    router_identity identityOf(const settings& configured, incarnation start)
    {
        router_identity identity;
        identity.self = { configured.vm, start, configured.dataCentre, configured.listen.peersAdvertised };
        for (const seed_settings& seed : configured.seeds)
            identity.seeds.push_back(seed.location);
        return identity;
    }

    lifecycle_limits lifecycleLimits(const settings& configured)
    {
        lifecycle_limits limits;
        limits.queueTimeout = configured.timeouts.queue;
        return limits;
    }

    placement_settings placementOf(const settings& configured)
    {
        constexpr double secondsPerMinute = 60;
        placement_settings placement;
        placement.loadsPerSecond = static_cast<double>(configured.placement.loadsPerMinute) / secondsPerMinute;
        placement.modelsPerServer = configured.placement.modelsPerServer;
        return placement;
    }

    http_client_limits pollLimits()
    {
        http_client_limits limits;
        limits.connectTimeout = 500ms;
        limits.firstByteTimeout = 800ms;
        limits.idleTimeout = 800ms;
        return limits;
    }

    peer_link_settings linkSettings(const settings& configured, incarnation start)
    {
        peer_link_settings link;
        link.self = { configured.vm, start };
        link.fleetKey = configured.fleetKey;
        return link;
    }

    // Of two routers that know each other, the one with the smaller VM id dials,
    // so that they share one link. A router that is not a member yet dials all
    // others.
    std::vector<peer_target> dialledTargets(const fleet_coordinator& fleet, const vm_id& self)
    {
        const bool isListed = fleet.current().members.contains(self);
        std::vector<peer_target> targets = fleet.targets();
        std::erase_if(targets, [&](const peer_target& target) { return isListed && !target.vm.isEmpty() && target.vm < self; });
        return targets;
    }

    peer_mesh_owner meshOwner(core_driver& driver, const vm_id& self)
    {
        peer_mesh_owner owner;
        owner.targets = [&driver, self] { return dialledTargets(driver.core().fleet(), self); };
        owner.locate = [&driver](const vm_id& vm) { return driver.core().fleet().locate(vm); };
        owner.opened = [&driver](const member_ref& peer, const endpoint& dialledTo) {
            driver.post([&](router_core& core, time_point now) { return core.onLinkOpened(now, peer, dialledTo); });
        };
        owner.received = [&driver](const member_ref& peer, const message& received) {
            driver.post([&](router_core& core, time_point now) { return core.onMessage(now, peer, received); });
        };
        return owner;
    }

    operator_directory operatorsOf(const settings& configured)
    {
        std::vector<operator_credential> credentials;
        for (const operator_settings& each : configured.operators)
            credentials.push_back({ each.name, each.tokenDigest });
        // The settings were validated, so every credential is valid.
        return *operator_directory::create(credentials);
    }

}

/// The components of a router in order of dependency, and the routing of the
/// core's actions to them.
struct router_process::parts : action_handler {
    parts(event_loop& ofLoop, logger& toLog, const settings& from, incarnation start, std::uint64_t seed);

    void handle(const router_action& action) override;

    void changeCommitted(revision at);
    void perform(const document_applied& applied);
    void perform(const membership_changed&) { mesh.refreshTargets(); }
    void perform(const change_incarnation& changed);

    event_loop& loop;
    logger& log;
    settings configured;
    metrics values;
    http_client backends;
    http_client polls;
    router_core core;
    core_driver driver;
    decision_log decisions;
    platform_access platform;
    platform_gateway gateway;
    caller_front callers;
    load_poller loads;
    order_sender orders;
    peer_mesh mesh;
    admin_service administration;
    metrics_report report;
    admin_front admin;
    http_server callerServer;
    http_server adminServer;
    shutdown_sequence shutdown;
};

router_process::parts::parts(event_loop& ofLoop, logger& toLog, const settings& from, incarnation start, std::uint64_t seed)
    : loop(ofLoop)
    , log(toLog)
    , configured(from)
    , backends(loop, backendLimits(configured))
    , polls(loop, pollLimits())
    , core(identityOf(configured, start), lifecycleLimits(configured), seed, placementOf(configured))
    , driver(loop, core)
    , decisions(log)
    , platform(loop, configured.platform, seed + 2)
    , gateway(driver, log, platform.clients(), configured.vm.value() + "-" + std::to_string(start.value()))
    , callers(
          driver, backends, log, values,
          [this](const std::string& object, std::function<void(std::optional<std::string>)> onEnd) { gateway.readBody(object, std::move(onEnd)); },
          configured.limits.bufferBytes)
    , loads(driver, polls, log)
    , orders(driver, polls, log)
    , mesh(loop, log, linkSettings(configured, start), meshOwner(driver, configured.vm), seed + 1)
    , administration(
          {}, operatorsOf(configured), gateway.changes(),
          [this](revision at) { changeCommitted(at); }, seed + 3)
    , report(driver, values, mesh, log)
    , admin(driver, administration, [this] { return report.text(); })
    , callerServer(loop, callerLimits(configured), [this](http_request request, std::shared_ptr<http_response_writer> answer) { callers.onRequest(std::move(request), std::move(answer)); })
    , adminServer(loop, {}, [this](const http_request& request, const std::shared_ptr<http_response_writer>& answer) { admin.onRequest(request, answer); })
    , shutdown({ driver, admin, callers, callerServer, log }, configured.shutdown)
{
    driver.setHandler(*this);
}

void router_process::parts::handle(const router_action& action)
{
    struct performer {
        parts& to;

        void operator()(const send_message& step) const { to.mesh.send(step.to, step.content); }
        void operator()(const poll_revision& step) const { to.gateway.perform(step); }
        void operator()(const fetch_rows& step) const { to.gateway.perform(step); }
        void operator()(const commit_rows& step) const { to.gateway.perform(step); }
        void operator()(const write_claims& step) const { to.gateway.perform(step); }
        void operator()(const read_claims& step) const { to.gateway.perform(step); }
        void operator()(const store_body& step) const { to.gateway.perform(step); }
        void operator()(const poll_load& step) const { to.loads.perform(step); }
        void operator()(const start_attempt& step) const { to.callers.perform(step); }
        void operator()(const stop_stream& step) const { to.callers.perform(step); }
        void operator()(const request_step& step) const { to.callers.perform(step); }
        void operator()(const document_applied& step) const { to.perform(step); }
        void operator()(const membership_changed& step) const { to.perform(step); }
        void operator()(const change_incarnation& step) const { to.perform(step); }
        void operator()(const report_fault& step) const { to.decisions.perform(step); }
        void operator()(const route_decision& step) const { to.decisions.perform(step); }
        void operator()(const ownership_decision& step) const { to.decisions.perform(step); }
        void operator()(const grant_issued& step) const { to.decisions.perform(step); }
        void operator()(const limit_decision& step) const { to.decisions.perform(step); }
        void operator()(const placement_decision& step) const { to.decisions.perform(step); }
        void operator()(const order_server& step) const { to.orders.perform(step); }
        void operator()(const read_models& step) const { to.orders.perform(step); }
    };
    std::visit(performer { *this }, action);
}

void router_process::parts::changeCommitted(revision at)
{
    driver.post([at](router_core& target, time_point now) { return target.onChangeCommitted(now, at); });
    admin.onCommitted();
}

void router_process::parts::perform(const document_applied& applied)
{
    decisions.perform(applied);
    mesh.refreshTargets();
}

void router_process::parts::perform(const change_incarnation& changed)
{
    decisions.perform(changed);
    mesh.perform(changed);
}

router_process::router_process(event_loop& loop, logger& log, const settings& configured, incarnation start, std::uint64_t seed)
    : m_parts(std::make_unique<parts>(loop, log, configured, start, seed))
{
}

router_process::~router_process() = default;

result<void> router_process::start()
{
    const settings& configured = m_parts->configured;
    if (const auto listening = m_parts->mesh.listen(configured.listen.peers, configured.listen.peersAdvertised); !listening)
        return tl::unexpected(listening.error());
    if (const auto listening = m_parts->adminServer.listen(configured.listen.admin); !listening)
        return tl::unexpected(listening.error());
    if (const auto listening = m_parts->callerServer.listen(configured.listen.callers); !listening)
        return tl::unexpected(listening.error());
    m_parts->mesh.refreshTargets();
    m_parts->gateway.watchVms();
    m_parts->log.write(log_level::info, "router_started", { { "vm", std::string_view(configured.vm.value()) }, { "data_centre", std::string_view(configured.dataCentre.value()) } });
    return {};
}

void router_process::shutDown(time_point receivedAt)
{
    m_parts->shutdown.begin(receivedAt);
}

void router_process::interrupt(time_point receivedAt)
{
    m_parts->shutdown.interrupt(receivedAt);
}

}
