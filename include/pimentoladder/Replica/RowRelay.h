/// \file
/// Decides who reads the store, and keeps every router's copy of its tables.

#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Random.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Protocol/Messages.h"
#include "pimentoladder/Replica/FleetRouter.h"
#include "pimentoladder/Replica/RowReplica.h"

namespace pimentoladder {

/// Tables that routers follow; the index of each on the wire.
enum class followed_table : std::uint32_t {
    operators,
    servers,
    members,
};
inline constexpr std::size_t followedTableCount = 3;

/// Pauses after failed reads, with jitter; each failure in a row doubles the pause.
struct retry_pauses {
    duration first {};
    duration longest {};
};

/// How a router follows the tables.
struct relay_limits {
    std::size_t leastReaders = 3; ///< Routers that read the store for all others; at least one in each data centre.
    std::array<duration, followedTableCount> wait { std::chrono::milliseconds(400), {}, {} }; ///< Longest wait of one read for a change.
    std::array<duration, followedTableCount> pause { std::chrono::milliseconds(600), std::chrono::milliseconds(600), std::chrono::seconds(3) }; ///< Least time between the starts of two reads.
    duration followInterval = std::chrono::milliseconds(400); ///< Between two messages to the reader that is followed.
    duration silence = std::chrono::milliseconds(1200); ///< After which a reader counts as lost; leaves time to read within the bound on servers that leave (2 s).
    duration staleness = std::chrono::milliseconds(1600); ///< Age of the basis from which a reader has lost the store; a configuration must be in force within 2 s.
    duration avoidance = std::chrono::seconds(4); ///< For which a lost reader is not followed again.
    duration startGrace = std::chrono::milliseconds(500); ///< At the start, for a link to a reader before this router reads by itself.
    duration returnInterest = std::chrono::seconds(3); ///< For which followers are told that the store has returned from an outage.
    duration avoidanceWithoutStore = std::chrono::milliseconds(500); ///< For which a reader that says it has lost the store is not followed again.
    retry_pauses readerRetry { std::chrono::milliseconds(200), std::chrono::milliseconds(400) }; ///< After failed reads of a router that others follow.
    retry_pauses otherRetry { std::chrono::milliseconds(1600), std::chrono::milliseconds(6400) }; ///< After failed reads of any other router: hundreds of them would ask a store that is down.
};

/// Read a table of the store: whole, or its changes after a revision.
struct read_table {
    followed_table table {};
    bool isWhole = true;
    revision since;
    duration wait {};
};

/// Send a message to another router; it may be lost.
struct send_to_router {
    vm_id to;
    message content;
};

/// A row has changed in a way that matters.
struct row_changed {
    followed_table table {};
    published_row row;
};

/// A table has been applied whole for the first time, or after a gap.
struct table_listed {
    followed_table table {};
};

/// The rows of operators and servers were current at this time.
struct basis_confirmed {
    time_point at;
};

/// Reads of a table began to fail.
struct store_lost {
    followed_table table {};
    error reason;
};

/// Reads of a table succeed again.
struct store_regained {
    followed_table table {};
};

/// This router follows another router, or none and reads the store itself. It is
/// reported once the router has passed on a basis, and when one is lost that had;
/// routers that have lost the store are tried in turn without report.
struct source_changed {
    vm_id source;
    std::string_view reason;
};

/// The store answered again at this time after an outage, here or at the router
/// that is followed.
struct store_returned {
    time_point at;
};

using relay_action = std::variant<read_table, send_to_router, row_changed, table_listed, basis_confirmed,
    store_lost, store_regained, source_changed, store_returned>;
using relay_actions = std::vector<relay_action>;

/// Keeps the copies of the tables current, from the store or from a router that
/// reads it.
///
/// In each data centre the router with the largest processor share, and among
/// equals the first by the hash of its name, reads the store; every other router
/// follows one of these and reads the store itself while it hears from none. A
/// router that is followed reads the store, whatever its place in the order, so no
/// agreement is needed. A reader that has lost the store follows another one until
/// its own reads are answered again. While no reader has the store, the other
/// routers ask it for one table only, at growing intervals.
/// Not thread-safe; call on the loop's thread.
class row_relay {
public:
    /// \p significance outlives the relay.
    row_relay(vm_id self, data_centre_id ownDataCentre, const row_significance& significance, relay_limits limits, std::uint64_t seed);

