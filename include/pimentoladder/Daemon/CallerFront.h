/// \file
/// HTTP front end of the router core: serves callers' requests through attempts
/// at backend servers.

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "pimentoladder/Daemon/CoreDriver.h"
#include "pimentoladder/Net/HttpClient.h"
#include "pimentoladder/Net/HttpServer.h"
#include "pimentoladder/Router/Actions.h"
#include "pimentoladder/Telemetry/Log.h"
#include "pimentoladder/Telemetry/Metrics.h"

namespace pimentoladder {

/// Connects callers, the core and backend servers: translates HTTP into events
/// of the core and the core's steps into HTTP, and forwards response bytes from
/// an attempt to its caller with back-pressure. Not thread-safe; call on the loop's thread.
class caller_front {
public:
    /// Reads the body of a recorded outcome by the name of its object. Passes
    /// `nullopt` if it cannot be read.
    using body_reader = std::function<void(const std::string& object, std::function<void(std::optional<std::string>)> onEnd)>;

    /// The references outlive the front. Reading from the server
    /// pauses while more than \p bufferBytes of a request's answer are unsent.
    caller_front(core_driver& driver, http_client& client, logger& log, metrics& values, body_reader readBody, std::size_t bufferBytes);
    ~caller_front();
    caller_front(const caller_front&) = delete;
    caller_front& operator=(const caller_front&) = delete;

    /// Accepts a request that passed the protocol checks.
    void onRequest(http_request received, std::shared_ptr<http_response_writer> answer);

    /// Carries out a step of one request.
    void perform(const request_step& step);

    /// Opens an attempt.
    void perform(const start_attempt& started);

    /// Sends an engine a request to cancel a stream.
    void perform(const stop_stream& stopped);

    /// Aborts every request in progress and returns how many there were.
    std::size_t abortAll();

    std::size_t inProgress() const { return m_exchanges.size(); }

private:
    struct exchange;
    struct step_performer;
    using exchange_ref = std::shared_ptr<exchange>;

    incoming_request describe(const http_request& received);
    const std::string& digestOf(std::string_view key);
    http_client_request buildRequest(const exchange& source, const start_attempt& started) const;
    http_client_callbacks buildCallbacks(const exchange_ref& target, attempt_number attempt);
    void receiveHead(const exchange_ref& target, attempt_number attempt, const http_response_head& head);
    void receiveBytes(const exchange_ref& target, attempt_number attempt, std::string_view bytes);
    void countLines(exchange& target);
    void refuse(const exchange_ref& target, refusal_kind kind);
    void replay(const exchange_ref& target, const recorded_outcome& outcome);
    void replayStored(const exchange_ref& target, http_response_head head, const std::string& object);
    void finish(const exchange_ref& target);

    core_driver& m_driver;
    http_client& m_client;
    logger& m_log;
    metrics& m_metrics;
    body_reader m_readBody;
    std::size_t m_bufferBytes;
    std::unordered_map<request_number, exchange_ref> m_exchanges;
    std::unordered_map<std::string, std::string> m_digests; ///< SHA-256 by API key, cached to avoid rehashing.
    std::uint64_t m_lastCancelCall = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<http_client_attempt>> m_cancelCalls;
};

}
