/// \file
/// Simulated fleet of routers with their relays, without sockets.

#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pimentoladder/Replica/RowRelay.h"

namespace pimentoladder::replica_test {

using namespace std::chrono_literals;

/// Returns a position in the first era.
inline store_position at(std::uint64_t position)
{
    return { store_era(), revision(position) };
}

/// Treats every change of a value as significant.
class any_change final : public row_significance {
public:
    bool isSignificant(std::uint32_t, const published_row& before, const published_row& after) const override
    {
        return before.value != after.value;
    }
};

/// In-memory store that responds immediately.
struct fake_store {
    revision newest { 1 };
    std::array<std::map<std::string, published_row>, followedTableCount> tables;

    void put(followed_table table, const std::string& key, const std::string& value)
    {
        newest = revision(newest.value() + 1);
        tables[static_cast<std::size_t>(table)][key] = { key, value, { {}, newest }, false };
    }

    rows_page read(const read_table& asked) const
    {
        rows_page page;
        page.newest = newest;
        for (const auto& [key, row] : tables[static_cast<std::size_t>(asked.table)]) {
            if (asked.isWhole || row.position > asked.since)
                page.rows.push_back(row);
        }
        return page;
    }
};

/// One simulated router.
struct router {
    explicit router(const std::string& name, const row_significance& significance)
        : vm(name)
        , relay(vm, data_centre_id("a"), significance, {}, 1)
    {
    }

    vm_id vm;
    row_relay relay;
    bool reachesStore = true;
    bool isFrozen = false;
    std::map<std::string, std::string> rows; ///< Rows of the operators' table, from `row_changed` actions.
    time_point basis;
    std::uint64_t reads = 0;
    std::uint64_t sourceChanges = 0; ///< Number of `source_changed` actions.
    time_point dueAt; ///< Next deadline, updated after each event like the event loop's timer.
};

/// Fleet of routers on a simulated clock that advances in steps of 20 ms.
struct fleet {
    explicit fleet(std::size_t size)
    {
        std::vector<fleet_router> members;
        for (std::size_t i = 0; i < size; ++i) {
            routers.push_back(std::make_unique<router>("router-" + std::to_string(i), significance));
            members.push_back({ routers.back()->vm, incarnation(1), data_centre_id("a"), { "127.0.0.1", 1 } });
        }
        for (const auto& each : routers) {
            each->relay.setMembers(members);
            for (const fleet_router& peer : each->relay.readers()) {
                if (peer.vm == each->vm)
                    continue;
                each->relay.onLinkOpened(peer.vm);
                at(peer.vm).relay.onLinkOpened(each->vm);
            }
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
                const result<rows_page> answer = by.reachesStore ? result<rows_page>(store.read(*read)) : makeError(error_kind::unavailable, "down");
                perform(by, by.relay.onRead(now, read->table, answer));
            }
            if (std::holds_alternative<source_changed>(action))
                ++by.sourceChanges;
            if (const auto* sent = std::get_if<send_to_router>(&action))
                frames.push_back({ by.vm, sent->to, sent->content });
            if (const auto* changed = std::get_if<row_changed>(&action); changed && changed->table == followed_table::operators) {
                if (changed->row.isDeleted)
                    by.rows.erase(changed->row.key);
                else
                    by.rows[changed->row.key] = changed->row.value;
            }
            if (const auto* confirmed = std::get_if<basis_confirmed>(&action))
                by.basis = confirmed->at;
        }
    }

    void run(duration length)
    {
        const time_point end = now + length;
        while (now < end) {
            now += 20ms;
            std::deque<frame> due;
            due.swap(frames);
            for (const frame& each : due) {
                router& to = at(each.to);
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
    };

    any_change significance;
    fake_store store;
    std::vector<std::unique_ptr<router>> routers;
    std::deque<frame> frames;
    time_point now { 100s };
};

}
