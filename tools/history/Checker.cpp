#include "history/Checker.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace pimentoladder::history {

namespace {

    constexpr int firstSuccessStatus = 200;
    constexpr int firstRedirectStatus = 300;

    constexpr std::array<std::string_view, 6> idempotentMethods { "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE" };

    constexpr std::string_view dataCentreReason = "data_centre";
    constexpr std::string_view leavingReason = "leaving";

    bool isIdempotent(const std::string& method)
    {
        return std::ranges::find(idempotentMethods, method) != idempotentMethods.end();
    }

    std::string secondsText(duration span)
    {
        return std::to_string(std::chrono::duration<double>(span).count()) + " s";
    }

    /// Executions in flight and limits of one server, updated event by event.
    struct server_state {
        std::set<std::string> running;
        std::vector<std::pair<time_point, std::uint64_t>> limits; ///< Each is in force until the next one.
        std::uint64_t coldLimit = 0; ///< 0 if the server is warm.

        /// Applies an event. Returns whether it added an execution.
        bool apply(const event& entry);

        /// Returns the highest limit in force between \p from and \p to.
        std::uint64_t highestLimit(time_point from, time_point to) const;
    };

    bool server_state::apply(const event& entry)
    {
        const std::string name = std::to_string(entry.incarnation) + "/" + entry.execution;
        switch (entry.kind) {
        case event_kind::executionStarted:
        case event_kind::executionResumed:
            return running.insert(name).second;
        case event_kind::executionEnded:
        case event_kind::executionDetached:
            running.erase(name);
            return false;
        case event_kind::serverStarted:
        case event_kind::serverCrashed:
            running.clear();
            return false;
        case event_kind::serverCold:
            coldLimit = entry.limit;
            return false;
        case event_kind::serverWarm:
            coldLimit = 0;
            return false;
        case event_kind::limitInForce:
            limits.emplace_back(entry.at, entry.limit);
            return false;
        default:
            return false;
        }
    }

    std::uint64_t server_state::highestLimit(time_point from, time_point to) const
    {
        std::uint64_t highest = 0;
        for (std::size_t i = 0; i < limits.size(); ++i) {
            const time_point until = i + 1 < limits.size() ? limits[i + 1].first : time_point::max();
            if (limits[i].first <= to && until >= from)
                highest = std::max(highest, limits[i].second);
        }
        return highest;
    }

    /// P3: executions in flight at a server never exceed the limit in force.
    void checkLimits(const history_index& index, const check_settings& settings, check_result& result)
    {
        std::map<std::string, server_state> servers;
        for (const event& entry : index.events()) {
            if (entry.server.empty())
                continue;
            server_state& server = servers[entry.server];
            if (!server.apply(entry) || server.limits.empty())
                continue;
            ++result.checked;
            const std::uint64_t allowed = server.highestLimit(entry.at - settings.limitDelay, entry.at);
            if (server.running.size() > allowed)
                result.violations.push_back({ entry.at, "server " + entry.server + " runs " + std::to_string(server.running.size()) + " requests with a limit of " + std::to_string(allowed) });
        }
    }

    void checkWithdrawals(const history_index& index, const check_settings& settings, std::string_view reason, check_result& result)
    {
        for (const auto& [server, intervals] : index.withdrawals()) {
            for (const withdrawal& interval : intervals)
                result.checked += interval.reason == reason && interval.from + settings.withdrawalDelay < std::min(interval.until, index.end()) ? 1 : 0;
        }
        for (const execution_record& execution : index.executions()) {
            const event& started = *execution.started;
            const auto intervals = index.withdrawals().find(started.server);
            if (intervals == index.withdrawals().end())
                continue;
            for (const withdrawal& interval : intervals->second) {
                const bool isWithdrawn = started.at > interval.from + settings.withdrawalDelay && started.at < interval.until;
                if (isWithdrawn && interval.reason == reason)
                    result.violations.push_back({ started.at, "server " + started.server + " received request " + started.id + " " + secondsText(started.at - interval.from) + " after it was withdrawn" });
            }
        }
    }

    /// P4: a data centre out of service receives no new work.
    void checkDataCentresOut(const history_index& index, const check_settings& settings, check_result& result)
    {
        checkWithdrawals(index, settings, dataCentreReason, result);
    }

