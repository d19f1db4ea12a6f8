/// \file
/// A router process, built from its settings.

#pragma once

#include <memory>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Net/EventLoop.h"
#include "pimentoladder/Settings/Settings.h"
#include "pimentoladder/Telemetry/Log.h"

namespace pimentoladder {

/// A router. Not thread-safe; call on the loop's thread.
class router_process {
public:
    /// The loop and the log outlive the process. \p seed drives all jitter and
    /// random choices; \p start is the incarnation and must exceed that of any
    /// earlier start on this VM.
    router_process(event_loop& loop, logger& log, const settings& configured, incarnation start, std::uint64_t seed);
    ~router_process();
    router_process(const router_process&) = delete;
    router_process& operator=(const router_process&) = delete;

    /// Opens the listeners and joins the fleet. Errors: `unavailable` if an
    /// address cannot be bound; nothing has started then.
    result<void> start();

    /// Begins a graceful shutdown; further calls change nothing. The loop is
    /// stopped when it has ended. The times of the settings count from \p receivedAt,
    /// when the signal came.
    void shutDown(time_point receivedAt);

    /// Shuts down, or ends the shutdown that is in progress at once.
    void interrupt(time_point receivedAt);

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

}
