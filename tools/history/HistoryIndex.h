/// \file
/// Index of a history by request, execution, server and router.

#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "history/Event.h"

namespace pimentoladder::history {

/// One caller's request. The pointers refer to the indexed events.
struct request_record {
    const event* invoked = nullptr;
    const event* ended = nullptr; ///< Answered, refused or broken; null if the request has not ended.
};

/// One execution at a backend server.
struct execution_record {
    const event* started = nullptr;
    const event* ended = nullptr; ///< Null if the server crashed or the history ends.
};

/// An interval in which a server was out of service, and the reason.
struct withdrawal {
    std::string reason;
    time_point from;
    time_point until;
};

/// One run of a router process, from its start to its end.
struct router_lifetime {
    std::string router;
    time_point from;
    time_point until;
    const event* shutdownBegun = nullptr;
    const event* shutdownEnded = nullptr;
    std::vector<const event*> inForce;
    /// Intervals in which the router could reach the fleet.
    std::vector<std::pair<time_point, time_point>> reachable;
};

/// Built once from events in order of time, which must outlive the index.
/// Thread-safe after construction.
class history_index {
public:
    explicit history_index(const event_list& events);

    const event_list& events() const { return m_events; }
    /// Returns the time of the last event.
    time_point end() const { return m_end; }

    const std::unordered_map<std::string, request_record>& requests() const { return m_requests; }
    const std::vector<execution_record>& executions() const { return m_executions; }
    const std::vector<router_lifetime>& routerLifetimes() const { return m_routerLifetimes; }
    const std::map<std::string, std::vector<withdrawal>>& withdrawals() const { return m_withdrawals; }

    /// Returns the executions of one request.
    std::vector<const execution_record*> executionsOf(const std::string& id) const;

    /// Returns the executions of every request with this workspace and key.
    std::vector<const execution_record*> executionsOf(const std::string& workspace, const std::string& key) const;

    /// Returns every pair of workspace and idempotency key in use.
    std::vector<std::pair<std::string, std::string>> keys() const;

    /// Returns the name of the router that listens on an address, or an empty
    /// string.
    std::string routerAt(const std::string& address) const;

private:
    void addRequestEvent(const event& entry);
    void addExecutionEvent(const event& entry);
    void addServiceEvent(const event& entry);
    void addRouterEvent(const event& entry);
    /// Returns the lifetime of a running router, or null.
    router_lifetime* currentLifetime(const std::string& router);

    using execution_key = std::string;
    static execution_key executionKey(const event& entry);

    const event_list& m_events;
    time_point m_end;
    std::unordered_map<std::string, request_record> m_requests;
    std::vector<execution_record> m_executions;
    std::unordered_map<execution_key, std::size_t> m_executionIndexes;
    std::unordered_map<std::string, std::vector<std::size_t>> m_executionsById;
    std::map<std::pair<std::string, std::string>, std::vector<std::string>> m_idsByKey;
    std::map<std::string, std::vector<withdrawal>> m_withdrawals;
    std::vector<router_lifetime> m_routerLifetimes;
    std::map<std::string, std::string> m_routersByAddress;
};

}
