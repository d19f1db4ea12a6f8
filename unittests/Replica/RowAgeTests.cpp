// The age of the rows that routers act on, whatever happens to the routers that read the store for them.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "Fixture.h"

using namespace pimentoladder;
using namespace pimentoladder::replica_test;

namespace {

/// Age of the rows that the platform allows.
constexpr duration maxRowAge = 2s;

/// What happens to a reader.
enum class reader_fault {
    none,
    dark, ///< Loses power: it says nothing more, and its links stay open.
    gone, ///< Its links close. It is still a member.
    refused, ///< The store refuses its calls.
    cut, ///< Its calls to the store get no answer.
    mute, ///< Its messages do not arrive, for example because a row does not fit in a frame.
};

constexpr std::array allFaults { reader_fault::none, reader_fault::dark, reader_fault::gone, reader_fault::refused, reader_fault::cut, reader_fault::mute };

bool canBeCurrent(reader_fault fault)
{
    return fault == reader_fault::none || fault == reader_fault::mute;
}

void apply(fleet& all, const vm_id& reader, reader_fault fault)
{
    router& harmed = all.at(reader);
    harmed.isFrozen = fault == reader_fault::dark || fault == reader_fault::gone;
    harmed.isMute = fault == reader_fault::mute;
    if (fault == reader_fault::gone)
        all.closeLinksTo(reader);
    if (fault == reader_fault::refused)
        harmed.access = store_access::refuses;
    if (fault == reader_fault::cut)
        harmed.access = store_access::silent;
}

/// Writes a configuration every 300 ms and returns the greatest age of a configuration that a
/// router still lacked. Only routers in \p checked count.
duration oldestMissing(fleet& all, const std::set<vm_id>& checked, duration length)
{
    std::vector<time_point> writtenAt;
    duration oldest {};
    const time_point end = all.now + length;
    int version = 1;
    while (all.now < end) {
        if (writtenAt.empty() || all.now - writtenAt.back() >= 300ms) {
            all.store.put(followed_table::operators, "config", std::to_string(++version));
            writtenAt.push_back(all.now);
        }
        all.run(20ms);
        for (const vm_id& each : checked) {
            const auto& rows = all.at(each).rows;
            const auto held = rows.find("config");
            const int known = held == rows.end() ? 1 : std::atoi(held->second.c_str());
            if (known < version)
                oldest = std::max(oldest, all.now - writtenAt[static_cast<std::size_t>(known - 1)]);
        }
    }
    return oldest;
}

/// Applies the fault at each index to the reader at that rank, and returns the greatest age of
/// a configuration that a router with a sound way to the store lacked meanwhile.
duration oldestAfter(fleet& all, const std::vector<reader_fault>& faults)
{
    all.storeTime = 20ms;
    all.run(3s);
    const std::vector<fleet_router> readers = all.routers.front()->relay.readers();
    std::set<vm_id> sound;
    for (const auto& each : all.routers)
        sound.insert(each->vm);
    for (std::size_t i = 0; i < std::min(readers.size(), faults.size()); ++i) {
        apply(all, readers[i].vm, faults[i]);
        if (!canBeCurrent(faults[i]))
            sound.erase(readers[i].vm);
    }
    return oldestMissing(all, sound, 7s);
}

}

// Guards against followers that try silent readers one after the other instead of reading the
// store: with two of four readers without power their rows were 3 s old.
TEST_CASE("rows are at most two seconds old whichever readers lose power")
{
    constexpr std::size_t readers = 4;
    for (const std::size_t size : { 8, 91, 295 }) {
        for (std::size_t subset = 0; subset < (1U << readers); ++subset) {
            CAPTURE(size);
            CAPTURE(subset);
            std::vector<reader_fault> faults;
            for (std::size_t i = 0; i < readers; ++i)
                faults.push_back((subset >> i & 1U) != 0 ? reader_fault::dark : reader_fault::none);
            fleet all(size, readers);
            CHECK(oldestAfter(all, faults) < maxRowAge);
        }
    }
}

// Guards against a wait that adds to the others for one kind of loss, or at one moment.
TEST_CASE("rows are at most two seconds old whatever happens to the readers")
{
    rc::check([] {
        const auto size = *rc::gen::elementOf(std::vector<std::size_t> { 8, 91 });
        const auto dataCentres = *rc::gen::elementOf(std::vector<std::size_t> { 1, 4, 6 });
        const auto faults = *rc::gen::container<std::vector<reader_fault>>(6, rc::gen::elementOf(std::vector<reader_fault>(allFaults.begin(), allFaults.end())));
        const auto startAt = *rc::gen::inRange(0, 60);
        fleet all(size, dataCentres);
        all.run(startAt * 20ms);
        RC_ASSERT(oldestAfter(all, faults) < maxRowAge);
    });
}

// Guards against a router that has just started and whose reader has lost the store: it waited for
// a dark one, since the time to connect to readers was added to the age of its rows.
TEST_CASE("rows of a router that has just started are at most two seconds old")
{
    for (int phase = 0; phase < 40; ++phase) {
        CAPTURE(phase);
        fleet all(8, 4);
        all.storeTime = 20ms;
        all.run(3s);
        const std::vector<fleet_router> readers = all.routers.front()->relay.readers();
        std::size_t follower = 0;
        while (std::any_of(readers.begin(), readers.end(), [&](const fleet_router& each) { return each.vm == all.routers[follower]->vm; }))
            ++follower;
        all.restart(follower);
        const router& started = *all.routers[follower];
        all.run(40ms + phase * 20ms);
        for (const fleet_router& each : readers)
            apply(all, each.vm, each.vm == started.relay.source() ? reader_fault::refused : reader_fault::dark);
        duration oldest {};
        for (const time_point end = all.now + 5s; all.now < end; all.run(20ms)) {
            if (started.basis > started.startedAt - maxRowAge)
                oldest = std::max(oldest, all.now - started.basis);
        }
        CHECK(oldest < maxRowAge);
    }
}

