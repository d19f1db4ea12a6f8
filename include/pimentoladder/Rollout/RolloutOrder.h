/// \file
/// An operator's order to move a pool's requests to another software version, and the row in
/// which the roll-out's owner keeps its state.

#pragma once

#include <cstdint>
#include <string>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// An operator's order. The revision of its row identifies it; a new revision replaces it.
struct rollout_order {
    pool_id pool;
    std::string version; ///< Software version that is to take all requests of the pool.
    duration length {}; ///< Time from the order in which the roll-out is to be completed.

    bool operator==(const rollout_order&) const = default;
};

/// Bounds on what a faulty version may receive, and the times of the protocol.
struct rollout_limits {
    double exposureShare = 0.1; ///< Part of the requests from the order to its end that a faulty version may get, 0 to 1.
    std::uint64_t exposureExtra = 50; ///< Requests that it may get besides.
    duration rollback = std::chrono::seconds(5); ///< Time from its 50th bad answer after which it gets none.
    duration leaseTime = std::chrono::milliseconds(1500); ///< Time without a renewal after which another router may take over.
    duration renewInterval = std::chrono::milliseconds(500); ///< Time between two renewals of the lease.
    duration permitLifetime = std::chrono::milliseconds(1500); ///< Age at which a permit in progress ends.
};

/// Row in which the owner of a roll-out keeps its state, written under the condition that
/// nobody has written it since.
struct rollout_record {
    pool_id pool;
    revision order; ///< Revision of the order's row.
    std::string version; ///< Target of the order.
    vm_id owner;
    incarnation ownerStart;
    fencing_token token; ///< Rises with each change of the owner.
    std::uint64_t renewals = 0; ///< Writes of this owner under this token.
    rollout_state state = rollout_state::inProgress;
    double share = 0; ///< Last share of the requests that was permitted.
    duration elapsed {}; ///< Since the order, as the owner knew it when it wrote.

    bool operator==(const rollout_record&) const = default;
};

/// Encodes and decodes the value of a record's row; its key is the pool's name. Thread-safe.
class rollout_record_codec {
public:
    virtual ~rollout_record_codec() = default;
    virtual std::string encode(const rollout_record& source) const = 0;

    /// Errors: `corruptData`.
    virtual result<rollout_record> decode(const std::string& text) const = 0;
};

}
