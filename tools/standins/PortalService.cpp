#include "standins/PortalService.h"

#include <array>
#include <utility>

#include "support/Digest.h"

namespace pimentoladder::standins {

using nlohmann::json;
using tools::bootTime;

portal_service::portal_service(service_context context, portal_settings settings)
    : m_context(std::move(context))
    , m_settings(std::move(settings))
    , m_faults(m_context.seed)
    , m_incarnation(static_cast<std::uint64_t>(bootTime().time_since_epoch().count()))
    , m_reportedLoad(m_settings.loadLag)
{
    m_reportedLoad.set(bootTime(), 0);
    m_context.history.write(bootTime(), "server_started",
        { { "server", m_context.name }, { "incarnation", m_incarnation }, { "dataCentre", m_settings.dataCentre } });
}

void portal_service::handle(const exchange_ptr& exchange)
{
    static constexpr std::array<route<portal_service>, 5> routes { {
        { "POST", "/fault", &portal_service::handleFault },
        { "GET", "/index/", &portal_service::handleRead },
        { "POST", "/orders/", &portal_service::handleOrder },
        { "GET", "/executions", &portal_service::handleExecutions },
        { "GET", "/load", &portal_service::handleLoad },
    } };
    dispatch<portal_service>(*this, routes, exchange);
}

void portal_service::handleFault(const exchange_ptr& exchange)
{
    handleFaultRequest(m_faults, exchange, bootTime());
}

void portal_service::handleRead(const exchange_ptr& exchange)
{
    execute(exchange, 200, [this, path = exchange->path()](std::uint64_t execution) {
        return json { { "path", path }, { "server", m_context.name }, { "incarnation", m_incarnation }, { "execution", execution } };
    });
}

void portal_service::handleOrder(const exchange_ptr& exchange)
{
    const json order = json::parse(exchange->body());
    const auto bodyId = order.at("id").get<std::string>();
    execute(exchange, 201, [this, path = exchange->path(), bodyId](std::uint64_t execution) {
        json entry { { "path", path }, { "id", bodyId }, { "server", m_context.name }, { "incarnation", m_incarnation }, { "execution", execution } };
        m_orders.push_back(entry);
        return entry;
    });
}

void portal_service::handleExecutions(const exchange_ptr& exchange)
{
    exchange->reply(200, json { { "executions", m_orders } }.dump());
}

void portal_service::handleLoad(const exchange_ptr& exchange)
{
    const json report { { "server", m_context.name }, { "incarnation", m_incarnation }, { "inFlight", m_reportedLoad.at(bootTime()) } };
    exchange->reply(200, report.dump());
}

duration portal_service::serviceTime() const
{
    const std::uint32_t excess = m_inFlight > m_settings.limit ? m_inFlight - m_settings.limit : 0;
    return m_settings.serviceTime * (1 + excess) * (1 + excess);
}

void portal_service::execute(const exchange_ptr& exchange, int status, std::function<json(std::uint64_t)> answerBody)
{
    const time_point now = bootTime();
    if (injectFaultBeforeEffect(m_faults, exchange->path(), exchange, now))
        return;
    const std::uint64_t execution = ++m_lastExecution;
    m_reportedLoad.set(now, ++m_inFlight);
    json fields = requestFields(exchange);
    fields["server"] = m_context.name;
    fields["incarnation"] = m_incarnation;
    fields["execution"] = execution;
    m_context.history.write(now, "execution_started", std::move(fields));

    duration wait = serviceTime();
    if (const auto slow = m_faults.take(fault_kind::latency, exchange->path(), now))
        wait += slow->latency;
    m_context.events.callAfter(wait, [this, exchange, execution, status, answerBody = std::move(answerBody)] {
        end(exchange, execution, status, answerBody(execution).dump());
    });
}

void portal_service::end(const exchange_ptr& exchange, std::uint64_t execution, int status, const std::string& body)
{
    const time_point now = bootTime();
    m_reportedLoad.set(now, --m_inFlight);
    const bool isLost = m_faults.take(fault_kind::lostAnswer, exchange->path(), now).has_value();
    m_context.history.write(now, "execution_ended",
        { { "server", m_context.name }, { "incarnation", m_incarnation }, { "execution", execution },
            { "result", isLost ? "reset" : "finished" }, { "digest", tools::digestOf(body) } });
    if (isLost) {
        exchange->reset();
        return;
    }
    exchange->reply(status, body);
}

}
