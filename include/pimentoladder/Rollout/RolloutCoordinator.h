/// \file
/// One router's part in the roll-outs: which router owns each of them, and what its owner
/// decides.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Protocol/Messages.h"
#include "pimentoladder/Protocol/PublishedRow.h"
#include "pimentoladder/Rollout/RolloutOrder.h"

namespace pimentoladder {

/// Read all rows of the table of roll-outs.
struct read_rollouts { };

/// Write a record, and the state that the operator sees if it has changed, in one transaction,
/// if the record's row still has the revision \p expected; zero: it does not exist.
struct commit_rollout {
    rollout_record record;
    revision expected;
    bool publishesState = false; ///< The operator's status row is written in the same transaction.
};

/// The permits have changed and are to be sent at once.
struct permits_changed { };

/// Log record of a decision on a roll-out or of a change of its owner.
struct rollout_event {
    std::string_view kind; ///< rollout_owned, rollout_lost, rollout_step, rollout_completed, rollout_reverted, rollout_waits.
    pool_id pool;
    revision order;
    std::string version;
    std::string_view reason;
    fencing_token token;
    double share = 0;
    duration elapsed {};
    std::uint64_t exposed = 0; ///< Requests sent to the target version.
    std::uint64_t requests = 0; ///< Requests for the pool since the order.
    std::uint64_t answers = 0; ///< Of the target version.
    std::uint64_t failures = 0;
    std::uint64_t slow = 0;
    double currentFaultShare = 0; ///< Part of the answers of the other versions that failed or were slow.
    duration evidenceAge {}; ///< Of the oldest report among the routers that are known to live.
};

using rollout_action = std::variant<read_rollouts, commit_rollout, permits_changed, rollout_event>;
using rollout_actions = std::vector<rollout_action>;

/// Owns roll-outs on behalf of the fleet, one router at a time for each, and knows the permits of
/// those that other routers own.
///
/// Only readers may own, since every router reports its evidence to all readers. An owner holds
/// a lease: a row of the store that it writes under the condition that nobody else has. Its
/// permits end with its lease; another reader that has seen the row unchanged for the lease's
/// time takes over with a higher fencing token, and reads on from the row and the reports.
/// Times must not decrease. Not thread-safe; call on the loop's thread.
class rollout_coordinator {
public:
    rollout_coordinator(vm_id self, incarnation start, rollout_limits limits);
    ~rollout_coordinator();
    rollout_coordinator(const rollout_coordinator&) = delete;
    rollout_coordinator& operator=(const rollout_coordinator&) = delete;

    /// Starts or replaces the roll-out of the order's pool. The same \p at changes nothing.
    rollout_actions onOrder(time_point now, revision at, const rollout_order& order);

    /// Ends the roll-out of a pool whose order was removed.
    rollout_actions onOrderRemoved(time_point now, const pool_id& pool);

    /// Sets the routers that read the store, in their order of rank, and the number of routers in the fleet.
    void setReaders(std::vector<vm_id> readers, std::size_t routers);

    /// Sets how many servers in service of a pool have the target version, and others.
    void setServers(const pool_id& pool, std::size_t target, std::size_t other);

    /// Handles the evidence of a router, this one included.
    rollout_actions onReport(time_point now, const member_ref& from, const rollout_report& report);

    /// Handles the permits of another router.
    rollout_actions onPermits(time_point now, const rollout_permits& received);

    /// Handles the result of `read_rollouts`; \p records: by the key of the row, with the revision of each.
    rollout_actions onRead(time_point now, const result<std::vector<std::pair<rollout_record, revision>>>& records);

    /// Handles the result of `commit_rollout`: the revision of the written row. Errors: `conflict`,
    /// `outcomeUnknown` and those of a read.
    rollout_actions onCommitted(time_point now, const pool_id& pool, const result<revision>& outcome);

    rollout_actions onTick(time_point now);

    /// Returns when `onTick` is due, or nothing while there is no order.
    std::optional<time_point> nextDeadline(time_point now) const;

    /// Returns the newest permits, with their ages; those that have ended are left out.
    rollout_permits permits(time_point now) const;

    /// Returns the permits that the other readers are to learn from this router: those of its own
    /// roll-outs, and final ones if it is a reader. A permit that is passed on in a circle would
    /// look younger with each hop, as its age does not count its transit.
    rollout_permits permitsForReaders(time_point now) const;

    /// Returns whether there is an order whose roll-out is not final, so that evidence is to be reported.
    bool isActive() const;

private:
    struct rollout;

    void noteCall(time_point now);
    bool isReader() const;
    std::optional<std::size_t> rank() const;
    bool hasAuthority(const rollout& of, time_point now) const;
    bool mayTakeOver(const rollout& of, time_point now) const;
    void drive(time_point now, const pool_id& pool, rollout& of, bool isTick, rollout_actions& actions);
    void follow(time_point now, const pool_id& pool, rollout& of, rollout_actions& actions);
    void decide(time_point now, const pool_id& pool, rollout& of, rollout_actions& actions);
    void commit(time_point now, const pool_id& pool, rollout& of, rollout_state state, bool isNewOwner, rollout_actions& actions);
    void read(time_point now, rollout_actions& actions);
    void learnRow(time_point now, const pool_id& pool, rollout& of, const rollout_record& record, revision at, rollout_actions& actions);
    void become(time_point now, const pool_id& pool, rollout& of, std::string_view reason, rollout_actions& actions);
    void lose(time_point now, const pool_id& pool, rollout& of, std::string_view reason, rollout_actions& actions);
    void end(time_point now, const pool_id& pool, rollout& of, const rollout_permit& final, rollout_actions& actions);
    rollout_event describe(time_point now, const pool_id& pool, const rollout& of, std::string_view kind, std::string_view reason) const;

    vm_id m_self;
    incarnation m_start;
    rollout_limits m_limits;
    std::vector<vm_id> m_readers;
    std::size_t m_routers = 1;
    std::map<pool_id, rollout> m_rollouts;
    std::optional<time_point> m_readSentAt; ///< Of the read in progress.
    time_point m_readNotBefore {}; ///< After an error of the store.
    time_point m_lastTick {};
    time_point m_lastCall {};
    time_point m_wokeAt {};
    duration m_pause {}; ///< Time for which this router stood still before `m_wokeAt`.
};

}
