/// \file
/// JSON form of a backend server's load report and of orders to it.

#pragma once

#include <string>
#include <string_view>

#include "pimentoladder/Admission/ShardScheduler.h"
#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Placement/OrderTracker.h"

namespace pimentoladder {

/// Decodes the answer of \p server to a load poll. \p now is when the answer
/// arrived; the age that the report states is subtracted from it.
/// Errors: `corruptData`, naming what is missing. Thread-safe.
result<server_load> parseLoadJson(const server_id& server, std::string_view text, time_point now);

/// Decodes what the engine \p server states of its models when its orders are
/// read. \p takenAt is when the read was sent. Errors: `corruptData`, naming
/// what is missing. Thread-safe.
result<engine_state> parseOrderStateJson(const server_id& server, std::string_view text, time_point takenAt);

/// Encodes an order for an engine. Thread-safe.
std::string formatOrderJson(const placement_order& order);

}
