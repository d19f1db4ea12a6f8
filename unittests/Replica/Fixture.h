/// \file
/// Simulated fleet of routers with their relays, without sockets.

#pragma once

#include <algorithm>
#include <compare>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pimentoladder/Replica/RowRelay.h"

namespace pimentoladder::replica_test {

using namespace std::chrono_literals;

inline store_position at(std::uint64_t position, std::uint64_t era = 0)
{
    return { store_era(era), revision(position) };
}

/// Treats every change of a value as significant. Values that begin with a positive
/// number are ordered by it, unless one of the rows is deleted.
class any_change final : public row_rules {
public:
    bool isSignificant(std::uint32_t, const published_row& before, const published_row& after) const override
    {
        return before.value != after.value;
    }

    std::partial_ordering order(std::uint32_t, const published_row& left, const published_row& right) const override
    {
        if (left.isDeleted || right.isDeleted)
            return std::partial_ordering::unordered;
        const auto [leftNumber, rightNumber] = std::pair(std::atoi(left.value.c_str()), std::atoi(right.value.c_str()));
        if (leftNumber != rightNumber && leftNumber > 0 && rightNumber > 0)
            return leftNumber <=> rightNumber;
        return left.value == right.value ? std::partial_ordering::equivalent : std::partial_ordering::unordered;
    }
};

/// In-memory store that responds immediately.
struct fake_store {
    store_era era;
    revision newest { 1 };
    std::array<std::map<std::string, published_row>, followedTableCount> tables;

    void put(followed_table table, const std::string& key, const std::string& value)
    {
        newest = revision(newest.value() + 1);
        tables[static_cast<std::size_t>(table)][key] = { key, value, { {}, newest }, false };
    }

    void remove(followed_table table, const std::string& key)
    {
        newest = revision(newest.value() + 1);
        tables[static_cast<std::size_t>(table)][key] = { key, {}, { {}, newest }, true };
    }

    /// Replaces the contents with those of \p copy, in the next era.
    void restoreFrom(const fake_store& copy)
    {
        const store_era next(era.value() + 1);
        *this = copy;
        era = next;
    }

    result<rows_page> read(const read_table& asked) const
    {
        if (!asked.isWhole && asked.since.at > newest)
            return makeError(error_kind::notFound, "gone");
        rows_page page;
        page.newest = newest;
        page.era = era;
        for (const auto& [key, row] : tables[static_cast<std::size_t>(asked.table)]) {
            const bool isWanted = asked.isWhole ? !row.isDeleted : row.position.at > asked.since.at;
            if (!isWanted)
                continue;
            page.rows.push_back(row);
            page.rows.back().position.era = era;
        }
        return page;
    }
};

/// How the store treats the calls of one router.
enum class store_access {
    answers,
    refuses, ///< Each call fails at once.
    silent, ///< Each call fails after `silentCallTimeout`.
};

/// Time after which a router gives up a call to a store that does not answer.
constexpr duration silentCallTimeout = 1s;

/// When a server whose registration ended is out of force, as in `fleet_view`.
struct removal {
    time_point learntAt;
    time_point due;
};

/// One simulated router.
struct router {
    router(const std::string& name, const data_centre_id& dataCentre, const row_rules& rules, const relay_limits& limits, std::uint64_t seed = 1)
        : vm(name)
        , relay(vm, dataCentre, rules, limits, seed)
    {
    }

    vm_id vm;
    row_relay relay;
    store_access access = store_access::answers;
    bool isMute = false; ///< Receives, but what it sends is lost.
    bool isFrozen = false; ///< Neither receives nor sends; its links stay open.
    std::map<std::string, std::string> rows; ///< Rows of the operators' table, from `row_changed` actions.
    std::map<std::string, std::string> servers; ///< Rows of the servers' table, in the same way.
    std::map<std::string, removal> removals; ///< Of servers without a row.
    std::optional<time_point> recoveredAt; ///< From the last `store_recovered` action.
    std::size_t recoveries = 0; ///< Number of `store_recovered` actions that no `outage_refuted` followed.
    duration lateness {}; ///< Time for which what is sent to this router waits on its link. The order is kept.
    time_point lastArrival; ///< Of the last message that waits.
    std::uint64_t wholeReads = 0;
    std::vector<store_era_changed> eraChanges;
    std::size_t outages = 0; ///< Number of `store_lost` actions.
    time_point basis;
    std::uint64_t reads = 0;
    std::uint64_t frames = 0; ///< Messages sent to other routers.
    std::uint64_t sourceChanges = 0; ///< Number of `source_changed` actions.
    time_point dueAt; ///< Next deadline, updated after each event like the event loop's timer.
    time_point startedAt;

