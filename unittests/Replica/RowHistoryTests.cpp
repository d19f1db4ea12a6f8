// Drawn histories of restarts, outages, removals and changes of the readers, in virtual time.

#include <cstdlib>
#include <random>
#include <sstream>

#include <doctest/doctest.h>

#include "Fixture.h"

using namespace pimentoladder;
using namespace pimentoladder::replica_test;

namespace {

/// Age of the rows that the platform allows, and time until a removal is in force.
constexpr duration maxRowAge = 2s;
/// Time after a disruption of a router or of the store from which the bounds hold for it.
constexpr duration stableWindow = 3s;
/// Shortest outage in which registrations expire.
constexpr duration expiryOutage = 2400ms;
constexpr duration checkInterval = 100ms;
constexpr duration historyLength = 14s;

/// A value of a row from a point in time on; nothing: the row is absent.
struct written_value {
    time_point at;
    std::optional<std::string> value;
};

/// What disturbs the routers besides outages of the store and rejections.
enum class disturbance {
    restarts, ///< Restarts, changes of the members and restorations of the store.
    slowLinks, ///< What is sent to some routers waits on their links.
};

class row_history {
public:
    row_history(std::uint64_t seed, std::size_t size, std::size_t dataCentres, disturbance kind)
        : m_fleet(size, dataCentres)
        , m_draw(seed)
        , m_servers(8 + size / 10)
        , m_kind(kind)
        , m_slowLinks(size)
    {
        m_fleet.storeTime = 20ms;
        for (std::size_t i = 0; i < m_servers; ++i)
            putServer(nameOf(i));
        putConfiguration();
        m_fleet.run(4s);
        m_rejectedUntil.resize(size);
        m_stableFrom.resize(size);
        m_darkUntil.resize(size);
    }

    /// Plays the history and returns its violations.
    std::string play()
    {
        const time_point end = m_fleet.now + historyLength;
        while (m_fleet.now < end) {
            if (m_fleet.now + 4s < end)
                disturb();
            step();
        }
        // Nothing is disturbed any more.
        const duration hold = m_isRestored ? relay_limits().restoredHold + 10s : duration::zero();
        for (const time_point calm = m_fleet.now + stableWindow + maxRowAge + hold; m_fleet.now < calm;)
            step();
        for (const auto& each : m_fleet.routers)
            compareWithStore(*each);
        return m_findings.str();
    }

private:
    using events = std::vector<written_value>;

    double chance() { return std::uniform_real_distribution<double>(0, 1)(m_draw); }
    duration between(duration from, duration to) { return from + std::chrono::duration_cast<duration>((to - from) * chance()); }
    std::size_t anyOf(std::size_t size) { return std::uniform_int_distribution<std::size_t>(0, size - 1)(m_draw); }
    static std::string nameOf(std::size_t server) { return "server-" + std::to_string(server); }
    bool isDown() const { return m_fleet.now < m_downUntil; }
    router& routerAt(std::size_t index) { return *m_fleet.routers[index]; }

    void putServer(const std::string& name)
    {
        const std::string value = std::to_string(++m_writes);
        m_fleet.store.put(followed_table::servers, name, value);
        m_events[name].push_back({ m_fleet.now, value });
    }

    void putConfiguration()
    {
        const std::string value = std::to_string(++m_writes);
        m_fleet.store.put(followed_table::operators, "config", value);
        m_events["config"].push_back({ m_fleet.now, value });
    }

    void removeServer(const std::string& name)
    {
        m_fleet.store.remove(followed_table::servers, name);
        m_events[name].push_back({ m_fleet.now, std::nullopt });
    }

    /// Draws what happens at this moment.
    void disturb()
    {
        const double rate = std::chrono::duration<double>(checkInterval).count();
        if (chance() < 0.25 * rate && !isDown() && m_expired.empty())
            startOutage();
        if (chance() < 0.3 * rate)
            rejectSome();
        if (m_kind == disturbance::slowLinks && chance() < 0.5 * rate)
            slowSome();
        if (m_kind == disturbance::restarts && chance() < 0.4 * rate)
            restartSome();
        if (m_kind == disturbance::restarts && chance() < 0.2 * rate)
            changeMembers();
        if (isDown())
            return;
        if (m_kind == disturbance::restarts && chance() < 0.03 * rate && !m_isRestored)
            restoreStore();
        if (chance() < 0.3 * rate)
            m_copy = m_fleet.store;
        if (chance() < 2 * rate)
            putConfiguration();
        if (chance() < 3 * rate)
            changeServer(nameOf(anyOf(m_servers)));
    }

