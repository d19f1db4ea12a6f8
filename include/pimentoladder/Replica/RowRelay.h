/// \file
/// Distribution of the store's tables to all routers through the few that read it.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Random.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Protocol/Messages.h"
#include "pimentoladder/Replica/FleetRouter.h"
#include "pimentoladder/Replica/RelayLimits.h"
#include "pimentoladder/Replica/RowReplica.h"
#include "pimentoladder/Replica/RowSources.h"

namespace pimentoladder {

/// Read a table of the store, either completely or only the changes after a position.
struct read_table {
    followed_table table {};
    bool isWhole = true;
    store_position since;
    duration wait {};
};

/// Send a message to another router. The message may be lost.
struct send_to_router {
    vm_id to;
    message content;
};

/// A row has changed significantly (see `row_rules`).
struct row_changed {
    followed_table table {};
    published_row row;
    bool mayBeOlder = false; ///< The row may have been written before the one that it replaces.
};

/// A complete table has been applied, for the first time or after a gap.
struct table_listed {
    followed_table table {};
    vm_id source; ///< Router that sent the table; empty: read from the store.
    store_position before;
    store_position position;
};

/// A table of a later era of the store has been applied: the store was restored from a copy.
struct store_era_changed {
    followed_table table {};
    vm_id source; ///< Router that sent the table; empty: read from the store.
    store_position from;
    store_position to;
    std::size_t changed = 0; ///< Rows in force that changed.
    std::size_t retained = 0; ///< Rows in force that the table does not confirm, including deletions.
    std::size_t dropped = 0; ///< Rows of the table that were not put in force.
};

/// Rows of a restored store were accepted, although the rows in force were not written
/// again.
struct restored_rows_accepted {
    followed_table table {};
    std::size_t rows = 0;
};

/// The tables `operators` and `servers` were current at this time.
struct basis_confirmed {
    time_point at;
};

/// Reads of a table have started to fail.
struct store_lost {
    followed_table table {};
    error reason;
};

/// Reads of a table succeed again, or the rows come from a source, which ends this router's
/// own reads.
struct table_reads_recovered {
    followed_table table {};
    vm_id source; ///< Router that confirmed the rows; empty: read from the store.
    std::uint32_t failures = 0; ///< Failed reads in a row before.
    duration sinceFailed {}; ///< Since the start of the last failed read of any table.
};

/// This router follows another source, or none and reads the store itself. Reported when
/// a source first confirms the tables, and when such a source is lost. Routers that have
/// lost the store are tried in turn without being reported.
struct source_changed {
    vm_id source;
    std::string_view reason;
};

/// The rows have become older than `relay_limits::maxBasisAge` although a source is followed.
/// This router reads the store itself.
struct rows_overdue {
    vm_id source;
    duration age {};
};

/// An outage ended at this time: nobody had confirmed the servers to this router for longer
/// than `relay_limits::outageAge`, so that registrations may have expired. Reported before
/// the rows that are removed, and again if another router knows the end more exactly.
struct store_recovered {
    vm_id source; ///< Router whose message told so; empty: an own read of the store.
    time_point at;
    duration outage {}; ///< Time without a confirmation; zero: unknown, or as reported before.
};

/// The outage that was reported last was none: the store served another router all the while.
struct outage_refuted {
    vm_id source; ///< Router whose message told so.
};

/// A reader has answered a question.
struct reader_answered {
    vm_id from;
    duration after {}; ///< Since the question was sent.
};

using relay_action = std::variant<read_table, send_to_router, row_changed, table_listed, basis_confirmed,
    store_lost, table_reads_recovered, source_changed, store_recovered, store_era_changed, restored_rows_accepted, rows_overdue, outage_refuted, reader_answered>;
using relay_actions = std::vector<relay_action>;

/// Keeps this router's replicas of the tables current, from the store or from another
/// router, the source.
///
/// In each data centre the router with the most CPU cores, and among equals the one with
/// the highest hash of its name, reads the store; if these are fewer than `minReaders`,
/// the next routers in this order read it too. Every other router follows one of these
/// readers (see `row_sources`) and reads the store itself while no reader responds, or once
/// its rows are older than `relay_limits::maxBasisAge`, whatever the reason. A router that has
/// followers reads the store whether or not it ranks as a reader, so the routers need not
/// agree on the readers. A reader that has lost the store follows another one until its own
/// reads succeed again. While no reader has the store, each other router tries one table as
/// `otherRetry` and `loneRetry` say, since the store may serve it sooner than the readers.
///
/// A store that was restored from a copy is in a later era. A router that learns of it,
/// from a read or a message, confirms nothing more by data of the earlier era. Readers read
/// each table once completely; the others receive it from them. See `row_replica` for the
/// rows that stay in force.
/// Not thread-safe; call on the loop's thread.
class row_relay {
public:
    /// \p rules outlives the relay.
    row_relay(vm_id self, data_centre_id ownDataCentre, const row_rules& rules, relay_limits limits, std::uint64_t seed);

