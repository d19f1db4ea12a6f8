/// \file
/// Load generator for the request path. It uses plain sockets with keep-alive
/// connections, so that it costs less than what it measures.

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <event2/event.h>

#include "load/Report.h"
#include "support/Address.h"
#include "support/Loop.h"

namespace pimentoladder::measure {

/// The request to send, its rate and the number of connections.
struct path_plan {
    tools::numeric_address target;
    std::string request; ///< Head and body as sent on the wire.
    double rate = 0; ///< Requests per second with exponential gaps; 0: closed loop.
    std::size_t connections = 1; ///< Open connections; also the limit of requests in flight.
    std::uint64_t requests = 1; ///< The run ends after this number of requests.
    std::uint64_t seed = 1;
};

/// Results as the callers observed them.
struct path_figures {
    std::uint64_t answered = 0; ///< Complete responses whose status begins with 20.
    std::uint64_t failed = 0; ///< Other responses, and broken connections.
    duration elapsed {};
    std::vector<duration> latencies; ///< From the time at which a request was due to the end of its response.
    std::vector<duration> firstBytes; ///< From the same time to the first byte of the body.
};

/// One keep-alive connection with at most one request in flight.
/// Not thread-safe; call on the loop's thread.
class path_connection {
public:
    /// Receives the events of the connection's request.
    struct observer {
        virtual ~observer() = default;
        virtual void onBodyStarted(path_connection& from) = 0;
        /// \p isSuccess is false if the connection broke or the status is not a success.
        virtual void onRequestEnded(path_connection& from, bool isSuccess) = 0;
    };

    /// Connects synchronously. Throws `std::runtime_error` if nothing listens on
    /// \p target.
    path_connection(tools::loop& events, const tools::numeric_address& target, observer& watcher);
    ~path_connection();
    path_connection(const path_connection&) = delete;
    path_connection& operator=(const path_connection&) = delete;

    /// Sends a request that was due at \p due. Precondition: no request is in flight.
    void send(std::string_view request, time_point due);

    time_point due() const { return m_due; }

private:
    static void onReadable(evutil_socket_t, short, void* context);

    void read();
    void parseResponse();
    bool isResponseComplete() const;
    void finish(bool isSuccess);

    observer& m_observer;
    int m_socket;
    event* m_readable;
    std::string m_received;
    std::size_t m_bodyStart = 0; ///< 0 until the head is complete.
    std::size_t m_bodyBytes = 0; ///< Content-Length; unused for chunked responses.
    bool m_isChunked = false;
    bool m_isBodySeen = false;
    bool m_isInFlight = false;
    time_point m_due;
};

/// Runs one plan. Not thread-safe; call on the loop's thread.
class path_load : public path_connection::observer {
public:
    /// The loop outlives the object.
    path_load(tools::loop& events, path_plan plan);
    ~path_load() override;

    /// Starts the run; \p onEnd is called once when every request has ended.
    void start(std::function<void()> onEnd);

    const path_figures& figures() const { return m_figures; }

private:
    void onBodyStarted(path_connection& from) override;
    void onRequestEnded(path_connection& from, bool isSuccess) override;
    void enqueueArrivals(time_point due);
    void sendOn(path_connection& idle, time_point due);

    tools::loop& m_loop;
    path_plan m_plan;
    std::mt19937_64 m_random;
    std::exponential_distribution<double> m_gap; ///< Seconds between arrivals.
    path_figures m_figures;
    std::vector<std::unique_ptr<path_connection>> m_connections;
    std::vector<path_connection*> m_idle;
    std::deque<time_point> m_due; ///< Due times of requests that wait for a connection.
    std::uint64_t m_arrived = 0;
    std::uint64_t m_ended = 0;
    time_point m_startedAt;
    std::function<void()> m_onEnd;
};

}
