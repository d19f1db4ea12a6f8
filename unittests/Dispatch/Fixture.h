/// \file
/// Dispatcher with a small fleet, for tests.

#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "pimentoladder/Dispatch/Dispatcher.h"

namespace pimentoladder::dispatch_test {

using namespace std::chrono_literals;

inline constexpr const char* keyDigest = "digest-of-key";

inline route makeRoute(const std::string& prefix, const std::string& pool, repeat_policy repeat, bool isStream)
{
    route made;
    made.name = "route" + prefix;
    made.host = "host";
    made.prefix = prefix;
    made.repeat = repeat;
    made.isStream = isStream;
    made.pools = { { pool_id(pool), 1 } };
    made.maxAttempts = 2;
    made.timeout = 10s;
    made.objective = 800ms;
    made.pauseLimit = 300ms;
    return made;
}

inline serving_plan makePlan(std::uint64_t version = 1)
{
    serving_plan plan;
    plan.version = revision(version);
    plan.routes = { makeRoute("/order/", "portal", repeat_policy::atMostOnce, false),
        makeRoute("/read/", "portal", repeat_policy::idempotent, false),
        makeRoute("/stream/", "llm", repeat_policy::resumable, true),
        makeRoute("/once/", "llm", repeat_policy::atMostOnce, true) };
    plan.pools[pool_id("portal")] = {};
    plan.pools[pool_id("llm")] = { pool_kind::model, 3s, 7.3 };
    plan.workspaces = std::vector<workspace_keys> { { workspace_id("school"), { keyDigest }, {} } };
    return plan;
}

inline registered_server makeServer(const std::string& id, const std::string& pool, const std::string& dataCentre = "a")
{
    registered_server made;
    made.id = server_id(id);
    made.pool = pool_id(pool);
    made.location = { "127.0.0.1", 80 };
    made.dataCentre = data_centre_id(dataCentre);
    made.slots = 64;
    made.start = incarnation(1);
    return made;
}

/// Returns the first action of a kind, or null.
template <typename Action>
const Action* find(const dispatch_actions& actions)
{
    const auto found = std::find_if(actions.begin(), actions.end(), [](const dispatch_action& each) { return std::holds_alternative<Action>(each); });
    return found == actions.end() ? nullptr : &std::get<Action>(*found);
}

/// Dispatcher with a confirmed plan, two portal servers and three engines.
struct small_fleet {
    explicit small_fleet(dispatch_limits limits = {})
        : core(std::move(limits), 7)
    {
        core.applyPlan(makePlan());
        for (const auto& [id, pool] : { std::pair { "p1", "portal" }, { "p2", "portal" }, { "e1", "llm" }, { "e2", "llm" }, { "e3", "llm" } })
            core.putServer(now, makeServer(id, pool));
        core.markServersListed(now);
        core.confirm(now);
    }

    dispatch_actions send(const std::string& path, request_number& number)
    {
        inbound_request request;
        request.callerId = "id";
        request.host = "host";
        request.path = path;
        request.keyDigest = keyDigest;
        request.timeLeft = 10s;
        return core.onRequest(now, request, number);
    }

    /// Sends a request and returns the attempt that is opened for it.
    attempt_number open(const std::string& path)
    {
        request_number number;
        return find<open_dispatch>(send(path, number))->attempt;
    }

    time_point now { 100s };
    dispatcher core;
};

}
