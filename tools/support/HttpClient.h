/// \file
/// HTTP client based on evhttp, for load clients and tests. Reports how each call
/// ended.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <evhttp.h>

#include "support/Address.h"
#include "support/Digest.h"
#include "support/HttpServer.h"
#include "support/Loop.h"

namespace pimentoladder::tools {

struct client_request {
    numeric_address target;
    std::string method = "GET";
    std::string path = {};
    std::string body = {};
    std::vector<http_header> headers = {};
    duration timeout = std::chrono::seconds(30);
};

/// How a call ended.
enum class call_end {
    answered, ///< A complete answer has arrived.
    notConnected, ///< No connection could be made; nothing was sent.
    cut, ///< The connection ended before the answer was complete.
    timedOut, ///< The answer was not complete within the timeout.
};

struct client_answer {
    call_end end = call_end::notConnected;
    int status = 0; ///< 0 if no response head has arrived.
    std::vector<http_header> headers = {};
    std::string body; ///< At most `maxKeptBodyBytes`.
    std::string digest; ///< Of the whole body.
    std::uint64_t bytes = 0;
    std::optional<duration> firstByteLatency; ///< Measured from the call of `send`.

    /// Returns a header's first value, or an empty string.
    std::string header(std::string_view name) const;
};

/// Maximum of body bytes kept of an answer. The digest covers the rest too.
constexpr std::size_t maxKeptBodyBytes = std::size_t { 1 } << 20;

/// Reuses idle connections and opens one for each call in flight.
/// Not thread-safe; call on the loop's thread.
class http_client {
public:
    using callback = std::function<void(const client_answer&)>;
    using call_number = std::uint64_t;

    explicit http_client(loop& owner)
        : m_loop(owner)
    {
    }
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request. \p onEnd is called once, never before this returns.
    call_number send(const client_request& request, callback onEnd);

    /// Closes the connection of a call without calling its callback.
    void cancelCall(call_number number);

    std::size_t inFlight() const { return m_calls.size(); }

private:
    struct connection_deleter {
        void operator()(evhttp_connection* connection) const { evhttp_connection_free(connection); }
    };
    using connection_ptr = std::unique_ptr<evhttp_connection, connection_deleter>;

    struct call {
        http_client* owner = nullptr;
        call_number number = 0;
        std::string poolKey;
        connection_ptr connection;
        callback onEnd;
        time_point sentAt;
        loop::timer_number timeout = 0;
        client_answer answer;
        body_digest digest;
        bool isCut = false;
    };

    static int onHead(evhttp_request* request, void* argument);
    static void onChunk(evhttp_request* request, void* argument);
    static void onError(evhttp_request_error failure, void* argument);
    static void onDone(evhttp_request* request, void* argument);

    connection_ptr connectionTo(const numeric_address& target, const std::string& poolKey);
    static void appendBody(call& running, evhttp_request* request);
    void end(call_number number, call_end how);
    void freeDeferred(std::unique_ptr<call> ended);

    loop& m_loop;
    call_number m_lastCall = 0;
    std::map<call_number, std::unique_ptr<call>> m_calls;
    std::map<std::string, std::vector<connection_ptr>> m_idle;
};

}
