#include "history/Event.h"

#include <algorithm>
#include <array>
#include <utility>

namespace pimentoladder::history {

namespace {

    constexpr std::array<std::pair<std::string_view, event_kind>, 24> kindNames { {
        { "invoked", event_kind::invoked },
        { "answered", event_kind::answered },
        { "refused", event_kind::refused },
        { "broken", event_kind::broken },
        { "server_started", event_kind::serverStarted },
        { "server_crashed", event_kind::serverCrashed },
        { "server_cold", event_kind::serverCold },
        { "server_warm", event_kind::serverWarm },
        { "execution_started", event_kind::executionStarted },
        { "execution_ended", event_kind::executionEnded },
        { "execution_detached", event_kind::executionDetached },
        { "execution_resumed", event_kind::executionResumed },
        { "router_started", event_kind::routerStarted },
        { "in_force", event_kind::inForce },
        { "limit_in_force", event_kind::limitInForce },
        { "shutdown_begun", event_kind::shutdownBegun },
        { "shutdown_ended", event_kind::shutdownEnded },
        { "accepted", event_kind::accepted },
        { "withdrawn", event_kind::withdrawn },
        { "restored", event_kind::restored },
        { "router_address", event_kind::routerAddress },
        { "router_killed", event_kind::routerKilled },
        { "router_unreachable", event_kind::routerUnreachable },
        { "router_reachable", event_kind::routerReachable },
    } };

}

std::optional<event_kind> eventKind(std::string_view name)
{
    const auto* found = std::ranges::find(kindNames, name, &std::pair<std::string_view, event_kind>::first);
    return found == kindNames.end() ? std::nullopt : std::optional(found->second);
}

void sortByTime(event_list& events)
{
    std::ranges::stable_sort(events, {}, &event::at);
}

}
