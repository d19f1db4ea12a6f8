#include "Replies.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

#include "pimentoladder/Outcome/Refusal.h"

namespace pimentoladder {

namespace {

    using nlohmann::json;

    struct refusal_row {
        admin_refusal kind;
        std::string_view name;
        int status;
        run_state ran;
        retry_advice retry;
    };

    constexpr std::array refusalRows {
        refusal_row { admin_refusal::invalidArgument, "invalid_argument", 400, run_state::notRun, retry_advice::no },
        refusal_row { admin_refusal::unauthenticated, "unauthenticated", 401, run_state::notRun, retry_advice::no },
        refusal_row { admin_refusal::notFound, "not_found", 404, run_state::notRun, retry_advice::no },
        refusal_row { admin_refusal::methodNotAllowed, "method_not_allowed", 405, run_state::notRun, retry_advice::no },
        refusal_row { admin_refusal::alreadyExists, "already_exists", 409, run_state::notRun, retry_advice::no },
        refusal_row { admin_refusal::conflict, "conflict", 409, run_state::notRun, retry_advice::afterCheck },
        refusal_row { admin_refusal::bodyTooLarge, "body_too_large", 413, run_state::notRun, retry_advice::no },
        refusal_row { admin_refusal::limitExceeded, "limit_exceeded", 422, run_state::notRun, retry_advice::no },
        refusal_row { admin_refusal::changeIdReused, "change_id_reused", 422, run_state::notRun, retry_advice::no },
        refusal_row { admin_refusal::preconditionRequired, "precondition_required", 428, run_state::notRun, retry_advice::no },
        refusal_row { admin_refusal::tooManyChanges, "too_many_changes", 429, run_state::notRun, retry_advice::later },
        refusal_row { admin_refusal::unavailable, "unavailable", 503, run_state::notRun, retry_advice::later },
        refusal_row { admin_refusal::outcomeUnknown, "outcome_unknown", 502, run_state::unknown, retry_advice::afterCheck },
        refusal_row { admin_refusal::internal, "internal", 500, run_state::notRun, retry_advice::no },
    };

    const refusal_row& rowOf(admin_refusal kind)
    {
        return *std::find_if(refusalRows.begin(), refusalRows.end(), [kind](const auto& row) { return row.kind == kind; });
    }

    admin_refusal refusalOfError(error_kind kind)
    {
        switch (kind) {
        case error_kind::invalidArgument:
            return admin_refusal::invalidArgument;
        case error_kind::notFound:
            return admin_refusal::notFound;
        case error_kind::alreadyExists:
            return admin_refusal::alreadyExists;
        case error_kind::conflict:
            return admin_refusal::conflict;
        case error_kind::unauthenticated:
            return admin_refusal::unauthenticated;
        case error_kind::unavailable:
        case error_kind::timeout:
            return admin_refusal::unavailable;
        case error_kind::outcomeUnknown:
            return admin_refusal::outcomeUnknown;
        case error_kind::resourceExhausted:
            return admin_refusal::limitExceeded;
        case error_kind::corruptData:
            return admin_refusal::internal;
        }
        return admin_refusal::internal;
    }

    bool isSameName(std::string_view left, std::string_view right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) {
            return std::tolower(a) == std::tolower(b);
        });
    }

}

std::optional<std::string_view> findAdminHeader(const std::vector<header_field>& headers, std::string_view name)
{
    for (const auto& header : headers) {
        if (isSameName(header.name, name))
            return header.value;
    }
    return std::nullopt;
}

admin_response jsonReply(int status, const json& body)
{
    admin_response response;
    response.status = status;
    response.headers.push_back({ "Content-Type", "application/json" });
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
    return response;
}

admin_response refusalReply(admin_refusal kind, std::string_view message, json details)
{
    const refusal_row& row = rowOf(kind);
    json body = details.is_object() ? std::move(details) : json::object();
    body["kind"] = row.name;
    body["message"] = message;
    body["ran"] = row.ran == run_state::notRun ? "no" : "unknown";
    body["retry"] = retryAdviceName(row.retry);
    admin_response response = jsonReply(row.status, body);
    if (kind == admin_refusal::unauthenticated)
        response.headers.push_back({ "WWW-Authenticate", "Bearer" });
    return response;
}

admin_response refusalReply(const error& problem)
{
    return refusalReply(refusalOfError(problem.kind), problem.message);
}

void setEntityTag(admin_response& response, revision at)
{
    response.headers.push_back({ "ETag", '"' + std::to_string(at.value()) + '"' });
}

}
