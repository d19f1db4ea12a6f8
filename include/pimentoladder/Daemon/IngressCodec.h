/// \file
/// Interface to the header formats of callers and backend servers.

#pragma once

#include "pimentoladder/Dispatch/DispatchActions.h"
#include "pimentoladder/Net/HttpMessage.h"

namespace pimentoladder {

/// Translates between HTTP headers and the dispatcher's inputs.
/// Not thread-safe; call on the loop's thread.
class ingress_codec {
public:
    virtual ~ingress_codec() = default;

    /// Returns the digest of the key in a request's headers, or null. It is valid until the next call.
    virtual const std::string* keyDigest(const http_headers& headers) = 0;

    /// Decodes a caller's request.
    virtual inbound_request describe(const http_request& received) = 0;

    /// Returns the headers of an attempt's request to its server.
    virtual http_headers attemptHeaders(const http_request& received, const open_dispatch& opened) const = 0;

    /// Decodes the head of a server's answer. \p received is the caller's request.
    virtual served_head describeHead(const http_response_head& head, const http_request& received) const = 0;
};

}
