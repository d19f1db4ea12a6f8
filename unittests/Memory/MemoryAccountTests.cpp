#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "pimentoladder/Memory/MemoryAccount.h"

using namespace pimentoladder;

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;
constexpr std::size_t smallestMachine = 120 * mebibyte;
constexpr std::size_t largestBody = 4 * mebibyte;

/// Callers whose requests are read, kept and answered in any order.
struct crowd {
    struct caller {
        std::unique_ptr<memory_room> room;
        std::size_t received = 0;
        std::size_t announced = 0; ///< 0: the body is chunked.
        bool isComplete = false;
    };

    explicit crowd(std::size_t memory, std::size_t count)
        : account(std::make_shared<memory_account>(memoryLimitsFor(memory)))
        , callers(count)
    {
    }

    /// Reads \p bytes of a caller's request, after others have given way if there is no room.
    bool read(std::size_t index, std::size_t bytes)
    {
        caller& from = callers[index];
        if (from.isComplete)
            return true;
        if (!from.room)
            from.room = std::make_unique<memory_room>(account, caller_number(index + 1));
        const std::size_t received = from.received + bytes;
        while (!from.room->resize(now, received, std::max(received, from.announced))) {
            const auto stalled = account->findStalled(now, caller_number(index + 1));
            if (!stalled) {
                callers[index] = {};
                return false;
            }
            callers[stalled->value() - 1] = {};
        }
        from.received = received;
        return true;
    }

    std::size_t sumOfRooms() const
    {
        std::size_t sum = 0;
        for (const caller& each : callers)
            sum += each.room ? each.room->bytes() : 0;
        return sum;
    }

    std::shared_ptr<memory_account> account;
    std::vector<caller> callers;
    time_point now;
};

}

// Guards against a process that exceeds its memory because many requests, each within its own
// limit, are read, stop, and are kept for retries.
TEST_CASE("requests of many callers together never hold more than the limit")
{
    const bool holds = rc::check([] {
        crowd all(smallestMachine, *rc::gen::inRange<std::size_t>(1, 300));
        const auto steps = *rc::gen::inRange(1, 400);
        for (int step = 0; step < steps; ++step) {
            const auto index = *rc::gen::inRange<std::size_t>(0, all.callers.size());
            crowd::caller& chosen = all.callers[index];
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                chosen = {};
                chosen.announced = *rc::gen::inRange<std::size_t>(0, largestBody);
                break;
            case 1:
                if (chosen.room)
                    chosen.room->complete();
                chosen.isComplete = chosen.room != nullptr;
                break;
            case 2:
                all.now += std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
                break;
            default:
                all.read(index, *rc::gen::inRange<std::size_t>(1, mebibyte));
            }
            const memory_account& account = *all.account;
            RC_ASSERT(account.held() <= account.limits().total);
            RC_ASSERT(account.held() == all.sumOfRooms());
            RC_ASSERT(account.held(memory_holder::reading) + account.held(memory_holder::requests) == account.held());
        }
        all.callers.clear();
        RC_ASSERT(all.account->held() == 0);
    });
    CHECK(holds);
}

// Guards against limits under which a legal request is never served, not even alone.
TEST_CASE("a single request of the largest legal size is admitted in calm on the smallest machine")
{
    const bool holds = rc::check([] {
        crowd all(smallestMachine, 1);
        all.callers[0].announced = *rc::gen::element<std::size_t>(0, largestBody);
        std::size_t left = largestBody;
        while (left > 0) {
            const std::size_t bytes = std::min(left, *rc::gen::inRange<std::size_t>(1, mebibyte));
            RC_ASSERT(all.read(0, bytes));
            left -= bytes;
        }
    });
    CHECK(holds);
}

// Guards against a crowd of large requests, kept while they run, that leaves no room for ordinary ones.
TEST_CASE("ordinary requests find room beside large ones that are kept")
{
    crowd all(smallestMachine, 200);
    for (std::size_t i = 0; i < 100; ++i) {
        all.callers[i].announced = largestBody;
        if (all.read(i, largestBody))
            all.callers[i].room->complete();
        all.callers[i].isComplete = all.callers[i].room != nullptr;
    }
    CHECK_FALSE(all.callers[99].room);
    for (std::size_t i = 100; i < 200; ++i)
        CHECK(all.read(i, 100000));
}

// Guards against requests that stop short of their end and hold their room for as long as the
// time limits of a connection allow.
TEST_CASE("requests that stall give way to others, and those that progress do not")
{
    crowd all(smallestMachine, 1000);
    all.callers[0].announced = largestBody;
    REQUIRE(all.read(0, mebibyte));
    for (std::size_t i = 1; i < 999; ++i)
        static_cast<void>(all.read(i, 100000));
    CHECK_FALSE(all.read(999, 100000));
    all.now += all.account->limits().stallTime;
    REQUIRE(all.read(0, memory_account::progressBytes));
    CHECK(all.read(999, 100000));
    CHECK(all.callers[0].room);
    CHECK_FALSE(all.callers[1].room);
}

// Guards against a caller that holds its room by sending a byte now and then.
TEST_CASE("a byte now and then is no progress")
{
    crowd all(2 * mebibyte, 3);
    all.callers[0].announced = mebibyte / 2;
    REQUIRE(all.read(0, 1000));
    all.now += all.account->limits().stallTime;
    REQUIRE(all.read(0, 1));
    all.callers[1].announced = mebibyte / 2;
    CHECK(all.read(1, 1000));
    CHECK_FALSE(all.callers[0].room);
}

// Guards against answers that callers do not take and input behind running requests that are left
// out of the sum.
TEST_CASE("input and answers leave less room for requests")
{
    crowd all(smallestMachine, 1);
    all.account->count(memory_holder::answers, 0, all.account->limits().total / 2 - mebibyte);
    all.callers[0].announced = largestBody;
    CHECK_FALSE(all.read(0, 1));
    CHECK_FALSE(all.account->shouldDiscardInput(mebibyte));
    all.account->count(memory_holder::input, 0, 2 * mebibyte);
    CHECK(all.account->shouldDiscardInput(mebibyte));
    CHECK_FALSE(all.account->shouldDiscardInput(memory_account::pressedInputBytes));
}
