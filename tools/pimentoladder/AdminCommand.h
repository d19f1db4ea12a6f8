/// \file
/// The command `pimentoladder admin`.

#pragma once

#include <string>
#include <vector>

namespace pimentoladder {

/// Runs one administration command and returns its exit code. \p arguments
/// follow the word `admin`; `--address=IP:port` and the variable
/// PIMENTOLADDER_TOKEN say which router and which operator.
int runAdmin(const std::vector<std::string>& arguments);

}
