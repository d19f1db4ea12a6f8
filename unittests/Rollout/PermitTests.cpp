#include <doctest/doctest.h>

#include "pimentoladder/Rollout/RolloutCoordinator.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

constexpr time_point start { 1000s };
const pool_id chat("chat");
const rollout_order order { chat, "v2", 12s };

rollout_permit permitOf(std::uint64_t token, std::uint64_t sequence, double share, revision at = revision(7))
{
    return { chat, at, fencing_token(token), sequence, rollout_state::inProgress, share, 0ms };
}

class follower {
public:
    rollout_coordinator core { vm_id("z"), incarnation(1), {} };

    follower()
    {
        core.setReaders({ vm_id("a"), vm_id("b") }, 8);
        core.onOrder(start - 300ms, revision(7), order);
        runTo(start);
    }

    void runTo(time_point end)
    {
        for (; m_now <= end; m_now += 50ms)
            core.onTick(m_now);
    }

    double shareAt(time_point now) const
    {
        const rollout_permits known = core.permits(now);
        return known.entries.empty() ? -1 : known.entries.front().share;
    }

private:
    time_point m_now = start - 250ms;
};

}

// Guards against a former owner's permit that arrives after its successor's.
TEST_CASE("a permit with a lower token or sequence does not replace a newer one")
{
    follower router;
    router.core.onPermits(start, { { permitOf(2, 1, 0.1) } });
    router.core.onPermits(start, { { permitOf(1, 9, 1) } });
    CHECK(router.shareAt(start) == 0.1);
    router.core.onPermits(start, { { permitOf(2, 2, 0.3) } });
    router.core.onPermits(start, { { permitOf(2, 1, 0.1) } });
    CHECK(router.shareAt(start) == 0.3);
}

// Guards against a router that is cut off and goes on with its last permit.
TEST_CASE("a permit in progress ends at its lifetime, counted from its owner's commit")
{
    follower router;
    rollout_permit aged = permitOf(1, 1, 0.5);
    aged.age = 400ms;
    router.core.onPermits(start, { { aged } });
    CHECK(router.core.permits(start + 1s).entries.front().age == 1400ms);
    CHECK(router.shareAt(start + 1100ms) == -1);
    aged.age = 200ms;
    router.runTo(start + 1100ms);
    router.core.onPermits(start + 1100ms, { { aged } });
    CHECK(router.shareAt(start + 1100ms) == 0.5);
}

// Guards against a router that was paused and takes the permits that waited meanwhile for fresh.
TEST_CASE("a permit that waited while its receiver was paused counts the pause")
{
    follower router;
    router.core.onPermits(start + 4s, { { permitOf(1, 1, 0.5) } });
    CHECK(router.shareAt(start + 4s) == -1);
    router.core.onTick(start + 4100ms);
    router.core.onTick(start + 4200ms);
    router.core.onPermits(start + 4300ms, { { permitOf(1, 1, 0.5) } });
    CHECK(router.shareAt(start + 4300ms) == 0.5);
}

// Guards against traffic that returns to the old servers after they have stopped.
TEST_CASE("a final permit never ends and is not replaced")
{
    follower router;
    rollout_permit final = permitOf(1, 4, 1);
    final.state = rollout_state::completed;
    router.core.onPermits(start, { { final } });
    router.core.onPermits(start + 1s, { { permitOf(2, 1, 0) } });
    CHECK(router.shareAt(start + 1h) == 1);
    CHECK(router.core.permits(start + 1h).entries.front().age == 0ms);
    CHECK_FALSE(router.core.isActive());
}

// Guards against a permit that overtakes the order it belongs to, and one of the order before.
TEST_CASE("a permit is used for its own order only, and kept until that order is known")
{
    follower router;
    router.core.onPermits(start, { { permitOf(1, 1, 0.1), permitOf(2, 1, 0.2, revision(9)) } });
    CHECK(router.shareAt(start) == 0.1);
    router.core.onOrder(start + 100ms, revision(9), order);
    CHECK(router.shareAt(start + 100ms) == 0.2);
    router.core.onPermits(start + 100ms, { { permitOf(5, 1, 0.9) } });
    CHECK(router.shareAt(start + 100ms) == 0.2);
    router.core.onOrderRemoved(start + 200ms, chat);
    CHECK(router.shareAt(start + 200ms) == -1);
}

// Guards against a router that has restarted after the end, when nobody renews any more.
TEST_CASE("a final row that is read gives the final permit")
{
    follower router;
    const rollout_record record { chat, revision(7), "v2", vm_id("a"), incarnation(1), fencing_token(3), 9, rollout_state::reverted, 0, 4s };
    router.core.onRead(start, std::vector { std::pair(record, revision(20)) });
    CHECK(router.core.permits(start + 1h).entries.front().state == rollout_state::reverted);
}

// Guards against a permit that goes in a circle between routers and looks younger with each hop.
TEST_CASE("a permit of another owner is not sent back to the readers, a final one is")
{
    follower router;
    router.core.setReaders({ vm_id("reader") }, 3);
    router.core.onPermits(start, { { permitOf(1, 1, 0.5) } });
    CHECK(router.core.permits(start).entries.size() == 1);
    CHECK(router.core.permitsForReaders(start).entries.empty());
    rollout_permit final = permitOf(1, 2, 1);
    final.state = rollout_state::completed;
    router.core.onPermits(start, { { final } });
    CHECK(router.core.permitsForReaders(start).entries.empty());
    router.core.setReaders({ vm_id("reader"), vm_id("z") }, 3);
    CHECK(router.core.permitsForReaders(start).entries.size() == 1);
}
