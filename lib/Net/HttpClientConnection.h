/// \file
/// One connection of the HTTP client and the attempt in progress on it.

#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include "HttpSockets.h"
#include "pimentoladder/Net/EventLoop.h"
#include "pimentoladder/Net/HttpClient.h"
#include "pimentoladder/Net/HttpMessageParser.h"

namespace pimentoladder {

class http_client_connection;

/// Returns whether the client can send requests of this method. Thread-safe.
bool isClientMethod(std::string_view method);

/// State shared by an attempt's handle, its connection and the client.
struct http_attempt_state {
    http_client_request request;
    std::shared_ptr<http_client_callbacks> callbacks;
    http_client_connection* connection = nullptr;
    std::unique_ptr<deferred_call> start;
    bool isEnded = false;
    bool mayHaveBeenSent = false;
};

/// Interface from a connection to the client that owns it.
class http_client_connection_pool {
public:
    virtual ~http_client_connection_pool() = default;
    virtual const http_client_limits& limits() const = 0;
    /// Adds the connection to the idle pool, or destroys it if the pool is full.
    virtual void keep(http_client_connection& unused) = 0;
    /// Starts an attempt of which no byte was written on a new connection.
    virtual void startOnNewConnection(std::shared_ptr<http_attempt_state> attempt) = 0;
    /// Destroys the connection. Must not be called from within an evhttp callback.
    virtual void discard(http_client_connection& dead) = 0;
    /// Closes the idle connections to \p server soon, and each other one after its response.
    virtual void retire(const endpoint& server) = 0;
    virtual void bytesMoved(std::size_t received, std::size_t sent) = 0;
    /// Reports that a connection that was begun at \p begunAt is open, or was given up before.
    virtual void connectEnded(time_point begunAt, bool isOpen) = 0;
};

/// One connection to a backend server, used by at most one attempt at a time. The
/// raw input is validated and rewritten in normal form before evhttp reads it.
class http_client_connection {
public:
    http_client_connection(event_loop& loop, http_client_connection_pool& pool, endpoint server);
    ~http_client_connection();
    http_client_connection(const http_client_connection&) = delete;
    http_client_connection& operator=(const http_client_connection&) = delete;

    const endpoint& server() const { return m_server; }
    bool isUsable() const { return !m_isClosed && !m_isEnding && !m_isRetired && !isUnusable(bufferevent_getfd(m_channel)); }

    void begin(std::shared_ptr<http_attempt_state> attempt);
    void pause();
    void resume();
    void closeAfterResponse() { m_isLastResponse = true; }
    void cancel();
    /// Keeps the connection from being used for another attempt.
    void retire() { m_isRetired = true; }
    bool isRetired() const { return m_isRetired; }
    /// Starts the timer that closes the idle connection.
    void becomeIdle();

private:
    static void onInput(evbuffer*, const evbuffer_cb_info* info, void* context);
    static void onOutput(evbuffer*, const evbuffer_cb_info* info, void* context);
    static int onHead(evhttp_request* request, void* context);
    static void onBody(evhttp_request* request, void* context);
    static void onDone(evhttp_request* request, void* context);
    static void onClosed(evhttp_connection*, void* context);

    void inputArrived(std::size_t added);
    std::string normaliseInput(std::string_view raw);
    void outputChanged(const evbuffer_cb_info& info);
    bool askMaySend();
    void flushOutput();
    void discardOutput();
    void headArrived(evhttp_request* request);
    void bodyArrived(evhttp_request* request);
    evhttp_request* makeRequest();
    void end(attempt_end_kind kind);
    attempt_end_kind incompleteEndKind() const;
    void noteUndeliveredRequest();
    void finish();
    void deadlinePassed();

    event_loop& m_loop;
    http_client_connection_pool& m_pool;
    endpoint m_server;
    time_point m_begunAt; ///< When the attempt that opens the connection began.
    bufferevent* m_channel;
    evhttp_connection* m_evhttp;
    http_message_parser m_parser;
    std::string m_body; ///< Scratch buffer.
    std::shared_ptr<http_attempt_state> m_attempt;
    attempt_end_kind m_endKind = attempt_end_kind::notSent;
    deferred_call m_finish;
    loop_timer m_deadline;
    deferred_call m_flush;
    std::optional<duration> m_serverTimeout; ///< `timeout` of the server's `Keep-Alive` header, if any.
    bool m_hasBegun = false; ///< Whether an attempt has used the connection.
    bool m_isReused = false; ///< Whether an earlier attempt opened the connection.
    bool m_hasAskedMaySend = false; ///< Whether `maySend` was called for this attempt.
    bool m_isSendDenied = false;
    bool m_hasDeliveredHead = false;
    bool m_isRequestUndelivered = false; ///< The server has ended a response without a length before it had received the request.
    bool m_isEnding = false;
    bool m_isPaused = false;
    bool m_isClosed = false;
    bool m_isRetired = false;
    bool m_hasUnexpectedInput = false; ///< Whether bytes arrived that belong to no response.
    bool m_isLastResponse = false; ///< Whether the connection closes after the response.
    bool m_isRewriting = false;
};

}
