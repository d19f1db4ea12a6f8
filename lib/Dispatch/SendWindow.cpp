#include "pimentoladder/Dispatch/SendWindow.h"

namespace pimentoladder {

std::string_view holdReasonName(hold_reason reason)
{
    switch (reason) {
    case hold_reason::none:
        return "none";
    case hold_reason::outOfService:
        return "out_of_service";
    case hold_reason::leaving:
        return "leaving";
    case hold_reason::resting:
        return "resting";
    case hold_reason::returning:
        return "returning";
    case hold_reason::otherSenders:
        return "other_senders";
    case hold_reason::limited:
        return "limited";
    case hold_reason::otherVersion:
        return "other_version";
    case hold_reason::unknownVersion:
        return "unknown_version";
    case hold_reason::cold:
        return "cold";
    }
    return "none";
}

}
