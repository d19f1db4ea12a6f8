#include "pimentoladder/Daemon/DecisionLog.h"

namespace pimentoladder {

void decision_log::perform(const route_decision& decided)
{
    const auto waited = std::chrono::duration_cast<std::chrono::microseconds>(decided.waited).count();
    m_log.write(log_level::info, "request_routed",
        {
            { "request", decided.request.value() },
            { "attempt", decided.attempt.value() },
            { "workspace", std::string_view(decided.workspace.value()) },
            { "pool", std::string_view(decided.pool.value()) },
            { "server", std::string_view(decided.server.value()) },
            { "rule", std::string_view("grant") },
            { "shard", std::string_view(decided.shard.value()) },
            { "owner", std::string_view(decided.owner.vm.value()) },
            { "token", decided.token.value() },
            { "grant", decided.grant.value() },
            { "candidates", static_cast<std::uint64_t>(decided.candidates) },
            { "waited_us", static_cast<std::int64_t>(waited) },
            { "revision", decided.at.value() },
        });
}

void decision_log::perform(const ownership_decision& decided)
{
    m_log.write(log_level::info, decided.isOwner ? "shard_taken" : "shard_left",
        {
            { "shard", std::string_view(decided.shard.value()) },
            { "token", decided.token.value() },
            { "grants_from_ns", static_cast<std::int64_t>(decided.grantsFrom.time_since_epoch().count()) },
        });
}

void decision_log::perform(const grant_issued& issued)
{
    const grant_decision& decided = issued.decision;
    const bool isAdvance = decided.workspace.isEmpty();
    m_log.write(log_level::info, "grant_issued",
        {
            { "shard", std::string_view(issued.shard.value()) },
            { "token", issued.token.value() },
            { "grant", decided.grant.value() },
            { "router", std::string_view(decided.router.value()) },
            { "request", decided.request.value() },
            { "workspace", std::string_view(decided.workspace.value()) },
            { "server", std::string_view(decided.server.value()) },
            { "rule", std::string_view(isAdvance ? "advance" : "least_virtual_time") },
            { "virtual_time", decided.virtualTime },
            { "charged", decided.charged },
            { "candidates", static_cast<std::uint64_t>(decided.candidates) },
            { "is_local", decided.chosen.isLocal },
            { "has_prefix", decided.chosen.hasPrefix },
            { "load", decided.chosen.loadFraction },
            { "revision", issued.at.value() },
        });
}

void decision_log::perform(const limit_decision& decided)
{
    m_log.write(log_level::info, "limit_in_force",
        {
            { "server", std::string_view(decided.server.value()) },
            { "limit", static_cast<std::uint64_t>(decided.limit) },
        });
}

void decision_log::perform(const placement_decision& decided)
{
    m_log.write(log_level::info, "placement_decided",
        {
            { "shard", std::string_view(decided.shard.value()) },
            { "order", decided.order.number.value() },
            { "server", std::string_view(decided.order.server.value()) },
            { "action", placementActionName(decided.order.action) },
            { "model", std::string_view(decided.order.model.value()) },
            { "token", decided.order.token.value() },
            { "demand", decided.demand },
            { "loaded_capacity", decided.capacity },
            { "why", placementReasonName(decided.reason) },
        });
}

void decision_log::perform(const document_applied& applied)
{
    m_log.write(log_level::info, "in_force", { { "revision", applied.at.value() } });
}

void decision_log::perform(const change_incarnation& changed)
{
    m_log.write(log_level::warning, "incarnation_changed", { { "incarnation", changed.start.value() } });
}

void decision_log::perform(const report_fault& reported)
{
    m_log.write(log_level::error, "fault", { { "kind", errorKindName(reported.fault.kind) }, { "reason", std::string_view(reported.fault.message) } });
}

}
