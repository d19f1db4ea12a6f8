/// \file
/// Whether a router may send a request to a backend server, and if not, until when and why.

#pragma once

#include <optional>
#include <string_view>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// Why a router may not send a request to a server.
enum class hold_reason {
    none,
    outOfService, ///< Its registration or its data centre is out of service.
    leaving, ///< It has announced in a response that it leaves.
    resting, ///< It has turned this router away for a time.
    returning, ///< That time has ended, and the result of a trial request is not known yet.
    otherSenders, ///< Its rate is low, and other routers are its senders.
    limited, ///< This router has used its part of the server's request limit.
    otherVersion, ///< The stream that the caller takes up was begun by another software version.
    unknownVersion, ///< It is not known which software version began that stream.
    cold, ///< This router has used its part of the cold server's rate.
};

/// Returns the name of \p reason. Thread-safe.
std::string_view holdReasonName(hold_reason reason);

/// Whether this router may send a request to a server now. A plain value; thread-safe.
struct send_window {
    hold_reason reason = hold_reason::none;
    std::optional<time_point> opensAt {}; ///< When this router may send, if it is held and the time is known.

    bool isOpen() const { return reason == hold_reason::none; }
};

}