    void changeServer(const std::string& name)
    {
        const bool isPresent = m_events[name].back().value.has_value();
        if (isPresent && chance() < 0.6 && !m_expired.contains(name)) {
            removeServer(name);
            if (m_fleet.now >= m_stableStoreFrom)
                m_left[name] = m_fleet.now;
        } else if (!m_expired.contains(name)) {
            m_left.erase(name);
            putServer(name);
        }
    }

    /// The store is down for all, also for the servers that report to it.
    void startOutage()
    {
        const duration length = between(100ms, 6s);
        m_downUntil = m_fleet.now + length;
        m_stableStoreFrom = m_downUntil + stableWindow;
        m_left.clear();
        if (length < expiryOutage)
            return;
        for (std::size_t i = 0; i < m_servers; ++i) {
            const std::string name = nameOf(i);
            if (!m_events[name].back().value || chance() < 0.5)
                continue;
            m_expired[name] = m_downUntil + between(100ms, 1800ms);
            for (const auto& each : m_fleet.routers) {
                const auto held = each->servers.find(name);
                const bool isCurrent = held != each->servers.end() && held->second == m_events[name].back().value;
                if (isCurrent && !each->isFrozen && m_fleet.now - each->startedAt > stableWindow)
                    m_mustKeep[name].insert(each->vm);
            }
        }
        m_expiresAt = m_downUntil - 40ms;
    }

    /// The store rejects some routers, often all readers among them.
    void rejectSome()
    {
        const double share = chance() * 0.4;
        const time_point until = m_fleet.now + between(100ms, 6s);
        const bool hasReaders = chance() < 0.5;
        const auto how = chance() < 0.7 ? store_access::refuses : store_access::silent;
        for (std::size_t i = 0; i < m_fleet.routers.size(); ++i) {
            const bool isChosen = (hasReaders && isReader(i)) || chance() < share;
            // Routers with slow links have the rows from the readers only.
            if (!isChosen || (m_kind == disturbance::slowLinks && isReader(i)))
                continue;
            m_rejectedUntil[i] = until;
            m_rejectedHow = how;
        }
    }

    /// What is sent to some routers that are no readers waits on their links for a while.
    void slowSome()
    {
        const double share = chance() * 0.4;
        const duration rise = between(200ms, 4s);
        const slow_link link { between(100ms, 6s), rise, rise + between(200ms, 5s) };
        for (std::size_t i = 0; i < m_fleet.routers.size(); ++i) {
            const bool isSlow = m_fleet.now < m_slowLinks[i].from + m_slowLinks[i].link.length;
            if (!isSlow && !isReader(i) && chance() < share)
                m_slowLinks[i] = { m_fleet.now, link };
        }
    }

    /// Returns the greatest time for which what this router has received lately waited.
    duration lateness(std::size_t index) const
    {
        const auto& [from, link] = m_slowLinks[index];
        return m_fleet.now < from + link.length + link.peak + stableWindow + maxRowAge ? link.peak : duration::zero();
    }

    void restartSome()
    {
        const double share = chance() * 0.6;
        const bool hasReaders = chance() < 0.5;
        const time_point until = m_fleet.now + between(140ms, 3s);
        for (std::size_t i = 0; i < m_fleet.routers.size(); ++i) {
            const bool isChosen = (hasReaders && isReader(i)) || chance() < share;
            if (!isChosen || routerAt(i).isFrozen)
                continue;
            routerAt(i).isFrozen = true;
            m_fleet.closeLinksTo(routerAt(i).vm);
            m_darkUntil[i] = until;
            for (auto& [name, keeping] : m_mustKeep)
                keeping.erase(routerAt(i).vm);
        }
    }

    bool isReader(std::size_t index)
    {
        const auto& readers = m_fleet.routers.front()->relay.readers();
        return std::any_of(readers.begin(), readers.end(), [&](const fleet_router& each) { return each.vm == routerAt(index).vm; });
    }

