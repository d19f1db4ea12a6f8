/// \file
/// Stand-in of a backend server on the platform: event streams and plain answers
/// in the published form, and its registration in the store.

#pragma once

#include <map>
#include <memory>
#include <string>

#include "standins/EngineModel.h"
#include "standins/Service.h"
#include "support/Address.h"
#include "support/HttpClient.h"

namespace pimentoladder::standins {

struct backend_settings {
    engine_settings model;
    std::string pool;
    std::string dataCentre;
    std::string advertised; ///< IP:port under which routers reach this server.
    std::uint32_t slots = 8; ///< Further requests are refused unrun.
    duration serviceTime = std::chrono::milliseconds(5); ///< Of a request without a prompt.
    tools::numeric_address store; ///< Where to register; port 0: nowhere.
    duration heartbeat = std::chrono::seconds(1);
    duration coldStart {}; ///< How long the server calls itself cold.
};

/// Not thread-safe; call on the loop's thread.
class backend_service {
public:
    backend_service(service_context context, backend_settings settings);

    void handle(const exchange_ptr& exchange);

private:
    /// A request that runs.
    struct run {
        exchange_ptr caller;
        std::string attempt; ///< Id of the caller's attempt, as it came.
        std::uint32_t sent = 0; ///< Events sent, those before a resume included.
        std::uint32_t total = 0;
        std::optional<std::uint32_t> resetAt;
        std::optional<std::uint32_t> truncateAt;
        bool hasHead = false;
    };
    using run_number = stream_number;

    void handleFault(const exchange_ptr& exchange);
    void handleDrain(const exchange_ptr& exchange);
    void handleRequest(const exchange_ptr& exchange);

    void startStream(const exchange_ptr& exchange);
    void startPlain(const exchange_ptr& exchange);
    void scheduleStep();
    void step();
    void advance(run_number number);
    void end(run_number number, const char* result);
    void refuse(const exchange_ptr& exchange, int status, const char* reason);
    void sendHeartbeat();
    void registerSelf();
    void recordStart(const exchange_ptr& exchange, const std::string& execution);
    void recordEnd(const std::string& execution, const char* result);
    std::vector<tools::http_header> headersFor(const std::string& attempt) const;
    std::string executionName(run_number number) const;
    std::size_t inProgress() const { return m_runs.size() + m_plainRuns; }

    service_context m_context;
    backend_settings m_settings;
    engine_model m_model;
    fault_plan m_faults;
    tools::http_client m_client;
    std::uint64_t m_startedMs; ///< Unix time of the start, which tells starts apart.
    time_point m_coldUntil;
    std::map<run_number, run> m_runs;
    std::size_t m_plainRuns = 0;
    std::uint64_t m_lastPlain = 0;
    bool m_isStepScheduled = false;
    bool m_isDraining = false;
};

}
