#include "pimentoladder/Base/Error.h"

namespace pimentoladder {

std::string_view errorKindName(error_kind kind)
{
    switch (kind) {
    case error_kind::invalidArgument:
        return "invalid_argument";
    case error_kind::notFound:
        return "not_found";
    case error_kind::alreadyExists:
        return "already_exists";
    case error_kind::conflict:
        return "conflict";
    case error_kind::unauthenticated:
        return "unauthenticated";
    case error_kind::unavailable:
        return "unavailable";
    case error_kind::outcomeUnknown:
        return "outcome_unknown";
    case error_kind::timeout:
        return "timeout";
    case error_kind::resourceExhausted:
        return "resource_exhausted";
    case error_kind::corruptData:
        return "corrupt_data";
    }
    return "unknown";
}

}
