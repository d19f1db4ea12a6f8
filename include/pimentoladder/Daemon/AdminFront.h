/// \file
/// The administration address: health, metrics and the administration API.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "pimentoladder/Admin/AdminService.h"
#include "pimentoladder/Daemon/CoreDriver.h"
#include "pimentoladder/Net/HttpServer.h"

namespace pimentoladder {

/// Serves health checks, metrics and the administration API. Not thread-safe;
/// call on the loop's thread.
class admin_front {
public:
    /// Returns the metrics in text form.
    using metrics_source = std::function<std::string()>;

    /// The references outlive the front.
    admin_front(core_driver& driver, admin_service& service, metrics_source metricsText);

    void onRequest(const http_request& received, const std::shared_ptr<http_response_writer>& answer);

    /// Notes that a change was committed, and starts to poll for its acceptance.
    void onCommitted();

    /// Makes `/readyz` report unready from now on.
    void setUnready() { m_isUnready = true; }

private:
    using plain_handler = void (admin_front::*)(http_response_writer&) const;
    struct plain_route {
        std::string_view path;
        plain_handler handler;
    };

    void answerLive(http_response_writer& answer) const;
    void answerReady(http_response_writer& answer) const;
    void answerMetrics(http_response_writer& answer) const;
    void refresh();
    void answerApi(const http_request& received, const std::shared_ptr<http_response_writer>& answer);
    std::vector<router_status> routers(time_point now) const;

    core_driver& m_driver;
    admin_service& m_service;
    metrics_source m_metricsText;
    loop_timer m_timer;
    bool m_isUnready = false;
};

}
