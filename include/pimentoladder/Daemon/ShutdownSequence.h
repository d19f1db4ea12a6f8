/// \file
/// Graceful shutdown.

#pragma once

#include <functional>

#include "pimentoladder/Daemon/AdminFront.h"
#include "pimentoladder/Daemon/CallerFront.h"
#include "pimentoladder/Daemon/CoreDriver.h"
#include "pimentoladder/Net/HttpServer.h"
#include "pimentoladder/Settings/Settings.h"
#include "pimentoladder/Telemetry/Log.h"

namespace pimentoladder {

/// Shuts a router down in steps: it reports unready and closes connections after their
/// responses, waits a grace period for the load balancer, then drains: refuses new requests
/// while those in progress end.
/// The deadline, or an interrupt while it is in progress, aborts the remaining requests.
/// Not thread-safe; call on the loop's thread.
class shutdown_sequence {
public:
    /// Components that the shutdown acts on. All outlive it.
    struct targets {
        core_driver& driver;
        admin_front& admin;
        caller_front& callers;
        http_server& callerServer;
        logger& log;
    };

    shutdown_sequence(targets components, shutdown_settings limits);

    /// The times of the settings count from \p receivedAt, when the signal came.
    /// Further calls change nothing.
    void begin(time_point receivedAt);

    /// Begins, or ends the shutdown that is in progress at once.
    void interrupt(time_point receivedAt);

private:
    void drain();
    void endIfIdle();
    void end(std::string_view reason);

    targets m_targets;
    shutdown_settings m_limits;
    loop_timer m_graceTimer;
    loop_timer m_deadlineTimer;
    loop_timer m_checkTimer;
    time_point m_drainedAt;
    bool m_hasBegun = false;
};

}
