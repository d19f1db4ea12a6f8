/// \file
/// HTTP front end of the dispatcher, for a router that decides without a shard
/// owner: serves callers' requests through attempts at backend servers.

#pragma once

#include <cstddef>
#include <memory>
#include <string_view>
#include <unordered_map>

#include "pimentoladder/Daemon/CoreDriver.h"
#include "pimentoladder/Daemon/IngressCodec.h"
#include "pimentoladder/Dispatch/AnswerBuffers.h"
#include "pimentoladder/Net/HttpClient.h"
#include "pimentoladder/Net/HttpServer.h"

namespace pimentoladder {

/// Connects callers, the dispatcher and backend servers: translates HTTP into
/// events and the dispatcher's actions into HTTP, and forwards response bytes
/// from an attempt to its caller with back-pressure.
/// Not thread-safe; call on the loop's thread.
class dispatch_front {
public:
    /// The references outlive the front. \p buffers bounds the answers that wait for their callers.
    dispatch_front(dispatch_driver& driver, http_client& client, ingress_codec& codec, const answer_buffer_limits& buffers);
    ~dispatch_front();
    dispatch_front(const dispatch_front&) = delete;
    dispatch_front& operator=(const dispatch_front&) = delete;

    /// Returns the response of a request that is refused because this router is overloaded, or an
    /// empty text if it is to be handled. \p closes: the connection closes after it.
    std::string_view checkEarly(const http_headers& headers, bool closes);

    /// Accepts a request that passed the protocol checks.
    void onRequest(http_request received, std::shared_ptr<http_response_writer> answer);

    void perform(const open_dispatch& opened);
    void perform(const cancel_dispatch& cancelled);
    void perform(const forward_response_head& passed);
    void perform(const forward_response_bytes& passed);
    void perform(const end_response& ended);
    void perform(const abort_response& broken);
    void perform(const refuse_inbound& refused);
    void perform(const retire_connections& retired);

    std::size_t inProgress() const { return m_exchanges.size(); }

private:
    /// Response to a request that is refused because this router is overloaded.
    struct shed_response {
        std::string keeping; ///< Leaves the connection open.
        std::string closing;
    };

    struct exchange;
    using exchange_ref = std::shared_ptr<exchange>;

    exchange_ref find(request_number number) const;
    http_client_callbacks buildCallbacks(const exchange_ref& target, attempt_number attempt);
    void receiveHead(const exchange_ref& target, attempt_number attempt, const http_response_head& head);
    void receiveBytes(const exchange_ref& target, attempt_number attempt, std::string_view bytes);
    void receiveEnd(const exchange_ref& target, attempt_number attempt, attempt_end end);
    void applyBackPressure(const exchange_ref& target);
    void finish(request_number number);

    dispatch_driver& m_driver;
    http_client& m_client;
    ingress_codec& m_codec;
    answer_buffers m_buffers;
    std::vector<shed_response> m_shedResponses;
    std::size_t m_nextShedResponse = 0;
    std::unordered_map<request_number, exchange_ref> m_exchanges;
};

}
