/// \file
/// The owner's record of every grant that may be in use.

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

/// Names a grant over all owners of a shard.
struct grant_key {
    fencing_token token;
    grant_number number;

    auto operator<=>(const grant_key&) const = default;
};

enum class grant_state {
    issued, ///< Sent and not reported.
    started, ///< Reported as started.
    orphaned, ///< Sent to a router that fell silent since; it may be running.
    expired, ///< Never reported and no longer in use; a late report is believed.
};

struct grant_record {
    vm_id router;
    server_id server;
    grant_state state = grant_state::issued;
    std::optional<waiting_demand> demand; ///< None for an advance grant.
    workspace_id workspace; ///< Empty for an advance grant until it starts.
    cost_units costHint = 0;
    cost_units charged = 0;
    bool isSuspect = false; ///< The request is under crash suspicion.
    time_point issuedAt;
};

/// Work that counts as in use at one server.
struct server_use {
    std::uint32_t total = 0;
    std::uint32_t started = 0; ///< Of these, started or orphaned.
    std::uint32_t suspects = 0; ///< Of these, under crash suspicion.
};

struct grant_book_settings {
    duration unreportedTime = std::chrono::seconds(2); ///< Expiry plus one lifetime, from issue.
    duration lateReportWindow = std::chrono::seconds(60); ///< An expired grant is kept for late reports.
    duration longestOrphan = std::chrono::seconds(10); ///< A grant of a lost router is in use at most this long.
};

/// Grants by key, with the use of each server. Not thread-safe; call on the
/// loop's thread.
class grant_book {
public:
    explicit grant_book(grant_book_settings settings);

    /// Adds a grant that was issued, or that was started under an earlier owner.
    void add(const grant_key& key, const grant_record& record);

    /// Returns a record that may be read and whose charge may be changed; null
    /// if there is none.
    grant_record* find(const grant_key& key);
    const grant_record* find(const grant_key& key) const;

    /// Marks a grant as started, also one that had expired.
    void start(const grant_key& key);

    /// Removes a grant and returns it; none if there is none.
    std::optional<grant_record> close(const grant_key& key);

    /// Marks the grants of a silent or lost router as orphaned at \p now, also
    /// unreported ones, because their report may be what was lost.
    void orphanRouter(const vm_id& router, time_point now);

    /// The router's process is gone: no later report can close its orphans.
    void forgetRouter(const vm_id& router);

    /// Returns the started and orphaned grants that \p router can still report.
    std::vector<grant_key> runningBy(const vm_id& router) const;

    /// Closes up to \p count orphans at \p server that were lost before \p takenAt.
    void closeOrphans(const server_id& server, std::uint32_t count, time_point takenAt);

    /// Expires grants that were not reported in time and returns them; closes
    /// orphans and forgets expired grants whose time is over.
    std::vector<grant_record> expire(time_point now);

    /// Returns the next time at which `expire` frees a server.
    std::optional<time_point> nextDeadline() const;

    server_use use(const server_id& server) const;

private:
    struct timed_grant {
        time_point at;
        grant_key key;
    };
    using record_map = std::map<grant_key, grant_record>;

    void noteRunning(const grant_key& key, grant_record& record, grant_state state);
    void occupy(const grant_record& record, int sign);

    grant_book_settings m_settings;
    record_map m_records;
    std::map<vm_id, std::set<grant_key>> m_byRouter; ///< Started and orphaned grants.
    std::unordered_map<server_id, server_use> m_use;
    std::deque<timed_grant> m_unreported; ///< In order of issue, with the end of their time.
    std::deque<timed_grant> m_expired; ///< In order of expiry, with the end of their time.
    std::deque<timed_grant> m_orphans; ///< In order of loss, with the time of the loss.
};

}
