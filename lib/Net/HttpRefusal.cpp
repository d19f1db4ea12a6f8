#include "HttpRefusal.h"

#include <nlohmann/json.hpp>

namespace pimentoladder {

namespace {

    nlohmann::json ranValue(run_state ran)
    {
        switch (ran) {
        case run_state::notRun:
            return false;
        case run_state::unknown:
            return "unknown";
        case run_state::elsewhere:
            return "elsewhere";
        }
        return "unknown";
    }

}

http_response_head refusalHead(refusal_kind kind)
{
    const refusal& row = refusalOf(kind);
    http_response_head head { row.status, { { "Content-Type", "application/json" } } };
    if (row.retry == retry_advice::later)
        head.headers.push_back({ "Retry-After", "1" });
    if (kind == refusal_kind::unauthenticated)
        head.headers.push_back({ "WWW-Authenticate", "Bearer" });
    if (kind == refusal_kind::methodNotAllowed)
        head.headers.push_back({ "Allow", "GET, HEAD, POST, PUT, DELETE, OPTIONS, PATCH" });
    return head;
}

std::string refusalBody(refusal_kind kind, std::string_view message)
{
    const refusal& row = refusalOf(kind);
    const nlohmann::json body {
        { "kind", row.name },
        { "message", message.empty() ? row.message : message },
        { "ran", ranValue(row.ran) },
        { "retry", retryAdviceName(row.retry) },
    };
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

}
