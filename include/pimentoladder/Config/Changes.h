/// \file
/// Changes that operators propose, and what they would bring about.

#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Config/Document.h"
#include "pimentoladder/Config/Rows.h"
#include "pimentoladder/Config/Validation.h"

namespace pimentoladder {

enum class change_action {
    create,
    replace,
    remove,
};

/// Returns the machine-readable name of an action. Thread-safe.
std::string_view changeActionName(change_action action);

/// A change of one object.
struct proposed_change {
    change_action action = change_action::create;
    std::string key; ///< Row of the object.
    std::optional<document_value> value; ///< None for `remove`.
    std::optional<revision> expected; ///< Revision of the object that the operator has read; none: any.
};

/// A change that was checked against one document.
struct change_plan {
    change_action action = change_action::create;
    revision basedOn; ///< The change holds only if the table is still at this revision.
    row_change row; ///< `changedAt` is zero.
    std::optional<document_value> before; ///< The object as it is now.
    document after; ///< The document with the change, at the revision before it.
};

/// Checks \p change against \p current: the object exists or not as the action
/// needs, has the expected revision, and the change brings no fault into the
/// document. Faults that the document has already do not stop a change.
/// Errors: `notFound`, `alreadyExists`, `conflict` naming the revision that
/// changed the object, `invalidArgument` or `resourceExhausted` naming each
/// new fault. Thread-safe.
result<change_plan> planChange(
    const document& current, const proposed_change& change, const document_limits& limits = {});

/// An object that would change.
struct object_change {
    change_action action = change_action::create;
    std::string key;

    bool operator==(const object_change&) const = default;
};

/// A backend server that a workspace would newly reach, or no longer reach.
struct reach_change {
    workspace_id workspace;
    server_id server;
    bool isReachable = false;

    bool operator==(const reach_change&) const = default;
};

/// A data centre that would be taken out of service or brought back. One that
/// is added or removed counts as out of service while it does not exist.
struct service_change {
    data_centre_id dataCentre;
    bool isInService = false;

    bool operator==(const service_change&) const = default;
};

/// What a change would bring about.
struct change_preview {
    std::vector<object_change> objects;
    std::vector<service_change> service;
    std::vector<reach_change> reach; ///< The first `maxListedReach` of them.
    std::size_t reachGained = 0; ///< Number of all, listed or not.
    std::size_t reachLost = 0;
};

/// Most reachability changes that a preview lists.
inline constexpr std::size_t maxListedReach = 1000;

/// Compares two documents. Thread-safe.
change_preview previewChange(const document& before, const document& after);

}
