/// \file
/// How an attempt to send a request to a backend server ended.

#pragma once

#include <cstdint>

namespace pimentoladder {

enum class attempt_end_kind {
    complete, ///< The whole answer arrived.
    notSent, ///< No byte of the request reached a connected socket.
    resetAfterSent, ///< The connection broke before the head of the answer was complete.
    truncated, ///< The answer ended before its announced length or closing chunk.
    timeout, ///< The server stopped responding after a byte of the request may have been sent.
    malformed, ///< The answer violates the protocol.
};

/// How an attempt ended, and whether the request may already have been sent, which
/// decides if it may be retried.
struct attempt_end {
    attempt_end_kind kind = attempt_end_kind::notSent;
    bool mayHaveBeenSent = false; ///< Whether a byte of the request may have reached a connected socket.
    bool hasExtraInput = false; ///< Whether bytes followed the complete answer, so that it may answer another request.

    bool operator==(const attempt_end&) const = default;
};

}
