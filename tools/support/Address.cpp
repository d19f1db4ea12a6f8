#include "support/Address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <charconv>
#include <stdexcept>

namespace pimentoladder::tools {

numeric_address parseAddress(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    numeric_address result;
    bool isValid = colon != std::string::npos && colon > 0;
    if (isValid) {
        result.host = text.substr(0, colon);
        if (result.host.front() == '[' && result.host.back() == ']')
            result.host = result.host.substr(1, result.host.size() - 2);
        const char* first = text.data() + colon + 1;
        const char* last = text.data() + text.size();
        const auto [end, code] = std::from_chars(first, last, result.port);
        isValid = code == std::errc() && end == last;
    }
    if (!isValid)
        throw std::runtime_error("address \"" + text + "\" is malformed; use IP:port");
    return result;
}

std::uint16_t portOf(int socket)
{
    sockaddr_storage address {};
    socklen_t size = sizeof(address);
    if (getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        return 0;
    if (address.ss_family == AF_INET6)
        return ntohs(reinterpret_cast<sockaddr_in6*>(&address)->sin6_port);
    return ntohs(reinterpret_cast<sockaddr_in*>(&address)->sin_port);
}

}
