/// \file
/// Command that checks an operators' configuration before it is sent.

#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>

namespace pimentoladder {

/// What to check, and how to report it.
struct configuration_check_request {
    std::string path; ///< File with the configuration as the store holds it; "-": standard input.
    std::string againstPath; ///< File with the version in force; empty: none.
    std::string format; ///< `text` or `json`.
    std::uint64_t routerMemory = 0; ///< Bytes, of the smallest router.
};

/// Prints the findings to \p out, and to \p errors why a file cannot be used. Returns the exit
/// code: 0 if the configuration is sound, 1 if there are findings other than differences, 2 if a
/// file cannot be read or decoded. Starts nothing. Not thread-safe.
int checkConfiguration(const configuration_check_request& request, std::istream& in, std::ostream& out, std::ostream& errors);

}
