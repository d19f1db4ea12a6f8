#include "pimentoladder/Daemon/AdminFront.h"

#include <algorithm>
#include <array>
#include <utility>

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    constexpr int statusOk = 200;
    constexpr int statusUnavailable = 503;
    constexpr duration refreshInterval = 20ms; ///< Polling interval while a change awaits acceptance.

    void replyText(http_response_writer& answer, int status, std::string_view type, std::string_view body)
    {
        http_response_head head;
        head.status = status;
        head.headers.push_back({ "Content-Type", std::string(type) });
        answer.reply(head, body);
    }

    std::string_view stateName(peer_state state)
    {
        switch (state) {
        case peer_state::alive:
            return "alive";
        case peer_state::suspected:
            return "suspected";
        case peer_state::lost:
            return "lost";
        case peer_state::unknown:
            break;
        }
        return "unknown";
    }

}

admin_front::admin_front(core_driver& driver, admin_service& service, metrics_source metricsText)
    : m_driver(driver)
    , m_service(service)
    , m_metricsText(std::move(metricsText))
    , m_timer(driver.loop(), [this] { refresh(); })
{
}

void admin_front::onRequest(const http_request& received, const std::shared_ptr<http_response_writer>& answer)
{
    static constexpr std::array<plain_route, 3> plainRoutes { {
        { "/livez", &admin_front::answerLive },
        { "/readyz", &admin_front::answerReady },
        { "/metrics", &admin_front::answerMetrics },
    } };
    for (const plain_route& route : plainRoutes) {
        if (received.target == route.path && received.method == "GET") {
            (this->*route.handler)(*answer);
            return;
        }
    }
    answerApi(received, answer);
}

void admin_front::answerLive(http_response_writer& answer) const
{
    replyText(answer, statusOk, "text/plain", "live\n");
}

void admin_front::answerReady(http_response_writer& answer) const
{
    const bool isFresh = m_driver.core().fleet().isFresh(m_driver.loop().now());
    if (m_isUnready || m_driver.core().isDraining())
        replyText(answer, statusUnavailable, "text/plain", "draining\n");
    else if (!isFresh)
        replyText(answer, statusUnavailable, "text/plain", "not fresh\n");
    else
        replyText(answer, statusOk, "text/plain", "ready\n");
}

void admin_front::answerMetrics(http_response_writer& answer) const
{
    replyText(answer, statusOk, "text/plain; version=0.0.4", m_metricsText());
}

void admin_front::answerApi(const http_request& received, const std::shared_ptr<http_response_writer>& answer)
{
    admin_request request;
    const std::size_t question = received.target.find('?');
    request.method = received.method;
    request.path = received.target.substr(0, question);
    if (question != std::string::npos)
        request.query = received.target.substr(question + 1);
    for (const http_header& header : received.headers)
        request.headers.push_back({ header.name, header.value });
    request.body = received.body;

    const time_point now = m_driver.loop().now();
    const fleet_coordinator& fleet = m_driver.core().fleet();
    const std::vector<router_status> statuses = routers(now);
    const admin_context view { fleet.current(), statuses, fleet.accepted(), now, std::chrono::system_clock::now() };
    m_service.handle(request, view, [answer](const admin_response& response) {
        http_response_head head;
        head.status = response.status;
        for (const header_field& field : response.headers)
            head.headers.push_back({ field.name, field.value });
        answer->reply(head, response.body);
    });
}

void admin_front::onCommitted()
{
    m_timer.arm(refreshInterval);
}

void admin_front::refresh()
{
    m_service.onAccepted(m_driver.core().fleet().accepted());
    m_service.tick(m_driver.loop().now());
    if (m_service.nextDeadline())
        m_timer.arm(refreshInterval);
}

std::vector<router_status> admin_front::routers(time_point now) const
{
    const fleet_coordinator& fleet = m_driver.core().fleet();
    std::vector<router_status> listed;
    for (const auto& [vm, described] : fleet.current().members) {
        const member_ref ref { vm, described.start };
        router_status status { vm, described.start, described.dataCentre, std::string(stateName(fleet.stateOf(vm, now))), {}, {} };
        if (const auto stated = fleet.peerStatusOf(ref)) {
            status.applied = stated->applied;
            status.basisAge = stated->basisAge;
        }
        if (fleet.suspended().contains(ref))
            status.state = "suspended";
        if (ref == fleet.self()) {
            status.state = fleet.isFresh(now) ? "fresh" : "stale";
            status.applied = fleet.current().at;
            status.basisAge = fleet.basisAge(now);
        }
        listed.push_back(std::move(status));
    }
    return listed;
}

}