    /// Sets the routers of the fleet, with or without this one.
    void setMembers(std::vector<fleet_router> members);

    relay_actions onRead(time_point now, followed_table table, const result<rows_page>& answer);
    relay_actions onMessage(time_point now, const member_ref& from, const message& received);

    /// Returns the rows that the peer needs if it has been restarted since the store was
    /// restored.
    relay_actions onLinkOpened(time_point now, const vm_id& peer);
    void onLinkClosed(const vm_id& peer) { m_sources.onLinkClosed(peer); }

    /// Makes this router read the table of members from the store as soon as possible.
    void refreshMembers();

    relay_actions onTick(time_point now);
    time_point nextDeadline(time_point now) const;

    /// Returns whether a router follows this one.
    bool isFollowedBy(const vm_id& router) const { return m_followers.contains(router); }

    /// Returns the routers that read the store for the others, possibly including this one.
    const std::vector<fleet_router>& readers() const { return m_sources.readers(); }
    const std::vector<fleet_router>& members() const { return m_members; }
    const row_replica& replica(followed_table table) const { return m_tables[static_cast<std::size_t>(table)].replica; }
    const vm_id& source() const { return m_sources.source(); }

private:
    struct table_state {
        explicit table_state(row_replica copy)
            : replica(std::move(copy))
        {
        }

        row_replica replica;
        bool isReading = false;
        bool needsWhole = true;
        bool needsOwnRead = false; ///< Must be read from the store, even if this router follows a source.
        bool isReadingWhole = false; ///< The read in progress is of the complete table.
        bool isReadingOwn = false; ///< The read in progress was requested by `needsOwnRead`.
        store_era sentInEra; ///< Latest era known at the start of the read in progress.
        std::optional<time_point> enteredAt; ///< When a later era was entered, while rows may be retained.
        bool holdsAbsent = false; ///< Servers that the copy lacks are still in force.
        std::vector<retained_rows> pending; ///< Retained rows of peers, until this replica is in their era.
        bool isFailing = false; ///< `store_lost` was reported, and `table_reads_recovered` not since.
        std::uint32_t failures = 0; ///< Failed reads in a row.
        time_point sentAt; ///< Start of the read in progress or the last one.
        time_point nextReadAt;
        std::optional<time_point> readAt; ///< Start of this router's last successful read.
        std::optional<time_point> confirmedAt; ///< Time at which the rows were current, by this router's read or the source's.
    };

