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

/// Leads a router from service to its end: unready first, then a grace for the
/// load balancer, then no new requests while those in progress end. The second
/// call of `begin`, or the deadline, cuts what is left.
/// Not thread-safe; call on the loop's thread.
class shutdown_sequence {
public:
    /// What a shutdown acts on. All outlive it.
    struct targets {
        core_driver& driver;
        admin_front& admin;
        caller_front& callers;
        http_server& callerServer;
        logger& log;
    };

    shutdown_sequence(targets acted, shutdown_settings limits);

    void begin();

private:
    void drain();
    void check();
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
