/// \file
/// Decides which change of the witness roster to propose.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Random.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Config/Document.h"
#include "pimentoladder/Freshness/AcceptanceTracker.h"
#include "pimentoladder/Freshness/SuspensionSet.h"
#include "pimentoladder/Freshness/VmList.h"

namespace pimentoladder {

/// Limits of `roster_planner`.
struct roster_settings {
    std::size_t size = 9; ///< Maximum number of witnesses in a roster.
    /// Delay between the acceptance of the joint roster and its completion:
    /// the freshness window plus the lifetime of a grant. After it, no router
    /// that still uses only the old roster acts on a suspension.
    duration completionDelay = std::chrono::seconds(3);
    duration proposalDelay = std::chrono::milliseconds(500); ///< Mean of a random delay, so that usually only one router writes.
};

/// Chooses up to \p size witnesses from \p candidates, spread evenly over data
/// centres. Among equally good candidates, \p current witnesses are preferred.
/// The result is sorted. Thread-safe.
std::vector<member_ref> chooseWitnesses(const std::vector<member>& candidates, const std::vector<member_ref>& current,
    std::size_t size);

/// Plans the changes of the roster. A change takes two writes: first the new
/// witnesses with the old ones as previous, then, after the first is accepted
/// in both sets and `completionDelay` has passed, the new ones alone.
///
/// Not thread-safe; call on the loop's thread.
class roster_planner {
public:
    roster_planner(const roster_settings& settings, std::uint64_t seed);

    /// Returns the roster to write, if any. The write must be conditional on the
    /// roster row being unchanged since `current.at`. Call only while fresh.
    /// Members that are suspended, or whose VM is leaving or missing from
    /// \p vms, are not chosen.
    std::optional<witness_roster> plan(const document& current, const vm_list& vms, const suspension_set& suspended,
        const acceptance_tracker& accepted, time_point now);

private:
    std::optional<witness_roster> nextRoster(const document& current, const vm_list& vms, const suspension_set& suspended,
        const acceptance_tracker& accepted, time_point now) const;
    void trackRoster(const document& current, time_point now);

    roster_settings m_settings;
    random_source m_random;
    std::optional<witness_roster> m_seenRoster;
    std::optional<time_point> m_lastPlanned;
    revision m_seenAt; // Revision of the first document seen with this roster; not before the roster was written.
    std::optional<witness_roster> m_pending;
    time_point m_proposeAt;
};

}
