/// \file
/// HTTP server of the stand-ins based on evhttp, with faults that evhttp does not
/// offer: connection resets and truncated answers.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <evhttp.h>

#include "support/Loop.h"

namespace pimentoladder::tools {

/// A header of a request or an answer.
struct http_header {
    std::string name;
    std::string value;
};

/// A request and its answer. Once the caller has disconnected, further calls have
/// no effect. Not thread-safe; call on the loop's thread.
class http_exchange : public std::enable_shared_from_this<http_exchange> {
public:
    http_exchange(loop& owner, evhttp_request* request);
    ~http_exchange();
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;

    const std::string& method() const { return m_method; }
    /// Path without query, percent-decoded.
    const std::string& path() const { return m_path; }
    const std::string& body() const { return m_body; }
    /// Returns the first value of a request header, or an empty string.
    std::string header(const char* name) const;
    /// Returns the decoded value of a query parameter, or an empty string.
    std::string query(std::string_view name) const;

    /// Adds headers to the answer, whoever sends it.
    void setAnswerHeaders(std::vector<http_header> headers) { m_answerHeaders = std::move(headers); }

    /// Sends a complete JSON answer.
    void reply(int status, const std::string& body, const std::vector<http_header>& headers = {});

    /// Starts a chunked answer, continued by `sendChunk` and `endStream`.
    void startStream(int status, const std::vector<http_header>& headers);
    void sendChunk(std::string_view text);
    void endStream();

    /// Resets the TCP connection after the current event has been handled.
    void reset();

    /// Closes the connection without ending the answer. With chunked coding
    /// the answer lacks its closing chunk.
    void close();

    /// Sets the callback for a caller that disconnects before the answer has ended.
    void setOnDisconnect(std::function<void()> action) { m_onDisconnect = std::move(action); }

    bool isOpen() const { return m_request != nullptr; }

private:
    static void onClosed(evhttp_connection*, void* argument);

    void addHeaders(const std::vector<http_header>& headers);
    void cut(bool withReset);
    /// Detaches this object from the connection and returns the request.
    evhttp_request* release();

    loop& m_loop;
    evhttp_request* m_request;
    std::string m_method;
    std::string m_path;
    std::string m_query;
    std::string m_body;
    std::vector<http_header> m_answerHeaders;
    std::function<void()> m_onDisconnect;
};

using exchange_ptr = std::shared_ptr<http_exchange>;

/// Listens on one address and passes each request to a handler.
/// Not thread-safe; call on the loop's thread.
class http_server {
public:
    using handler = std::function<void(const exchange_ptr&)>;

    /// Throws `std::runtime_error` if \p address (numeric "IP:port") cannot be
    /// bound. Port 0 takes a free port.
    http_server(loop& owner, const std::string& address, handler onRequest);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    std::uint16_t port() const { return m_port; }

private:
    static void onRequest(evhttp_request* request, void* argument);

    loop& m_loop;
    handler m_handler;
    evhttp* m_http;
    std::uint16_t m_port = 0;
};

}
