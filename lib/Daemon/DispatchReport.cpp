#include "pimentoladder/Daemon/DispatchReport.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

namespace pimentoladder {

namespace {

    // A line costs 3.6 us of CPU time (docs/measurements.md), so this rate takes 1.5 %
    // of a router with 0.12 cores. The calm day needs 16 lines in the median second
    // and 134 at most.
    constexpr std::uint64_t requestLinesPerSecond = 500;

    // Use of the link above which its traffic is logged.
    constexpr double busyLinkUse = 0.7;

    // Label of each learnt time in the metrics.
    constexpr std::array<std::pair<std::string_view, pool_speed::coefficient>, pool_speed::coefficients> speedNames { {
        { "request", pool_speed::base },
        { "thousand_tokens", pool_speed::perThousandTokens },
        { "squared_thousand_tokens", pool_speed::perSquaredThousand },
        { "running_request", pool_speed::perRunning },
        { "plain_request", pool_speed::perPlainRequest },
    } };

    // Two decimals suffice and keep the lines short.
    double roundToHundredths(double value)
    {
        constexpr double parts = 100;
        return std::round(value * parts) / parts;
    }

    // Returns the parts' ids as callers write them: hexadecimal, separated by commas.
    std::string partsText(const std::vector<prompt_part>& parts)
    {
        std::ostringstream text;
        for (const prompt_part& part : parts)
            text << (text.tellp() == 0 ? "" : ",") << std::hex << part.id;
        return text.str();
    }

    template <typename Name>
    std::string joined(const std::vector<Name>& names)
    {
        std::string text;
        for (const Name& each : names)
            text += (text.empty() ? "" : ",") + each.value();
        return text;
    }

    std::int64_t milliseconds(duration value)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    }

    // Returns -1 if there is no value.
    std::int64_t optionalMilliseconds(const std::optional<duration>& value)
    {
        return value ? milliseconds(*value) : -1;
    }

}

dispatch_report::dispatch_report(dispatch_driver& driver, logger& log, metrics& values)
    : m_driver(driver)
    , m_log(log)
    , m_metrics(values)
    , m_allowance(requestLinesPerSecond)
{
}

bool dispatch_report::mayWrite()
{
    const time_point now = m_driver.loop().now();
    if (const std::uint64_t omitted = m_allowance.takeOmitted(now); omitted > 0)
        m_log.write(log_level::warning, "request_lines_omitted", { { "lines", omitted } });
    return m_allowance.take(now);
}

void dispatch_report::perform(const dispatch_decision& decided)
{
    if (!mayWrite())
        return;
    const auto write = [&](auto... side) {
        m_log.write(log_level::info, "request_dispatched",
            { { "id", std::string_view(decided.callerId) }, { "request", decided.request.value() }, { "attempt", decided.attempt.value() },
                { "route", std::string_view(decided.routeName) }, { "workspace", std::string_view(decided.workspace.value()) },
                { "server", std::string_view(decided.server.value()) }, { "expected_ms", milliseconds(decided.expectedFirstEvent) },
                { "unread_tokens", static_cast<std::int64_t>(decided.uncachedTokens) }, { "candidates", std::uint64_t { decided.candidates } },
                { "runs_before", std::uint64_t { decided.attemptsSoFar } }, { "cold", decided.isCold }, { "share_fill", roundToHundredths(decided.shareUtilisation) }, { "served_fill", roundToHundredths(decided.servedUtilisation) }, { "entitled_fill", roundToHundredths(decided.entitledUtilisation) },
                { "config_version", decided.planVersion.value() }, { "basis_age_ms", milliseconds(decided.basisAge) }, { "usage_age_ms", optionalMilliseconds(decided.usageAge) },
                { "queue_running", std::uint64_t { decided.queue.running } }, { "queue_waiting", std::uint64_t { decided.queue.waiting } }, { "queue_age_ms", optionalMilliseconds(decided.queue.loadAge) },
                { "queue_own_sent", std::uint64_t { decided.queue.ownSent } }, { "queue_own_tokens", static_cast<std::int64_t>(decided.queue.ownTokens) },
                { "queue_others_tokens", static_cast<std::int64_t>(decided.queue.othersTokens) }, { "queue_excess_ms", milliseconds(decided.queue.excessDelay) }, { "queue_correction_ms", milliseconds(decided.queue.correction) }, side... });
    };
    if (decided.rolloutSide.empty())
        write();
    else
        write(log_field { "rollout_side", decided.rolloutSide });
}