// Guards against routers that wait for up to 9.6 s before they read the store again, because
// their own reads failed in an outage and no reader is alive.
TEST_CASE("rows are current three seconds after an outage although all readers are gone for good")
{
    for (const std::size_t size : { 8, 91, 295 }) {
        CAPTURE(size);
        fleet all(size, 4);
        all.storeTime = 20ms;
        all.run(3s);
        std::set<vm_id> left;
        for (const auto& each : all.routers)
            left.insert(each->vm);
        for (const fleet_router& each : all.routers.front()->relay.readers()) {
            apply(all, each.vm, reader_fault::gone);
            left.erase(each.vm);
        }
        all.run(5s);
        for (const auto& each : all.routers)
            each->access = store_access::refuses;
        all.run(12s);
        for (const auto& each : all.routers)
            each->access = store_access::answers;
        all.run(3s);
        CHECK(oldestMissing(all, left, 5s) < maxRowAge);
    }
}

// Guards against a bound on the age that is bought with calls to the store: most of the routers
// are without power, and the others must not ask more often than the readers did.
TEST_CASE("calls to the store stay few when most of the routers lose power")
{
    fleet all(295, 6);
    all.storeTime = 20ms;
    all.run(3s);
    const std::vector<fleet_router> readers = all.routers.front()->relay.readers();
    for (std::size_t i = 0; i < all.routers.size(); ++i)
        all.routers[i]->isFrozen = i % 5 < 3;
    for (std::size_t i = 0; i < readers.size(); ++i)
        all.at(readers[i].vm).isFrozen = i < 4;
    for (const auto& each : all.routers)
        each->reads = 0;
    all.run(5s);
    std::uint64_t reads = 0;
    for (const auto& each : all.routers)
        reads += each->reads;
    // 118 routers with two tables, in 5 s; the store answers 2,000 calls a second.
    CHECK(reads < 118 * 2 * 5);
}

// Guards against readers that are taken for lost while they only answer late, which would move
// all their followers to another one.
TEST_CASE("a late reader keeps its followers")
{
    fleet all(91, 4);
    all.run(3s);
    const vm_id late = all.routers.front()->relay.readers().front().vm;
    const auto followers = [&] {
        return std::count_if(all.routers.begin(), all.routers.end(), [&](const auto& each) { return each->relay.source() == late; });
    };
    const auto before = followers();
    REQUIRE(before > 10);
    for (int i = 0; i < 5; ++i) {
        all.at(late).isFrozen = true;
        all.run(600ms);
        all.at(late).isFrozen = false;
        all.run(400ms);
    }
    CHECK(followers() == before);
}

// Guards against routers that wait for up to 9.6 s before they read the store again, because
// readers that have no rows themselves still answer (review/8).
TEST_CASE("rows are current three seconds after the store serves a router again although its readers are still rejected")
{
    for (const std::size_t size : { 28, 295 }) {
        for (int rejectedFor = 40; rejectedFor <= 90; rejectedFor += 5) {
            CAPTURE(size);
            CAPTURE(rejectedFor);
            fleet all(size, 3);
            all.storeTime = 20ms;
            all.run(3s);
            for (const fleet_router& each : all.routers.front()->relay.readers())
                apply(all, each.vm, reader_fault::refused);
            std::set<vm_id> returning;
            for (std::size_t i = 0; returning.size() < 6; ++i) {
                if (all.routers[i]->access != store_access::answers)
                    continue;
                all.routers[i]->access = store_access::refuses;
                returning.insert(all.routers[i]->vm);
            }
            all.run(rejectedFor * 100ms);
            for (const vm_id& each : returning)
                all.at(each).access = store_access::answers;
            all.run(3s);
            CHECK(oldestMissing(all, returning, 5s) < maxRowAge);
        }
    }
}

// Guards against a single rejected read, at a router whose readers have no rows, that is retried only
// once the rows are too old.
TEST_CASE("rows of a router that reads the store alone stay current when a read is rejected")
{
    fleet all(28, 3);
    all.storeTime = 20ms;
    all.run(3s);
    for (const fleet_router& each : all.routers.front()->relay.readers())
        apply(all, each.vm, reader_fault::refused);
    all.run(4s);
    for (int i = 0; i < 20; ++i) {
        for (const auto& each : all.routers) {
            if (each->access != store_access::answers)
                continue;
            each->access = store_access::refuses;
            all.run(200ms);
            each->access = store_access::answers;
            CHECK(oldestMissing(all, { each->vm }, 2s) < maxRowAge);
            break;
        }
        all.run(60ms);
    }
}

// Guards against a bounded pause between own reads that the largest fleet pays for with calls.
TEST_CASE("calls to a store that is down are less than a tenth of what it answers")
{
    fleet all(295, 6);
    all.storeTime = 20ms;
    all.run(3s);
    for (const auto& each : all.routers) {
        each->access = store_access::refuses;
        each->reads = 0;
    }
    all.run(10s);
    std::uint64_t reads = 0;
    for (const auto& each : all.routers)
        reads += each->reads;
    // The store answers 2,000 calls a second.
    CHECK(reads < 200 * 10);
}
