/// \file
/// Sends placement orders to engines and reads the models that they hold.

#pragma once

#include <map>
#include <memory>
#include <string>

#include "pimentoladder/Daemon/CoreDriver.h"
#include "pimentoladder/Net/HttpClient.h"
#include "pimentoladder/Router/Actions.h"
#include "pimentoladder/Telemetry/Log.h"

namespace pimentoladder {

/// Sends `POST /orders` and `GET /orders` when the core asks, each with a
/// deadline, and passes the answers to the core. Not thread-safe; call on the
/// loop's thread.
class order_sender {
public:
    /// The references outlive the sender.
    order_sender(core_driver& driver, http_client& client, logger& log);
    ~order_sender();
    order_sender(const order_sender&) = delete;
    order_sender& operator=(const order_sender&) = delete;

    void perform(const order_server& step);
    void perform(const read_models& step);

private:
    struct running_call;
    using call_end = std::function<void(const running_call& ended, attempt_end end)>;

    void send(http_client_request request, std::function<bool()> maySend, call_end whenEnded);
    void finish(std::uint64_t number, attempt_end end);
    void orderEnded(const placement_order& order, const running_call& ended, attempt_end end);
    void readEnded(const server_id& server, time_point sentAt, const running_call& ended, attempt_end end);

    core_driver& m_driver;
    http_client& m_client;
    logger& m_log;
    std::uint64_t m_lastCall = 0;
    std::map<std::uint64_t, std::unique_ptr<running_call>> m_running;
};

}
