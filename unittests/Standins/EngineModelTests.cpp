#include "standins/EngineModel.h"

#include <doctest/doctest.h>

using namespace pimentoladder;
using namespace pimentoladder::standins;

namespace {

void run(engine_model& engine, stream_number number)
{
    while (engine.find(number)->generated < engine.find(number)->total)
        engine.step();
    engine.finish(number);
}

}

// Guards against an engine that hides overload or cold start from its callers.
TEST_CASE("streams beyond the current limit slow down every stream, and more so when cold")
{
    engine_model engine({ .limit = 4, .coldLimit = 1, .warmAfter = 2 }, 1);
    const stream_number first = engine.start("", 1);
    const duration coldAlone = engine.stepTime();
    const stream_number second = engine.start("", 1);
    CHECK(engine.stepTime() == 4 * coldAlone);
    run(engine, first);
    run(engine, second);
    REQUIRE_FALSE(engine.isCold());
    for (int i = 0; i < 4; ++i)
        engine.start("", 1);
    const duration warm = engine.stepTime();
    CHECK(warm < coldAlone);
    engine.start("", 1);
    engine.start("", 1);
    CHECK(engine.stepTime() == 9 * warm);
    engine.makeCold();
    CHECK(engine.currentLimit() == 1);
}

// Guards against a cache that grows without bound or never saves a prefill.
TEST_CASE("the prefix cache shortens the prefill and stays within its bound")
{
    engine_model engine({ .prefillTokens = 64, .cacheBlocks = 8 }, 1);
    const std::string prefix(8 * cacheBlockBytes, 'p');
    const stream_number first = engine.start(prefix + "a", 1);
    CHECK(engine.find(first)->prefillLeft == prefix.size() / bytesPerToken + 1);
    const stream_number second = engine.start(prefix + "b", 1);
    CHECK(engine.find(second)->prefillLeft == 1);
    engine.takeCacheEvents();
    engine.start(std::string(8 * cacheBlockBytes, 'q'), 1);
    std::size_t evicted = 0;
    for (const cache_event& event : engine.takeCacheEvents())
        evicted += event.isStored ? 0 : 1;
    CHECK(evicted == 8);
}
