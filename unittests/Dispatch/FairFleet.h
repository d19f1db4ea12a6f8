/// \file
/// Routers that share engines and exchange their usage, on a simulated clock: the
/// dispatchers' decisions, the reports and sums between them with delays and losses, and
/// engines that read one prompt after the other.

#pragma once

#include <compare>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Fixture.h"
#include "pimentoladder/Base/Random.h"
#include "pimentoladder/Dispatch/WorkspaceShare.h"

namespace pimentoladder::dispatch_test {

/// Requests of one workspace.
struct load_profile {
    std::string workspace;
    std::vector<std::size_t> routers; ///< At which its callers are.
    double requestsPerSecond = 0;
    std::uint32_t ownTokens = 3'720; ///< Of the prompt, beyond its shared part.
    duration from {};
    std::size_t sharedPrompts = 4; ///< Shared parts among its prompts, each of which has a preferred engine.
};

/// How the fleet's messages and routers behave.
struct fleet_conditions {
    duration delay = 3ms; ///< Of each message from `harmFrom` on, before it 3 ms.
    std::size_t lostPercent = 0; ///< Of the messages from `harmFrom` on.
    duration harmFrom = 4s;
    duration readersReplacedAt = 1h; ///< The readers lose their memory.
    duration cutFrom = 1h; ///< No message arrives from then on.
    std::vector<std::size_t> lateRouters {}; ///< Their event loops are 150 ms late.
    std::size_t limitedEngines = 0; ///< Engines that take two requests a second from 2 s on.
    duration answerTime = 400ms; ///< From the first event to the last.
    std::size_t stalledPercent = 0; ///< Of the engines in each second that do nothing for `stall`.
    duration stall = 800ms;
    std::uint64_t seed = 11; ///< Of all that is drawn.
    bool reportsLoad = false; ///< Engines report their load in each response.
    bool countsBegun = false; ///< What a workspace got counts when an engine begins it, and a first event after the objective as waiting.
    std::size_t slots = 64; ///< Requests that an engine runs at once; others wait for one of them to end.
};

/// What one workspace asked for and got in one second, in tokens.
struct second_of_service {
    double asked = 0;
    double got = 0;
    std::size_t refused = 0;
    std::size_t late = 0; ///< Requests whose first event came after the objective, if that counts.
};

/// What one workspace got in a span of six seconds, in tokens.
struct service_in_span {
    double owed = 0; ///< Second by second what it asked for or the best served workspace got, whichever is less.
    double required = 0; ///< Half of that, less three of its largest requests.
    double got = 0;
    bool hasWaited = true; ///< In every second.
    std::string best; ///< Best served workspace.
    double most = 0; ///< That it got.
};

class fair_fleet {
public:
    fair_fleet(std::size_t routers, std::size_t engines, fleet_conditions conditions, std::vector<load_profile> loads);

    /// Plays \p length in steps of 5 ms.
    void run(duration length);

    /// Returns a description of each span of six seconds in which a workspace waited in
    /// every second and got less than half of what it asked for or the best served one got,
    /// whichever is less, less three of the largest requests.
    std::vector<std::string> findUnfairSpans() const;

    /// Returns what a workspace got in the six seconds from second \p from on.
    service_in_span serviceInSpan(const std::string& workspace, std::int64_t from) const;

    /// Returns the tokens of the requests of a workspace that engines began in [\p from, \p to).
    double served(const std::string& workspace, duration from, duration to) const;

    /// Returns the prompt tokens that the engines read, as a fraction of what they could have read.
    double engineUse(duration from, duration to) const;

    const std::map<std::string, std::map<std::int64_t, second_of_service>>& history() const { return m_history; }

private:
    struct router {
        explicit router(const std::string& name);

        std::string name;
        dispatcher core;
        time_point reportAt;
    };

    /// Identifies an attempt in the fleet.
    struct attempt_key {
        std::size_t router;
        attempt_number attempt;

        auto operator<=>(const attempt_key&) const = default;
    };

    /// A caller's request that a router has sent to an engine.
    struct asked_request {
        std::string workspace;
        double tokens;
        time_point at;
    };

    /// An attempt that waits at an engine.
    struct waiting_attempt {
        attempt_key key;
        double unread;
        time_point since;
    };

    struct engine {
        time_point busyUntil;
        std::deque<waiting_attempt> queue;
        std::map<std::int64_t, double> readBySecond;
        std::multiset<time_point> ends; ///< Of the requests that it runs.
    };

    struct pending_event {
        attempt_key key;
        std::size_t step; ///< 0: first event, 1: end.
        std::string server;
    };

    struct message_on_way {
        std::size_t from;
        std::size_t to;
        message content;
    };

    std::int64_t secondNow() const { return std::chrono::floor<std::chrono::seconds>(m_now - m_start).count(); }
    void send(std::size_t from, std::size_t to, message content);
    void deliver(const message_on_way& arrived);
    void exchange();
    void stallEngines();
    reported_load loadOf(const engine& reporting) const;
    void ask();
    void sendRequest(const load_profile& load);
    void perform(std::size_t at, const dispatch_actions& actions);
    void beginWaiting(const std::string& id, engine& at);
    void advance(const pending_event& due);

    fleet_conditions m_conditions;
    std::vector<load_profile> m_loads;
    random_source m_random;
    time_point m_start { 100s };
    time_point m_now { 100s };
    std::vector<std::unique_ptr<router>> m_routers;
    std::map<std::string, engine> m_engines;
    std::map<std::size_t, usage_aggregator> m_readers;
    std::multimap<time_point, message_on_way> m_messages;
    std::multimap<time_point, pending_event> m_events;
    std::map<std::pair<std::size_t, request_number>, asked_request> m_asked;
    std::map<attempt_key, request_number> m_attempts; ///< That have not ended.
    std::map<std::string, double> m_due; ///< Requests that each workspace's callers still have to send.
    std::map<std::string, std::map<std::int64_t, second_of_service>> m_history;
    std::uint64_t m_sent = 0;
    bool m_areReadersReplaced = false;
    std::int64_t m_stalledSecond = -1; ///< For which the engines that stall were drawn last.
};

}
