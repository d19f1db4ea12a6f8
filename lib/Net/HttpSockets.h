/// \file
/// Socket operations that libevent does not provide.

#pragma once

#include <cstdint>

#include <sys/socket.h>

#include "pimentoladder/Config/Document.h"

namespace pimentoladder {

/// Writes the socket address of \p location to \p address. Returns false if the
/// address is not numeric.
bool toSocketAddress(const endpoint& location, sockaddr_storage& address);

/// Returns the local port of a bound socket.
std::uint16_t localPort(int socket);

/// Disables Nagle's algorithm, so that small writes are sent at once.
void setNoDelay(int socket);

/// Limits what the kernel buffers of the input of a socket, or of the connections that a listening
/// socket accepts, to about \p bytes.
void limitReceiveBuffer(int socket, int bytes);

/// Resets the connection, so that the peer cannot mistake its end for a regular one.
void resetConnection(int socket);

/// Returns whether the peer has closed or reset the connection and everything it
/// sent before has been read. Does not block and consumes no bytes.
bool isClosedByPeer(int socket);

/// Returns whether bytes have arrived at the socket that have not been read. Does not
/// block and consumes no bytes.
bool hasUnreadInput(int socket);

/// Returns whether bytes that were written to the connection have not reached the peer.
/// False where the system does not tell.
bool hasUndeliveredOutput(int socket);

/// Returns whether a connection waits to be accepted. Does not block.
bool hasWaitingConnection(int listeningSocket);

/// Returns whether the peer has closed the idle connection or has sent bytes on it
/// without a request. Does not block and consumes no bytes.
bool isUnusable(int socket);

}
