/// \file
/// Plain sockets for tests that send and expect exact bytes. Waiting runs the
/// loop under test, so that both ends run on one thread.

#pragma once

#include <cerrno>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pimentoladder/Net/EventLoop.h"

namespace pimentoladder {

inline constexpr duration testLimit = std::chrono::seconds(5);

/// Runs the loop until \p isDone returns true or \p limit has passed. Returns
/// whether \p isDone returned true.
inline bool runUntil(event_loop& loop, const std::function<bool()>& isDone, duration limit = testLimit)
{
    const time_point end = loop.now() + limit;
    while (!isDone() && loop.now() < end)
        loop.runFor(std::chrono::microseconds(500));
    return isDone();
}

/// A connected socket.
class raw_socket {
public:
    raw_socket(event_loop& loop, int socket)
        : m_loop(loop)
        , m_socket(socket)
    {
    }
    ~raw_socket() { close(); }
    raw_socket(const raw_socket&) = delete;
    raw_socket& operator=(const raw_socket&) = delete;
    raw_socket(raw_socket&& other) noexcept
        : m_loop(other.m_loop)
        , m_socket(std::exchange(other.m_socket, -1))
        , received(std::move(other.received))
    {
    }

    static raw_socket connectTo(event_loop& loop, std::uint16_t port, int receiveBuffer = 0)
    {
        const int made = socket(AF_INET, SOCK_STREAM, 0);
        if (receiveBuffer > 0)
            setsockopt(made, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        connect(made, reinterpret_cast<sockaddr*>(&address), sizeof address);
        return { loop, made };
    }

    void send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t count = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count < 0 && errno != EAGAIN)
                return;
            bytes.remove_prefix(count < 0 ? 0 : static_cast<std::size_t>(count));
            if (!bytes.empty())
                m_loop.runFor(std::chrono::microseconds(500));
        }
    }

    /// Sends as much as the socket accepts without blocking. Returns the byte count,
    /// or -1.
    ssize_t sendSome(std::string_view bytes) const
    {
        return ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }

    /// Reads all available bytes into `received` and updates the closed flags.
    void poll()
    {
        char buffer[65536];
        for (;;) {
            const ssize_t count = recv(m_socket, buffer, sizeof buffer, MSG_DONTWAIT);
            if (count <= 0) {
                isReset = isReset || (count < 0 && errno == ECONNRESET);
                isClosed = isClosed || count == 0 || errno != EAGAIN;
                return;
            }
            received.append(buffer, static_cast<std::size_t>(count));
        }
    }

    bool waitFor(std::string_view text, duration limit = testLimit)
    {
        return runUntil(
            m_loop, [&] { return poll(), received.find(text) != std::string::npos; }, limit);
    }

    bool waitForClose(duration limit = testLimit)
    {
        return runUntil(
            m_loop, [&] { return poll(), isClosed; }, limit);
    }

    void close()
    {
        if (m_socket >= 0)
            ::close(std::exchange(m_socket, -1));
    }

    /// Ends the own direction of the connection.
    void shutdownWrite() { shutdown(m_socket, SHUT_WR); }

    /// Closes the connection with a TCP reset.
    void reset()
    {
        const linger now { 1, 0 };
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }

private:
    event_loop& m_loop;
    int m_socket;

public:
    std::string received;
    bool isClosed = false;
    bool isReset = false;
};

/// A listening socket on a free loopback port.
class raw_listener {
public:
    explicit raw_listener(event_loop& loop)
        : m_loop(loop)
        , m_socket(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
        listen(m_socket, 16);
        socklen_t size = sizeof address;
        getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
        port = ntohs(address.sin_port);
    }
    ~raw_listener() { close(); }
    raw_listener(const raw_listener&) = delete;
    raw_listener& operator=(const raw_listener&) = delete;

    /// Returns the next connection, or an invalid socket if none arrives in time.
    raw_socket accept(duration limit = testLimit)
    {
        int accepted = -1;
        runUntil(
            m_loop, [&] { return accepted >= 0 || (accepted = ::accept(m_socket, nullptr, nullptr)) >= 0; }, limit);
        return { m_loop, accepted };
    }

    bool hasConnection() const
    {
        const int accepted = ::accept(m_socket, nullptr, nullptr);
        if (accepted >= 0)
            ::close(accepted);
        return accepted >= 0;
    }

    void close()
    {
        if (m_socket >= 0)
            ::close(std::exchange(m_socket, -1));
    }

    std::uint16_t port = 0;

private:
    event_loop& m_loop;
    int m_socket;
};

}