    /// Some routers are no members for a while, so that others read the store for them.
    void changeMembers()
    {
        std::vector<fleet_router> members = m_fleet.members;
        std::shuffle(members.begin(), members.end(), m_draw);
        members.resize(std::max<std::size_t>(1, members.size() - anyOf(members.size())));
        for (const auto& each : m_fleet.routers)
            each->relay.setMembers(members);
        for (const auto& each : m_fleet.routers) {
            if (!each->isFrozen)
                m_fleet.connect(*each);
        }
    }

    /// Replaces the store's contents with an earlier copy. Until the routers accept these, which
    /// takes a minute, they may go on with newer rows.
    void restoreStore()
    {
        if (!m_copy)
            return;
        m_isRestored = true;
        m_fleet.store.restoreFrom(*m_copy);
        for (auto& [key, written] : m_events) {
            const auto table = static_cast<std::size_t>(key == "config" ? followed_table::operators : followed_table::servers);
            const auto held = m_fleet.store.tables[table].find(key);
            const bool isPresent = held != m_fleet.store.tables[table].end() && !held->second.isDeleted;
            written.push_back({ m_fleet.now, isPresent ? std::optional(held->second.value) : std::nullopt });
        }
    }

    void step()
    {
        const time_point next = m_fleet.now + checkInterval;
        while (m_fleet.now < next) {
            if (m_expiresAt && m_fleet.now >= *m_expiresAt) {
                for (const auto& [name, backAt] : m_expired)
                    removeServer(name);
                m_expiresAt.reset();
            }
            if (!m_expiresAt && !isDown())
                restoreExpired();
            // A router cannot tell an outage for all from one for some that goes on: then the bound
            // on removals goes before servers that expired.
            if (!isDown() && std::any_of(m_rejectedUntil.begin(), m_rejectedUntil.end(), [&](time_point until) { return m_fleet.now < until; }))
                m_mustKeep.clear();
            for (std::size_t i = 0; i < m_fleet.routers.size(); ++i)
                updateRouter(i);
            m_fleet.run(20ms);
        }
        for (std::size_t i = 0; i < m_fleet.routers.size(); ++i)
            check(routerAt(i), i);
    }

    void restoreExpired()
    {
        for (auto each = m_expired.begin(); each != m_expired.end();) {
            if (m_fleet.now < each->second) {
                ++each;
                continue;
            }
            putServer(each->first);
            m_mustKeep.erase(each->first);
            each = m_expired.erase(each);
        }
    }

    void updateRouter(std::size_t index)
    {
        if (routerAt(index).isFrozen && m_fleet.now >= m_darkUntil[index])
            m_fleet.restart(index);
        const bool isRejected = isDown() || m_fleet.now < m_rejectedUntil[index];
        routerAt(index).lateness = m_slowLinks[index].link.at(m_fleet.now - m_slowLinks[index].from);
        routerAt(index).access = isRejected ? (isDown() ? store_access::refuses : m_rejectedHow) : store_access::answers;
        if (isRejected || routerAt(index).isFrozen)
            m_stableFrom[index] = m_fleet.now + stableWindow;
    }

    void report(const router& at, const std::string& what)
    {
        if (m_findings.tellp() < 2000)
            m_findings << std::chrono::duration<double>(m_fleet.now - time_point(100s)).count() << " s, " << at.vm.value() << ": " << what << "\n";
    }

    void check(const router& each, std::size_t index)
    {
        if (each.isFrozen || m_isRestored)
            return;
        const bool isConfirmed = each.basis > each.startedAt;
        for (const auto& [key, written] : m_events) {
            if (isConfirmed)
                checkJustified(each, key, written);
        }
        for (const auto& [name, keeping] : m_mustKeep) {
            if (keeping.contains(each.vm) && !each.hasInForce(name, m_fleet.now))
                report(each, name + " expired in an outage and is removed before it can register again");
        }
        const bool isStable = m_fleet.now >= m_stableFrom[index] && m_fleet.now >= m_stableStoreFrom;
        if (!isStable)
            return;
        if (m_fleet.now - each.basis >= maxRowAge + lateness(index))
            report(each, "rows are " + std::to_string(std::chrono::duration<double>(m_fleet.now - each.basis).count()) + " s old");
        for (const auto& [name, at] : m_left) {
            if (m_fleet.now - at >= maxRowAge + lateness(index) && each.hasInForce(name, m_fleet.now))
                report(each, name + " is in force " + std::to_string(std::chrono::duration<double>(m_fleet.now - at).count()) + " s after its removal");
        }
    }

