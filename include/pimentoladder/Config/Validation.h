/// \file
/// Validation of the configuration document.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Config/Document.h"

namespace pimentoladder {

/// Limits of the document. The counts are at least twice the planned size of the
/// fleet, so that they only stop mistakes.
struct document_limits {
    std::size_t workspaces = 5000;
    std::size_t pools = 256;
    std::size_t servers = 2000;
    std::size_t dataCentres = 64;
    std::size_t accessRules = 2000;
    std::size_t serviceRules = 256;
    std::size_t labelsPerObject = 32;
    std::size_t selectorBytes = 1024;
    std::size_t pathPrefixBytes = 256;
    std::uint32_t waitingRequests = 100000; ///< Highest queue or connection limit of a workspace.
    std::uint32_t requestsPerServer = 4096; ///< Highest ceiling of a server.
    double weight = 1000; ///< Highest weight; the lowest is its reciprocal.
    double defaultCost = 1e9; ///< Highest default cost; the lowest is its reciprocal.
};

/// A validation rule that an object violates.
struct validation_error {
    std::string key; ///< Row key of the object; empty if the error concerns the whole document.
    error problem; ///< The message names the remedy.
};

/// Returns every validation error in the objects that operators write: syntax,
/// ranges, references to objects that do not exist, duplicate path prefixes, key
/// digests and addresses, and exceeded limits. Members and the roster are not
/// checked. Thread-safe.
std::vector<validation_error> validateDocument(const document& source, const document_limits& limits = {});

/// Returns whether \p id is a valid object id: lower-case letters, digits, '-'
/// and '.', at most 63, with a letter or digit at both ends. Thread-safe.
bool isObjectId(std::string_view id);

/// Returns whether \p key is a valid label key: an optional DNS subdomain and
/// '/', then a name of at most 63 letters, digits, '-', '_' and '.', with a
/// letter or digit at both ends. Thread-safe.
bool isLabelKey(std::string_view key);

/// Returns whether \p value is a valid label value: empty, or of the same syntax
/// as the name in a label key. Thread-safe.
bool isLabelValue(std::string_view value);

/// Returns whether \p address is an IPv4 or IPv6 address in numeric form.
/// Thread-safe.
bool isNumericAddress(std::string_view address);

}
