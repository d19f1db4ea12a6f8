#include "pimentoladder/Placement/OrderTracker.h"

#include <doctest/doctest.h>

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

const time_point start { 100s };
const server_id engine("engine-0");
const model_id bulletin("bulletin");

placement_order load(std::uint64_t number = 1)
{
    return { order_number(number), engine, placement_action::load, bulletin, fencing_token(7) };
}

order_tracker bookOf(const server_id& second = engine)
{
    order_tracker book;
    book.setServers({ engine, second });
    book.onState({ engine, {}, std::set<model_id>(), start - 1s }, start - 1s);
    book.onState({ second, {}, std::set<model_id>(), start - 1s }, start - 1s);
    return book;
}

engine_state state(time_point takenAt, std::set<model_id> loaded, std::optional<std::set<model_id>> loading = std::set<model_id>())
{
    return { engine, std::move(loaded), std::move(loading), takenAt };
}

}

// Guards against requests sent for a model that the engine is still loading.
TEST_CASE("an accepted load counts only when it has been read back")
{
    order_tracker book = bookOf();
    book.onState(state(start, {}), start);
    book.begin(load(), start);
    book.onAnswer(engine, order_number(1), order_outcome::accepted, start + 10ms);
    CHECK(book.usableModels(engine).empty());
    CHECK_FALSE(book.mayOrder(engine, start + 20ms));
    CHECK(book.takeReadsDue(start + 600ms) == std::vector { engine });
    book.onState(state(start + 600ms, {}, std::set { bulletin }), start + 600ms);
    CHECK(book.usableModels(engine).empty());
    book.onState(state(start + 2s, { bulletin }, std::nullopt), start + 2s);
    CHECK(book.usableModels(engine) == std::set { bulletin });
    CHECK(book.counters().confirmed == 1);
}

// Guards against an order that is sent again although it took effect, or that
// counts as done although it did not.
TEST_CASE("an order whose answer is lost is resolved by reading back")
{
    order_tracker book = bookOf();
    book.onState(state(start, {}), start);
    book.begin(load(), start);
    book.onAnswer(engine, order_number(1), order_outcome::unknown, start + 1s);
    SUBCASE("it took effect")
    {
        book.onState(state(start + 1600ms, {}, std::set { bulletin }), start + 1600ms);
        CHECK(book.pending(engine));
        book.onState(state(start + 3s, { bulletin }), start + 3s);
        CHECK(book.counters().confirmed == 1);
    }
    SUBCASE("it did not")
    {
        // A read that may have overtaken the order decides nothing.
        book.onState(state(start + 1100ms, {}), start + 1100ms);
        CHECK(book.pending(engine));
        book.onState(state(start + 1600ms, {}), start + 1600ms);
        CHECK_FALSE(book.pending(engine));
        CHECK_FALSE(book.mayOrder(engine, start + 2s));
        CHECK(book.mayOrder(engine, start + 7s));
        CHECK(book.counters().lost == 1);
    }
}

// Guards against a load report from before an order that is taken for its effect.
TEST_CASE("a state taken before the order does not confirm it")
{
    order_tracker book = bookOf();
    book.onState(state(start, { bulletin }), start);
    placement_order unload = load();
    unload.action = placement_action::unload;
    book.begin(unload, start + 1s);
    CHECK(book.usableModels(engine).empty());
    book.onState(state(start + 900ms, {}), start + 1100ms);
    CHECK(book.pending(engine));
    book.onState(state(start + 1200ms, {}), start + 1300ms);
    CHECK_FALSE(book.pending(engine));
}

// Guards against an old owner that keeps sending orders after an engine has
// refused its fencing token.
TEST_CASE("a refusal because of an older token stops all orders until ownership is confirmed again")
{
    order_tracker book = bookOf(server_id("engine-1"));
    book.begin(load(), start);
    book.onAnswer(engine, order_number(1), order_outcome::refusedOldToken, start + 10ms);
    CHECK(book.isStopped());
    CHECK_FALSE(book.mayOrder(server_id("engine-1"), start + 1s));
    book.onOwnershipConfirmed(start + 5ms);
    CHECK(book.isStopped());
    book.onOwnershipConfirmed(start + 500ms);
    CHECK(book.mayOrder(server_id("engine-1"), start + 1s));
}

// Guards against a new owner that orders a load on another engine while an engine
// is still loading the model for the earlier owner.
TEST_CASE("an engine is read before its first order, and while it loads for an earlier owner")
{
    order_tracker book;
    book.setServers({ engine });
    book.onState(state(start, {}, std::nullopt), start);
    CHECK_FALSE(book.mayOrder(engine, start));
    CHECK(book.takeReadsDue(start) == std::vector { engine });
    book.onState(state(start + 10ms, {}, std::set { bulletin }), start + 10ms);
    CHECK(book.isLoading(engine, bulletin));
    CHECK_FALSE(book.mayOrder(engine, start + 20ms));
    CHECK(book.takeReadsDue(start + 600ms) == std::vector { engine });
    book.onState(state(start + 1s, { bulletin }), start + 1s);
    CHECK(book.mayOrder(engine, start + 1s));
    CHECK(book.takeReadsDue(start + 2s).empty());
}
