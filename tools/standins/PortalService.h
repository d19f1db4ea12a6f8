/// \file
/// Stand-in for a portal: index reads, and orders that must run at most once.

#pragma once

#include <functional>
#include <string>

#include "standins/LaggedValue.h"
#include "standins/Service.h"

namespace pimentoladder::standins {

struct portal_settings {
    duration serviceTime = std::chrono::milliseconds(2);
    std::uint32_t limit = 64; ///< Requests in flight above which the service time grows quadratically.
    duration loadLag = std::chrono::milliseconds(500);
    std::string dataCentre;
};

/// Not thread-safe; call on the loop's thread.
class portal_service {
public:
    portal_service(service_context context, portal_settings settings);

    void handle(const exchange_ptr& exchange);

private:
    void handleFault(const exchange_ptr& exchange);
    void handleRead(const exchange_ptr& exchange);
    void handleOrder(const exchange_ptr& exchange);
    void handleExecutions(const exchange_ptr& exchange);
    void handleLoad(const exchange_ptr& exchange);

    /// Executes one request. \p answerBody is called after the service time and
    /// returns the body of the answer.
    void execute(const exchange_ptr& exchange, int status, std::function<nlohmann::json(std::uint64_t execution)> answerBody);
    void end(const exchange_ptr& exchange, std::uint64_t execution, int status, const std::string& body);
    duration serviceTime() const;

    service_context m_context;
    portal_settings m_settings;
    fault_plan m_faults;
    std::uint64_t m_incarnation;
    std::uint64_t m_lastExecution = 0;
    std::uint32_t m_inFlight = 0;
    lagged_value<std::uint32_t> m_reportedLoad;
    nlohmann::json m_orders = nlohmann::json::array();
};

}
