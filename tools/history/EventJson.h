/// \file
/// JSON-line form of events.

#pragma once

#include <istream>
#include <string>
#include <string_view>

#include "history/Event.h"
#include "pimentoladder/Base/Error.h"

namespace pimentoladder::history {

/// Decodes one line. Returns no event if its kind is not part of a history, as in
/// other lines of a router's log. \p defaultSource is used if the line names no
/// source.
/// Errors: `corruptData` if the line is not a JSON object, has no time, or a field
/// has the wrong type. Thread-safe.
result<std::optional<event>> parseEvent(std::string_view line, const std::string& defaultSource);

/// Reads the lines of one file and appends their events to \p events. An
/// incomplete last line is ignored, because a process may be killed while it
/// writes.
/// Errors: `corruptData`, with the line number. Not thread-safe.
result<void> readEvents(std::istream& input, const std::string& defaultSource, event_list& events);

}
