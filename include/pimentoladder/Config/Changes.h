/// \file
/// Changes that operators propose, and previews of their effects.

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

/// A request to create, replace or remove one object.
struct proposed_change {
    change_action action = change_action::create;
    std::string key; ///< Row key of the object.
    std::optional<document_value> value; ///< None for `remove`.
    std::optional<revision> expected; ///< Revision at which the operator read the object; none: any.
};

/// A change that passed validation against one document.
struct change_plan {
    change_action action = change_action::create;
    revision basedOn; ///< The change may commit only if no operator's change was committed after this revision.
    row_change row; ///< `changedAt` is zero.
    std::optional<document_value> before; ///< The object before the change; none if it does not exist.
    document after; ///< The document with the change, still at the revision `basedOn`.
};

/// Validates \p change against \p current: the object exists or not as the
/// action requires, has the expected revision, and the change introduces no
/// validation error. Errors that the document already has do not block a change.
/// Errors: `notFound`, `alreadyExists`, `conflict` naming the revision that
/// changed the object, `invalidArgument` or `resourceExhausted` naming the new
/// validation errors. Thread-safe.
result<change_plan> planChange(
    const document& current, const proposed_change& change, const document_limits& limits = {});

/// An object that a change would create, replace or remove.
struct object_change {
    change_action action = change_action::create;
    std::string key;

    bool operator==(const object_change&) const = default;
};

/// A backend server that a workspace would gain or lose access to.
struct reachability_change {
    workspace_id workspace;
    server_id server;
    bool isReachable = false;

    bool operator==(const reachability_change&) const = default;
};

/// A data centre that would be taken out of service or brought back. A data
/// centre that does not exist counts as out of service.
struct data_centre_service_change {
    data_centre_id dataCentre;
    bool isInService = false;

    bool operator==(const data_centre_service_change&) const = default;
};

/// The effects that a change would have.
struct change_preview {
    std::vector<object_change> objects;
    std::vector<data_centre_service_change> service;
    std::vector<reachability_change> reach; ///< The first `maxListedReach` of them.
    std::size_t reachGained = 0; ///< Total, including those not listed.
    std::size_t reachLost = 0; ///< Total, including those not listed.
};

/// Maximum number of reachability changes that a preview lists.
inline constexpr std::size_t maxListedReach = 1000;

/// Compares two documents and returns the effects of changing one into the
/// other. Thread-safe.
change_preview previewChange(const document& before, const document& after);

}
