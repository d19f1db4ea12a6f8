/// \file
/// What the HTTP services of all stand-ins share.

#pragma once

#include <chrono>
#include <span>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "standins/FaultPlan.h"
#include "support/HistoryWriter.h"
#include "support/HttpServer.h"

namespace pimentoladder::standins {

using tools::exchange_ptr;

/// Header by which load clients name a request towards the stand-ins.
constexpr const char* loadIdHeader = "X-Load-Id";
constexpr const char* idempotencyKeyHeader = "Idempotency-Key";

/// What every service is given. The references outlive the service.
struct service_context {
    tools::loop& events;
    tools::history_writer& history;
    std::string name;
    std::uint64_t seed = 1;
};

/// Maps a method and the start of a path to a handler.
template <typename Service>
struct route {
    std::string_view method;
    std::string_view pathPrefix;
    void (Service::*handler)(const exchange_ptr&);
};

/// Calls the first matching handler. A body that is no JSON, or lacks a field
/// that the handler needs, is answered with 400.
template <typename Service>
void dispatch(Service& service, std::span<const route<Service>> routes, const exchange_ptr& exchange)
{
    for (const route<Service>& entry : routes) {
        if (entry.method != exchange->method() || !exchange->path().starts_with(entry.pathPrefix))
            continue;
        try {
            (service.*entry.handler)(exchange);
        } catch (const nlohmann::json::exception& failure) {
            exchange->reply(400, nlohmann::json { { "error", failure.what() } }.dump());
        }
        return;
    }
    exchange->reply(404, R"({"error":"no such path; see docs/standins.md"})");
}

/// Decodes the body of POST /fault. Throws `nlohmann::json::exception` if a
/// field has the wrong type. Errors: `invalidArgument` if the kind is unknown.
result<fault> parseFault(const std::string& body, time_point now);

/// Carries out POST /fault on \p plan and answers it. The kind "none" clears
/// the faults of the target. Returns the fault that was added, or nothing.
std::optional<fault> orderFault(fault_plan& plan, const exchange_ptr& exchange, time_point now);

/// Strikes a request with the faults that all services share and that precede
/// its effect: outage, hang and refuse. Returns whether one struck.
bool isStruckBeforeEffect(fault_plan& plan, std::string_view target, const exchange_ptr& exchange, time_point now);

/// Returns the fields by which an execution is matched with a caller's request.
nlohmann::json requestFields(const exchange_ptr& exchange);

}
