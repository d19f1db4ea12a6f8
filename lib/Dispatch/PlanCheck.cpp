#include "pimentoladder/Dispatch/PlanCheck.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace pimentoladder {

namespace {

    using findings = std::vector<plan_finding>;

    // Part of a router's memory that one body may take: a router holds several at a time.
    constexpr std::uint64_t bodyMemoryDivisor = 8;
    constexpr double percent = 100;

    std::string quoted(std::string_view name)
    {
        return '"' + std::string(name) + '"';
    }

    std::string text(duration time)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms";
    }

    std::string placeOf(const route& source)
    {
        return "route " + quoted(source.name) + " (" + source.host + source.prefix + ")";
    }

    // Errors.

    void checkVersion(const serving_plan& plan, const plan_check_limits&, findings& found)
    {
        if (plan.version == revision())
            found.push_back({ finding_kind::error, "version", "the version is 0, so that routers that have a configuration ignore it", "raise it above the version in force" });
    }

    void checkReadableKeys(const serving_plan& plan, const plan_check_limits&, findings& found)
    {
        if (plan.unreadableKeys > 0) {
            found.push_back({ finding_kind::error, "workspaces", std::to_string(plan.unreadableKeys) + " keys, or workspaces without a name or a list of keys, cannot be read and admit nobody",
                "write each key as a text that is not empty, and give each workspace a name and a list" });
        }
    }

    void checkPools(const serving_plan& plan, const plan_check_limits&, findings& found)
    {
        for (const route& each : plan.routes) {
            std::uint64_t weights = 0;
            std::set<pool_id> named;
            for (const weighted_pool& target : each.pools) {
                weights += target.weight;
                if (!plan.pools.contains(target.pool))
                    found.push_back({ finding_kind::error, placeOf(each), "pool " + quoted(target.pool.value()) + " does not exist, so that its requests are refused", "add the pool or name another one" });
                if (!named.insert(target.pool).second)
                    found.push_back({ finding_kind::error, placeOf(each), "pool " + quoted(target.pool.value()) + " is named twice", "add up its weights" });
            }
            if (weights == 0)
                found.push_back({ finding_kind::error, placeOf(each), "the weights of its pools add up to 0, so that no request has a pool", "give one of them a weight above 0" });
        }
    }

    void checkWorkspaces(const serving_plan& plan, const plan_check_limits&, findings& found)
    {
        if (!plan.workspaces)
            return;
        std::set<workspace_id> names;
        std::map<std::string_view, const workspace_keys*> holders;
        for (const workspace_keys& each : *plan.workspaces) {
            const std::string place = "workspace " + quoted(each.workspace.value());
            if (each.workspace.isEmpty())
                found.push_back({ finding_kind::error, place, "the name is empty, as that of callers without a key", "give it a name" });
            if (!names.insert(each.workspace).second)
                found.push_back({ finding_kind::error, place, "another workspace has the same name", "merge the two or rename one" });
            if (each.keyDigests.empty())
                found.push_back({ finding_kind::unmatched, place, "it has no key, so that no request is its own", "add a key or remove the workspace" });
            for (const std::string& digest : each.keyDigests) {
                const auto [holder, isNew] = holders.try_emplace(digest, &each);
                if (isNew)
                    continue;
                const bool isSame = holder->second == &each;
                found.push_back({ isSame ? finding_kind::error : finding_kind::unmatched, place,
                    isSame ? "a key is listed twice" : "a key is also held by workspace " + quoted(holder->second->workspace.value()) + ", and only one of them gets its requests", "remove it from one place" });
            }
        }
    }

    // Entries that can never match.

    bool isHostPossible(const std::string& host)
    {
        constexpr std::string_view excluded = " \t\r\n/?#@\\";
        return !host.empty() && host.find_first_of(excluded) == std::string::npos;
    }

    bool isPrefixPossible(const std::string& prefix)
    {
        constexpr std::string_view excluded = " \t\r\n?#";
        return prefix.starts_with('/') && prefix.ends_with('/') && prefix.find_first_of(excluded) == std::string::npos;
    }

    void checkMatches(const serving_plan& plan, const plan_check_limits&, findings& found)
    {
        std::map<std::pair<std::string_view, std::string_view>, const route*> last;
        for (const route& each : plan.routes) {
            if (!isHostPossible(each.host))
                found.push_back({ finding_kind::unmatched, placeOf(each), "no request can have the host " + quoted(each.host), "write a host name without spaces and slashes" });
            if (!isPrefixPossible(each.prefix))
                found.push_back({ finding_kind::unmatched, placeOf(each), "no path can match the prefix " + quoted(each.prefix), "begin and end it with a slash, without a query or spaces" });
            const route*& known = last[{ each.host, each.prefix }];
            if (known)
                found.push_back({ finding_kind::unmatched, placeOf(*known), "route " + quoted(each.name) + " has the same host and prefix and takes its requests", "remove one of them or change its prefix" });
            known = &each;
        }
        std::set<pool_id> routed;
        for (const route& each : plan.routes) {
            for (const weighted_pool& target : each.pools) {
                if (target.weight > 0)
                    routed.insert(target.pool);
            }
        }
        for (const auto& [pool, profile] : plan.pools) {
            if (!routed.contains(pool))
                found.push_back({ finding_kind::unmatched, "pool " + quoted(pool.value()), "no route sends requests to it", "route requests to it or remove it" });
        }
    }

    // Limits that contradict each other.

    void checkTimes(const serving_plan& plan, const plan_check_limits&, findings& found)
    {
        for (const route& each : plan.routes) {
            if (each.timeout <= duration::zero())
                found.push_back({ finding_kind::contradiction, placeOf(each), "the timeout is 0, so that each request ends at once", "give it a timeout above the objective" });
            else if (each.objective > each.timeout)
                found.push_back({ finding_kind::contradiction, placeOf(each), "the objective of " + text(each.objective) + " is above the timeout of " + text(each.timeout), "raise the timeout or lower the objective" });
            if (each.isStream && each.timeout > duration::zero() && each.objective + each.pauseLimit > each.timeout && each.objective <= each.timeout)
                found.push_back({ finding_kind::contradiction, placeOf(each), "a stream of two events may take " + text(each.objective + each.pauseLimit) + ", above the timeout of " + text(each.timeout), "raise the timeout or lower the limit on pauses" });
            if (each.repeat == repeat_policy::atMostOnce && each.maxAttempts > 1)
                found.push_back({ finding_kind::contradiction, placeOf(each), "it allows " + std::to_string(each.maxAttempts) + " attempts, but its requests may run once only", "allow one attempt or declare it repeatable" });
        }
    }

    void checkCallerLimits(const serving_plan& plan, const plan_check_limits& limits, findings& found)
    {
        if (plan.idleTimeout > duration::zero() && plan.idleTimeout < limits.minIdleTimeout)
            found.push_back({ finding_kind::contradiction, "limits", "the idle timeout of " + text(plan.idleTimeout) + " is below " + text(limits.minIdleTimeout) + ", so that kept connections close under callers that use them", "raise it" });
        if (plan.headTimeout > duration::zero() && plan.idleTimeout > duration::zero() && plan.headTimeout > plan.idleTimeout)
            found.push_back({ finding_kind::contradiction, "limits", "the time for a request head, " + text(plan.headTimeout) + ", is above the idle timeout of " + text(plan.idleTimeout), "lower it or raise the idle timeout" });
        if (plan.maxBodyBytes > limits.routerMemory / bodyMemoryDivisor)
            found.push_back({ finding_kind::contradiction, "limits", "a body of " + std::to_string(plan.maxBodyBytes) + " bytes does not fit in an eighth of the smallest router's memory of " + std::to_string(limits.routerMemory) + " bytes", "lower the largest body" });
    }

    using check = void (*)(const serving_plan&, const plan_check_limits&, findings&);
    constexpr std::array<check, 7> checks { checkVersion, checkReadableKeys, checkPools, checkWorkspaces, checkMatches, checkTimes, checkCallerLimits };

    // Differences.

    using route_key = std::pair<std::string, std::string>;

    std::map<route_key, const route*> routesOf(const serving_plan& plan)
    {
        std::map<route_key, const route*> byKey;
        for (const route& each : plan.routes)
            byKey[{ each.host, each.prefix }] = &each;
        return byKey;
    }

    std::map<pool_id, double> partsOf(const route& source)
    {
        double total = 0;
        for (const weighted_pool& each : source.pools)
            total += each.weight;
        std::map<pool_id, double> parts;
        for (const weighted_pool& each : source.pools) {
            if (total > 0)
                parts[each.pool] += each.weight / total;
        }
        return parts;
    }

    /// Returns the part of a route's requests that go to another pool than before.
    double movedPart(const route& before, const route& after)
    {
        const std::map<pool_id, double> old = partsOf(before);
        double moved = 0;
        for (const auto& [pool, part] : partsOf(after)) {
            const auto known = old.find(pool);
            moved += std::max(part - (known == old.end() ? 0 : known->second), 0.0);
        }
        return moved;
    }

    std::string changedFields(const route& before, const route& after)
    {
        const std::array<std::pair<std::string_view, bool>, 9> fields { { { "name", before.name != after.name }, { "repetition", before.repeat != after.repeat },
            { "stream", before.isStream != after.isStream }, { "anonymous", before.isAnonymous != after.isAnonymous }, { "attempts", before.maxAttempts != after.maxAttempts },
            { "priority", before.priority != after.priority }, { "timeout", before.timeout != after.timeout }, { "objective", before.objective != after.objective },
            { "pauses", before.pauseLimit != after.pauseLimit } } };
        std::string names;
        for (const auto& [name, isChanged] : fields) {
            if (isChanged)
                names += (names.empty() ? "" : ", ") + std::string(name);
        }
        return names;
    }

    void compareRoutes(const serving_plan& inForce, const serving_plan& next, findings& found)
    {
        const auto before = routesOf(inForce);
        const auto after = routesOf(next);
        for (const auto& [key, old] : before) {
            if (!after.contains(key))
                found.push_back({ finding_kind::difference, placeOf(*old), "removed; its requests get 404 unless a shorter prefix matches", "" });
        }
        for (const auto& [key, now] : after) {
            const auto known = before.find(key);
            if (known == before.end()) {
                found.push_back({ finding_kind::difference, placeOf(*now), "added", "" });
                continue;
            }
            if (const std::string names = changedFields(*known->second, *now); !names.empty())
                found.push_back({ finding_kind::difference, placeOf(*now), "changed: " + names, "" });
            if (const double moved = movedPart(*known->second, *now); moved > 0)
                found.push_back({ finding_kind::difference, placeOf(*now), std::to_string(std::lround(percent * moved)) + " % of its requests go to another pool", "" });
        }
    }

    void comparePools(const serving_plan& inForce, const serving_plan& next, findings& found)
    {
        for (const auto& [pool, profile] : inForce.pools) {
            const auto now = next.pools.find(pool);
            if (now == next.pools.end())
                found.push_back({ finding_kind::difference, "pool " + quoted(pool.value()), "removed", "" });
            else if (!(now->second == profile))
                found.push_back({ finding_kind::difference, "pool " + quoted(pool.value()), "changed", "" });
        }
        for (const auto& [pool, profile] : next.pools) {
            if (!inForce.pools.contains(pool))
                found.push_back({ finding_kind::difference, "pool " + quoted(pool.value()), "added", "" });
        }
    }

    std::map<workspace_id, std::set<std::string>> keysOf(const serving_plan& plan)
    {
        std::map<workspace_id, std::set<std::string>> keys;
        if (plan.workspaces) {
            for (const workspace_keys& each : *plan.workspaces)
                keys[each.workspace].insert(each.keyDigests.begin(), each.keyDigests.end());
        }
        return keys;
    }

    void compareKeys(const serving_plan& inForce, const serving_plan& next, findings& found)
    {
        if (inForce.workspaces.has_value() != next.workspaces.has_value())
            found.push_back({ finding_kind::difference, "workspaces", next.workspaces ? "requests need a key from now on" : "no request needs a key any more", "" });
        const auto before = keysOf(inForce);
        const auto after = keysOf(next);
        for (const auto& [name, keys] : before) {
            const auto now = after.find(name);
            const auto isKept = [&](const std::string& key) { return now != after.end() && now->second.contains(key); };
            const auto kept = static_cast<std::size_t>(std::count_if(keys.begin(), keys.end(), isKept));
            const std::string place = "workspace " + quoted(name.value());
            if (kept < keys.size())
                found.push_back({ finding_kind::difference, place, std::to_string(keys.size() - kept) + " keys are withdrawn" + (now == after.end() || now->second.empty() ? "; it loses its last one" : ""), "" });
            if (now != after.end() && now->second.size() > kept)
                found.push_back({ finding_kind::difference, place, std::to_string(now->second.size() - kept) + " keys are added", "" });
        }
        for (const auto& [name, keys] : after) {
            if (!before.contains(name))
                found.push_back({ finding_kind::difference, "workspace " + quoted(name.value()), "added with " + std::to_string(keys.size()) + " keys", "" });
        }
    }

    void compareLimits(const serving_plan& inForce, const serving_plan& next, findings& found)
    {
        if (next.version <= inForce.version)
            found.push_back({ finding_kind::error, "version", "version " + std::to_string(next.version.value()) + " is not above the version in force, " + std::to_string(inForce.version.value()) + ", so that routers ignore it", "raise it" });
        const auto report = [&](std::string_view name, const std::string& before, const std::string& after) {
            if (before != after)
                found.push_back({ finding_kind::difference, "limits", std::string(name) + ": " + before + " becomes " + after, "" });
        };
        report("tokens a second", std::to_string(inForce.tokensPerSecond), std::to_string(next.tokensPerSecond));
        report("largest request head", std::to_string(inForce.maxHeadBytes), std::to_string(next.maxHeadBytes));
        report("largest request body", std::to_string(inForce.maxBodyBytes), std::to_string(next.maxBodyBytes));
        report("time for a request head", text(inForce.headTimeout), text(next.headTimeout));
        report("idle timeout", text(inForce.idleTimeout), text(next.idleTimeout));
    }

    using comparison = void (*)(const serving_plan&, const serving_plan&, findings&);
    constexpr std::array<comparison, 4> comparisons { compareLimits, compareRoutes, comparePools, compareKeys };

}

std::vector<plan_finding> checkPlan(const serving_plan& plan, const plan_check_limits& limits)
{
    findings found;
    for (const check each : checks)
        each(plan, limits, found);
    return found;
}

std::vector<plan_finding> comparePlans(const serving_plan& inForce, const serving_plan& next)
{
    findings found;
    for (const comparison each : comparisons)
        each(inForce, next, found);
    return found;
}

std::string_view findingKindName(finding_kind kind)
{
    constexpr std::array<std::string_view, 4> names { "error", "unmatched", "contradiction", "difference" };
    return names.at(static_cast<std::size_t>(kind));
}

}
