#include "pimentoladder/Daemon/RolloutDriver.h"

#include <algorithm>
#include <variant>

namespace pimentoladder {

namespace {

    constexpr const char* rolloutTable = "pimentoladder-rollouts";

    std::int64_t millisecondsOf(duration time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

}

rollout_driver::rollout_driver(rollout_driver_parts parts, const fleet_router& self)
    : m_parts(std::move(parts))
    , m_self { self.vm, self.start }
    , m_core(self.vm, self.start, m_parts.limits)
    , m_timer(m_parts.dispatch.loop(), [this] { post([](rollout_coordinator& core, time_point now) { return core.onTick(now); }); })
{
}

void rollout_driver::post(const std::function<rollout_actions(rollout_coordinator&, time_point)>& event)
{
    const time_point now = m_parts.dispatch.loop().now();
    for (const rollout_action& action : event(m_core, now))
        std::visit([this](const auto& step) { perform(step); }, action);
    if (const auto deadline = m_core.nextDeadline(now))
        m_timer.arm(std::max(*deadline - now, duration::zero()));
    else
        m_timer.cancel();
}

void rollout_driver::putOrder(const std::string& rowKey, revision at, const rollout_order& order)
{
    m_parts.log.write(log_level::info, "rollout_ordered",
        { { "pool", std::string_view(order.pool.value()) }, { "version", std::string_view(order.version) }, { "order", at.value() }, { "length_ms", millisecondsOf(order.length) } });
    m_orders[rowKey] = order;
    m_parts.dispatch.core().setRollout(m_parts.dispatch.loop().now(), at, order);
    post([&](rollout_coordinator& core, time_point now) { return core.onOrder(now, at, order); });
    countServers();
    applyPermits();
}

void rollout_driver::removeOrder(const std::string& rowKey)
{
    const auto removed = m_orders.extract(rowKey);
    if (!removed)
        return;
    const pool_id pool = removed.mapped().pool;
    m_parts.log.write(log_level::info, "rollout_withdrawn", { { "pool", std::string_view(pool.value()) } });
    m_parts.dispatch.core().endRollout(m_parts.dispatch.loop().now(), pool);
    post([&](rollout_coordinator& core, time_point now) { return core.onOrderRemoved(now, pool); });
}

void rollout_driver::setReaders(const std::vector<fleet_router>& readers, std::size_t routers)
{
    std::vector<vm_id> names;
    names.reserve(readers.size());
    for (const fleet_router& each : readers)
        names.push_back(each.vm);
    m_core.setReaders(std::move(names), routers);
}

void rollout_driver::onReport(const member_ref& from, const rollout_report& report)
{
    post([&](rollout_coordinator& core, time_point now) { return core.onReport(now, from, report); });
}

void rollout_driver::onPermits(const rollout_permits& received)
{
    post([&](rollout_coordinator& core, time_point now) { return core.onPermits(now, received); });
    applyPermits();
}

void rollout_driver::exchange()
{
    if (m_orders.empty())
        return;
    countServers();
    const rollout_report own = m_parts.dispatch.core().rolloutEvidence(m_parts.dispatch.loop().now());
    if (m_core.isActive()) {
        m_parts.tellReaders(own);
        onReport(m_self, own);
    }
    tellReadersOfPermits();
    applyPermits();
    reportFigures(own);
}

void rollout_driver::tellReadersOfPermits()
{
    rollout_permits known = m_core.permitsForReaders(m_parts.dispatch.loop().now());
    if (!known.entries.empty())
        m_parts.tellReaders(std::move(known));
}

rollout_permits rollout_driver::permits() const
{
    return m_orders.empty() ? rollout_permits {} : m_core.permits(m_parts.dispatch.loop().now());
}

/// Servers join and leave during a roll-out, so they are counted at each exchange.
void rollout_driver::countServers()
{
    const fleet_view& fleet = m_parts.dispatch.core().fleet();
    for (const auto& [key, order] : m_orders) {
        std::size_t target = 0;
        std::size_t other = 0;
        for (const auto& [id, server] : fleet.servers()) {
            if (server.pool == order.pool && !server.isLeaving)
                ++(server.softwareVersion == order.version ? target : other);
        }
        m_core.setServers(order.pool, target, other);
    }
}

void rollout_driver::applyPermits()
{
    const time_point now = m_parts.dispatch.loop().now();
    if (const rollout_permits held = permits(); !held.entries.empty())
        m_parts.dispatch.core().setRolloutPermits(now, held);
}

void rollout_driver::reportFigures(const rollout_report& own)
{
    for (const rollout_permit& each : permits().entries)
        m_parts.values.set("pimentoladder_rollout_share", { { "pool", each.pool.value() } }, each.share);
    for (const rollout_evidence& each : own.rollouts) {
        rollout_tally target;
        for (const rollout_tally& tally : each.tallies) {
            if (!tally.isTarget)
                continue;
            target.sent += tally.sent;
            target.failures += tally.failures;
            target.slow += tally.slow;
        }
        m_parts.values.set("pimentoladder_rollout_target_sent", { { "pool", each.pool.value() } }, static_cast<double>(target.sent));
        m_parts.values.set("pimentoladder_rollout_target_failures", { { "pool", each.pool.value() } }, static_cast<double>(target.failures));
        m_parts.values.set("pimentoladder_rollout_target_slow", { { "pool", each.pool.value() } }, static_cast<double>(target.slow));
    }
}

void rollout_driver::perform(const read_rollouts&)
{
    m_parts.values.count("pimentoladder_store_reads_total", { { "table", rolloutTable } });
    m_parts.store.list(rolloutTable, [this](const result<rows_page>& answer) {
        result<std::vector<std::pair<rollout_record, revision>>> records;
        if (!answer)
            records = tl::unexpected(answer.error());
        for (std::size_t i = 0; answer && i < answer->rows.size(); ++i) {
            const published_row& row = answer->rows[i];
            auto decoded = m_codec.decode(row.value);
            if (decoded) {
                records->emplace_back(std::move(*decoded), row.position.at);
                continue;
            }
            m_parts.values.count("pimentoladder_store_unreadable_rows_total", { { "table", rolloutTable } });
            m_parts.log.write(log_level::warning, "row_unreadable",
                { { "table", rolloutTable }, { "key", std::string_view(row.key) }, { "row_revision", row.position.at.value() }, { "message", std::string_view(decoded.error().message) } });
        }
        post([&](rollout_coordinator& core, time_point now) { return core.onRead(now, records); });
        applyPermits();
    });
}

void rollout_driver::perform(const commit_rollout& step)
{
    row_transaction transaction { rolloutTable, step.record.pool.value(), step.expected, {} };
    transaction.writes.push_back({ rolloutTable, step.record.pool.value(), m_codec.encode(step.record) });
    if (step.publishesState)
        transaction.writes.push_back({ m_parts.codec.stateTable(), m_parts.codec.rolloutStateKey(step.record.pool), m_parts.codec.encodeRolloutState(step.record.version, step.record.state) });
    m_parts.values.count("pimentoladder_rollout_commits_total", {});
    m_parts.store.commit(transaction, [this, pool = step.record.pool](const result<revision>& outcome) {
        if (!outcome) {
            m_parts.log.write(log_level::warning, "rollout_commit_failed",
                { { "pool", std::string_view(pool.value()) }, { "reason", errorKindName(outcome.error().kind) }, { "message", std::string_view(outcome.error().message) } });
        }
        post([&](rollout_coordinator& core, time_point now) { return core.onCommitted(now, pool, outcome); });
        applyPermits();
    });
}

void rollout_driver::perform(const permits_changed&)
{
    tellReadersOfPermits();
    if (rollout_permits held = permits(); !held.entries.empty())
        m_parts.tellFollowers(std::move(held));
    applyPermits();
}

void rollout_driver::perform(const rollout_event& step)
{
    m_parts.values.count("pimentoladder_rollout_events_total", { { "kind", std::string(step.kind) } });
    m_parts.log.write(log_level::info, step.kind,
        { { "pool", std::string_view(step.pool.value()) }, { "order", step.order.value() }, { "version", std::string_view(step.version) }, { "reason", step.reason },
            { "token", step.token.value() }, { "share", step.share }, { "elapsed_ms", millisecondsOf(step.elapsed) }, { "exposed", step.exposed }, { "requests", step.requests },
            { "answers", step.answers }, { "failures", step.failures }, { "slow", step.slow }, { "current_fault_share", step.currentFaultShare },
            { "evidence_age_ms", millisecondsOf(step.evidenceAge) } });
}

}
