/// \file
/// Answers of the administration API.

#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "pimentoladder/Admin/AdminMessage.h"
#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Ids.h"

namespace pimentoladder {

/// Why a request is not answered as asked.
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

/// Returns an answer with a JSON body.
admin_response jsonReply(int status, const nlohmann::json& body);

/// Returns a refusal: its status, kind, message, whether the request ran, and
/// whether to send it again.
admin_response refusalReply(admin_refusal kind, std::string_view message, nlohmann::json details = {});

/// Returns the refusal for an error of the core.
admin_response refusalReply(const error& problem);

/// Sets the entity tag of an object written at \p at.
void setEntityTag(admin_response& response, revision at);

}
