/// \file
/// Port to the headers of callers and backend servers.

#pragma once

#include "pimentoladder/Dispatch/DispatchActions.h"
#include "pimentoladder/Net/HttpMessage.h"

namespace pimentoladder {

/// Translates between HTTP headers and what the dispatcher decides upon.
/// Not thread-safe; call on the loop's thread.
class ingress_codec {
public:
    virtual ~ingress_codec() = default;

    /// Reads what a caller's request states.
    virtual inbound_request describe(const http_request& received) = 0;

    /// Returns the headers with which an attempt goes to its server.
    virtual http_headers attemptHeaders(const http_request& received, const open_dispatch& opened) const = 0;

    /// Reads what a server's answer states. \p received is the caller's request.
    virtual served_head describeHead(const http_response_head& head, const http_request& received) const = 0;
};

}
