#include "pimentoladder/Router/RouterCore.h"

#include <algorithm>
#include <array>
#include <utility>

namespace pimentoladder {

router_core::router_core(router_identity identity, lifecycle_limits limits, std::uint64_t seed,
    const placement_settings& placement)
    : m_fleet(std::move(identity), seed)
    , m_owner(m_fleet, m_directory, seed + 101, placement)
    , m_requester(m_fleet, m_directory, seed + 202)
    , m_requests(m_fleet, m_directory, m_requester, limits)
{
}

router_core::~router_core() = default;

template <>
void router_core::handle<heartbeat>(const member_ref& from, const message& received, time_point now, router_actions& out)
{
    m_fleet.onHeartbeat(from, std::get<heartbeat>(received), now, out);
}

template <>
void router_core::handle<revision_announce>(const member_ref& from, const message& received, time_point now, router_actions& out)
{
    m_fleet.onRevisionAnnounce(from, std::get<revision_announce>(received), now, out);
}

template <>
void router_core::handle<config_request>(const member_ref& from, const message& received, time_point, router_actions& out)
{
    m_fleet.onConfigRequest(from, std::get<config_request>(received), out);
}

template <>
void router_core::handle<config_update>(const member_ref&, const message& received, time_point now, router_actions& out)
{
    m_fleet.onConfigUpdate(std::get<config_update>(received), now, out);
}

template <>
void router_core::handle<suspend>(const member_ref& from, const message& received, time_point now, router_actions& out)
{
    m_fleet.onSuspend(from, std::get<suspend>(received), now, out);
}

template <>
void router_core::handle<acquire>(const member_ref& from, const message& received, time_point now, router_actions& out)
{
    m_owner.onAcquire(from, std::get<acquire>(received), now, out);
}

template <>
void router_core::handle<grant>(const member_ref& from, const message& received, time_point, router_actions&)
{
    m_requester.onGrant(from, std::get<grant>(received));
}

template <>
void router_core::handle<grant_report>(const member_ref& from, const message& received, time_point now, router_actions&)
{
    m_owner.onGrantReport(from, std::get<grant_report>(received), now);
}

template <>
void router_core::handle<recall>(const member_ref& from, const message& received, time_point, router_actions&)
{
    m_requester.onRecall(from, std::get<recall>(received));
}

template <>
void router_core::handle<in_flight_report>(const member_ref& from, const message& received, time_point now, router_actions&)
{
    m_owner.onInFlightReport(from, std::get<in_flight_report>(received), now);
}

template <>
void router_core::handle<shard_release>(const member_ref& from, const message& received, time_point, router_actions&)
{
    m_owner.onShardRelease(from, std::get<shard_release>(received));
}

template <>
void router_core::handle<service_counters>(const member_ref& from, const message& received, time_point, router_actions&)
{
    m_owner.onServiceCounters(from, std::get<service_counters>(received));
}

template <>
void router_core::handle<crash_report>(const member_ref&, const message& received, time_point now, router_actions&)
{
    const auto& report = std::get<crash_report>(received);
    // A report without the server's start is a router's suspicion, for the
    // owner to confirm.
    if (report.serverStart == incarnation())
        m_owner.onSuspectedCrash(report, now);
    else
        m_requests.onCrashReport(report, now);
}

template <>
void router_core::handle<shard_owner>(const member_ref& from, const message& received, time_point now, router_actions&)
{
    m_requester.onShardOwner(from, std::get<shard_owner>(received), now);
}

// Only routers that follow published rows send these messages. This core ignores
// them.
template <>
void router_core::handle<follow_rows>(const member_ref&, const message&, time_point, router_actions&) { }
template <>
void router_core::handle<rows_update>(const member_ref&, const message&, time_point, router_actions&) { }
template <>
void router_core::handle<usage_report>(const member_ref&, const message&, time_point, router_actions&) { }
template <>
void router_core::handle<usage_totals>(const member_ref&, const message&, time_point, router_actions&) { }
template <>
void router_core::handle<server_losses>(const member_ref&, const message&, time_point, router_actions&) { }
template <>
void router_core::handle<server_rate_limits>(const member_ref&, const message&, time_point, router_actions&) { }

template <>
void router_core::handle<stream_origins>(const member_ref&, const message&, time_point, router_actions&) { }

template <>
void router_core::handle<rollout_report>(const member_ref&, const message&, time_point, router_actions&) { }

template <>
void router_core::handle<rollout_permits>(const member_ref&, const message&, time_point, router_actions&) { }

/// Handlers in the order of the alternatives of `message`.
struct router_core::handler_table {
    template <std::size_t... Index>
    static constexpr auto make(std::index_sequence<Index...>)
    {
        return std::array<message_handler, sizeof...(Index)> { &router_core::handle<std::variant_alternative_t<Index, message>>... };
    }
};

void router_core::dispatch(const member_ref& from, const message& received, time_point now, router_actions& out)
{
    static constexpr auto handlers = handler_table::make(std::make_index_sequence<std::variant_size_v<message>>());
    (this->*handlers[received.index()])(from, received, now, out);
}

router_actions router_core::processActions(time_point now, router_actions pending)
{
    tickRoles(now, pending);
    router_actions external;
    external.reserve(pending.size());
    // Messages to this router itself are delivered at once. Each delivery may append
    // further actions to `pending`, which the loop then processes too.
    for (std::size_t i = 0; i < pending.size(); ++i) {
        router_action action = std::move(pending[i]);
        auto* sent = std::get_if<send_message>(&action);
        const bool isToSelf = sent && sent->to == m_fleet.self().vm;
        const bool changesDirectory = std::holds_alternative<document_applied>(action)
            || std::holds_alternative<membership_changed>(action) || std::holds_alternative<change_incarnation>(action);
        if (!isToSelf)
            external.push_back(std::move(action));
        if (isToSelf)
            dispatch(m_fleet.self(), sent->content, now, pending);
        if (changesDirectory)
            rebuildDirectory(now, pending);
        if (i + 1 == pending.size() && (isToSelf || changesDirectory))
            tickRoles(now, pending);
    }
    return external;
}

void router_core::rebuildDirectory(time_point now, router_actions& out)
{
    const std::vector<member_ref> suspended = m_fleet.suspended().members();
    document effective = m_fleet.current();
    // A server leaves when operators withdraw it or when the platform is about to
    // remove its VM.
    m_appliedLeavingVms = m_fleet.vms().leaving;
    for (auto& [id, server] : effective.servers)
        server.isLeaving = server.isLeaving || m_appliedLeavingVms.contains(server.vm);
    m_directory.rebuild(effective, { suspended.begin(), suspended.end() });
    m_requests.onUnassigned(m_requester.onDirectoryChanged(now), now, out);
    m_owner.onDirectoryChanged(now, out);
}

void router_core::tickRoles(time_point now, router_actions& out)
{
    for (const granted_request& granted : m_requester.onTick(now, out))
        m_requests.onGranted(granted, now, out);
    m_owner.onTick(now, out);
    m_requests.onTick(now, out);
}

router_actions router_core::onRequest(time_point now, const incoming_request& received, request_number& number)
{
    router_actions out;
    number = m_requests.onRequest(received, now, out);
    return processActions(now, std::move(out));
}

router_actions router_core::onCallerDisconnected(time_point now, request_number request)
{
    router_actions out;
    m_requests.onCallerDisconnected(request, now, out);
    return processActions(now, std::move(out));
}

router_actions router_core::onReadyToSend(time_point now, attempt_number attempt, bool& maySend)
{
    router_actions out;
    maySend = m_requests.mayStartSending(attempt, now, out);
    return out;
}

router_actions router_core::onHead(time_point now, attempt_number attempt, const response_head& head)
{
    router_actions out;
    m_requests.onHead(attempt, head, now, out);
    return out;
}

router_actions router_core::onBytes(time_point now, attempt_number attempt, std::string_view bytes)
{
    router_actions out;
    m_requests.onBytes(attempt, bytes, now, out);
    return out;
}

router_actions router_core::onAttemptEnded(time_point now, attempt_number attempt, attempt_end end)
{
    router_actions out;
    m_requests.onAttemptEnded(attempt, end, now, out);
    return processActions(now, std::move(out));
}

router_actions router_core::onLoadReport(time_point now, const server_load& load)
{
    router_actions out;
    m_owner.onLoadReport(load, now, out);
    return processActions(now, std::move(out));
}

router_actions router_core::onLoadFailed(time_point now, const server_id& server)
{
    router_actions out;
    m_owner.onLoadFailed(server, now, out);
    return processActions(now, std::move(out));
}

bool router_core::maySendOrder(time_point now, const server_id& server, order_number number) const
{
    return m_owner.maySendOrder(server, number, now);
}

router_actions router_core::onOrderAnswered(time_point now, const server_id& server, order_number number, order_outcome outcome)
{
    m_owner.onOrderAnswered(server, number, outcome, now);
    return processActions(now, {});
}

router_actions router_core::onModelsRead(time_point now, const engine_state& state)
{
    m_owner.onModelsRead(state, now);
    return processActions(now, {});
}

router_actions router_core::onMessage(time_point now, const member_ref& from, const message& received)
{
    router_actions out;
    if (!m_fleet.acceptSender(from, now))
        return out;
    dispatch(from, received, now, out);
    return processActions(now, std::move(out));
}

router_actions router_core::onLinkOpened(time_point now, const member_ref& peer, const endpoint& location)
{
    router_actions out;
    if (location.port != 0)
        m_fleet.onPeerIdentified(location, peer.vm);
    m_fleet.onLinkOpened(peer, now, out);
    m_owner.onLinkOpened(peer, now, out);
    m_requester.onLinkOpened(peer, now);
    return processActions(now, std::move(out));
}

router_actions router_core::onRevisionPolled(time_point now, const result<revision>& answer, time_point sentAt)
{
    router_actions out;
    m_fleet.onRevisionPolled(answer, sentAt, now, out);
    return processActions(now, std::move(out));
}

router_actions router_core::onRowsFetched(time_point now, const rows_result& answer)
{
    router_actions out;
    m_fleet.onRowsFetched(answer, now, out);
    return processActions(now, std::move(out));
}

router_actions router_core::onCommitted(time_point now, transaction_number transactionNumber, const result<revision>& answer)
{
    router_actions out;
    m_fleet.onCommitted(transactionNumber, answer, now, out);
    return processActions(now, std::move(out));
}

router_actions router_core::onVmList(time_point now, const vm_list& list)
{
    router_actions out;
    m_fleet.onVmList(list, now);
    if (m_appliedLeavingVms != list.leaving)
        out.push_back(membership_changed {});
    return processActions(now, std::move(out));
}

router_actions router_core::onClaimsWritten(time_point now, const claim_write_answer& answer)
{
    router_actions out;
    m_requests.onClaimsWritten(answer, now, out);
    return processActions(now, std::move(out));
}

router_actions router_core::onClaimsRead(time_point now, const claim_read_answer& answer)
{
    router_actions out;
    m_requests.onClaimsRead(answer, now, out);
    return processActions(now, std::move(out));
}

router_actions router_core::onBodyStored(time_point now, request_number request, bool isStored)
{
    router_actions out;
    m_requests.onBodyStored(request, isStored, now, out);
    return processActions(now, std::move(out));
}

router_actions router_core::onChangeCommitted(time_point now, revision at)
{
    router_actions out;
    m_fleet.committed(at, now, out);
    return processActions(now, std::move(out));
}

router_actions router_core::drain(time_point now)
{
    m_isDraining = true;
    m_requests.drain();
    m_fleet.leave();
    return onTick(now);
}

router_actions router_core::onTick(time_point now)
{
    router_actions out;
    m_fleet.onTick(now, out);
    return processActions(now, std::move(out));
}

time_point router_core::nextDeadline(time_point now) const
{
    time_point next = m_fleet.nextDeadline(now);
    for (const auto& deadline : { m_owner.nextDeadline(), m_requester.nextDeadline(), m_requests.nextDeadline() }) {
        if (deadline)
            next = std::min(next, *deadline);
    }
    return next;
}

}
