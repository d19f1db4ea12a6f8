#include "pimentoladder/Daemon/MetricsReport.h"

namespace pimentoladder {

namespace {

    double inSeconds(duration value)
    {
        return std::chrono::duration<double>(value).count();
    }

}

metrics_report::metrics_report(core_driver& driver, metrics& values, const peer_mesh& mesh, const logger& log)
    : m_driver(driver)
    , m_metrics(values)
    , m_mesh(mesh)
    , m_log(log)
{
}

std::string metrics_report::text()
{
    collectRouter();
    collectShards();
    collectPlacement();
    collectLinks();
    return m_metrics.text();
}

void metrics_report::collectRouter()
{
    const router_core& core = m_driver.core();
    const time_point now = m_driver.loop().now();
    m_metrics.set("pimentoladder_fresh", {}, core.fleet().isFresh(now) ? 1 : 0);
    if (const auto age = core.fleet().basisAge(now))
        m_metrics.set("pimentoladder_basis_age_seconds", {}, inSeconds(*age));
    m_metrics.set("pimentoladder_revision", {}, static_cast<double>(core.fleet().current().at.value()));
    m_metrics.set("pimentoladder_accepted_revision", {}, static_cast<double>(core.fleet().accepted().value()));
    m_metrics.set("pimentoladder_suspended_members", {}, static_cast<double>(core.fleet().suspended().members().size()));
    const request_statistics requests = core.requests().figures();
    m_metrics.set("pimentoladder_requests_in_progress", {}, static_cast<double>(requests.inProgress));
    m_metrics.set("pimentoladder_requests_waiting", {}, static_cast<double>(requests.waiting));
    for (const auto& [workspace, cost] : core.requests().servedCosts())
        m_metrics.set("pimentoladder_service_cost_units", { { "workspace", workspace.value() } }, cost);
    m_metrics.set("pimentoladder_loop_lag_seconds", {}, inSeconds(m_driver.loopLag()));
    m_metrics.set("pimentoladder_log_lines_dropped", {}, static_cast<double>(m_log.droppedLines()));
}

void metrics_report::collectShards()
{
    const owner_role& owner = m_driver.core().owner();
    for (const auto& [shard, figures] : owner.figures()) {
        const std::vector<metric_label> labels { { "shard", shard.value() } };
        m_metrics.set("pimentoladder_shard_waiting", labels, static_cast<double>(figures.waiting));
        m_metrics.set("pimentoladder_shard_backlogged_workspaces", labels, static_cast<double>(figures.backlogged));
        m_metrics.set("pimentoladder_shard_grants", labels, static_cast<double>(figures.granted));
        m_metrics.set("pimentoladder_shard_advance_grants", labels, static_cast<double>(figures.advanceGranted));
        m_metrics.set("pimentoladder_shard_expired_grants", labels, static_cast<double>(figures.expired));
        m_metrics.set("pimentoladder_shard_ejections", labels, static_cast<double>(figures.ejections));
    }
    for (const auto& [server, limit, inUse] : owner.serverFigures()) {
        m_metrics.set("pimentoladder_server_limit", { { "server", server.value() } }, limit);
        m_metrics.set("pimentoladder_server_in_use", { { "server", server.value() } }, inUse);
    }
}

void metrics_report::collectPlacement()
{
    for (const auto& [shard, figures] : m_driver.core().owner().placementFigures()) {
        const std::vector<metric_label> labels { { "shard", shard.value() } };
        m_metrics.set("pimentoladder_placement_orders", labels, static_cast<double>(figures.orders.sent));
        m_metrics.set("pimentoladder_placement_orders_confirmed", labels, static_cast<double>(figures.orders.confirmed));
        m_metrics.set("pimentoladder_placement_orders_lost", labels, static_cast<double>(figures.orders.lost));
        m_metrics.set("pimentoladder_placement_orders_refused", labels, static_cast<double>(figures.orders.refused));
        m_metrics.set("pimentoladder_placement_stopped", labels, figures.isStopped ? 1 : 0);
        m_metrics.set("pimentoladder_placement_loads_per_second", labels, figures.loadsPerSecond);
        for (const auto& [model, demand, loadedServers] : figures.models) {
            const std::vector<metric_label> modelLabels { { "shard", shard.value() }, { "model", model.value() } };
            m_metrics.set("pimentoladder_model_demand_cost_units", modelLabels, demand);
            m_metrics.set("pimentoladder_model_loaded_servers", modelLabels, static_cast<double>(loadedServers));
        }
    }
}

void metrics_report::collectLinks()
{
    const peer_link_counters& counters = m_mesh.counters();
    for (std::size_t kind = 0; kind < messageKindCount; ++kind) {
        const std::string name(messageKindName(kind));
        m_metrics.set("pimentoladder_peer_messages_sent", { { "kind", name } }, static_cast<double>(counters.sent[kind].messages));
        m_metrics.set("pimentoladder_peer_bytes_sent", { { "kind", name } }, static_cast<double>(counters.sent[kind].bytes));
        m_metrics.set("pimentoladder_peer_messages_received", { { "kind", name } }, static_cast<double>(counters.received[kind].messages));
        m_metrics.set("pimentoladder_peer_bytes_received", { { "kind", name } }, static_cast<double>(counters.received[kind].bytes));
    }
    m_metrics.set("pimentoladder_peer_unknown_messages", {}, static_cast<double>(counters.unknown.messages));
    m_metrics.set("pimentoladder_peer_links_rejected", {}, static_cast<double>(counters.rejected));
    m_metrics.set("pimentoladder_peer_links_malformed", {}, static_cast<double>(counters.malformed));
    m_metrics.set("pimentoladder_peer_links_overflowed", {}, static_cast<double>(counters.overflowed));
}

}
