/// \file
/// The owner's records of all grants that may be in use.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "pimentoladder/Admission/DemandQueues.h"
#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// Identifies a grant across successive owners of a shard.
struct grant_key {
    fencing_token token;
    grant_number number;

    auto operator<=>(const grant_key&) const = default;
};

enum class grant_state {
    issued, ///< Sent to the router and not yet reported.
    started, ///< Reported as started by the router.
    orphaned, ///< Its router stopped responding; the request may still be running.
    expired, ///< Not reported in time and no longer in use; a late report is still accepted.
};

struct grant_record {
    vm_id router;
    server_id server;
    grant_state state = grant_state::issued;
    std::optional<waiting_demand> demand; ///< None for an advance grant.
    workspace_id workspace; ///< Empty for an advance grant until it starts.
    cost_units costHint = 0;
    cost_units charged = 0;
    bool isSuspect = false; ///< The request is suspected of crashing servers.
    time_point issuedAt;
};

/// Number of grants that count as in use at one server.
struct server_use {
    std::uint32_t total = 0;
    std::uint32_t started = 0; ///< Of these, started or orphaned.
    std::uint32_t suspects = 0; ///< Of these, suspected of crashing servers.
};

struct grant_book_settings {
    duration unreportedTime = std::chrono::seconds(2); ///< From issue; one grant lifetime until expiry and one more for the report.
    duration lateReportWindow = std::chrono::seconds(60); ///< How long an expired grant is kept for late reports.
    duration maxOrphanTime = std::chrono::seconds(10); ///< Longest time that a grant of a lost router counts as in use.
};

/// Grants by key, with the use of each server. Not thread-safe; call on the
/// loop's thread.
class grant_book {
public:
    explicit grant_book(grant_book_settings settings);

    /// Adds a grant that was issued, or that was started under an earlier owner.
    void add(const grant_key& key, const grant_record& record);

    /// Returns the record, or null if there is none. Its workspace, cost hint and
    /// charge may be changed; the other members are counted in `server_use` or
    /// indexed.
    grant_record* find(const grant_key& key);
    const grant_record* find(const grant_key& key) const;

    /// Marks a grant as started, even if it has expired.
    void start(const grant_key& key);

    /// Removes a grant and returns it; none if there is none.
    std::optional<grant_record> close(const grant_key& key);

    /// Marks the grants of a silent or lost router as orphaned at \p now. This
    /// includes unreported grants, because their reports may have been lost.
    void orphanGrantsOf(const vm_id& router, time_point now);

    /// Removes a router whose process is gone from the index of running grants,
    /// because no later report can close its orphans.
    void eraseRouter(const vm_id& router);

    /// Returns the started and orphaned grants that \p router can still report.
    std::vector<grant_key> runningBy(const vm_id& router) const;

    /// Closes up to \p count grants at \p server that were orphaned before \p takenAt.
    void closeOrphans(const server_id& server, std::uint32_t count, time_point takenAt);

    /// Expires grants that were not reported in time and returns them. Closes
    /// orphans after `maxOrphanTime` and removes expired grants after
    /// `lateReportWindow`.
    std::vector<grant_record> expire(time_point now);

    /// Returns the next time at which `expire` may release a grant.
    std::optional<time_point> nextDeadline() const;

    server_use use(const server_id& server) const;

private:
    struct timed_grant {
        time_point at;
        grant_key key;
    };
    using record_map = std::map<grant_key, grant_record>;

    void markRunning(const grant_key& key, grant_record& record, grant_state state);
    void updateUse(const grant_record& record, int sign);

    grant_book_settings m_settings;
    record_map m_records;
    std::map<vm_id, std::set<grant_key>> m_runningByRouter; ///< Started and orphaned grants.
    std::unordered_map<server_id, server_use> m_use;
    std::deque<timed_grant> m_unreported; ///< In order of issue, with the time of expiry.
    std::deque<timed_grant> m_expired; ///< In order of expiry, with the time of removal.
    std::deque<timed_grant> m_orphans; ///< In order of orphaning, with its time.
};

}
