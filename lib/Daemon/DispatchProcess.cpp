#include "pimentoladder/Daemon/DispatchProcess.h"

#include <algorithm>
#include <random>
#include <utility>

#include "ConnectionLimits.h"
#include "pimentoladder/Daemon/CoreDriver.h"
#include "pimentoladder/Daemon/DispatchFront.h"
#include "pimentoladder/Daemon/DispatchReport.h"
#include "pimentoladder/Daemon/FleetFollower.h"
#include "pimentoladder/Dispatch/LinkMeter.h"
#include "pimentoladder/Dispatch/OverloadGuard.h"
#include "pimentoladder/Memory/MemoryAccount.h"
#include "pimentoladder/Net/HttpClient.h"
#include "pimentoladder/Net/HttpServer.h"
#include "pimentoladder/Telemetry/Metrics.h"

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    constexpr int statusOk = 200;
    constexpr int statusUnavailable = 503;
    constexpr int statusNotFound = 404;
    constexpr duration lagInterval = 50ms;
    constexpr duration loadReportInterval = 1s;
    // Interval at which a shutdown checks for requests in progress.
    constexpr duration checkInterval = 20ms;
    // How long the process goes on after the deadline, to write what responses are pending.
    constexpr duration flushTimeout = 250ms;

    // Freshness of a key is checked before the first byte goes to the server; the
    // margin covers the transit time.
    constexpr duration keyFreshnessMargin = 400ms;
    // A router stays ready slightly beyond the freshness bound, so that switching
    // to another reader does not take it out of rotation.
    constexpr duration readinessMargin = 500ms;
    // Fraction of the platform's retry limit that the routers use. Each router
    // counts its own requests only, and its window differs from the platform's.
    constexpr double retryBudgetFraction = 0.75;
    // Fraction of the memory that may hold answers which wait for slow callers.
    constexpr double answerMemoryFraction = 0.125;

    // Age of the rows, as a fraction of the bound on it, that 99 of 100 decisions stay below while
    // the store and the readers are reached: the interval between reads, and the way of an update.
    constexpr double usualAgeFraction = 0.6;

    /// Returns how old the rows of this router may be: the shorter bound on changes.
    duration maxRowAge(const settings& configured)
    {
        return std::min(configured.freshness.configuration, configured.freshness.drain);
    }

    relay_limits relayLimits(const settings& configured)
    {
        relay_limits limits = relayLimitsFor(maxRowAge(configured));
        limits.restoredHold = configured.freshness.restoredHold;
        return limits;
    }

    answer_buffer_limits bufferLimits(const settings& configured)
    {
        return { configured.limits.bufferBytes, static_cast<std::size_t>(static_cast<double>(configured.limits.memoryBytes) * answerMemoryFraction) };
    }

    rollout_limits rolloutLimits(const settings& configured)
    {
        rollout_limits limits;
        limits.exposureShare = configured.rollouts.exposureShare;
        limits.exposureExtra = static_cast<std::uint64_t>(configured.rollouts.exposureExtra);
        limits.rollback = configured.rollouts.rollback;
        return limits;
    }

    dispatch_limits dispatchLimits(const settings& configured)
    {
        dispatch_limits limits;
        limits.selection.ownDataCentre = configured.dataCentre;
        limits.selection.self = configured.vm;
        limits.selection.usesServerSpeed = configured.serverSpeed == "learnt";
        limits.selection.maxRest = configured.timeouts.serverRest;
        limits.rollout = rolloutLimits(configured);
        limits.retryShare = configured.retries.share * retryBudgetFraction;
        limits.fleetRetries = static_cast<std::uint64_t>(configured.retries.extra * retryBudgetFraction);
        limits.freshness.maxKeyBasisAge = configured.freshness.keys - keyFreshnessMargin;
        limits.maxListAge = std::chrono::duration_cast<duration>(maxRowAge(configured) * usualAgeFraction);
        limits.freshness.maxReadyBasisAge = configured.freshness.configuration + readinessMargin;
        return limits;
    }

    /// Returns the size of the largest body that is admitted while nothing else is held.
    std::size_t largestBody(const memory_account& memory, std::size_t headBytes)
    {
        return memory.largestRequest() - std::min(memory.largestRequest(), headBytes);
    }

    fleet_router selfOf(const settings& configured, incarnation start)
    {
        return { configured.vm, start, configured.dataCentre, configured.listen.peersAdvertised, configured.cores };
    }

    // Returns 128 random bits from the system's generator, in hexadecimal.
    std::string generateFleetKey()
    {
        constexpr std::string_view digits = "0123456789abcdef";
        constexpr std::size_t keyLength = 32;
        std::random_device source;
        std::string key;
        while (key.size() < keyLength)
            key += digits[source() % digits.size()];
        return key;
    }

    void replyText(http_response_writer& answer, int status, std::string_view type, std::string_view body)
    {
        http_response_head head;
        head.status = status;
        head.headers.push_back({ "Content-Type", std::string(type) });
        answer.reply(head, body);
    }

}

