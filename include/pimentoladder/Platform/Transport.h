/// \file
/// Interfaces through which the platform's clients use the event loop: HTTP
/// calls, clock and timers.

#pragma once

#include <functional>
#include <optional>
#include <string>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// One HTTP call to the platform.
struct transport_request {
    std::string method; ///< GET, PUT or POST.
    std::string target; ///< Path and query, percent-encoded.
    std::string body;
};

/// How a call ended.
enum class transport_end {
    notSent, ///< No byte of the request was sent.
    outcomeUnknown, ///< Bytes were sent, but no complete answer was received.
    answered, ///< A complete answer was received.
};

struct transport_answer {
    transport_end end = transport_end::notSent;
    int status = 0; ///< HTTP status, if answered.
    std::string body = {};
    std::optional<duration> retryAfter = {}; ///< Value of the answer's `Retry-After` header.
    std::string detail = {}; ///< Human-readable reason why there is no answer.
};

/// Sends calls to the platform. Not thread-safe; call on the loop's thread.
class transport {
public:
    using callback = std::function<void(transport_answer)>;

    virtual ~transport() = default;

    /// Sends \p request. \p onEnd is called exactly once, never before this
    /// function returns, and at \p deadline at the latest.
    virtual void send(const transport_request& request, time_point deadline, callback onEnd) = 0;
};

/// The loop's clock and timers. Not thread-safe; call on the loop's thread.
class scheduler {
public:
    using callback = std::function<void()>;

    virtual ~scheduler() = default;

    virtual time_point now() const = 0;

    /// Calls \p action once after \p delay, never before this function returns.
    virtual void callAfter(duration delay, callback action) = 0;
};

}
