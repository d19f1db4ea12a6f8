/// \file
/// Stand-in for a backend server on the platform: event streams and unary answers
/// in the published format, and registration in the store.

#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standins/EngineModel.h"
#include "standins/Service.h"
#include "support/Address.h"
#include "support/HttpClient.h"

namespace pimentoladder::standins {

struct backend_settings {
    engine_settings model;
    std::string pool;
    std::string dataCentre;
    std::string advertised; ///< IP:port at which routers reach this server.
    std::uint32_t slots = 8; ///< Maximum of requests in progress; further ones are refused without running.
    duration serviceTime = std::chrono::milliseconds(5); ///< Of a unary request.
    tools::numeric_address store; ///< Store to register in; port 0: none.
    duration heartbeat = std::chrono::seconds(1);
    std::string crashPart; ///< Prompt part, in hexadecimal, that ends the process when a response on it begins; empty: none.
    std::string version = "1"; ///< Software version that it registers.
    duration coldStart {}; ///< How long after its start the server reports itself as cold.
};

/// Not thread-safe; call on the loop's thread.
class backend_service {
public:
    backend_service(service_context context, backend_settings settings);

    void handle(const exchange_ptr& exchange);

private:
    /// A running streaming request.
    struct run {
        exchange_ptr caller;
        std::string attempt; ///< Attempt id as received from the caller.
        std::uint32_t sent = 0; ///< Events sent, including those before a resume.
        std::uint32_t total = 0;
        std::optional<std::uint32_t> resetAt;
        std::optional<std::uint32_t> truncateAt;
        bool hasHead = false;
        bool isCrashing = false; ///< Its prompt has the part that crashes the server.
        bool isEndless = false; ///< Sends bytes without end instead of events.
    };
    using run_number = stream_number;

    void handleFault(const exchange_ptr& exchange);
    void handleDrain(const exchange_ptr& exchange);
    void handleRequest(const exchange_ptr& exchange);

    void startStream(const exchange_ptr& exchange);
    void startUnary(const exchange_ptr& exchange);
    void scheduleStep();
    void step();
    void advance(run_number number);
    void crash(run_number number);
    void sendWithoutEnd(run_number number);
    void end(run_number number, const char* result);
    void refuse(const exchange_ptr& exchange, int status, const char* reason);
    void announceLeaving(const std::string& attempt, std::vector<tools::http_header>& headers);
    void fail(const exchange_ptr& exchange);
    void turnAway(const exchange_ptr& exchange, duration time);
    void sendHeartbeat();
    void writeRegistration();
    void recordStart(const exchange_ptr& exchange, const std::string& execution);
    void recordEnd(const std::string& execution, const char* result);
    std::vector<tools::http_header> headersFor(const std::string& attempt);
    std::string executionName(run_number number) const;
    std::size_t inProgress() const { return m_runs.size() + m_unaryRuns; }

    service_context m_context;
    backend_settings m_settings;
    engine_model m_model;
    fault_plan m_faults;
    tools::http_client m_client;
    std::uint64_t m_startedMs; ///< Unix time of the start; serves as incarnation.
    time_point m_coldUntil;
    std::map<run_number, run> m_runs;
    std::size_t m_unaryRuns = 0;
    std::uint64_t m_lastUnary = 0;
    nlohmann::json m_registration; ///< As last written, without its sequence.
    std::uint64_t m_sequence = 0; ///< Rises with each change of the registration.
    bool m_isStepScheduled = false;
    bool m_isDraining = false;
};

}