/// The components in order of dependency, the routing of actions to them, and the
/// steps of a shutdown.
struct dispatch_process::parts : basic_action_handler<dispatch_action> {
    parts(event_loop& ofLoop, logger& toLog, const settings& from, platform_ports ports, incarnation start, std::uint64_t seed);

    void handle(const dispatch_action& action) override;
    std::string metricsText();
    void answerAdmin(const http_request& received, http_response_writer& answer);
    http_server_limits limitsOfCallers() const;
    void applyCallerLimits(const serving_plan& plan);
    void refuseNewWork();
    byte_counts bytesMoved() const;
    void measureLag();
    void endIfIdle();
    void cutRequests();
    void end(std::string_view reason);

    event_loop& loop;
    logger& log;
    settings configured;
    metrics values;
    std::shared_ptr<memory_account> memory;
    http_client backends;
    dispatcher core;
    dispatch_driver driver;
    dispatch_front front;
    dispatch_report report;
    fleet_follower follower;
    http_server callerServer;
    http_server adminServer;
    overload_guard guard;
    link_meter link;
    loop_timer lagTimer;
    time_point lagDue; ///< When the lag timer should fire.
    time_point loadReportedAt; ///< When refusals because of overload and traffic were last reported.
    byte_counts bytesReported; ///< As of then.
    duration processorTimeBefore {}; ///< Processor time used when the lag timer last fired.
    loop_timer graceTimer;
    loop_timer deadlineTimer;
    loop_timer checkTimer;
    loop_timer flushTimer;
    std::string_view endReason = "idle";
    std::uint64_t requestsCut = 0;
    bool isLeaving = false;
};

dispatch_process::parts::parts(event_loop& ofLoop, logger& toLog, const settings& from, platform_ports ports, incarnation start, std::uint64_t seed)
    : loop(ofLoop)
    , log(toLog)
    , configured(from)
    , memory(std::make_shared<memory_account>(memoryLimitsFor(configured.limits.memoryBytes)))
    , backends(loop, backendLimits(configured))
    , core(dispatchLimits(configured), seed)
    , driver(loop, core)
    , front(driver, backends, ports.ingress, bufferLimits(configured))
    , report(driver, log, values)
    , follower({ driver, ports.rows, ports.fleet, log, values, relayLimits(configured), rolloutLimits(configured), configured.listen.peers, [this](const serving_plan& plan) { applyCallerLimits(plan); } }, selfOf(configured, start), generateFleetKey(), seed + 1)
    , callerServer(
          loop, limitsOfCallers(), [this](http_request request, std::shared_ptr<http_response_writer> answer) { front.onRequest(std::move(request), std::move(answer)); }, memory)
    , adminServer(loop, {}, [this](const http_request& request, const std::shared_ptr<http_response_writer>& answer) { answerAdmin(request, *answer); })
    , guard(configured.cores)
    , link(configured.limits.linkBitsPerSecond)
    , lagTimer(loop, [this] { measureLag(); })
    , graceTimer(loop, [this] { refuseNewWork(); })
    , deadlineTimer(loop, [this] { cutRequests(); })
    , checkTimer(loop, [this] { endIfIdle(); })
    , flushTimer(loop, [this] { end(endReason); })
{
    driver.setHandler(*this);
    callerServer.setEarlyCheck([this](const http_headers& headers, bool closes) { return front.checkEarly(headers, closes); });
    callerServer.setCloseObserver([this](const server_close& closing) { report.recordClose(closing); });
    callerServer.setMemoryObserver([this](const memory_event& taken) { report.recordMemory(taken, *memory); });
}

