#include "pimentoladder/Daemon/LoadPoller.h"

#include <algorithm>
#include <utility>

#include "pimentoladder/Codec/LoadJson.h"

namespace pimentoladder {

namespace {

    constexpr int statusOk = 200;
    constexpr std::size_t maxReportBytes = 64UL * 1024; ///< A longer report is truncated and fails to decode.

}

struct load_poller::running_poll {
    int status = 0;
    std::string body;
    std::unique_ptr<http_client_attempt> attempt;
};

load_poller::load_poller(core_driver& driver, http_client& client, logger& log)
    : m_driver(driver)
    , m_client(client)
    , m_log(log)
{
}

load_poller::~load_poller() = default;

void load_poller::perform(const poll_load& poll)
{
    if (m_running.contains(poll.server))
        return;
    running_poll& running = *(m_running[poll.server] = std::make_unique<running_poll>());
    http_client_request request;
    request.server = poll.location;
    request.method = "GET";
    request.target = "/load";
    http_client_callbacks callbacks;
    callbacks.onHead = [&running](const http_response_head& head) { running.status = head.status; };
    callbacks.onBody = [&running](std::string_view bytes) {
        running.body.append(bytes.substr(0, maxReportBytes - std::min(maxReportBytes, running.body.size())));
    };
    callbacks.onEnd = [this, server = poll.server](attempt_end end) { onEnd(server, end); };
    running.attempt = m_client.send(std::move(request), std::move(callbacks));
}

void load_poller::onEnd(const server_id& server, attempt_end end)
{
    const auto found = m_running.find(server);
    const std::unique_ptr<running_poll> ended = std::move(found->second);
    m_running.erase(found);
    const bool isLost = end.kind == attempt_end_kind::notSent || end.kind == attempt_end_kind::resetAfterSent;
    if (isLost) {
        m_log.write(log_level::warning, "load_poll_failed", { { "server", std::string_view(server.value()) } });
        m_driver.post([&](router_core& core, time_point now) { return core.onLoadFailed(now, server); });
        return;
    }
    if (end.kind != attempt_end_kind::complete || ended->status != statusOk)
        return;
    const auto load = parseLoadReportJson(server, ended->body, m_driver.loop().now());
    if (!load) {
        m_log.write(log_level::warning, "load_report_refused", { { "reason", std::string_view(load.error().message) } });
        return;
    }
    m_driver.post([&](router_core& core, time_point now) { return core.onLoadReport(now, *load); });
}

}
