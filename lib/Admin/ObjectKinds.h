/// \file
/// The kinds of objects that operators manage, and their JSON representation.

#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Config/Document.h"
#include "pimentoladder/Config/Rows.h"

namespace pimentoladder {

/// Called for each object; returns whether to continue.
using object_visitor = std::function<bool(const document_value& value)>;

/// Describes one kind of object to the administration API.
struct object_kind {
    std::string_view collection; ///< Name in URL paths.
    std::string_view rowPrefix;
    bool hasLabels = false;
    /// Fields without a default. Selectors are among them, because a rule sent
    /// without one would otherwise match everything.
    std::vector<std::string_view> requiredFields;
    /// Visits the objects whose id is greater than \p after, in order of id.
    void (*visit)(const document& source, const std::string& after, const object_visitor& visitor);
};

/// Returns all kinds.
const std::vector<object_kind>& objectKinds();

/// Returns the kind with this collection name, or null.
const object_kind* findObjectKind(std::string_view collection);

/// Returns the id in the object's row key.
std::string objectId(const object_kind& kind, const document_value& value);

/// Returns the labels of an object, or null if its kind has none.
const label_map* labelsOf(const document_value& value);
label_map* labelsOf(document_value& value);

/// Returns the JSON representation of the object in responses, which includes its
/// revision.
nlohmann::json objectJson(const document_value& value, revision at);

/// Decodes the object \p id from a request body. Omitted fields keep their
/// defaults. The fields `id` and `revision` are accepted, so that a response can
/// be sent back.
/// Errors: `invalidArgument` naming the field.
result<document_value> parseObject(const object_kind& kind, const std::string& id, const nlohmann::json& body);

}