    /// Sets the routers of the fleet, this one included or not.
    void setMembers(std::vector<fleet_router> members);

    relay_actions onRead(time_point now, followed_table table, const result<rows_page>& answer);
    relay_actions onMessage(time_point now, const member_ref& from, const message& received);
    void onLinkOpened(const vm_id& peer) { m_linked.insert(peer); }
    void onLinkClosed(const vm_id& peer) { m_linked.erase(peer); }

    /// Reads the members again as soon as possible.
    void refreshMembers();

    relay_actions onTick(time_point now);
    time_point nextDeadline(time_point now) const;

    /// Returns whether a router follows this one.
    bool isFollowedBy(const vm_id& router) const { return m_followers.contains(router); }

    /// Returns the routers that read the store for the others; this one may be
    /// among them.
    const std::vector<fleet_router>& readers() const { return m_readers; }
    const std::vector<fleet_router>& members() const { return m_members; }
    const row_replica& replica(followed_table table) const { return m_tables[static_cast<std::size_t>(table)].replica; }
    const vm_id& source() const { return m_source; }

private:
    struct table_state {
        explicit table_state(row_replica copy)
            : replica(std::move(copy))
        {
        }

        row_replica replica;
        bool isReading = false;
        bool needsWhole = true;
        bool isFailing = false;
        std::uint32_t failures = 0; ///< Failed reads in a row.
        time_point sentAt; ///< Of the read in progress or the last one.
        time_point nextReadAt;
        std::optional<time_point> readAt; ///< Start of the last own read that was answered.
        std::optional<time_point> confirmedAt; ///< The rows were current then, by an own read or the source's.
    };

    table_state& state(followed_table table) { return m_tables[static_cast<std::size_t>(table)]; }
    bool readsStore(time_point now) const;
    bool isWanted(followed_table table, time_point now) const;
    void chooseSource(time_point now, relay_actions& out);
    std::optional<vm_id> bestSource(time_point now) const;
    void leaveSource(vm_id next, std::string_view reason, relay_actions& out);
    void follow(time_point now, relay_actions& out);
    void answerFollower(time_point now, const member_ref& from, const follow_rows& asked, relay_actions& out);
    void applyUpdate(time_point now, const member_ref& from, const rows_update& received, relay_actions& out);
    void publish(time_point now, followed_table table, revision before, const std::vector<published_row>& changed, relay_actions& out);
    static void report(followed_table table, const std::vector<published_row>& changed, relay_actions& out);
    void confirm(relay_actions& out);
    bool isReader() const;
    bool isDependedOn(time_point now) const;
    bool hasRead(const table_state& table, time_point now) const;
    duration retryPause(const table_state& failed, time_point now);
    bool hasStoreInReach(time_point now) const;
    bool isStoreFailing() const;
    bool isStale(time_point now) const;
    std::optional<duration> returnedAge(time_point now) const;

    vm_id m_self;
    data_centre_id m_ownDataCentre;
    relay_limits m_limits;
    random_source m_random;
    std::vector<table_state> m_tables;
    std::vector<fleet_router> m_members;
    std::vector<fleet_router> m_readers;
    std::set<vm_id> m_linked;
    std::map<vm_id, time_point> m_followers; ///< When each last asked.
    std::map<vm_id, time_point> m_avoidedUntil;
    vm_id m_source; ///< Empty: none is followed.
    time_point m_heardAt; ///< Last answer of the source, or the time at which it was chosen.
    time_point m_followAt;
    time_point m_chosenAt;
    bool m_isSourceProven = false; ///< The source has passed on a basis.
    std::uint64_t m_sequence = 0;
    std::map<std::uint64_t, time_point> m_asked; ///< Messages to the source that are not answered.
    std::optional<time_point> m_basis; ///< Both tables were current then.
    std::optional<time_point> m_returnedAt; ///< The store, from its last outage.
    std::optional<time_point> m_startedAt; ///< First tick.
};

}
