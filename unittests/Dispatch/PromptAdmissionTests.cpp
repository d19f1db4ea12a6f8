#include <doctest/doctest.h>

#include "pimentoladder/Dispatch/PromptAdmission.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

prompt_prospect usualProspect()
{
    prompt_prospect prospect;
    prospect.objective = 800ms;
    prospect.expectedFirstEvent = 100ms;
    prospect.unreadTokens = 1000;
    prospect.ownTokens = 1000;
    return prospect;
}

}

// Guards against requests that wait for an event they cannot get in time.
TEST_CASE("at its share a workspace's request is sent if its first event is expected in half of its objective")
{
    prompt_prospect prospect = usualProspect();
    prospect.shareFill = 1;
    CHECK(isWorthSending(prospect));
    prospect.expectedFirstEvent = 399ms;
    CHECK(isWorthSending(prospect));
    prospect.expectedFirstEvent = 430ms;
    CHECK_FALSE(isWorthSending(prospect));
}

// Guards against workspaces that are refused what they are owed while others keep the
// engines busy (FAIR on scale-1 of granta-lv-grown: 0.55 of 1.48 million tokens).
TEST_CASE("a workspace with much of its share left may wait for most of the objective")
{
    prompt_prospect prospect = usualProspect();
    prospect.expectedFirstEvent = 600ms;
    CHECK(isWorthSending(prospect));
    prospect.shareFill = 0.5;
    CHECK_FALSE(isWorthSending(prospect));
    prospect.expectedFirstEvent = 500ms;
    CHECK(isWorthSending(prospect));
    prospect.shareFill = 0;
    prospect.expectedFirstEvent = 670ms;
    CHECK_FALSE(isWorthSending(prospect));
}

// Guards against workspaces that take the engines' time beyond their share.
TEST_CASE("beyond its share a workspace has less patience of the engines")
{
    prompt_prospect prospect = usualProspect();
    prospect.expectedFirstEvent = 250ms;
    CHECK(isWorthSending(prospect));
    prospect.shareFill = 2;
    CHECK_FALSE(isWorthSending(prospect));
    prospect.expectedFirstEvent = 110ms;
    CHECK(isWorthSending(prospect));
}

// Guards against shared parts that are read again for what earns nothing.
TEST_CASE("no shared part is read again for a workspace beyond its share")
{
    prompt_prospect prospect = usualProspect();
    prospect.unreadTokens = 3000;
    CHECK(isWorthSending(prospect));
    prospect.shareFill = 1.5;
    CHECK_FALSE(isWorthSending(prospect));
}

// Guards against large prompts that no server ever reads in time.
TEST_CASE("a large prompt of its own is no reason to refuse a request")
{
    prompt_prospect prospect = usualProspect();
    prospect.unreadTokens = prospect.ownTokens = 50000;
    prospect.expectedFirstEvent = 1000ms;
    CHECK(isWorthSending(prospect));
}