    /// P8: a server that is leaving receives no new work.
    void checkLeaving(const history_index& index, const check_settings& settings, check_result& result)
    {
        checkWithdrawals(index, settings, leavingReason, result);
    }

    /// Returns the executions whose answer a request may have received: its own,
    /// and those of requests with the same idempotency key.
    std::vector<const execution_record*> candidateExecutions(const history_index& index, const request_record& request, const std::string& id)
    {
        std::vector<const execution_record*> found = index.executionsOf(id);
        if (request.invoked && !request.invoked->key.empty())
            std::ranges::copy(index.executionsOf(request.invoked->workspace, request.invoked->key), std::back_inserter(found));
        return found;
    }

    /// P5: every caller receives the complete answer to its own request.
    void checkAnswers(const history_index& index, const check_settings&, check_result& result)
    {
        for (const auto& [id, request] : index.requests()) {
            const event* ended = request.ended;
            const bool isAnswered = ended && ended->kind == event_kind::answered && ended->status >= firstSuccessStatus && ended->status < firstRedirectStatus;
            if (!isAnswered)
                continue;
            ++result.checked;
            const auto executions = candidateExecutions(index, request, id);
            const bool hasMatchingExecution = std::ranges::any_of(executions, [&](const execution_record* execution) {
                return execution->ended && execution->ended->digest == ended->digest && !ended->digest.empty();
            });
            if (!hasMatchingExecution)
                result.violations.push_back({ ended->at, "request " + id + " got an answer with digest " + ended->digest + ", which none of its " + std::to_string(executions.size()) + " executions gave" });
        }
    }

    /// P6: a request refused as "not run" was not executed.
    void checkRefusals(const history_index& index, const check_settings&, check_result& result)
    {
        for (const auto& [id, request] : index.requests()) {
            const bool isNotRun = request.ended && request.ended->kind == event_kind::refused && request.ended->isNotRun;
            if (!isNotRun)
                continue;
            ++result.checked;
            if (!index.executionsOf(id).empty())
                result.violations.push_back({ request.ended->at, "request " + id + " was refused as not run, but ran at " + index.executionsOf(id).front()->started->server });
        }
    }

    /// P7: a non-idempotent request is executed at most once.
    void checkSingleRuns(const history_index& index, const check_settings&, check_result& result)
    {
        std::map<std::string, std::vector<const execution_record*>> byId;
        for (const execution_record& execution : index.executions()) {
            if (!execution.started->id.empty() && !isIdempotent(execution.started->method))
                byId[execution.started->id].push_back(&execution);
        }
        const auto check = [&](const std::string& name, const std::vector<const execution_record*>& runs) {
            ++result.checked;
            if (runs.size() > 1)
                result.violations.push_back({ runs[1]->started->at, name + " ran " + std::to_string(runs.size()) + " times" });
        };
        for (const auto& [id, runs] : byId)
            check("request " + id, runs);
        for (const auto& [workspace, key] : index.keys()) {
            auto runs = index.executionsOf(workspace, key);
            std::erase_if(runs, [](const execution_record* run) { return isIdempotent(run->started->method); });
            std::string subject = "idempotency key ";
            subject.append(key).append(" of workspace ").append(workspace);
            check(subject, runs);
        }
    }

    /// Returns whether a backend server, and not the router, ended the request.
    bool wasEndedByServer(const std::vector<const execution_record*>& executions)
    {
        return std::ranges::any_of(executions, [](const execution_record* execution) {
            const bool isCrashed = !execution->ended;
            return isCrashed || execution->ended->result == "reset" || execution->ended->result == "truncated";
        });
    }

    /// Returns whether a request failed because its router shut down.
    bool isCutByShutdown(const history_index& index, const check_settings& settings, const router_lifetime& lifetime, const std::string& id, const request_record& request)
    {
        const event* ended = request.ended;
        const bool isBroken = ended && ended->kind == event_kind::broken && ended->reason != "timeout" && ended->reason != "not_connected";
        if (!isBroken || ended->at < lifetime.shutdownBegun->at || ended->at > lifetime.shutdownEnded->at + settings.shutdownMargin)
            return false;
        const auto executions = index.executionsOf(id);
        // A request sent on an idle connection that is being closed has not
        // reached the router.
        const bool hasReachedRouter = !executions.empty() || request.invoked->at < lifetime.shutdownBegun->at;
        return hasReachedRouter && !wasEndedByServer(executions);
    }

