/// \file
/// JSON form of claim rows, as the table holds them.

#pragma once

#include <string>
#include <string_view>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Outcome/IdempotencyClaims.h"

namespace pimentoladder {

/// Decodes the JSON text of a claim row. The revision is not part of the text.
/// Errors: `corruptData`, naming what is missing. Thread-safe.
result<claim_row> parseClaimJson(const claim_key& key, std::string_view text);

/// Encodes a claim row as compact JSON; bytes that are no UTF-8 survive.
/// Thread-safe.
std::string formatClaimJson(const claim_row& row);

}
