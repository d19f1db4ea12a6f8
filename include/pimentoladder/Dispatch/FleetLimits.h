/// \file
/// The newest request limit and holds of each server, from the reports of all routers.

#pragma once

#include <map>
#include <utility>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// Keeps the limits and holds that a router forwards to its followers. Reports may arrive late,
/// repeatedly and in any order; of limits the newest response counts, of holds the longest.
/// Not thread-safe; call on the loop's thread.
class fleet_limits {
public:
    static constexpr duration lifetime = std::chrono::seconds(10); ///< Of a report.

    void merge(time_point now, const server_rate_limits& reported);

    /// Returns the newest limit of each server and the holds that have not ended.
    server_rate_limits newest(time_point now) const;

private:
    struct timed_limit {
        server_rate_limit limit;
        time_point at; ///< Of the response.
    };

    struct timed_hold {
        server_hold hold;
        time_point until;
    };

    std::map<server_id, timed_limit> m_limits;
    std::map<std::pair<server_id, bool>, timed_hold> m_holds; ///< By server and whether it is leaving.
};

}
