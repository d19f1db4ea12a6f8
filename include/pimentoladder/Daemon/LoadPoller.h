/// \file
/// Reads the load of backend servers.

#pragma once

#include <map>
#include <memory>
#include <string>

#include "pimentoladder/Daemon/CoreDriver.h"
#include "pimentoladder/Net/HttpClient.h"
#include "pimentoladder/Router/Actions.h"
#include "pimentoladder/Telemetry/Log.h"

namespace pimentoladder {

/// Polls `/load` when the core asks, and passes the report to the core. Not
/// thread-safe; call on the loop's thread.
class load_poller {
public:
    /// The references outlive the poller.
    load_poller(core_driver& driver, http_client& client, logger& log);
    ~load_poller();
    load_poller(const load_poller&) = delete;
    load_poller& operator=(const load_poller&) = delete;

    void perform(const poll_load& poll);

private:
    struct running_poll;

    void onEnd(const server_id& server, attempt_end end);

    core_driver& m_driver;
    http_client& m_client;
    logger& m_log;
    std::map<server_id, std::unique_ptr<running_poll>> m_running;
};

}