    bool hasInForce(const std::string& server, time_point now) const
    {
        const auto removed = removals.find(server);
        return servers.contains(server) || (removed != removals.end() && now < removed->second.due);
    }
};

/// Time for which `fleet_view` delays the removal of servers after an outage.
constexpr duration removalGrace = 1900ms;

/// How a router's link is disturbed: what is sent to it waits longer and longer, then for a
/// constant time, and then arrives within a second.
struct slow_link {
    duration peak {};
    duration rise {};
    duration length {}; ///< From the begin of the rise to the end.

    duration at(duration since) const
    {
        if (since >= length)
            return {};
        return since >= rise ? peak : std::chrono::duration_cast<duration>(peak * (std::chrono::duration<double>(since) / std::chrono::duration<double>(rise)));
    }
};

/// Fleet of routers on a simulated clock that advances in steps of 20 ms.
struct fleet {
    /// \p size routers, evenly distributed over \p dataCentres.
    explicit fleet(std::size_t size, std::size_t dataCentres = 1, const relay_limits& relays = {})
        : limits(relays)
    {
        for (std::size_t i = 0; i < size; ++i) {
            const data_centre_id dataCentre(std::string(1, static_cast<char>('a' + i % dataCentres)));
            routers.push_back(std::make_unique<router>("router-" + std::to_string(i), dataCentre, rules, limits, i + 1));
            members.push_back({ routers.back()->vm, incarnation(1), dataCentre, { "127.0.0.1", 1 } });
        }
        for (const auto& each : routers)
            each->relay.setMembers(members);
        for (const auto& each : routers)
            connect(*each);
    }

    /// Opens the links between a router and the readers.
    void connect(router& opened)
    {
        for (const fleet_router& peer : opened.relay.readers()) {
            if (peer.vm == opened.vm)
                continue;
            perform(opened, opened.relay.onLinkOpened(now, peer.vm));
            perform(at(peer.vm), at(peer.vm).relay.onLinkOpened(now, opened.vm));
        }
    }

    /// Replaces a router by one that knows nothing.
    void restart(std::size_t index)
    {
        routers[index] = std::make_unique<router>("router-" + std::to_string(index), members[index].dataCentre, rules, limits);
        router& started = *routers[index];
        started.relay.setMembers(members);
        started.dueAt = now;
        started.startedAt = now;
        connect(started);
        const auto& readers = started.relay.readers();
        if (std::none_of(readers.begin(), readers.end(), [&](const fleet_router& each) { return each.vm == started.vm; }))
            return;
        for (const auto& each : routers) {
            if (each->vm != started.vm)
                perform(*each, each->relay.onLinkOpened(now, started.vm));
        }
    }

    router& at(const vm_id& vm)
    {
        return **std::find_if(routers.begin(), routers.end(), [&](const auto& each) { return each->vm == vm; });
    }