void dispatch_process::parts::handle(const dispatch_action& action)
{
    struct performer {
        parts& to;

        void operator()(const dispatch_decision& step) const { to.report.perform(step); }
        void operator()(const attempt_outcome& step) const { to.report.perform(step); }
        void operator()(const request_outcome& step) const { to.report.perform(step); }
        void operator()(const trait_change& step) const { to.report.perform(step); }
        void operator()(const quarantine_trial& step) const { to.report.perform(step); }
        void operator()(const limit_change& step) const { to.report.perform(step); }
        void operator()(const hold_change& step) const { to.report.perform(step); }
        void operator()(const unreadable_load& step) const { to.report.perform(step); }
        void operator()(const removed_server& step) const { to.report.perform(step); }
        void operator()(const retire_connections& step) const { to.front.perform(step); }
        void operator()(const open_dispatch& step) const { to.front.perform(step); }
        void operator()(const cancel_dispatch& step) const { to.front.perform(step); }
        void operator()(const forward_response_head& step) const { to.front.perform(step); }
        void operator()(const forward_response_bytes& step) const { to.front.perform(step); }
        void operator()(const end_response& step) const { to.front.perform(step); }
        void operator()(const abort_response& step) const { to.front.perform(step); }
        void operator()(const refuse_inbound& step) const { to.front.perform(step); }
    };
    std::visit(performer { *this }, action);
}

std::string dispatch_process::parts::metricsText()
{
    values.set("pimentoladder_answer_bytes_waiting", {}, static_cast<double>(callerServer.pendingBytes()));
    for (const memory_holder holder : { memory_holder::input, memory_holder::reading, memory_holder::requests, memory_holder::answers })
        values.set("pimentoladder_memory_held_bytes", { { "holder", std::string(memoryHolderName(holder)) } }, static_cast<double>(memory->held(holder)));
    values.set("pimentoladder_memory_limit_bytes", {}, static_cast<double>(memory->limits().total));
    return report.metricsText();
}

void dispatch_process::parts::answerAdmin(const http_request& received, http_response_writer& answer)
{
    const bool isReady = !isLeaving && !guard.isOverloaded() && core.fleet().isReady(loop.now());
    if (received.method == "GET" && received.target == "/livez")
        replyText(answer, statusOk, "text/plain", "live\n");
    else if (received.method == "GET" && received.target == "/readyz")
        replyText(answer, isReady ? statusOk : statusUnavailable, "text/plain", isReady ? "ready\n" : "not ready\n");
    else if (received.method == "GET" && received.target == "/metrics")
        replyText(answer, statusOk, "text/plain; version=0.0.4", metricsText());
    else if (received.method == "GET" && received.target == "/quarantine")
        replyText(answer, statusOk, "application/json", report.quarantineText());
    else
        replyText(answer, statusNotFound, "text/plain", "paths are /livez, /readyz, /metrics and /quarantine\n");
}

/// Returns the limits of the settings. A body that the memory never has room for is refused as too large.
http_server_limits dispatch_process::parts::limitsOfCallers() const
{
    http_server_limits limits = callerLimits(configured);
    limits.bodyBytes = std::min(limits.bodyBytes, largestBody(*memory, limits.headBytes));
    return limits;
}

void dispatch_process::parts::applyCallerLimits(const serving_plan& plan)
{
    http_server_limits limits = callerLimits(configured);
    if (plan.maxHeadBytes > 0)
        limits.headBytes = plan.maxHeadBytes;
    if (plan.maxBodyBytes > 0)
        limits.bodyBytes = plan.maxBodyBytes;
    limits.bodyBytes = std::min(limits.bodyBytes, largestBody(*memory, limits.headBytes));
    if (plan.headTimeout > duration::zero())
        limits.headTimeout = plan.headTimeout;
    if (plan.idleTimeout > duration::zero())
        limits.idleTimeout = plan.idleTimeout;
    callerServer.setLimits(limits);
}

/// Returns the bytes of callers and backend servers. Messages between routers and calls to the store
/// are a small part of a router's traffic.
byte_counts dispatch_process::parts::bytesMoved() const
{
    const byte_counts callers = callerServer.traffic();
    const byte_counts servers = backends.traffic();
    return { callers.received + servers.received, callers.sent + servers.sent };
}

