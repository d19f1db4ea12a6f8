/// \file
/// JSON form of the document's rows, as the table and the frames between
/// routers hold it.

#pragma once

#include <string>
#include <string_view>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Config/Rows.h"

namespace pimentoladder {

/// Decodes the JSON text of the row named \p key.
/// Errors: `corruptData` if the text is no JSON, a field is missing, of the
/// wrong type or out of range, or the key names no kind of row; the message
/// names the field. Unknown fields are ignored, because a newer version may
/// have written them. Thread-safe.
result<document_value> parseRowJson(std::string_view key, std::string_view text);

/// Encodes \p value as compact JSON. Decoding it gives an equal value.
/// Thread-safe.
std::string formatRowJson(const document_value& value);

}
