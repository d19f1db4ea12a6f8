#include "PeerLinkAddress.h"

#include <event2/util.h>
#include <netinet/in.h>

namespace pimentoladder {

namespace {

    in_port_t& portField(socket_address& address)
    {
        if (address.storage.ss_family == AF_INET6)
            return reinterpret_cast<sockaddr_in6*>(&address.storage)->sin6_port;
        return reinterpret_cast<sockaddr_in*>(&address.storage)->sin_port;
    }

}

std::optional<socket_address> parseAddress(const endpoint& location)
{
    socket_address address;
    address.length = sizeof(address.storage);
    if (evutil_parse_sockaddr_port(location.address.c_str(), address.get(), &address.length) != 0)
        return std::nullopt;
    portField(address) = htons(location.port);
    return address;
}

std::uint16_t portOf(const socket_address& address)
{
    socket_address copy = address;
    return ntohs(portField(copy));
}

}
