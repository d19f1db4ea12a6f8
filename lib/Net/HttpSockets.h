/// \file
/// Socket calls that libevent does not offer.

#pragma once

#include <cstdint>

#include <sys/socket.h>

#include "pimentoladder/Config/Document.h"

namespace pimentoladder {

/// Writes the socket address of \p location to \p address. Returns false if the
/// location is not given by number.
bool toSocketAddress(const endpoint& location, sockaddr_storage& address);

/// Returns the local port of a bound socket.
std::uint16_t localPort(int socket);

/// Sends small parts at once instead of waiting for more.
void setNoDelay(int socket);

/// Resets the connection, so that the peer cannot take its end for regular.
void resetConnection(int socket);

/// Returns whether the peer has closed or reset the connection and all it sent
/// before has been read. Does not block and takes no bytes.
bool isClosedByPeer(int socket);

/// Returns whether the peer has closed the connection, or has sent bytes that
/// nobody asked for. Does not block and takes no bytes.
bool isUnusable(int socket);

}
