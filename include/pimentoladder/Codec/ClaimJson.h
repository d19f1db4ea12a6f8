/// \file
/// JSON form of claim rows, as stored in the table.

#pragma once

#include <string>
#include <string_view>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Outcome/IdempotencyClaims.h"

namespace pimentoladder {

/// Decodes the JSON text of a claim row. The revision is not part of the text.
/// Errors: `corruptData`, with the fault that the JSON parser reports. Thread-safe.
result<claim_row> parseClaimJson(const claim_key& key, std::string_view text);

/// Encodes a claim row as compact JSON; bytes that are not valid UTF-8 are preserved.
/// Thread-safe.
std::string formatClaimJson(const claim_row& row);

}