void dispatch_report::perform(const attempt_outcome& ended)
{
    m_metrics.count("pimentoladder_attempts_total", { { "result", std::string(ended.result) } });
    // A complete attempt is covered by the line of its request.
    const bool isUsual = ended.result == "complete";
    if (!isUsual && !mayWrite())
        return;
    const std::string parts = partsText(ended.sharedParts);
    m_log.write(isUsual ? log_level::debug : log_level::info, "attempt_ended",
        { { "id", std::string_view(ended.callerId) }, { "request", ended.request.value() }, { "attempt", ended.attempt.value() },
            { "server", std::string_view(ended.server.value()) }, { "result", ended.result }, { "status", std::int64_t { ended.status } },
            { "after_ms", milliseconds(ended.sinceSent) }, { "begun", ended.hasBegun }, { "parts", std::string_view(parts) } });
}

void dispatch_report::perform(const request_outcome& ended)
{
    m_metrics.count("pimentoladder_requests_total", { { "route", ended.routeName }, { "result", std::string(ended.result) }, { "reason", std::string(ended.reason) } });
    m_metrics.observe("pimentoladder_request_seconds", { { "route", ended.routeName }, { "result", std::string(ended.result) } }, ended.total);
    if (ended.firstEvent)
        m_metrics.observe("pimentoladder_first_event_seconds", { { "route", ended.routeName } }, *ended.firstEvent);
    if (ended.firstEvent && ended.expectedFirstEvent > duration::zero())
        m_metrics.observe("pimentoladder_first_event_late_seconds", { { "route", ended.routeName } }, std::max(*ended.firstEvent - ended.expectedFirstEvent, duration::zero()));
    if (ended.longestPause > duration::zero())
        m_metrics.observe("pimentoladder_longest_pause_seconds", { { "route", ended.routeName } }, ended.longestPause);
    if (!mayWrite())
        return;
    const std::string quarantinedBy = ended.quarantinedBy ? traitText(*ended.quarantinedBy) : std::string();
    m_log.write(log_level::info, "request_ended",
        { { "id", std::string_view(ended.callerId) }, { "request", ended.request.value() }, { "route", std::string_view(ended.routeName) },
            { "workspace", std::string_view(ended.workspace.value()) }, { "result", ended.result }, { "reason", ended.reason },
            { "runs", std::uint64_t { ended.attempts } }, { "tokens", static_cast<std::int64_t>(ended.tokens) }, { "share_fill", roundToHundredths(ended.shareUtilisation) }, { "served_fill", roundToHundredths(ended.servedUtilisation) }, { "entitled_fill", roundToHundredths(ended.entitledUtilisation) }, { "expected_ms", milliseconds(ended.expectedFirstEvent) },
            { "first_event_ms", ended.firstEvent ? milliseconds(*ended.firstEvent) : -1 }, { "longest_pause_ms", milliseconds(ended.longestPause) },
            { "total_ms", milliseconds(ended.total) }, { "objective_ms", milliseconds(ended.objective) }, { "quarantined_by", std::string_view(quarantinedBy) },
            { "held_by", holdReasonName(ended.heldBy) }, { "usage_age_ms", optionalMilliseconds(ended.usageAge) },
            { "best_server", std::string_view(ended.bestServer.value()) }, { "queue_running", std::uint64_t { ended.queue.running } }, { "queue_waiting", std::uint64_t { ended.queue.waiting } },
            { "queue_age_ms", optionalMilliseconds(ended.queue.loadAge) }, { "queue_excess_ms", milliseconds(ended.queue.excessDelay) }, { "queue_correction_ms", milliseconds(ended.queue.correction) } });
}

void dispatch_report::perform(const trait_change& changed)
{
    const std::string_view state = traitStateName(changed.state);
    m_metrics.count("pimentoladder_crash_trait_changes_total", { { "state", std::string(state) } });
    if (!mayWrite())
        return;
    const std::string trait = traitText(changed.trait);
    const std::string servers = joined(changed.servers);
    const std::string reporters = joined(changed.reporters);
    const log_level level = changed.state == trait_state::quarantined ? log_level::warning : log_level::info;
    m_log.write(level, "crash_trait_changed",
        { { "trait", std::string_view(trait) }, { "state", state }, { "losses", std::uint64_t { changed.servers.size() } },
            { "servers", std::string_view(servers) }, { "routers", std::string_view(reporters) },
            { "first_loss_ms_ago", milliseconds(changed.firstLossAge) }, { "last_loss_ms_ago", milliseconds(changed.lastLossAge) } });
}

