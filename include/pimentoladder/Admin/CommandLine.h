/// \file
/// The command line client `pimentoladder admin`, independent of its transport.

#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "pimentoladder/Admin/AdminMessage.h"
#include "pimentoladder/Base/Error.h"

namespace pimentoladder {

/// Exit codes of the client.
enum class admin_exit_code {
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

    /// Returns the response. Errors: `outcomeUnknown` if a byte of the request
    /// may have reached the router but no complete response arrived;
    /// `unavailable` if no byte can have reached it.
    virtual result<admin_response> send(const admin_request& request) = 0;
};

/// Inputs of the client besides its arguments.
struct admin_client_inputs {
    std::string token; ///< Bearer token of the operator.
    std::string changeId; ///< Random id for a change without `--change-id`; must be new for each run.
    std::function<result<std::string>(const std::string& path)> readFile; ///< Returns the contents of a file; `-` is standard input.
};

/// Output and exit code of the client.
struct admin_command_result {
    admin_exit_code exit = admin_exit_code::ok;
    std::string output; ///< Printed to standard output.
    std::string errors; ///< Printed to standard error.
};

/// Runs one command. \p arguments are those after the word `admin`. Not thread-safe.
admin_command_result runAdminCommand(
    const std::vector<std::string>& arguments, const admin_client_inputs& environment, admin_transport& transport);

/// Returns the help text. Thread-safe.
std::string_view adminUsage();

}
