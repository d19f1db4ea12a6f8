// Which callers are served, for each state of the list of workspaces.

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "Fixture.h"

using namespace pimentoladder;
using namespace pimentoladder::dispatch_test;

namespace {

constexpr const char* foreignKey = "digest-of-another-key";

using workspaces = std::optional<std::vector<workspace_keys>>;

/// What a configuration says about keys.
struct list_case {
    const char* name;
    workspaces listed;
};

std::vector<list_case> allLists()
{
    const workspace_keys school { workspace_id("school"), { keyDigest }, {} };
    const workspace_keys portal { workspace_id("portal"), { "digest-of-the-portal" }, {} };
    const workspace_keys keyless { workspace_id("school"), {}, {} };
    using list = std::vector<workspace_keys>;
    return { { "no list", std::nullopt }, { "empty list", list {} }, { "a workspace without keys", list { keyless } },
        { "another workspace", list { portal } }, { "the workspace", list { school } } };
}

/// What becomes of a request.
enum class fate {
    served,
    unauthenticated,
    notFresh,
};

/// Dispatcher that had the key of the workspace in force before \p listed.
struct keyed_fleet {
    explicit keyed_fleet(const workspaces& listed, bool mayBeOlder = false)
    {
        serving_plan plan = makePlan(mayBeOlder ? 0 : 2);
        plan.routes.push_back(makeRoute("/open/", "portal", repeat_policy::idempotent, false));
        plan.routes.back().isAnonymous = true;
        plan.workspaces = listed;
        REQUIRE(all.core.applyPlan(plan, mayBeOlder));
    }

    fate send(const std::string& path, const char* digest)
    {
        inbound_request request;
        request.callerId = "id";
        request.host = "host";
        request.path = path;
        if (digest)
            request.keyDigest = digest;
        request.timeLeft = 10s;
        request_number number;
        const dispatch_actions actions = all.core.onRequest(all.now, request, number);
        if (const auto* opened = find<open_dispatch>(actions)) {
            workspace = opened->workspace;
            return fate::served;
        }
        const auto* refused = find<refuse_inbound>(actions);
        REQUIRE(refused);
        REQUIRE((refused->kind == refusal_kind::unauthenticated || refused->kind == refusal_kind::notFresh));
        return refused->kind == refusal_kind::unauthenticated ? fate::unauthenticated : fate::notFresh;
    }

    small_fleet all;
    workspace_id workspace; ///< Of the last request that was served, as told to the server.
};

}

// Guards against a list of workspaces without an entry that is taken for no list: once the last
// workspace was taken away, every request was served, with any key and without one.
TEST_CASE("only a configuration without a list of workspaces serves requests without a key that it holds")
{
    for (const bool mayBeOlder : { false, true }) {
        for (const list_case& each : allLists()) {
            for (const char* digest : { static_cast<const char*>(nullptr), "", keyDigest, foreignKey }) {
                CAPTURE(mayBeOlder);
                CAPTURE(each.name);
                CAPTURE(digest);
                keyed_fleet fleet(each.listed, mayBeOlder);
                const bool isHeld = std::string(each.name) == "the workspace" && digest == keyDigest;
                const bool isServed = isHeld || !each.listed;
                CHECK(fleet.send("/read/x", digest) == (isServed ? fate::served : fate::unauthenticated));
                CHECK(fleet.send("/order/x", digest) == (isServed ? fate::served : fate::unauthenticated));
                CHECK(fleet.workspace == workspace_id(isHeld ? "school" : ""));
                CHECK(fleet.send("/open/x", digest) == fate::served);
                CHECK(fleet.workspace == workspace_id());
            }
        }
    }
}

// Guards against a router that rejects, or admits, by a list of workspaces that may have changed since.
TEST_CASE("without a recent confirmation neither a key is accepted nor a caller rejected for good")
{
    for (const list_case& each : allLists()) {
        CAPTURE(each.name);
        keyed_fleet fleet(each.listed);
        fleet.all.now += 4700ms;
        for (const char* digest : { static_cast<const char*>(nullptr), keyDigest, foreignKey })
            CHECK(fleet.send("/read/x", digest) == (each.listed ? fate::notFresh : fate::served));
    }
}

// Guards against a router that serves everybody before it has read a configuration.
TEST_CASE("before the first configuration no caller is identified")
{
    const fleet_view nothingRead((freshness_limits()));
    const std::string digest = keyDigest;
    CHECK(nothingRead.identify(nullptr).standing == key_standing::unknown);
    CHECK(nothingRead.identify(&digest).standing == key_standing::unknown);
}
