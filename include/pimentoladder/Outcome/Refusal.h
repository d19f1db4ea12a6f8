/// \file
/// The reasons for which the router itself answers a request with an error.

#pragma once

#include <string_view>

namespace pimentoladder {

enum class refusal_kind {
    // The request violates the protocol or exceeds a limit of the HTTP server.
    malformedRequest,
    conflictingLength,
    invalidLength,
    unknownTransferCoding,
    missingHost,
    duplicateHost,
    headTooLarge,
    bodyTooLarge,
    requestTimeout,
    methodNotAllowed,
    expectationFailed,
    versionNotSupported,
    tooManyConnections,
    memoryFull,
    // The request cannot be routed.
    unauthenticated,
    noPool,
    noEligibleServer,
    invalidCostHint,
    invalidModel,
    // The request was not sent to a backend server.
    queueFull,
    routerOverloaded,
    queueTimeout,
    connectionLimit,
    notFresh,
    draining,
    serverUnreachable,
    retryBudgetExhausted,
    quarantined,
    // Idempotency claims.
    claimUnavailable,
    claimInProgress,
    keyReused,
    outcomeUnreadable,
    // The request was sent to a backend server.
    outcomeUnknown,
    serverFailed,
    serverTimeout,
};

/// Number of refusal kinds.
inline constexpr int refusalKindCount = static_cast<int>(refusal_kind::serverTimeout) + 1;

/// Whether a refused request ran.
enum class run_state {
    notRun, ///< No backend server received a byte of this request.
    unknown, ///< A backend server may have run it.
    elsewhere, ///< An earlier request with the same idempotency key runs or ran; this one did not.
};

/// What the caller should do with the same request.
enum class retry_advice {
    no, ///< It would be refused again; correct it first.
    later, ///< Send it again after a short wait.
    afterCheck, ///< Find out first whether it took effect.
};

/// One row of the table of refusals.
struct refusal {
    refusal_kind kind;
    std::string_view name; ///< Machine-readable name in snake case.
    int status; ///< HTTP status code.
    run_state ran;
    retry_advice retry;
    std::string_view message; ///< Default human-readable message.
};

/// Returns the table row for \p kind. Thread-safe.
const refusal& refusalOf(refusal_kind kind);

/// Returns the machine-readable name of \p advice. Thread-safe.
std::string_view retryAdviceName(retry_advice advice);

}
