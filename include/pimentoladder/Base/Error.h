/// \file
/// Typed errors and the result type that carries them.

#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace pimentoladder {

/// Machine-readable class of an error. The message of an `error` is for people.
enum class error_kind {
    invalidArgument, ///< The input is invalid; a corrected input may succeed.
    notFound, ///< The named object does not exist.
    alreadyExists, ///< An object of this name already exists.
    conflict, ///< Another change was committed first; read again and retry.
    unauthenticated, ///< The credentials are missing or unknown.
    unavailable, ///< The service did not accept the call; it was not executed.
    outcomeUnknown, ///< The call may or may not have been executed.
    timeout, ///< The deadline passed before the call was sent.
    resourceExhausted, ///< A limit or budget is exhausted.
    corruptData, ///< A message or row could not be decoded.
};

/// Returns the machine-readable name of \p kind, in snake case. Thread-safe.
std::string_view errorKindName(error_kind kind);

/// An error: its kind, and a message that begins in lower case, has no final
/// full stop and names the remedy.
struct error {
    error_kind kind = error_kind::invalidArgument;
    std::string message;
};

template <typename T>
using result = tl::expected<T, error>;

/// Creates the error value of a `result`. Thread-safe.
inline tl::unexpected<error> makeError(error_kind kind, std::string message)
{
    return tl::unexpected<error>(error { kind, std::move(message) });
}

}
