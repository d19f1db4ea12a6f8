/// \file
/// Numeric socket addresses.

#pragma once

#include <optional>

#include <sys/socket.h>

#include "pimentoladder/Config/Document.h"

namespace pimentoladder {

/// An IPv4 or IPv6 socket address. Not thread-safe.
struct socket_address {
    sockaddr_storage storage {};
    int length = 0;

    const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
    sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
    int size() const { return length; }
};

/// Returns the address of \p location, or nothing if it is not numeric. Names are
/// never resolved. Thread-safe.
std::optional<socket_address> parseAddress(const endpoint& location);

/// Returns the port of \p address. Thread-safe.
std::uint16_t portOf(const socket_address& address);

}
