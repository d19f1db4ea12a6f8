/// \file
/// The subcommand `pimentoladder admin`.

#pragma once

#include <string>
#include <vector>

namespace pimentoladder {

/// Runs one administration command and returns its exit code. \p arguments are
/// the command-line arguments after `admin`. `--address=IP:port` or the
/// environment variable PIMENTOLADDER_ADDRESS selects the router;
/// PIMENTOLADDER_TOKEN holds the operator's bearer token.
int runAdmin(const std::vector<std::string>& arguments);

}
