/// \file
/// Builds the responses of the administration API.

#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "pimentoladder/Admin/AdminMessage.h"
#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Ids.h"

namespace pimentoladder {

/// Reasons for which a request is refused.
enum class admin_refusal {
    invalidArgument,
    unauthenticated,
    notFound,
    methodNotAllowed,
    alreadyExists,
    conflict,
    bodyTooLarge,
    limitExceeded,
    changeIdReused,
    preconditionRequired,
    tooManyChanges,
    unavailable,
    outcomeUnknown,
    internal,
};

/// Returns a response with a JSON body.
admin_response jsonReply(int status, const nlohmann::json& body);

/// Returns a refusal. Its body holds the fields of \p details, the kind, the
/// message, whether the request was executed, and whether to retry it.
admin_response refusalReply(admin_refusal kind, std::string_view message, nlohmann::json details = {});

/// Returns the refusal that corresponds to \p problem.
admin_response refusalReply(const error& problem);

/// Sets the `ETag` header to the revision \p at of the object.
void setEntityTag(admin_response& response, revision at);

}
