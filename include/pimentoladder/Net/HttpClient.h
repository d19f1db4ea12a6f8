/// \file
/// HTTP/1.1 client over evhttp that reports how far each attempt got.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Config/Document.h"
#include "pimentoladder/Net/HttpMessage.h"
#include "pimentoladder/Net/Traffic.h"
#include "pimentoladder/Outcome/AttemptEnd.h"

namespace pimentoladder {

class event_loop;

/// Limits and timeouts of a client.
struct http_client_limits {
    std::size_t headBytes = std::size_t { 64 } * 1024; ///< Of a response, interim responses included.
    std::uint64_t bodyBytes = std::uint64_t { 256 } * 1024 * 1024; ///< Of a response; a longer one ends the attempt as `malformed`.
    std::size_t idleConnectionsPerEndpoint = 512; ///< A limit below a server's requests in flight would close and reopen connections under load.
    duration connectTimeout = std::chrono::seconds(1);
    duration firstByteTimeout = std::chrono::seconds(60); ///< From the last request byte written to the socket to the first byte of the response head.
    duration idleTimeout = std::chrono::seconds(30); ///< Between two reads of a response, while reading is not paused.
    duration keepAliveTimeout = std::chrono::seconds(30); ///< How long an idle connection stays open.
};

/// Request of one attempt. The client adds `Host` and the framing headers.
struct http_client_request {
    endpoint server;
    std::string method; ///< GET, HEAD, POST, PUT, DELETE, OPTIONS or PATCH; others end as `notSent`.
    std::string target;
    http_headers headers; ///< Hop-by-hop headers are removed.
    shared_body body;
    bool mayReuseConnection = true; ///< Whether an idle keep-alive connection may be reused.
    std::string host {}; ///< Value of `Host`; empty: the server's address.
};

/// Callbacks of one attempt, called in this order. None is called after `onEnd`,
/// after `cancel`, nor from within `http_client::send`. The client may be destroyed
/// from `onEnd` only.
struct http_client_callbacks {
    /// Called once, with the connection open, before the first byte of the
    /// request is written to the socket. If it returns false, no byte is written
    /// and the attempt ends as `notSent`. If empty, sending is allowed.
    std::function<bool()> maySend;
    std::function<void(const http_response_head& head)> onHead;
    std::function<void(std::string_view bytes)> onBody;
    std::function<void(attempt_end end)> onEnd;
};

/// Handle of one attempt. Destroying it cancels the attempt.
/// Not thread-safe; call on the loop's thread.
class http_client_attempt {
public:
    virtual ~http_client_attempt() = default;

    /// Stops reading from the server. At most one further `onBody` call
    /// follows. The idle timeout does not run while reading is paused.
    virtual void pause() = 0;
    virtual void resume() = 0;

    /// Makes the response the last one on its connection.
    virtual void closeAfterResponse() = 0;

    /// Closes the connection. No further callback is called.
    virtual void cancel() = 0;

    /// Returns whether a byte of the request may have been written to the socket.
    virtual bool mayHaveBeenSent() const = 0;
};

/// Sends requests over keep-alive connections. Each request is sent at most
/// once; the client never retries. After an attempt that timed out, the other connections
/// to its server are not used again. Destroying the client cancels its attempts.
/// Not thread-safe; call on the loop's thread. Attempts may outlive the client.
class http_client {
public:
    http_client(event_loop& loop, http_client_limits limits);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    std::unique_ptr<http_client_attempt> send(http_client_request request, http_client_callbacks callbacks);

    /// Closes the idle connections to \p server soon, and each other one to it after its
    /// response. Connections opened later are not affected. May be called from a callback of an attempt.
    void retire(const endpoint& server);

    /// Returns the number of idle connections in the pool.
    std::size_t idleConnectionCount() const;

    /// Returns the bytes that all connections have moved.
    byte_counts traffic() const;

    /// Takes what is known of the connections that were opened since the last call.
    connect_counts takeConnects();

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

}
