/// \file
/// The core of a router, which turns timed events into actions.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string_view>

#include "pimentoladder/Router/FleetCoordinator.h"
#include "pimentoladder/Router/OwnerRole.h"
#include "pimentoladder/Router/RequestCoordinator.h"
#include "pimentoladder/Router/RequesterRole.h"
#include "pimentoladder/Router/ShardDirectory.h"

namespace pimentoladder {

/// Takes every decision of one router without input or output. It uses no socket,
/// file, clock or thread: each event carries its time, and the caller carries out
/// the returned actions in order. Times must not decrease. Not thread-safe; call
/// on the loop's thread.
class router_core {
public:
    router_core(router_identity identity, lifecycle_limits limits, std::uint64_t seed,
        const placement_settings& placement = {});
    ~router_core();
    router_core(const router_core&) = delete;
    router_core& operator=(const router_core&) = delete;

    // Events from callers and backend servers.

    /// Accepts or refuses a request. Sets \p number to the number assigned to it.
    router_actions onRequest(time_point now, const incoming_request& received, request_number& number);
    router_actions onCallerDisconnected(time_point now, request_number request);
    /// Sets \p maySend to whether the first byte of an attempt may be written to
    /// its socket.
    router_actions onReadyToSend(time_point now, attempt_number attempt, bool& maySend);
    router_actions onHead(time_point now, attempt_number attempt, const response_head& head);
    router_actions onBytes(time_point now, attempt_number attempt, std::string_view bytes);
    router_actions onAttemptEnded(time_point now, attempt_number attempt, attempt_end end);
    router_actions onLoadReport(time_point now, const server_load& load);
    router_actions onLoadFailed(time_point now, const server_id& server);

    /// Returns whether the first byte of an order may be written to its socket.
    bool maySendOrder(time_point now, const server_id& server, order_number number) const;
    router_actions onOrderAnswered(time_point now, const server_id& server, order_number number, order_outcome outcome);
    router_actions onModelsRead(time_point now, const engine_state& state);

    // Events from other routers.

    router_actions onMessage(time_point now, const member_ref& from, const message& received);
    router_actions onLinkOpened(time_point now, const member_ref& peer, const endpoint& location);

    // Events from the platform.

    router_actions onRevisionPolled(time_point now, const result<revision>& answer, time_point sentAt);
    router_actions onRowsFetched(time_point now, const rows_result& answer);
    router_actions onCommitted(time_point now, transaction_number transactionNumber, const result<revision>& answer);
    router_actions onVmList(time_point now, const vm_list& list);
    router_actions onClaimsWritten(time_point now, const claim_write_answer& answer);
    router_actions onClaimsRead(time_point now, const claim_read_answer& answer);
    router_actions onBodyStored(time_point now, request_number request, bool isStored);

    // Events from operators.

    /// The administration API of this router has committed a change.
    router_actions onChangeCommitted(time_point now, revision at);

    /// Refuses new requests and leaves the fleet. Requests in progress continue.
    router_actions drain(time_point now);

    /// Performs everything that is due. Call when `nextDeadline` has passed.
    router_actions onTick(time_point now);
    time_point nextDeadline(time_point now) const;

    // State for readiness checks, metrics and administration.

    const fleet_coordinator& fleet() const { return m_fleet; }
    const shard_directory& directory() const { return m_directory; }
    const owner_role& owner() const { return m_owner; }
    const request_coordinator& requests() const { return m_requests; }
    bool isDraining() const { return m_isDraining; }

private:
    using message_handler = void (router_core::*)(const member_ref&, const message&, time_point, router_actions&);
    struct handler_table;

    template <typename Message>
    void handle(const member_ref& from, const message& received, time_point now, router_actions& out);

    void dispatch(const member_ref& from, const message& received, time_point now, router_actions& out);
    router_actions processActions(time_point now, router_actions pending);
    void rebuildDirectory(time_point now, router_actions& out);
    void tickRoles(time_point now, router_actions& out);

    fleet_coordinator m_fleet;
    shard_directory m_directory;
    owner_role m_owner;
    requester_role m_requester;
    request_coordinator m_requests;
    std::set<vm_id> m_appliedLeavingVms; ///< Leaving VMs at the last rebuild of the directory.
    bool m_isDraining = false;
};

}