void dispatch_process::parts::measureLag()
{
    const time_point now = loop.now();
    const bool wasOverloaded = guard.isOverloaded();
    const duration processorTime = loop.processorTime();
    if (lagDue != time_point()) {
        const loop_sample sample { now - lagDue, processorTime - processorTimeBefore, callerServer.readDelay(), core.isShedding(now) };
        guard.onSample(now, sample);
        report.recordLag(sample);
    }
    processorTimeBefore = processorTime;
    if (guard.isOverloaded() != wasOverloaded) {
        values.count("pimentoladder_overload_changes_total", { { "state", wasOverloaded ? "left" : "entered" } });
        log.write(log_level::warning, wasOverloaded ? "overload_left" : "overload_entered", { { "requests", std::uint64_t { front.inProgress() } } });
    }
    core.setLoopLag(now, guard.lag());
    const byte_counts moved = bytesMoved();
    link.onSample(now, moved.received, moved.sent);
    if (now - loadReportedAt >= loadReportInterval) {
        loadReportedAt = now;
        report.recordShed(core.takeShed());
        report.recordTraffic(link.use(), { moved.received - bytesReported.received, moved.sent - bytesReported.sent }, backends.takeConnects());
        bytesReported = moved;
    }
    callerServer.setKeepAlive(!isLeaving && !guard.shouldShedConnections(now));
    lagDue = now + lagInterval;
    lagTimer.arm(lagInterval);
}

void dispatch_process::parts::refuseNewWork()
{
    log.write(log_level::info, "shutdown_draining", { { "requests", std::uint64_t { front.inProgress() } } });
    callerServer.drain();
    checkTimer.arm(checkInterval);
}

void dispatch_process::parts::endIfIdle()
{
    if (front.inProgress() == 0 && callerServer.connectionCount() == 0) {
        end(endReason);
        return;
    }
    checkTimer.arm(checkInterval);
}

void dispatch_process::parts::cutRequests()
{
    endReason = "deadline";
    requestsCut += front.inProgress();
    driver.post([](dispatcher& each, time_point now) { return each.endAll(now); });
    if (!flushTimer.isArmed())
        flushTimer.arm(flushTimeout);
}

void dispatch_process::parts::end(std::string_view reason)
{
    cutRequests();
    log.write(requestsCut == 0 ? log_level::info : log_level::warning, "shutdown_ended", { { "reason", reason }, { "requests_cut", requestsCut } });
    flushTimer.cancel();
    loop.stop();
}

dispatch_process::dispatch_process(event_loop& loop, logger& log, const settings& configured, platform_ports ports, incarnation start, std::uint64_t seed)
    : m_parts(std::make_unique<parts>(loop, log, configured, ports, start, seed))
{
}

dispatch_process::~dispatch_process() = default;

result<void> dispatch_process::start()
{
    const settings& configured = m_parts->configured;
    for (auto [server, location] : { std::pair { &m_parts->adminServer, configured.listen.admin }, std::pair { &m_parts->adminServer, configured.listen.metrics }, std::pair { &m_parts->callerServer, configured.listen.callers } }) {
        if (location.port == 0)
            continue;
        if (const auto listening = server->listen(location); !listening)
            return tl::unexpected(listening.error());
    }
    m_parts->follower.start();
    m_parts->measureLag();
    m_parts->log.write(log_level::info, "router_started", { { "vm", std::string_view(configured.vm.value()) }, { "data_centre", std::string_view(configured.dataCentre.value()) } });
    return {};
}

void dispatch_process::shutDown(time_point receivedAt)
{
    if (std::exchange(m_parts->isLeaving, true)) {
        m_parts->log.write(log_level::info, "shutdown_signal_ignored", { { "requests", std::uint64_t { m_parts->front.inProgress() } } });
        return;
    }
    const time_point now = m_parts->loop.now();
    m_parts->log.write(log_level::info, "shutdown_begun", { { "requests", std::uint64_t { m_parts->front.inProgress() } }, { "signal_ms_ago", std::chrono::duration_cast<std::chrono::milliseconds>(now - receivedAt).count() } });
    m_parts->callerServer.setKeepAlive(false);
    const shutdown_settings& limits = m_parts->configured.shutdown;
    m_parts->core.planShutdown(receivedAt + limits.grace, receivedAt + limits.deadline);
    m_parts->graceTimer.arm(receivedAt + limits.grace - now);
    m_parts->deadlineTimer.arm(receivedAt + limits.deadline - now);
}

void dispatch_process::interrupt(time_point receivedAt)
{
    if (m_parts->isLeaving)
        m_parts->end("interrupt");
    else
        shutDown(receivedAt);
}

void dispatch_process::reload(const settings& changed)
{
    m_parts->log.setThreshold(parseLogLevel(changed.logLevel));
    m_parts->log.write(log_level::info, "settings_reloaded", { { "log_level", std::string_view(changed.logLevel) } });
}

}