void dispatch_report::perform(const quarantine_trial& tried)
{
    m_metrics.count("pimentoladder_quarantine_trials_total", {});
    const std::string trait = traitText(tried.trait);
    m_log.write(log_level::info, "quarantine_trial",
        { { "id", std::string_view(tried.callerId) }, { "request", tried.request.value() }, { "trait", std::string_view(trait) } });
}

void dispatch_report::perform(const limit_change& changed)
{
    const std::string_view notice = limitNoticeName(changed.notice);
    m_metrics.count("pimentoladder_server_limit_changes_total", { { "notice", std::string(notice) } });
    if (!mayWrite())
        return;
    const log_level level = changed.notice == limit_notice::unreadable ? log_level::warning : log_level::info;
    m_log.write(level, "server_limit_changed",
        { { "server", std::string_view(changed.server.value()) }, { "notice", notice }, { "per_second", roundToHundredths(changed.perSecond) },
            { "text", std::string_view(changed.text) }, { "source", changed.isOwn ? "response" : "router" }, { "age_ms", milliseconds(changed.age) } });
}

void dispatch_report::perform(const hold_change& changed)
{
    const bool isUnreadable = !changed.text.empty();
    const std::string_view reason = isUnreadable ? std::string_view("unreadable") : holdReasonName(changed.reason);
    const std::string_view source = changed.isOwn ? "response" : "router";
    m_metrics.count("pimentoladder_server_hold_changes_total", { { "reason", std::string(reason) }, { "source", std::string(source) } });
    if (!mayWrite())
        return;
    m_log.write(isUnreadable ? log_level::warning : log_level::info, "server_hold_changed",
        { { "server", std::string_view(changed.server.value()) }, { "reason", reason }, { "for_ms", milliseconds(changed.length) }, { "text", std::string_view(changed.text) },
            { "source", source } });
}

void dispatch_report::perform(const removed_server& removed)
{
    m_metrics.observe("pimentoladder_removal_delay_seconds", {}, removed.delay);
    m_log.write(log_level::info, "server_removed", { { "server", std::string_view(removed.id.value()) }, { "delayed_ms", milliseconds(removed.delay) } });
}

void dispatch_report::perform(const unreadable_load& received)
{
    m_metrics.count("pimentoladder_unreadable_loads_total", {});
    const time_point now = m_driver.loop().now();
    const bool isRecent = m_unreadableLoadAt && now - *m_unreadableLoadAt < unreadableLoadInterval;
    if (isRecent || !mayWrite())
        return;
    m_unreadableLoadAt = now;
    m_log.write(log_level::warning, "server_load_unreadable",
        { { "server", std::string_view(received.server.value()) }, { "text", std::string_view(received.text) } });
}

void dispatch_report::recordClose(const server_close& closing)
{
    const std::string_view reason = serverCloseReasonName(closing.reason);
    m_metrics.count("pimentoladder_caller_connections_closed_total", { { "reason", std::string(reason) } });
    const bool isLossless = !closing.hasUnreadInput && closing.unsentBytes == 0 && closing.reason != server_close_reason::abortedResponse;
    if (isLossless || !mayWrite())
        return;
    m_log.write(log_level::warning, "caller_connection_closed",
        { { "reason", reason }, { "has_unread_input", closing.hasUnreadInput }, { "unsent_bytes", std::uint64_t { closing.unsentBytes } },
            { "loop_lag_ms", milliseconds(m_driver.loopLag()) } });
}

void dispatch_report::recordMemory(const memory_event& taken, const memory_account& account)
{
    const std::string_view measure = memoryMeasureName(taken.measure);
    m_metrics.count("pimentoladder_memory_measures_total", { { "measure", std::string(measure) } });
    if (!mayWrite())
        return;
    const auto held = [&account](memory_holder holder) { return std::uint64_t { account.held(holder) }; };
    m_log.write(log_level::warning, "memory_scarce",
        { { "measure", measure }, { "received_bytes", std::uint64_t { taken.receivedBytes } }, { "needed_bytes", std::uint64_t { taken.neededBytes } },
            { "input_bytes", held(memory_holder::input) }, { "reading_bytes", held(memory_holder::reading) }, { "request_bytes", held(memory_holder::requests) },
            { "answer_bytes", held(memory_holder::answers) }, { "limit_bytes", std::uint64_t { account.limits().total } } });
}

