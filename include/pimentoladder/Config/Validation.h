/// \file
/// Rules that every object of the configuration document must keep.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Config/Document.h"

namespace pimentoladder {

/// Limits of the document. The counts are at least twice the later size of the
/// fleet, so that they only stop mistakes.
struct document_limits {
    std::size_t workspaces = 5000;
    std::size_t pools = 256;
    std::size_t servers = 2000;
    std::size_t dataCentres = 64;
    std::size_t accessRules = 2000;
    std::size_t serviceRules = 256;
    std::size_t labelsOfObject = 32;
    std::size_t selectorBytes = 1024;
    std::size_t pathPrefixBytes = 256;
    std::uint32_t waitingRequests = 100000; ///< Highest queue or connection limit.
    std::uint32_t requestsOfServer = 4096; ///< Highest ceiling.
    double weight = 1000; ///< Highest weight; the least is its reciprocal.
    double defaultCost = 1e9;
};

/// A rule that an object breaks.
struct document_fault {
    std::string key; ///< Row of the object; empty if the fault is in the whole document.
    error problem; ///< Names the remedy.
};

/// Returns every fault of what operators write: syntax and ranges, references
/// to objects that do not exist, path prefixes, key digests and addresses used
/// twice, and limits. Members and roster are not checked. Thread-safe.
std::vector<document_fault> findFaults(const document& source, const document_limits& limits = {});

/// Returns whether \p id can name an object: lower-case letters, digits, '-'
/// and '.', at most 63, with a letter or digit at both ends. Thread-safe.
bool isObjectId(std::string_view id);

/// Returns whether \p key can be a label key: an optional DNS subdomain and
/// '/', then a name of at most 63 letters, digits, '-', '_' and '.', with a
/// letter or digit at both ends. Thread-safe.
bool isLabelKey(std::string_view key);

/// Returns whether \p value can be a label value: empty, or like the name of a
/// label key. Thread-safe.
bool isLabelValue(std::string_view value);

/// Returns whether \p address is an IPv4 or IPv6 address in numeric form.
/// Thread-safe.
bool isNumericAddress(std::string_view address);

}