    void perform(router& by, const relay_actions& actions)
    {
        for (const relay_action& action : actions) {
            if (const auto* read = std::get_if<read_table>(&action)) {
                ++by.reads;
                by.wholeReads += read->isWhole ? 1 : 0;
                if (storeTime == duration::zero() && by.lateness == duration::zero() && by.access != store_access::silent)
                    perform(by, by.relay.onRead(now, read->table, answerOf(by, *read)));
                else
                    calls.push_back({ by.vm, *read, by.access, now });
            }
            if (std::holds_alternative<source_changed>(action))
                ++by.sourceChanges;
            if (const auto* sent = std::get_if<send_to_router>(&action)) {
                ++by.frames;
                if (!by.isMute)
                    send(by.vm, sent->to, sent->content);
            }
            if (const auto* changed = std::get_if<row_changed>(&action); changed && changed->table != followed_table::members) {
                auto& held = changed->table == followed_table::operators ? by.rows : by.servers;
                if (changed->table == followed_table::servers && changed->row.isDeleted)
                    by.removals.try_emplace(changed->row.key, removal { now, by.recoveredAt ? std::max(now, std::min(*by.recoveredAt, now) + removalGrace) : now });
                else if (changed->table == followed_table::servers)
                    by.removals.erase(changed->row.key);
                if (changed->row.isDeleted)
                    held.erase(changed->row.key);
                else
                    held[changed->row.key] = changed->row.value;
            }
            if (const auto* changed = std::get_if<store_era_changed>(&action))
                by.eraChanges.push_back(*changed);
            if (const auto* recovered = std::get_if<store_recovered>(&action)) {
                by.recoveredAt = recovered->at;
                ++by.recoveries;
                for (auto& [server, each] : by.removals)
                    each.due = each.due > now ? std::max(each.due, std::min(recovered->at, each.learntAt) + removalGrace) : each.due;
            }
            if (std::holds_alternative<outage_refuted>(action)) {
                by.recoveredAt.reset();
                --by.recoveries;
                for (auto& [server, each] : by.removals)
                    each.due = std::min(each.due, now);
            }
            by.outages += std::holds_alternative<store_lost>(action) ? 1 : 0;
            if (const auto* confirmed = std::get_if<basis_confirmed>(&action))
                by.basis = confirmed->at;
        }
    }

    void send(const vm_id& from, const vm_id& receiver, const message& content)
    {
        router& to = at(receiver);
        to.lastArrival = std::max(to.lastArrival, now + to.lateness);
        frames.push_back({ from, receiver, content, to.lastArrival });
    }

    result<rows_page> answerOf(const router& by, const read_table& asked) const
    {
        if (by.access == store_access::answers)
            return store.read(asked);
        return makeError(error_kind::unavailable, "down");
    }

    /// Answers the calls that are due. The store holds a call for changes until a row changes
    /// or its wait is over.
    void answerCalls()
    {
        std::deque<call> open;
        open.swap(calls);
        for (const call& each : open) {
            router& by = at(each.from);
            if (by.isFrozen)
                continue;
            const duration answerTime = std::max(by.lastArrival - each.at, storeTime + by.lateness);
            const bool isSilent = each.access == store_access::silent || answerTime >= silentCallTimeout;
            const bool mayAnswer = now - each.at >= (isSilent ? silentCallTimeout : answerTime);
            const result<rows_page> answer = isSilent ? makeError(error_kind::outcomeUnknown, "silent") : answerOf(by, each.asked);
            const bool isHeld = answer && answer->rows.empty() && now - each.at < storeTime + each.asked.wait;
            if (!mayAnswer || isHeld) {
                calls.push_back(each);
                continue;
            }
            perform(by, by.relay.onRead(now, each.asked.table, answer));
            perform(by, by.relay.onTick(now));
            by.dueAt = by.relay.nextDeadline(now);
        }
    }

    /// Closes the links of a router that is gone, as seen by the others.
    void closeLinksTo(const vm_id& gone)
    {
        for (const auto& each : routers)
            each->relay.onLinkClosed(gone);
    }

    void run(duration length)
    {
        const time_point end = now + length;
        while (now < end) {
            now += 20ms;
            answerCalls();
            std::deque<frame> due;
            due.swap(frames);
            for (const frame& each : due) {
                router& to = at(each.to);
                if (each.arrivesAt >= now) {
                    frames.push_back(each);
                    continue;
                }
                if (to.isFrozen)
                    continue;
                perform(to, to.relay.onMessage(now, { each.from, incarnation(1) }, each.content));
                to.dueAt = to.relay.nextDeadline(now);
            }
            for (const auto& each : routers) {
                if (each->isFrozen || each->dueAt > now)
                    continue;
                perform(*each, each->relay.onTick(now));
                each->dueAt = each->relay.nextDeadline(now);
            }
        }
    }

    struct frame {
        vm_id from;
        vm_id to;
        message content;
        time_point arrivesAt;
    };

    struct call {
        vm_id from;
        read_table asked;
        store_access access; ///< As of the start of the call.
        time_point at;
    };

    any_change rules;
    relay_limits limits;
    fake_store store;
    std::vector<std::unique_ptr<router>> routers;
    std::vector<fleet_router> members;
    std::deque<frame> frames;
    std::deque<call> calls;
    duration storeTime {}; ///< Time of an answer of the store; zero: within the same step.
    time_point now { 100s };
};

}
