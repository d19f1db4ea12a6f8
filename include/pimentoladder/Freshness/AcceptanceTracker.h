/// \file
/// Decides when a committed change, or a suspension, is accepted.

#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Config/Document.h"
#include "pimentoladder/Freshness/SuspensionSet.h"
#include "pimentoladder/Freshness/VmList.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// Time after which a witness's VM that never appeared in the platform's list
/// counts as removed. The list is updated with a delay, so a new VM may be missing
/// from it at first.
constexpr duration vmAbsenceDelay = std::chrono::seconds(60);

/// Tracks which revisions and suspensions are accepted. One is accepted once so
/// many witnesses have acknowledged it or are confirmed dead that no majority can
/// form without an acknowledging witness. While the roster has previous witnesses,
/// this must hold in both sets.
///
/// Not thread-safe; call on the loop's thread.
class acceptance_tracker {
public:
    /// \p suspended must outlive the tracker.
    acceptance_tracker(member_ref self, const suspension_set& suspended);

    /// Processes the revision and the suspension set that a heartbeat acknowledges.
    void heartbeatReceived(const member_ref& from, const heartbeat& beat);

    /// Processes the suspension set that a peer sent.
    void suspendReceived(const member_ref& from, const suspend& stated);

    /// Records that the document is applied at `applied.at`. A member row with
    /// a newer incarnation confirms the death of a witness.
    void documentApplied(const document& applied, time_point now);

    /// Processes the platform's list of VMs. A VM that is no longer listed is
    /// confirmed dead. A list without this router's own VM is ignored.
    void vmListReceived(const vm_list& list, time_point now);

    /// Re-evaluates what is accepted. Call after every group of inputs.
    /// Suspensions are accepted only while \p isFresh, the router's freshness
    /// for the document, because an outdated roster must not decide them.
    void update(bool isFresh, time_point now);

    /// Returns the highest revision accepted so far; zero if none.
    revision accepted() const;

    /// Returns a time by which \p at was accepted and this router knew it; none
    /// if it is not accepted yet.
    std::optional<time_point> acceptedAt(revision at) const;

    /// Returns since when the suspension of \p member has been accepted under
    /// the current roster; none if it is not accepted.
    std::optional<time_point> suspensionAcceptedAt(const member_ref& member) const;

    /// Returns whether \p witness is confirmed dead.
    bool isConfirmedDead(const member_ref& witness) const;

private:
    struct acknowledgement {
        revision applied;
        std::set<member_ref> suspended;
    };
    struct acceptance {
        revision at;
        time_point since;
    };
    struct vm_presence {
        bool wasListed = false;
        std::optional<time_point> absentSince;
    };

    bool isWitnessVm(const vm_id& vm) const;
    std::size_t acknowledgementsNeeded(const std::vector<member_ref>& witnesses) const;
    std::optional<revision> acceptedIn(const std::vector<member_ref>& witnesses) const;
    bool isSuspensionAcceptedIn(const std::vector<member_ref>& witnesses, const member_ref& member) const;
    bool holdsSuspension(const member_ref& witness, const member_ref& member) const;
    void updateRevision(time_point now);
    void updateSuspensions(bool isFresh, time_point now);
    void forgetFormerWitnesses();

    member_ref m_self;
    const suspension_set& m_suspended;
    witness_roster m_roster;
    revision m_applied;
    std::map<vm_id, incarnation> m_members;
    std::map<member_ref, acknowledgement> m_acknowledged;
    std::map<vm_id, vm_presence> m_presence;
    std::optional<time_point> m_listReceivedAt;
    std::deque<acceptance> m_accepted; // Sorted by revision and by time.
    std::map<member_ref, time_point> m_suspensionsAccepted;
};

}
