/// \file
/// HTTP/1.1 server over evhttp, for callers and for administration.

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Config/Document.h"
#include "pimentoladder/Memory/MemoryAccount.h"
#include "pimentoladder/Net/HttpMessage.h"
#include "pimentoladder/Net/Traffic.h"
#include "pimentoladder/Outcome/Refusal.h"

namespace pimentoladder {

class event_loop;

/// Limits of one server. All except `connections` apply to each connection.
struct http_server_limits {
    std::size_t headBytes = std::size_t { 32 } * 1024;
    std::size_t bodyBytes = std::size_t { 8 } * 1024 * 1024;
    std::size_t connections = 4096;
    duration headTimeout = std::chrono::seconds(10); ///< From the first byte of a head to its end.
    duration bodyTimeout = std::chrono::seconds(60); ///< From the end of the head to the end of the body.
    duration idleTimeout = std::chrono::seconds(75); ///< Without a request in progress.
    duration writeTimeout = std::chrono::seconds(60); ///< While the caller reads no byte of a pending response.
    duration lingerTimeout = std::chrono::seconds(1); ///< How long to keep reading after a refusal, so that a reset does not destroy it.
};

/// Why the server closed a caller's connection.
enum class server_close_reason {
    idleTimeout,
    writeTimeout,
    lingerTimeout,
    drain,
    connectionLimit,
    abortedResponse,
    refusedEarly,
    memory,
};

/// Returns the name of \p reason. Thread-safe.
std::string_view serverCloseReasonName(server_close_reason reason);

/// A caller's connection that the server is about to close.
struct server_close {
    server_close_reason reason {};
    bool hasUnreadInput = false; ///< Input has arrived that has not been handled.
    std::size_t unsentBytes = 0; ///< Output that has not been written to the socket.
};

/// What the server does for want of memory.
enum class memory_measure {
    refused, ///< A request that is being read finds no room, and is refused.
    gaveWay, ///< An incomplete request that has stalled is refused, so that another one finds room.
    discardedInput, ///< Input behind a request in progress is discarded, and the connection closes after the response.
};

/// Returns the name of \p measure. Thread-safe.
std::string_view memoryMeasureName(memory_measure measure);

/// One measure, with what it was decided by.
struct memory_event {
    memory_measure measure {};
    std::size_t receivedBytes = 0; ///< Of the request, or of the input behind one in progress.
    std::size_t neededBytes = 0; ///< Room that the request needs, including its announced rest.
};

/// The response to one request. Releasing the last reference to a response that
/// has not ended aborts it. After the caller has disconnected, no call has any effect.
/// Not thread-safe; call on the loop's thread.
class http_response_writer {
public:
    virtual ~http_response_writer() = default;

    /// Sends the head. With a `Content-Length` header the body has that length;
    /// otherwise it is chunked. Precondition: not started.
    virtual void start(const http_response_head& head) = 0;

    /// Sends a part of the body. Ignored if the response has no body (HEAD,
    /// 204, 304). Precondition: started and not ended.
    virtual void send(std::string_view bytes) = 0;

    /// Ends the response. If fewer bytes were sent than `Content-Length` declared,
    /// the response is aborted instead.
    virtual void end() = 0;

    /// Closes the connection without the last chunk or before the declared length,
    /// so that the caller can tell that the response is incomplete.
    virtual void abort() = 0;

    /// Sends a complete response.
    virtual void reply(const http_response_head& head, std::string_view body) = 0;

    /// Sends a refusal with its status and JSON body.
    virtual void refuse(refusal_kind kind, std::string_view message) = 0;

    /// Returns the number of response bytes not yet written to the socket.
    virtual std::size_t pendingBytes() const = 0;

    /// Returns the same for all connections of the server together.
    virtual std::size_t pendingBytesOfAll() const = 0;

    /// Calls \p callback once when at most \p lowBytes are pending; replaces an
    /// earlier callback. It is not called if the caller disconnects.
    virtual void whenDrained(std::size_t lowBytes, std::function<void()> callback) = 0;

    /// Returns whether the caller has closed the connection, even if the loop has
    /// not handled that event yet. Makes a system call.
    virtual bool hasCallerClosed() const = 0;

    /// Calls \p callback once if the caller closes the connection before the
    /// response has ended. A caller that closes only its sending side counts as
    /// disconnected.
    virtual void whenCallerDisconnects(std::function<void()> callback) = 0;
};

/// Decides by the headers of a request whether to refuse it before it is handled. Returns the
/// complete response, with its framing, or an empty text. The response outlives the server, and has
/// the header `Connection: close` if the connection \p closes after it.
using http_early_check = std::function<std::string_view(const http_headers& headers, bool closes)>;

/// Called once for each request that passes the checks.
using http_request_handler = std::function<void(http_request request, std::shared_ptr<http_response_writer> answer)>;

/// Listens, validates requests and passes them to a handler. Requests that
/// violate the protocol or a limit are refused before they reach the handler. Pipelined
/// requests are handled one after the other. In each iteration of the loop, new requests take
/// as much time as everything else at most, so that neither delays the other without bound.
/// Not thread-safe; call on the loop's thread. Answers may outlive the server.
class http_server {
public:
    /// \p memory decides which requests may be read; without one all may.
    http_server(event_loop& loop, http_server_limits limits, http_request_handler handler, std::shared_ptr<memory_account> memory = nullptr);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Starts to listen. Port 0 selects a free port.
    /// Returns the bound address. Errors: `unavailable` if it cannot be bound.
    result<endpoint> listen(const endpoint& location);

    /// Replaces the limits. Open connections keep their size limits of heads and
    /// bodies.
    void setLimits(const http_server_limits& limits);

    /// Sets whether connections stay open after a response.
    void setKeepAlive(bool isKept);

    /// Sets a check that runs before the handler and costs a small part of it. It is skipped for
    /// requests after which the connection closes, and for HEAD. A connection whose first request it
    /// refuses closes, so that callers that come again on new ones do not fill the limit.
    void setEarlyCheck(http_early_check check);

    /// Sets a function that is called before the server closes a connection. Connections
    /// that callers close, and those that close after their response, are not reported.
    void setCloseObserver(std::function<void(const server_close&)> observer);

    /// Sets a function that is called for each measure that the server takes for want of memory.
    void setMemoryObserver(std::function<void(const memory_event&)> observer);

    /// Returns how long the first of the requests that wait to be read has waited.
    duration readDelay() const;

    /// Closes the connections without a request, and the others after their requests that
    /// have arrived, which run to completion. Stops listening once the connections that
    /// wait for it are accepted.
    void drain();

    /// Returns the number of open connections.
    std::size_t connectionCount() const;

    /// Returns the number of response bytes not yet written to the sockets.
    std::size_t pendingBytes() const;

    /// Returns the bytes that all callers' connections have moved.
    byte_counts traffic() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
