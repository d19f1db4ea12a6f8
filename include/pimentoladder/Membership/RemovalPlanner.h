/// \file
/// Plans the removal or suspension of lost members.

#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Random.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Config/Document.h"
#include "pimentoladder/Freshness/AcceptanceTracker.h"
#include "pimentoladder/Freshness/SuspensionSet.h"
#include "pimentoladder/Membership/PeerMonitor.h"

namespace pimentoladder {

enum class removal_kind {
    removeRow, ///< Delete the member's row if it still names this incarnation.
    proposeSuspension, ///< Ask the witnesses to suspend the member.
};

/// Action for one lost member.
struct removal {
    removal_kind kind = removal_kind::removeRow;
    member_ref member;

    bool operator==(const removal&) const = default;
};

/// Limits of `removal_planner`.
struct removal_settings {
    duration wait = std::chrono::milliseconds(300); ///< Mean of a random delay after the loss, so that usually only one router writes.
    duration repeat = std::chrono::seconds(1); ///< Mean time after which an action that had no effect is repeated.
};

/// The state of this router that limits which actions it may plan.
struct removal_preconditions {
    bool isFresh = false;
    bool isOwnerFresh = false;
    bool isTableReachable = false;
};

/// Plans the removal of lost members from the document and, while the table is
/// unreachable, their suspension.
///
/// A silent member is removed or suspended only by a router that is also fresh for
/// suspensions, that is, one that reaches a majority of witnesses directly or
/// through a peer. Otherwise a router that is partitioned from all peers, but not
/// from the table, would remove all other members. A member that is confirmed dead
/// may be removed by any fresh router.
///
/// Not thread-safe; call on the loop's thread.
class removal_planner {
public:
    removal_planner(member_ref self, const removal_settings& settings, std::uint64_t seed);

    /// Returns the actions that are due.
    std::vector<removal> due(const document& current, const peer_monitor& monitor, const suspension_set& suspended,
        const acceptance_tracker& accepted, const removal_preconditions& position, time_point now);

private:
    member_ref m_self;
    removal_settings m_settings;
    random_source m_random;
    std::map<member_ref, time_point> m_dueAt;
};

}
