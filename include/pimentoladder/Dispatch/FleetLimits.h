/// \file
/// The newest request limit of each server, from the reports of all routers.

#pragma once

#include <map>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// Keeps the limits that a router forwards to its followers. Reports may arrive late,
/// repeatedly and in any order; the newest response counts.
/// Not thread-safe; call on the loop's thread.
class fleet_limits {
public:
    static constexpr duration lifetime = std::chrono::seconds(10); ///< Of a report.

    void merge(time_point now, const server_rate_limits& reported);

    /// Returns the newest limit of each server.
    server_rate_limits newest(time_point now) const;

private:
    struct timed_limit {
        server_rate_limit limit;
        time_point at; ///< Of the response.
    };

    std::map<server_id, timed_limit> m_limits;
};

}
