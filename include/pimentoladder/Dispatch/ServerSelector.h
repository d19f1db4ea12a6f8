/// \file
/// Selection of the backend server for an attempt.

#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "pimentoladder/Base/Random.h"
#include "pimentoladder/Dispatch/FleetView.h"
#include "pimentoladder/Dispatch/SendWindow.h"
#include "pimentoladder/Dispatch/ServerCondition.h"

namespace pimentoladder {

/// Configuration of the server selection.
struct selection_limits {
    data_centre_id ownDataCentre;
    vm_id self;
    std::size_t coldSenders = 8; ///< Number of routers that may send to one cold server.
    /// Whether speeds of servers are learnt and used in estimates, with reports of servers that
    /// state a slowness. Off, the usual speed holds for all.
    bool usesServerSpeed = false;
    duration maxRest = std::chrono::seconds(30); ///< Longest time for which a server that turned a request away is left alone.
    std::size_t coldShares = 12; ///< Number of parts into which a cold server's allowed request rate is split; more than coldSenders because the routers' views of the members may differ.
};

/// Which servers are compared.
enum class limited_servers {
    excluded, ///< Those without a request limit.
    only, ///< Those with a request limit.
};

/// Software versions that a request may use.
struct version_filter {
    std::string version;
    bool isExcluded = false; ///< All versions but this one are used.

    bool allows(const std::string& each) const { return (each == version) != isExcluded; }
};

/// The servers that come first in the rendezvous order of a key.
struct server_subset {
    std::uint64_t key = 0;
    std::uint64_t minWeight = 0; ///< `rendezvousWeight` of the last one.
};

/// Criteria for the selection of a server.
struct selection_request {
    workspace_id workspace;
    pool_id pool;
    const prompt_work* prompt = nullptr; ///< Null for requests without a prompt.
    std::set<server_id> excluded; ///< Servers that the request has already been sent to.
    /// Number of servers that are compared for a prompt, from the front of its
    /// rendezvous order. If all were compared, the routers, which share their
    /// estimates, would all pick the same idle server.
    std::size_t promptChoices = 2;
    limited_servers limited = limited_servers::excluded;
    std::optional<version_filter> versions {}; ///< Nothing: servers of all versions are used.
    std::optional<server_subset> subset {}; ///< Nothing: all servers are used.
    /// By how much of its spacing a request may be early at a server with a request limit.
    double limitTolerance = 0;
};

struct selected_server {
    server_id server;
    duration expectedFirstEvent {};
    duration baseTime {}; ///< The part of it that any request takes.
    duration ownTime {}; ///< The part of it that the request would take if the server were idle, with the base time.
    double uncachedTokens = 0;
    std::size_t candidates = 0; ///< Servers that were compared.
    bool isCold = false;
    bool isLimited = false; ///< Has a request limit, so that it is short of requests rather than of time.
    queue_estimate queue {}; ///< What `expectedFirstEvent` rests on.
};

/// Longest time for which the reports of other routers make a server less preferred.
inline constexpr duration maxReportedHold = std::chrono::seconds(10);

/// Selects a server among those that a request may use. It keeps a
/// `server_condition` for each registered server. Not thread-safe; call on the loop's thread.
class server_selector {
public:
    /// \p fleet outlives the selector.
    server_selector(const fleet_view& fleet, selection_limits limits, std::uint64_t seed);

    /// Returns the server with the earliest expected response, or nothing if no server may
    /// be used. Ejected servers, and those that other routers report to take no requests, are
    /// used only if no other one is left.
    std::optional<selected_server> select(time_point now, const selection_request& wanted);

    /// Returns whether a server that meets the criteria is in service and has not announced that it
    /// leaves, whether or not it takes a request now and has been tried before.
    bool hasServer(const selection_request& wanted) const;

    /// Returns the state of a server, which is created if there is none.
    server_condition& condition(const server_id& server) { return m_conditions[server]; }

    /// Records for how long a request of the pool occupied a slot of its server. The mean tells by how
    /// much each request that waits for a slot delays those behind it.
    void recordRun(const pool_id& pool, duration occupied);

    /// Returns the learnt speed of each pool that has had a server.
    const std::map<pool_id, pool_speed>& speeds() const { return m_speeds; }

    /// Discards the state of a server that is new or has restarted, except the rest of one whose
    /// registration lapsed for a moment.
    void reset(const server_id& server);

    /// Records that an incarnation of a server has announced in a response that it leaves. It gets
    /// no new request until another incarnation is registered. Returns whether this was unknown.
    bool setLeaving(time_point now, const server_id& server, incarnation start);

    /// Leaves a server alone for \p wanted, at most for `maxRest`, because an incarnation of it has
    /// turned a request away. Returns the time for which it is left alone, or nothing if another
    /// incarnation is registered.
    std::optional<duration> setResting(time_point now, const server_id& server, incarnation start, duration wanted);

    /// Returns whether the last check before the first byte allows an attempt at the server, opened
    /// at \p openedAt, to be sent. Its rates were checked when the server was selected.
    send_window sendWindow(time_point now, const server_id& server, time_point openedAt) const;

    /// Sets the routers of the fleet, among which the cold servers are divided.
    void setRouters(std::vector<vm_id> routers) { m_routers = std::move(routers); }

