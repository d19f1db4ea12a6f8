/// \file
/// The command line client `pimentoladder admin`, without its transport.

#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "pimentoladder/Admin/AdminMessage.h"
#include "pimentoladder/Base/Error.h"

namespace pimentoladder {

/// Exit codes of the client.
enum class command_exit {
    ok = 0,
    refused = 1,
    usage = 2,
    conflict = 3,
    unknownOutcome = 4,
    unreachable = 5,
};

/// Sends one request to a router. Not thread-safe.
class admin_transport {
public:
    virtual ~admin_transport() = default;

    /// Returns the answer. Errors: `outcomeUnknown` if a byte of the request
    /// may have reached the router and no whole answer came; `unavailable` if
    /// none has.
    virtual result<admin_response> send(const admin_request& request) = 0;
};

/// What the client is given from outside.
struct command_environment {
    std::string token; ///< Of the operator.
    std::string changeId; ///< Fresh and random, for a change that brings no `--change-id`.
    std::function<result<std::string>(const std::string& path)> readFile; ///< `-` is standard input.
};

/// What the client prints, and its exit code.
struct command_result {
    command_exit exit = command_exit::ok;
    std::string output; ///< For standard output.
    std::string errors; ///< For standard error.
};

/// Runs one command. \p arguments follow the word `admin`. Not thread-safe.
command_result runAdminCommand(
    const std::vector<std::string>& arguments, const command_environment& environment, admin_transport& transport);

/// Returns the help text. Thread-safe.
std::string_view adminUsage();

}
