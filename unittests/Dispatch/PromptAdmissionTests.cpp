#include <doctest/doctest.h>

#include "pimentoladder/Dispatch/PromptAdmission.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

prompt_estimate typicalEstimate()
{
    prompt_estimate estimate;
    estimate.objective = 800ms;
    estimate.expectedFirstEvent = 100ms;
    estimate.uncachedTokens = 1000;
    estimate.ownTokens = 1000;
    return estimate;
}

}

// Guards against sending requests whose first event is expected too late.
TEST_CASE("with its share used up, a workspace's request is sent if its first event is expected within half of the objective")
{
    prompt_estimate estimate = typicalEstimate();
    estimate.share = { 1, 1 };
    CHECK(shouldAdmitPrompt(estimate));
    estimate.expectedFirstEvent = 399ms;
    CHECK(shouldAdmitPrompt(estimate));
    estimate.expectedFirstEvent = 430ms;
    CHECK_FALSE(shouldAdmitPrompt(estimate));
}

// Guards against refusing at idle engines whose every request takes long: a workspace beyond its share
// would be sent nothing, however idle they are.
TEST_CASE("time that a server needs for any request is no reason to refuse")
{
    prompt_estimate estimate = typicalEstimate();
    estimate.share = { 4, 1 };
    estimate.baseTime = 125ms;
    estimate.ownTime = 145ms;
    estimate.expectedFirstEvent = 145ms;
    CHECK(shouldAdmitPrompt(estimate));
    estimate.expectedFirstEvent = 250ms;
    CHECK_FALSE(shouldAdmitPrompt(estimate));
    // What others delay has less room, since the objective does not grow with the base time.
    estimate.share = { 1, 1 };
    estimate.expectedFirstEvent = 125ms + 330ms;
    CHECK(shouldAdmitPrompt(estimate));
    estimate.expectedFirstEvent = 125ms + 360ms;
    CHECK_FALSE(shouldAdmitPrompt(estimate));
}

// Guards against workspaces that do not get their share while others keep the engines
// busy: in FAIR on scale-1, one got 0.55 of the 1.48 million tokens that it was entitled to.
TEST_CASE("a workspace with most of its share left may wait for most of the objective")
{
    prompt_estimate estimate = typicalEstimate();
    estimate.expectedFirstEvent = 600ms;
    CHECK(shouldAdmitPrompt(estimate));
    estimate.share = { 0.5, 0.5 };
    CHECK_FALSE(shouldAdmitPrompt(estimate));
    estimate.expectedFirstEvent = 500ms;
    CHECK(shouldAdmitPrompt(estimate));
    estimate.share = { 0, 0 };
    estimate.expectedFirstEvent = 670ms;
    CHECK_FALSE(shouldAdmitPrompt(estimate));
}

// Guards against workspaces that use more than their share of the engines.
TEST_CASE("a workspace that exceeds its share gets a smaller fraction of the objective")
{
    prompt_estimate estimate = typicalEstimate();
    estimate.expectedFirstEvent = 250ms;
    CHECK(shouldAdmitPrompt(estimate));
    estimate.share = { 2, 1 };
    CHECK_FALSE(shouldAdmitPrompt(estimate));
    estimate.expectedFirstEvent = 110ms;
    CHECK(shouldAdmitPrompt(estimate));
}

// Guards against spending engine time on a shared part that is not in the engine's cache,
// for a workspace that exceeds its share.
TEST_CASE("no shared part is read again for a workspace that exceeds its share")
{
    prompt_estimate estimate = typicalEstimate();
    estimate.uncachedTokens = 3000;
    CHECK(shouldAdmitPrompt(estimate));
    estimate.share = { 1.5, 1 };
    CHECK_FALSE(shouldAdmitPrompt(estimate));
}

// Guards against large prompts that are always refused because no server can read them
// within the objective.
TEST_CASE("a request is not refused for the size of its own prompt")
{
    prompt_estimate estimate = typicalEstimate();
    estimate.uncachedTokens = estimate.ownTokens = 50000;
    estimate.expectedFirstEvent = 1000ms;
    CHECK(shouldAdmitPrompt(estimate));
}

// Guards against service in proportion to how often a workspace asks.
TEST_CASE("a workspace that was served twice its share needs an engine that is all but idle")
{
    prompt_estimate estimate = typicalEstimate();
    estimate.share = { 0.9, 0.9, 1.25 };
    CHECK(shouldAdmitPrompt(estimate));
    estimate.share.ofServed = 2;
    CHECK_FALSE(shouldAdmitPrompt(estimate));
    estimate.expectedFirstEvent = 20ms;
    CHECK(shouldAdmitPrompt(estimate));
}

// Guards against a workspace whose callers sit at a small router: refusing its requests made
// the router late, and the lateness refused the rest of them.
TEST_CASE("the lag of a router counts only for a workspace that was served more than its share")
{
    prompt_estimate estimate = typicalEstimate();
    estimate.loopLag = 150ms;
    estimate.share = { 1.2, 1, 1.1 };
    CHECK(shouldAdmitPrompt(estimate));
    estimate.share.ofServed = 1.3;
    CHECK_FALSE(shouldAdmitPrompt(estimate));
}
