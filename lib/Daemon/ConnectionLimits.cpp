#include "ConnectionLimits.h"

namespace pimentoladder {

http_client_limits backendLimits(const settings& configured)
{
    http_client_limits limits;
    limits.connectTimeout = configured.timeouts.connect;
    limits.firstByteTimeout = configured.timeouts.firstByte;
    limits.idleTimeout = configured.timeouts.idle;
    return limits;
}

http_server_limits callerLimits(const settings& configured)
{
    http_server_limits limits;
    limits.headBytes = configured.limits.headBytes;
    limits.bodyBytes = configured.limits.bodyBytes;
    limits.connections = configured.limits.connections;
    limits.headTimeout = configured.timeouts.head;
    limits.bodyTimeout = configured.timeouts.body;
    return limits;
}

}
