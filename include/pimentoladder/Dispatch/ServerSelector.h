/// \file
/// Choice of the backend server for one attempt.

#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "pimentoladder/Base/Random.h"
#include "pimentoladder/Dispatch/FleetView.h"
#include "pimentoladder/Dispatch/ServerCondition.h"

namespace pimentoladder {

/// How the choice of servers is bounded.
struct selection_limits {
    data_centre_id ownDataCentre;
    vm_id self;
    std::size_t coldSenders = 8; ///< Routers that may send to one cold server.
    std::size_t coldShares = 12; ///< Parts of a cold server's allowance; more than the senders, since the routers' views of the members may differ.
};

/// What a request asks of its server.
struct selection_request {
    workspace_id workspace;
    pool_id pool;
    const prompt_work* prompt = nullptr; ///< Null for requests without a prompt.
    std::set<server_id> excluded; ///< Servers that the request has met already.
    /// Servers that are compared for a prompt, from the front of its rendezvous
    /// order. Comparing all by estimates that all routers share would send them all
    /// to the one that looks idle.
    std::size_t promptChoices = 2;
};

struct selected_server {
    server_id server;
    duration expectedFirstEvent {};
    double unreadTokens = 0;
    std::size_t candidates = 0; ///< Servers that were compared.
    bool isCold = false;
};

/// Compares the servers that a request may use. It keeps one condition for each
/// registered server. Not thread-safe; call on the loop's thread.
class server_selector {
public:
    /// \p fleet outlives the selector.
    server_selector(const fleet_view& fleet, selection_limits limits, std::uint64_t seed);

    /// Returns the server with the earliest expected answer, or nothing if no
    /// server may be used.
    std::optional<selected_server> select(time_point now, const selection_request& wanted);

    /// Returns the beliefs about a server; they begin empty.
    server_condition& condition(const server_id& server) { return m_conditions[server]; }

    /// The server is new or has restarted: what was learnt of it is void.
    void reset(const server_id& server);

    /// Sets the routers of the fleet, which share out the cold servers.
    void setRouters(std::vector<vm_id> routers) { m_routers = std::move(routers); }

    /// Returns the number of routers, as far as it is known.
    std::size_t routerCount() const { return std::max(m_routers.size(), m_limits.coldSenders); }

    /// Forgets servers that are no longer registered.
    void retain(const std::map<server_id, registered_server>& registered);

    /// Returns what this router has seen of servers since the last call.
    std::vector<server_observation> takeObservations(time_point now);

    /// Takes over what all routers have seen of servers.
    void observedByFleet(time_point now, const std::vector<server_observation>& seen);

private:
    /// What is looked up for each server at each choice, by its position in the
    /// access index.
    struct known_server {
        server_condition* condition = nullptr;
        std::uint64_t nameHash = 0;
    };

    struct candidate {
        const backend_server* server = nullptr;
        server_condition* condition = nullptr;
        bool isCold = false;
        std::uint64_t nameHash = 0;
        std::uint64_t weight = 0; ///< In the rendezvous order of a prompt.
    };

    void refreshKnown();
    std::vector<candidate> candidatesFor(time_point now, const selection_request& wanted, bool isEjectionIgnored);
    selected_server assess(time_point now, const candidate& assessed, const selection_request& wanted, const std::vector<std::uint64_t>& hashes) const;
    duration coldSpacing(const pool_id& pool) const;
    bool maySendCold(const server_id& server) const;

    const fleet_view& m_fleet;
    selection_limits m_limits;
    random_source m_random;
    std::map<server_id, server_condition> m_conditions;
    std::vector<known_server> m_known; ///< Points into m_conditions.
    std::optional<std::uint64_t> m_knownVersion; ///< Of the index that m_known follows.
    std::vector<vm_id> m_routers;
};

/// Returns a hash of a name for `rendezvousWeight`. Thread-safe.
std::uint64_t hashName(const std::string& name);

/// Returns the weight of a name, given its hash, for a key in rendezvous hashing.
/// The server with the highest weight for a prompt prefix is the prefix's home on
/// every router. Thread-safe.
std::uint64_t rendezvousWeight(std::uint64_t nameHash, std::uint64_t key);

}
