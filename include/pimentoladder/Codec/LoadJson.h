/// \file
/// JSON form of a backend server's load report and of placement orders to it.

#pragma once

#include <string>
#include <string_view>

#include "pimentoladder/Admission/ShardScheduler.h"
#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Placement/OrderTracker.h"

namespace pimentoladder {

/// Decodes the response of \p server to a load poll. \p now is the time at which the
/// response arrived; the age in the report is subtracted from it.
/// Errors: `corruptData`, naming what is missing. Thread-safe.
result<server_load> parseLoadReportJson(const server_id& server, std::string_view text, time_point now);

/// Decodes the model state that the engine \p server returns when its orders are
/// read. \p takenAt is the time at which the read was sent. Errors: `corruptData`,
/// with the fault. Thread-safe.
result<engine_state> parseEngineStateJson(const server_id& server, std::string_view text, time_point takenAt);

/// Encodes a placement order for an engine. Thread-safe.
std::string formatPlacementOrderJson(const placement_order& order);

}
