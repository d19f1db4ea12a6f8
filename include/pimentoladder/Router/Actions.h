/// \file
/// What the core asks its surroundings to do. The core returns these values;
/// it never does them itself.

#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Config/Rows.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// Number of a transaction asked for by the core, for its result.
using transaction_ticket = strong_number<struct transaction_tag>;

/// Send a message to another router; it may be lost.
struct send_message {
    vm_id to;
    message content;
};

/// Read the table's revision of the document.
struct poll_revision {
    time_point sentAt; ///< To be handed back with the answer.
};

/// Read the rows of the document changed since a revision from the table.
struct fetch_rows {
    revision since;
};

/// A row that must still have this revision; zero: that must not exist.
struct row_condition {
    std::string key;
    revision at;
};

/// Write rows of the document in one conditional transaction.
struct commit_rows {
    transaction_ticket ticket;
    std::vector<row_condition> conditions;
    std::vector<row_change> writes;
};

/// Open links to these routers and close others.
struct set_peers {
    std::vector<std::pair<vm_id, endpoint>> peers;
};

/// This router was removed or suspended while it lived and returns under a new
/// incarnation: all links must be closed and opened again under it.
struct change_incarnation {
    incarnation start;
};

/// The document was applied at a revision.
struct document_in_force {
    revision at;
};

using fleet_action = std::variant<send_message, poll_revision, fetch_rows, commit_rows, change_incarnation, document_in_force>;

}
