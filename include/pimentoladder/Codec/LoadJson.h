/// \file
/// JSON form of a backend server's load report.

#pragma once

#include <string_view>

#include "pimentoladder/Admission/ShardScheduler.h"
#include "pimentoladder/Base/Error.h"

namespace pimentoladder {

/// Decodes the answer of \p server to a load poll. \p now is when the answer
/// arrived; the age that the report states is subtracted from it.
/// Errors: `corruptData`, naming what is missing. Thread-safe.
result<server_load> parseLoadJson(const server_id& server, std::string_view text, time_point now);

}
