/// \file
/// Authentication of operators by bearer token.

#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pimentoladder/Base/Error.h"

namespace pimentoladder {

/// An operator, and the digest of its token.
struct operator_credential {
    std::string name;
    std::string tokenDigest; ///< Lower-case hexadecimal SHA-256 of the token.
};

/// Returns the SHA-256 of \p text in lower-case hexadecimal. Thread-safe.
std::string sha256Hex(std::string_view text);

/// Credentials of all operators. Not thread-safe; call on the loop's thread.
class operator_directory {
public:
    /// Errors: `invalidArgument` if a name is empty or a digest is not 64
    /// hexadecimal digits.
    static result<operator_directory> create(const std::vector<operator_credential>& credentials);

    /// Returns the name of the operator with this token, or none. Digests are
    /// compared in constant time: the duration does not depend on which of them
    /// matches, or on the length of a partial match.
    std::optional<std::string> identify(std::string_view token) const;

private:
    using digest = std::array<unsigned char, 32>;
    struct entry {
        std::string name;
        digest tokenDigest {};
    };

    std::vector<entry> m_entries;
};

}