void dispatch_report::recordLag(const loop_sample& sample)
{
    if (sample.timerLag + sample.readDelay < stallThreshold)
        return;
    m_metrics.count("pimentoladder_loop_stalls_total", {});
    m_log.write(log_level::warning, "loop_stalled", { { "lag_ms", milliseconds(sample.timerLag) }, { "read_delay_ms", milliseconds(sample.readDelay) }, { "processor_ms", milliseconds(sample.processorTime) }, { "requests", std::uint64_t { m_driver.core().figures().inProgress } } });
}

void dispatch_report::recordTraffic(const link_use& use, const byte_counts& moved, const connect_counts& connects)
{
    m_metrics.set("pimentoladder_link_use_ratio", { { "direction", "received" } }, use.received);
    m_metrics.set("pimentoladder_link_use_ratio", { { "direction", "sent" } }, use.sent);
    m_metrics.count("pimentoladder_bytes_total", { { "direction", "received" } }, static_cast<double>(moved.received));
    m_metrics.count("pimentoladder_bytes_total", { { "direction", "sent" } }, static_cast<double>(moved.sent));
    m_metrics.count("pimentoladder_connects_total", { { "result", "opened" } }, static_cast<double>(connects.opened));
    m_metrics.count("pimentoladder_connects_total", { { "result", "timed_out" } }, static_cast<double>(connects.timedOut));
    if (std::max(use.received, use.sent) < busyLinkUse && connects.timedOut == 0)
        return;
    m_log.write(log_level::warning, "network_busy",
        { { "link_received", roundToHundredths(use.received) }, { "link_sent", roundToHundredths(use.sent) }, { "bytes_received", moved.received }, { "bytes_sent", moved.sent },
            { "connects_opened", connects.opened }, { "connects_timed_out", connects.timedOut }, { "longest_connect_ms", milliseconds(connects.longest) } });
}

void dispatch_report::recordShed(const std::map<workspace_id, std::uint64_t>& refused)
{
    for (const auto& [workspace, requests] : refused) {
        m_metrics.count("pimentoladder_shed_requests_total", { { "workspace", workspace.value() } }, static_cast<double>(requests));
        m_log.write(log_level::warning, "requests_shed", { { "workspace", std::string_view(workspace.value()) }, { "requests", requests } });
    }
}

std::string dispatch_report::quarantineText() const
{
    nlohmann::json rows = nlohmann::json::array();
    for (const trait_change& each : m_driver.core().crashes().list(m_driver.loop().now())) {
        rows.push_back({ { "trait", traitText(each.trait) }, { "state", traitStateName(each.state) }, { "servers", joined(each.servers) },
            { "routers", joined(each.reporters) }, { "firstLossMsAgo", milliseconds(each.firstLossAge) }, { "lastLossMsAgo", milliseconds(each.lastLossAge) } });
    }
    return nlohmann::json { { "traits", std::move(rows) } }.dump() + "\n";
}

std::string dispatch_report::metricsText()
{
    const dispatcher& core = m_driver.core();
    const time_point now = m_driver.loop().now();
    m_metrics.set("pimentoladder_requests_in_progress", {}, static_cast<double>(core.figures().inProgress));
    m_metrics.set("pimentoladder_servers_registered", {}, static_cast<double>(core.fleet().servers().size()));
    m_metrics.set("pimentoladder_configuration_version", {}, core.fleet().hasPlan() ? static_cast<double>(core.fleet().plan().version.value()) : 0);
    m_metrics.set("pimentoladder_crash_traits", {}, static_cast<double>(core.crashes().list(now).size()));
    m_metrics.set("pimentoladder_crash_losses", {}, static_cast<double>(core.crashes().lossCount()));
    m_metrics.set("pimentoladder_loop_lag_seconds", {}, std::chrono::duration<double>(m_driver.loopLag()).count());
    m_metrics.set("pimentoladder_log_lines_omitted", {}, static_cast<double>(m_allowance.totalOmitted()));
    m_metrics.set("pimentoladder_log_lines_dropped", {}, static_cast<double>(m_log.droppedLines()));
    for (const auto& [pool, speed] : core.speeds()) {
        const pool_speed::coefficient_values& learnt = speed.values();
        for (const auto& [name, unit] : speedNames)
            m_metrics.set("pimentoladder_pool_speed_seconds", { { "pool", pool.value() }, { "per", std::string(name) } }, std::chrono::duration<double>(std::chrono::duration<double, std::milli>(learnt[unit])).count());
    }
    if (const auto age = core.fleet().basisAge(now))
        m_metrics.set("pimentoladder_basis_age_seconds", {}, std::chrono::duration<double>(*age).count());
    return m_metrics.text();
}

}