    /// A row must have had the value that the router holds at the time as of which its rows are
    /// confirmed, or later.
    void checkJustified(const router& each, const std::string& key, const events& written)
    {
        const auto& rows = key == "config" ? each.rows : each.servers;
        const auto held = rows.find(key);
        const std::optional<std::string> value = held == rows.end() ? std::nullopt : std::optional(held->second);
        for (std::size_t i = written.size(); i-- > 0;) {
            if (written[i].value == value)
                return;
            if (written[i].at < each.basis)
                break;
        }
        report(each, key + " has " + value.value_or("no value") + ", which was replaced before the rows were confirmed");
    }

    void compareWithStore(const router& each)
    {
        for (const auto& [key, written] : m_events) {
            const auto& rows = key == "config" ? each.rows : each.servers;
            const auto held = rows.find(key);
            const std::optional<std::string> value = held == rows.end() ? std::nullopt : std::optional(held->second);
            if (value != written.back().value)
                report(each, key + " has " + value.value_or("no value") + " at the end, and " + written.back().value.value_or("no value") + " in the store");
        }
    }

    /// A router's slow link, and since when it is slow.
    struct slow_span {
        time_point from;
        slow_link link;
    };

    fleet m_fleet;
    std::mt19937_64 m_draw;
    std::size_t m_servers;
    disturbance m_kind;
    std::vector<slow_span> m_slowLinks; ///< By router.
    std::uint64_t m_writes = 0;
    std::map<std::string, events> m_events; ///< By key, in order.
    std::map<std::string, time_point> m_left; ///< Servers that left while the store was stable, and when.
    std::map<std::string, time_point> m_expired; ///< When each server that expired in an outage registers again.
    std::map<std::string, std::set<vm_id>> m_mustKeep; ///< Routers at which each of them must stay in force until then.
    std::optional<time_point> m_expiresAt;
    std::optional<fake_store> m_copy; ///< An earlier state of the store.
    bool m_isRestored = false;
    time_point m_downUntil;
    time_point m_stableStoreFrom;
    store_access m_rejectedHow = store_access::refuses;
    std::vector<time_point> m_rejectedUntil;
    std::vector<time_point> m_stableFrom;
    std::vector<time_point> m_darkUntil;
    std::ostringstream m_findings;
};

/// Number of seeds, multiplied by PIMENTOLADDER_HISTORY_SEEDS for long runs by hand.
std::uint64_t seedCount(std::uint64_t count)
{
    const char* factor = std::getenv("PIMENTOLADDER_HISTORY_SEEDS");
    return factor ? count * std::strtoull(factor, nullptr, 10) : count;
}

std::size_t playSeed(std::uint64_t seed, std::size_t size, std::size_t dataCentres, disturbance kind = disturbance::restarts)
{
    CAPTURE(seed);
    CAPTURE(size);
    const std::string findings = row_history(seed, size, dataCentres, kind).play();
    CHECK(findings == "");
    return findings.empty() ? 0 : 1;
}

void playSeeds(std::uint64_t count, std::size_t size, std::size_t dataCentres, disturbance kind = disturbance::restarts)
{
    std::size_t failed = 0;
    for (std::uint64_t seed = 1; seed <= seedCount(count); ++seed)
        failed += playSeed(seed, size, dataCentres, kind);
    MESSAGE(size, " routers: ", failed, " of ", seedCount(count), " histories with findings");
}

}

// Guards against deleted rows that a router keeps, rows older than the bound, removals that come
// into force too late, and servers that are lost after an outage.
TEST_CASE("no history of restarts and outages leaves a router with wrong or old rows")
{
    playSeeds(60, 3, 1);
    playSeeds(30, 28, 3);
    playSeeds(3, 295, 6);
}

// Guards against removals that come into force too late after the store was down for some
// routers and served a follower again shortly before the readers.
TEST_CASE("a removal is in force in time although disruptions of some routers overlap" * doctest::test_suite("overlapping rejections"))
{
    for (const std::uint64_t seed : { 150, 519, 607, 632, 788, 905, 1097 })
        playSeed(seed, 28, 3);
    playSeed(13, 295, 6);
}

// Guards against slow links that are taken for outages, so that removals come into force too late or servers are lost.
TEST_CASE("no history of slow links and outages leaves a router with wrong or old rows" * doctest::test_suite("slow links"))
{
    playSeeds(30, 28, 3, disturbance::slowLinks);
}