    /// Returns whether this router is among the first \p count in the rendezvous order of the routers for \p key.
    bool isAmongOwners(std::uint64_t key, std::size_t count) const { return m_routers.size() <= count || rankAmongRouters(key) < count; }

    /// Returns how many routers come before this one in the rendezvous order of the routers for \p key.
    std::size_t rankAmongRouters(std::uint64_t key) const;

    /// Returns the number of routers, and at least `coldSenders`.
    std::size_t routerCount() const { return std::max(m_routers.size(), m_limits.coldSenders); }

    /// Discards the state of servers that are no longer registered.
    void retain(const std::map<server_id, registered_server>& registered);

    /// Returns this router's observations of servers since the last call.
    std::vector<server_observation> takeObservations(time_point now);

    /// Returns a few of this router's responses since the last call that tell the speed of servers.
    /// Without recent sums of the fleet there are none, since nothing is known of queues.
    std::vector<speed_sample> takeSamples(time_point now);

    /// Applies what all routers have learnt of the speed of pools.
    void adoptSpeeds(const std::vector<pool_speed_entry>& speeds);

    /// Applies the observations of servers by all routers.
    void observedByFleet(time_point now, const std::vector<server_observation>& seen);

    /// Returns what this router's own responses say about request limits of servers.
    std::vector<server_rate_limit> ownLimits(time_point now) const;

    /// Applies what responses to other routers say about request limits. Returns those that
    /// have changed what was known here.
    std::vector<server_rate_limit> limitsSeenByFleet(time_point now, const std::vector<server_rate_limit>& seen);

    /// Returns what this router's own responses say about servers that take no requests.
    std::vector<server_hold> ownHolds(time_point now) const;

    /// Prefers other servers to those that other routers report to take no requests, for the
    /// reported time and at most `maxReportedHold`. Returns the reports that have changed something.
    std::vector<server_hold> holdsSeenByFleet(time_point now, const std::vector<server_hold>& seen);

    /// Returns the tokens per second that the engines can process within their request
    /// limits. \p nominal: without limits; \p tokensPerRequest: mean of a request.
    double usableThroughput(time_point now, double nominal, double tokensPerRequest) const;

    /// Returns the earliest window among the servers that the request may use: the reason why
    /// the server that takes a request of this router first does not take one now, and
    /// its time. Call it when `select` returns nothing.
    send_window earliestWindow(time_point now, const selection_request& wanted);

private:
    /// Data of a server that each selection uses, by its position in the access index.
    struct known_server {
        server_condition* condition = nullptr;
        std::uint64_t nameHash = 0;
        std::uint32_t slots = 0; ///< As registered.
    };

    struct departure {
        incarnation start;
        time_point announcedAt;
    };

    struct timed_rest {
        incarnation start;
        time_point until;
    };

    struct candidate {
        const backend_server* server = nullptr;
        server_condition* condition = nullptr;
        bool isCold = false;
        std::uint64_t nameHash = 0;
        std::uint32_t slots = 0;
        std::uint64_t weight = 0; ///< In the rendezvous order of a prompt.
    };

    void refreshKnown();
    bool hasWantedVersion(const server_id& server, const selection_request& wanted) const;
    std::vector<candidate> candidatesFor(time_point now, const selection_request& wanted, bool isEjectionIgnored);
    selected_server assess(time_point now, const candidate& assessed, const selection_request& wanted, const std::vector<std::uint64_t>& hashes, bool keepsSharedParts) const;
    std::optional<fleet_rate> coldRate(const pool_id& pool) const;
    bool isLeaving(const server_id& server) const;
    duration returnDelay(const server_id& server) const;
    send_window startWindow(time_point now, const server_id& server, const server_condition& known, const std::optional<fleet_rate>& cold, const selection_request& wanted) const;

    const fleet_view& m_fleet;
    selection_limits m_limits;
    random_source m_random;
    std::map<pool_id, pool_speed> m_speeds; ///< One for each pool that has had a server.
    std::map<server_id, server_condition> m_conditions; ///< Refer to m_speeds.
    /// Incarnations that have announced that they leave. They are kept beyond their
    /// registration, which may come back from the store.
    std::map<server_id, departure> m_leaving;
    std::map<server_id, timed_rest> m_rests; ///< Kept beyond the registration for the same reason.
    std::vector<known_server> m_known; ///< Points into m_conditions.
    std::optional<std::uint64_t> m_knownVersion; ///< Version of the access index that m_known was built from.
    std::vector<vm_id> m_routers;
    std::size_t m_sampleOffset = 0;
    std::optional<time_point> m_observedAt; ///< Of the last observations of all routers.
    std::map<pool_id, duration> m_runTimes; ///< Smoothed, of the requests of each pool.
};

/// Returns a hash of a name for `rendezvousWeight`. Thread-safe.
std::uint64_t hashName(const std::string& name);

/// Returns the rendezvous hashing weight of a name, given its hash, for a key. The server
/// with the highest weight for a prompt prefix is preferred for it by every router.
/// Thread-safe.
std::uint64_t rendezvousWeight(std::uint64_t nameHash, std::uint64_t key);

}