    table_state& state(followed_table table) { return m_tables[static_cast<std::size_t>(table)]; }
    bool readsStore(time_point now) const;
    bool isWanted(followed_table table, time_point now) const;
    void reportSource(std::optional<std::string_view> reasonOfChange, relay_actions& out) const;
    void askReaders(time_point now, relay_actions& out);
    void reportOverdue(time_point now, relay_actions& out);
    duration readWait(followed_table table, time_point now) const;
    void answerFollower(time_point now, const member_ref& from, const follow_rows& asked, relay_actions& out);
    std::optional<time_point> servedAt(time_point now, std::optional<time_point> askedAt, const rows_update& received) const;
    void applyUpdate(time_point now, const member_ref& from, const rows_update& received, relay_actions& out);
    void onAnswer(time_point now, const vm_id& from, const rows_update& received, time_point askedAt, bool hasGap, relay_actions& out);
    void publish(time_point now, table_update update, relay_actions& out);
    static void report(followed_table table, const std::vector<published_row>& changed, bool mayBeOlder, relay_actions& out);
    void noticeOutageEnd(time_point current, time_point end, const vm_id& source, relay_actions& out);
    void learnServedSince(time_point servedSince, const vm_id& source, relay_actions& out);
    void learnReturn(time_point returnedAt, const vm_id& source, relay_actions& out);
    void forgetFailures(time_point now, const vm_id& source, relay_actions& out);
    void onReadFailed(time_point now, followed_table table, error reason, relay_actions& out);
    row_changes applyRows(time_point now, followed_table table, const rows_page& page, bool isWhole, const vm_id& source, relay_actions& out);
    bool applyTable(time_point now, const vm_id& source, const table_update& update, relay_actions& out);
    void learnEra(time_point now, const vm_id& source, store_era era, relay_actions& out);
    store_era basisEra() const;
    void sendRetained(time_point now, const vm_id& to, std::span<const followed_table> tables, relay_actions& out) const;
    void sendUnknown(time_point now, followed_table table, relay_actions& out) const;
    void publishEra(time_point now, followed_table table, store_position before, relay_actions& out);
    void receiveRetained(time_point now, const vm_id& from, const retained_rows& received, relay_actions& out);
    void adopt(time_point now, followed_table table, const retained_rows& received, relay_actions& out);
    void endRetention(time_point now, relay_actions& out);
    time_point nextRetentionEnd() const;
    void confirmTable(followed_table table, time_point at);
    void confirm(relay_actions& out);
    bool mustReadStore(time_point now) const;
    bool hasRead(const table_state& table, time_point now) const;
    const retry_pauses& retryPauses(followed_table table, time_point now) const;
    time_point readDueAt(const table_state& each, time_point now) const;
    duration retryPause(followed_table table, time_point now);
    bool isStoreReachable(time_point now) const;
    bool isStoreFailing() const;
    bool isStale(time_point now) const;
    std::optional<duration> returnedAge(time_point now) const;
    std::optional<duration> servedAge(time_point now) const;

    vm_id m_self;
    relay_limits m_limits;
    row_sources m_sources;
    random_source m_random;
    std::vector<table_state> m_tables;
    store_era m_era; ///< Latest era of the store that this router knows of.
    std::vector<fleet_router> m_members;
    std::map<vm_id, time_point> m_followers; ///< Time of each follower's last message.
    std::optional<time_point> m_basis; ///< Time at which the tables `operators` and `servers` were both current.
    std::optional<time_point> m_failedAt; ///< Start of the last read of any table that the store did not answer.
    std::optional<time_point> m_returnedAt; ///< When this router's reads succeeded again after they had failed.
    std::optional<time_point> m_servedSince; ///< Begin of the last span in which the store served this router or its sources, without an outage.
    std::optional<time_point> m_servedUntil; ///< Latest time in this span at which it certainly did so.
    std::optional<time_point> m_heardUntil; ///< The same by the arrival of messages, which may have been on their way for long.
    std::optional<time_point> m_outageSince; ///< Last confirmation of the servers before the last outage, unless the outage was refuted.
    std::optional<time_point> m_recoveredAt; ///< When this router noticed the end of the last outage, unless it was refuted.
    std::optional<time_point> m_outageEnd; ///< End of the last outage, as in `store_recovered`.
    std::optional<time_point> m_startedAt; ///< Time of the first tick.
    bool m_isOverdue = false; ///< `rows_overdue` was reported since the last confirmation.
};

}