    /// P9: a graceful shutdown interrupts no request in progress.
    void checkShutdowns(const history_index& index, const check_settings& settings, check_result& result)
    {
        for (const router_lifetime& lifetime : index.routerLifetimes()) {
            const bool isGraceful = lifetime.shutdownBegun && lifetime.shutdownEnded && lifetime.shutdownEnded->reason == "idle";
            if (!isGraceful)
                continue;
            ++result.checked;
            if (lifetime.shutdownEnded->cutRequests > 0)
                result.violations.push_back({ lifetime.shutdownEnded->at, "router " + lifetime.router + " cut " + std::to_string(lifetime.shutdownEnded->cutRequests) + " requests" });
            for (const auto& [id, request] : index.requests()) {
                if (!request.invoked || index.routerAt(request.invoked->target) != lifetime.router)
                    continue;
                if (isCutByShutdown(index, settings, lifetime, id, request))
                    result.violations.push_back({ request.ended->at, "request " + id + " was cut by the shutdown of router " + lifetime.router });
            }
        }
    }

    /// Returns the latest revision in force at a time, or 0 if there is none.
    std::uint64_t revisionInForce(const router_lifetime& lifetime, time_point at)
    {
        std::uint64_t revision = 0;
        for (const event* entry : lifetime.inForce) {
            if (entry->at <= at)
                revision = entry->revision;
        }
        return revision;
    }

    void checkRevisionOrder(const router_lifetime& lifetime, check_result& result)
    {
        for (std::size_t i = 1; i < lifetime.inForce.size(); ++i) {
            if (lifetime.inForce[i]->revision < lifetime.inForce[i - 1]->revision)
                result.violations.push_back({ lifetime.inForce[i]->at, "router " + lifetime.router + " went back from revision " + std::to_string(lifetime.inForce[i - 1]->revision) + " to " + std::to_string(lifetime.inForce[i]->revision) });
        }
    }

    /// P10: an accepted configuration comes into force on every reachable router in
    /// time and never reverts.
    void checkAcceptedChanges(const history_index& index, const check_settings& settings, check_result& result)
    {
        for (const router_lifetime& lifetime : index.routerLifetimes()) {
            checkRevisionOrder(lifetime, result);
            for (const event& entry : index.events()) {
                if (entry.kind != event_kind::accepted)
                    continue;
                for (const auto& [from, until] : lifetime.reachable) {
                    const time_point due = std::max(from, entry.at) + settings.inForceDelay;
                    if (due >= std::min({ until, lifetime.until }) || due > index.end())
                        continue;
                    ++result.checked;
                    const std::uint64_t held = revisionInForce(lifetime, due);
                    if (held < entry.revision)
                        result.violations.push_back({ due, "router " + lifetime.router + " has revision " + std::to_string(held) + " in force " + secondsText(settings.inForceDelay) + " after revision " + std::to_string(entry.revision) + " was accepted and the router reachable" });
                }
            }
        }
    }

    struct promise_check {
        std::string_view promise;
        void (*check)(const history_index&, const check_settings&, check_result&);
    };

    constexpr std::array<promise_check, 8> promiseChecks { {
        { "P3", checkLimits },
        { "P4", checkDataCentresOut },
        { "P5", checkAnswers },
        { "P6", checkRefusals },
        { "P7", checkSingleRuns },
        { "P8", checkLeaving },
        { "P9", checkShutdowns },
        { "P10", checkAcceptedChanges },
    } };

}

std::vector<check_result> checkHistory(const history_index& index, const check_settings& settings)
{
    std::vector<check_result> results;
    for (const promise_check& entry : promiseChecks) {
        check_result result { entry.promise, 0, {} };
        entry.check(index, settings, result);
        std::ranges::sort(result.violations, {}, &violation::at);
        results.push_back(std::move(result));
    }
    return results;
}

std::uint64_t coldOverload(const history_index& index)
{
    std::uint64_t worst = 0;
    std::map<std::string, server_state> servers;
    for (const event& entry : index.events()) {
        if (entry.server.empty())
            continue;
        server_state& server = servers[entry.server];
        const bool isAdded = server.apply(entry);
        if (isAdded && server.coldLimit > 0 && server.running.size() > server.coldLimit)
            worst = std::max<std::uint64_t>(worst, server.running.size() - server.coldLimit);
    }
    return worst;
}

}
