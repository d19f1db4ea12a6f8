/// \file
/// Witnesses' votes on suspending lost members.

#pragma once

#include <map>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Config/Document.h"
#include "pimentoladder/Membership/PeerMonitor.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// Counts the witnesses that agree to suspend a member. A member is added to the
/// suspension set only when a majority of witnesses, in both sets during a roster
/// change, has found it silent, so that one router with a bad link cannot suspend a
/// member.
///
/// Not thread-safe; call on the loop's thread.
class suspension_votes {
public:
    /// \p monitor must outlive the votes.
    suspension_votes(member_ref self, const peer_monitor& monitor);

    /// Records the members and the roster. Votes on incarnations that are no
    /// longer members are dropped.
    void documentApplied(const document& applied);

    /// Processes the proposals of \p from. Returns the proposed members that this
    /// router, if it is a witness, agrees to suspend; the caller sends them to
    /// \p from as a proposal, which counts as this router's vote. A vote recently
    /// sent to \p from is not repeated, so that two witnesses do not answer each
    /// other endlessly.
    std::vector<member_ref> proposalReceived(const member_ref& from, const suspend& proposal, time_point now);

    /// Returns the members that a majority currently agrees to suspend.
    std::vector<member_ref> agreedSuspensions(time_point now) const;

private:
    bool isWitness(const member_ref& candidate) const;
    bool isMember(const member_ref& candidate) const;
    bool isLost(const member_ref& candidate, time_point now) const;
    bool hasVote(const member_ref& witness, const member_ref& candidate, time_point now) const;

    member_ref m_self;
    const peer_monitor& m_monitor;
    std::map<vm_id, incarnation> m_members;
    witness_roster m_roster;
    // By member and witness: time of the latest vote.
    std::map<member_ref, std::map<member_ref, time_point>> m_votes;
    std::map<member_ref, std::map<member_ref, time_point>> m_answered; // By member and receiver: when this router's vote was last sent.
};

}
