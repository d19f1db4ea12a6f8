/// \file
/// HTTP form of a refusal.

#pragma once

#include <string>
#include <string_view>

#include "pimentoladder/Net/HttpMessage.h"
#include "pimentoladder/Outcome/Refusal.h"

namespace pimentoladder {

/// Returns the head of a refusal, without framing headers. Thread-safe.
http_response_head refusalHead(refusal_kind kind);

/// Returns the JSON body of a refusal: `kind`, `message`, `ran` (false,
/// "unknown" or "elsewhere") and `retry`. An empty \p message selects the
/// default text of the kind. Thread-safe.
std::string refusalBody(refusal_kind kind, std::string_view message);

}
