/// \file
/// Recorded answers that are replayed for repeated requests.

#pragma once

#include <string>
#include <vector>

namespace pimentoladder {

/// One header of a request or an answer.
struct header_field {
    std::string name;
    std::string value;

    bool operator==(const header_field&) const = default;
};

/// The answer that a request with an idempotency key received, as stored in its
/// claim.
struct recorded_outcome {
    int status = 200;
    std::vector<header_field> headers;
    std::string body; ///< Empty if `bodyObject` is set.
    std::string bodyObject; ///< Name in the object store of a body too large for the row.

    bool operator==(const recorded_outcome&) const = default;
};

}
