/// \file
/// Numeric network addresses for the test programs.

#pragma once

#include <cstdint>
#include <string>

namespace pimentoladder::tools {

/// An address in numeric form.
struct numeric_address {
    std::string host;
    std::uint16_t port = 0;
};

/// Parses "IP:port" or "[IPv6]:port". Throws `std::runtime_error` if the text
/// has another form. Thread-safe.
numeric_address parseAddress(const std::string& text);

/// Returns the local port of a bound socket, or 0. Thread-safe.
std::uint16_t portOf(int socket);

}
