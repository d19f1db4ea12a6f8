/// \file
/// Request routing and fault injection common to all stand-ins.

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

/// Header with the request id that load clients send to the stand-ins.
constexpr const char* loadIdHeader = "X-Load-Id";
constexpr const char* idempotencyKeyHeader = "Idempotency-Key";

/// Dependencies of every service. The references outlive the service.
struct service_context {
    tools::loop& events;
    tools::history_writer& history;
    std::string name;
    std::uint64_t seed = 1;
};

/// Maps a method and a path prefix to a handler.
template <typename Service>
struct route {
    std::string_view method;
    std::string_view pathPrefix;
    void (Service::*handler)(const exchange_ptr&);
};

/// Calls the first matching handler. Answers 400 if the body is not JSON or
/// lacks a field that the handler needs, and 404 if no handler matches.
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

/// Applies POST /fault to \p plan and answers it. The kind "none" clears the
/// faults of the target. Returns the fault that was added, or nothing.
std::optional<fault> handleFaultRequest(fault_plan& plan, const exchange_ptr& exchange, time_point now);

/// Applies the faults that are common to all services and take hold before a
/// request has an effect: outage, hang and refuse. Returns whether one applied.
bool injectFaultBeforeEffect(fault_plan& plan, std::string_view target, const exchange_ptr& exchange, time_point now);

/// Returns the history fields that match an execution with a caller's request.
nlohmann::json requestFields(const exchange_ptr& exchange);

}
