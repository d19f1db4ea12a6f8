#include "HttpSockets.h"

#include <algorithm>
#include <cerrno>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#ifdef __linux__
#include <linux/sockios.h>
#endif

namespace pimentoladder {

bool toSocketAddress(const endpoint& location, sockaddr_storage& address)
{
    address = {};
    auto* v4 = reinterpret_cast<sockaddr_in*>(&address);
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&address);
    if (inet_pton(AF_INET, location.address.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(location.port);
        return true;
    }
    if (inet_pton(AF_INET6, location.address.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(location.port);
        return true;
    }
    return false;
}

std::uint16_t localPort(int socket)
{
    sockaddr_storage address {};
    socklen_t size = sizeof address;
    if (getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        return 0;
    if (address.ss_family == AF_INET6)
        return ntohs(reinterpret_cast<const sockaddr_in6*>(&address)->sin6_port);
    return ntohs(reinterpret_cast<const sockaddr_in*>(&address)->sin_port);
}

void setNoDelay(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void limitReceiveBuffer(int socket, int bytes)
{
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

void resetConnection(int socket)
{
    // SO_LINGER has no effect here: evhttp calls shutdown before close, which sends a FIN.
    // Connecting to AF_UNSPEC resets the connection.
    sockaddr unspecified {};
    unspecified.sa_family = AF_UNSPEC;
    static_cast<void>(connect(socket, &unspecified, sizeof unspecified));
}

namespace {

    // Returns 1 if a byte can be read, 0 at the end of the stream or after an error,
    // and -1 if nothing has arrived.
    ssize_t peekSocket(int socket)
    {
        char byte = 0;
        const ssize_t count = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool isEmpty = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        return isEmpty ? -1 : std::max<ssize_t>(count, 0);
    }

}

bool isClosedByPeer(int socket)
{
    return peekSocket(socket) == 0;
}

bool hasUnreadInput(int socket)
{
    return peekSocket(socket) == 1;
}

bool hasUndeliveredOutput([[maybe_unused]] int socket)
{
    int bytes = 0;
#ifdef SIOCOUTQ
    if (ioctl(socket, SIOCOUTQ, &bytes) != 0)
        return false;
#endif
    return bytes > 0;
}

bool hasWaitingConnection(int listeningSocket)
{
    pollfd queried { listeningSocket, POLLIN, 0 };
    return poll(&queried, 1, 0) == 1;
}

bool isUnusable(int socket)
{
    return peekSocket(socket) >= 0;
}

}
