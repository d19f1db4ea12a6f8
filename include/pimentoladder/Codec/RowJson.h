/// \file
/// JSON form of the rows of the configuration document, as stored in the table and
/// sent in messages between routers.

#pragma once

#include <string>
#include <string_view>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Config/Rows.h"

namespace pimentoladder {

/// Decodes the JSON text of the row named \p key.
/// Errors: `corruptData` if the text is not a JSON object, a field is missing, of
/// the wrong type or out of range, or the key does not identify a kind of row or
/// differs from the id in the object; the message names the field. Unknown fields
/// are ignored, because a newer version may have written them. Thread-safe.
result<document_value> parseRowJson(std::string_view key, std::string_view text);

/// Encodes \p value as compact JSON. Decoding the result yields an equal value.
/// Thread-safe.
std::string formatRowJson(const document_value& value);

}
