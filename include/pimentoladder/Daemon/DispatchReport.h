/// \file
/// Log lines and metrics for the dispatcher's decisions.

#pragma once

#include <optional>

#include "pimentoladder/Daemon/CoreDriver.h"
#include "pimentoladder/Dispatch/LinkMeter.h"
#include "pimentoladder/Dispatch/OverloadGuard.h"
#include "pimentoladder/Net/HttpServer.h"
#include "pimentoladder/Net/Traffic.h"
#include "pimentoladder/Telemetry/LineAllowance.h"
#include "pimentoladder/Telemetry/Log.h"
#include "pimentoladder/Telemetry/Metrics.h"

namespace pimentoladder {

/// Records decisions and outcomes. Log lines about requests are rate-limited; the
/// metrics count every request. Not thread-safe; call on the loop's thread.
class dispatch_report {
public:
    /// Lag from which on the loop counts as stalled. Callers may be held this long after a
    /// request before it counts as lost.
    static constexpr duration stallThreshold = std::chrono::milliseconds(200);

    /// Shortest time between two lines about unreadable load reports, which come with every response.
    static constexpr duration unreadableLoadInterval = std::chrono::seconds(10);

    /// The references outlive the report.
    dispatch_report(dispatch_driver& driver, logger& log, metrics& values);

    void perform(const dispatch_decision& decided);
    void perform(const attempt_outcome& ended);
    void perform(const request_outcome& ended);
    void perform(const trait_change& changed);
    void perform(const quarantine_trial& tried);
    void perform(const limit_change& changed);
    void perform(const hold_change& changed);
    /// Counts each unreadable report; of those of one `unreadableLoadInterval` the first has a line.
    void perform(const unreadable_load& received);
    void perform(const removed_server& removed);

    /// Counts a caller's connection that the server closes. Writes a line if the caller loses
    /// a request or part of a response by it.
    /// Logs and counts a measure for want of memory, with what \p account holds.
    void recordMemory(const memory_event& taken, const memory_account& account);
    void recordClose(const server_close& closing);

    /// Writes a line if the loop handled an event \p lag late by `stallThreshold` or more.
    /// \p processorTime: used by this process in the time up to that event.
    void recordLag(const loop_sample& sample);

    /// Reports the traffic since the last call, with a line if the link is busy or connections did not open.
    void recordTraffic(const link_use& use, const byte_counts& moved, const connect_counts& connects);

    /// Records how many requests of each workspace were refused because this router is overloaded.
    void recordShed(const std::map<workspace_id, std::uint64_t>& refused);

    /// Returns the suspected and quarantined traits with their evidence, as JSON.
    std::string quarantineText() const;

    /// Returns the metrics in the Prometheus text format.
    std::string metricsText();

private:
    /// Returns whether a line about a request may be written, and counts it.
    bool mayWrite();

    dispatch_driver& m_driver;
    logger& m_log;
    metrics& m_metrics;
    line_allowance m_allowance;
    std::optional<time_point> m_unreadableLoadAt; ///< Of the last line about an unreadable load report.
};

}
