#include <doctest/doctest.h>

#include "AdminFixture.h"

#include <random>

#include "pimentoladder/Base/Random.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

std::string kindOf(const admin_response& response) { return admin_fixture::json(response).value("kind", ""); }

std::string outcomeOf(const admin_response& response) { return admin_fixture::json(response).value("outcome", ""); }

std::string tagOf(const admin_response& response)
{
    return std::string(findAdminHeader(response.headers, "ETag").value_or(""));
}

}

// Guards against changes by clients that are not authenticated as an operator.
TEST_CASE("requests without a known token are refused")
{
    admin_fixture fixture;
    for (const auto& token : { std::optional<std::string>(), std::optional<std::string>("wrong"), std::optional<std::string>("") }) {
        fixture.token = token;
        CHECK(fixture.send("POST", "/v1/data-centres", sampleDataCentre).status == 401);
    }
    CHECK(fixture.store.submissions == 0);
}

// Guards against objects that are read back differently than written, and against
// responses without the revision.
TEST_CASE("objects are created, read, replaced, labelled and deleted")
{
    admin_fixture fixture;
    const admin_response created = fixture.send("POST", "/v1/data-centres", sampleDataCentre);
    CHECK(created.status == 201);
    CHECK(outcomeOf(created) == "accepted");
    CHECK(tagOf(created) == "\"2\"");
    CHECK(fixture.committedRevisions == std::vector<revision> { revision(2) });
    const admin_response read = fixture.send("GET", "/v1/data-centres/dc1");
    CHECK(tagOf(read) == "\"2\"");
    CHECK(admin_fixture::json(read)["labels"]["site"] == "west");

    const admin_response labelled
        = fixture.send("PATCH", "/v1/data-centres/dc1/labels", R"({"site":null,"zone":"a"})");
    CHECK(labelled.status == 200);
    CHECK(fixture.store.replica().dataCentres.at(data_centre_id("dc1")).labels == label_map { { "zone", "a" } });
    CHECK(fixture.send("PUT", "/v1/data-centres/dc1", read.body, { { "If-Match", tagOf(read) } }).status == 409);
    CHECK(fixture.send("PUT", "/v1/data-centres/dc1", read.body).status == 428);
    CHECK(fixture.send("PUT", "/v1/data-centres/dc1", read.body, { { "If-Match", tagOf(labelled) } }).status == 200);
    CHECK(fixture.send("DELETE", "/v1/data-centres/dc1", "", { { "If-Match", "\"3\"" } }).status == 409);
    CHECK(fixture.send("DELETE", "/v1/data-centres/dc1").status == 200);
    CHECK(fixture.send("GET", "/v1/data-centres/dc1").status == 404);

    const auto history = admin_fixture::json(fixture.send("GET", "/v1/history?limit=2"))["items"];
    REQUIRE(history.size() == 2);
    CHECK(history[0]["action"] == "remove");
    CHECK(history[0]["operator"] == "ada");
    CHECK(history[0]["after"].is_null());
    CHECK(history[1]["before"]["labels"]["zone"] == "a");
    const std::string before = std::to_string(history[1]["basedOn"].get<int>());
    CHECK(admin_fixture::json(fixture.send("GET", "/v1/history?before=" + before))["items"].size() == 2);
}

// Guards against concurrent changes that are both reported as committed.
TEST_CASE("of two racing changes one commits and the other gets the conflicting revision")
{
    admin_fixture fixture;
    fixture.store.beforeSubmit = [&] { CHECK(fixture.send("POST", "/v1/data-centres", R"({"id":"dc2"})").status == 201); };
    const admin_response lost = fixture.send("POST", "/v1/data-centres", sampleDataCentre);
    CHECK(lost.status == 409);
    CHECK(outcomeOf(lost) == "conflict");
    CHECK(admin_fixture::json(lost)["revision"] == 2);
    CHECK(fixture.store.replica().dataCentres.size() == 1);
    CHECK(fixture.send("POST", "/v1/data-centres", sampleDataCentre).status == 201);
    CHECK(kindOf(fixture.send("POST", "/v1/data-centres", sampleDataCentre)) == "already_exists");
}

// Guards against a document made invalid by two changes that are each valid
// alone: one deletes a pool while the other, validated on a stale replica, adds a
// server to it.
TEST_CASE("a stale replica cannot break references")
{
    admin_fixture fixture;
    REQUIRE(fixture.send("POST", "/v1/data-centres", sampleDataCentre).status == 201);
    REQUIRE(fixture.send("POST", "/v1/pools", R"({"id":"p","kind":"model","pathPrefix":"/p"})").status == 201);
    fixture.staleReplica = fixture.store.replica();
    CHECK(fixture.send("DELETE", "/v1/pools/p").status == 200);
    const admin_response late = fixture.send(
        "POST", "/v1/servers", R"({"id":"s","pool":"p","dataCentre":"dc1","address":"127.0.0.1","port":80})");
    CHECK(late.status == 409);
    CHECK(fixture.store.replica().servers.empty());
}

// Guards against an ambiguous write that is reported as failed or committed
// without proof.
TEST_CASE("an ambiguous write is resolved by reading it back")
{
    admin_fixture fixture;
    SUBCASE("committed")
    {
        fixture.store.nextFault = table_fault::lostAnswer;
        CHECK(fixture.send("POST", "/v1/data-centres", sampleDataCentre).status == 201);
    }
    SUBCASE("not committed yet")
    {
        fixture.store.nextFault = table_fault::lostRequest;
        const admin_response unknown = fixture.send("POST", "/v1/data-centres", sampleDataCentre, { { "X-Change-Id", "change-1" } });
        CHECK(unknown.status == 502);
        CHECK(outcomeOf(unknown) == "unknown");
        CHECK(admin_fixture::json(unknown)["changeId"] == "change-1");
        CHECK(admin_fixture::json(unknown)["ran"] == "unknown");
        CHECK(fixture.send("GET", "/v1/changes/change-1").status == 404);
    }
    SUBCASE("can never commit")
    {
        fixture.store.nextFault = table_fault::lostRequest;
        fixture.store.beforeSubmit = [&] { fixture.store.at = fixture.store.lastChange = revision(9); };
        const admin_response lost = fixture.send("POST", "/v1/data-centres", sampleDataCentre);
        CHECK(lost.status == 409);
        CHECK(admin_fixture::json(lost)["revision"] == 9);
    }
    SUBCASE("a router's row advanced the table, so the write may still commit")
    {
        fixture.store.nextFault = table_fault::lostRequest;
        fixture.store.beforeSubmit = [&] { fixture.store.at = revision(9); };
        CHECK(outcomeOf(fixture.send("POST", "/v1/data-centres", sampleDataCentre)) == "unknown");
    }
    SUBCASE("committed, but the table is down afterwards")
    {
        fixture.store.nextFault = table_fault::lostAnswer;
        fixture.store.beforeSubmit = [&] { fixture.store.isDown = true; };
        CHECK(outcomeOf(fixture.send("POST", "/v1/data-centres", sampleDataCentre, { { "X-Change-Id", "change-2" } })) == "unknown");
        fixture.store.isDown = false;
        CHECK(admin_fixture::json(fixture.send("GET", "/v1/changes/change-2"))["revision"] == 2);
    }
    SUBCASE("table down")
    {
        fixture.store.nextFault = table_fault::unavailable;
        const admin_response refused = fixture.send("POST", "/v1/data-centres", sampleDataCentre);
        CHECK(refused.status == 503);
        CHECK(admin_fixture::json(refused)["ran"] == false);
        CHECK(findAdminHeader(refused.headers, "retry-after") == "1");
    }
}

// Guards against a retry that is refused because its first attempt succeeded, or
// that executes twice.
TEST_CASE("a retry with the same change id gets the recorded outcome")
{
    admin_fixture fixture;
    const std::vector<header_field> id { { "X-Change-Id", "change-1" } };
    CHECK(fixture.send("POST", "/v1/data-centres", sampleDataCentre, id).status == 201);
    const admin_response repeat = fixture.send("POST", "/v1/data-centres", sampleDataCentre, id);
    CHECK(repeat.status == 201);
    CHECK(admin_fixture::json(repeat)["revision"] == 2);
    CHECK(fixture.store.submissions == 1);
    CHECK(kindOf(fixture.send("DELETE", "/v1/data-centres/dc1", "", id)) == "change_id_reused");
    CHECK(fixture.store.submissions == 1);
    fixture.store.isDown = true;
    CHECK(fixture.send("POST", "/v1/data-centres", sampleDataCentre, id).status == 503);
    CHECK(fixture.send("POST", "/v1/data-centres", sampleDataCentre, { { "X-Change-Id", "a/b-c-d-e" } }).status == 400);
}

// Guards against reporting a change as accepted before its revision is, and
// against responses that are never sent.
TEST_CASE("a change is reported as accepted, or as committed after the timeout")
{
    admin_fixture fixture;
    fixture.isAccepting = false;
    const auto first = fixture.start("POST", "/v1/data-centres", sampleDataCentre);
    CHECK(first->empty());
    fixture.service.onAccepted(revision(1));
    CHECK(first->empty());
    CHECK(fixture.service.nextDeadline() == fixture.now + admin_settings().acceptanceTimeout);
    fixture.service.tick(fixture.now + 1s);
    CHECK(first->empty());
    fixture.service.onAccepted(revision(2));
    REQUIRE(first->size() == 1);
    CHECK(first->front().status == 201);

    const auto second = fixture.start("DELETE", "/v1/data-centres/dc1");
    fixture.service.tick(*fixture.service.nextDeadline());
    REQUIRE(second->size() == 1);
    CHECK(second->front().status == 202);
    CHECK(outcomeOf(second->front()) == "committed");
    fixture.service.onAccepted(revision(3));
    CHECK(second->size() == 1);
    CHECK_FALSE(fixture.service.nextDeadline());
}

// Guards against a dry run that changes something, and against a misspelt dryRun
// parameter that lets the change execute.
TEST_CASE("a dry run returns effects and submits nothing")
{
    admin_fixture fixture;
    REQUIRE(fixture.send("POST", "/v1/data-centres", sampleDataCentre).status == 201);
    const std::string rule = R"({"id":"out","dataCentresOut":"site=west"})";
    const auto preview = admin_fixture::json(fixture.send("POST", "/v1/service-rules?dryRun=true", rule));
    CHECK(preview["service"] == nlohmann::json::parse(R"([{"dataCentre":"dc1","isInService":false}])"));
    CHECK(preview["objects"][0]["object"] == "config/service-rule/out");
    for (const char* query : { "dryrun=true", "dryRun=1", "dryRun", "dryRun=true&dryRun=false", "limit=1", "=", "%", "%zz", "%4" })
        CHECK_MESSAGE(fixture.send("POST", std::string("/v1/service-rules?") + query, rule).status == 400, query);
    CHECK(fixture.store.submissions == 1);
}

// Guards against rules that match everything because a selector was omitted, and
// against unknown fields that are silently ignored.
TEST_CASE("invalid requests are refused")
{
    admin_fixture fixture;
    const auto statusOf = [&](const char* target, const char* body) { return fixture.send("POST", target, body).status; };
    CHECK(statusOf("/v1/access-rules", R"({"id":"r","servers":""})") == 400);
    CHECK(statusOf("/v1/service-rules", R"({"id":"r"})") == 400);
    CHECK(statusOf("/v1/service-rules", R"({"id":"r","dataCentresOut":"a in ("})") == 400);
    CHECK(statusOf("/v1/data-centres", R"({"id":"d","label":{}})") == 400);
    CHECK(statusOf("/v1/data-centres", R"({"id":"d","labels":{"a":1}})") == 400);
    CHECK(statusOf("/v1/data-centres", R"({"id":"D/1"})") == 400);
    CHECK(statusOf("/v1/data-centres", R"({"id":""})") == 400);
    CHECK(statusOf("/v1/data-centres", R"([])") == 400);
    CHECK(statusOf("/v1/members", R"({"vm":"v"})") == 404);
    CHECK(fixture.send("POST", "/v1/data-centres", std::string(70000, ' ')).status == 413);
    CHECK(fixture.send("PATCH", "/v1/data-centres", "{}").status == 405);
    CHECK(fixture.send("GET", "/v1/access-rules?selector=a").status == 400);
    CHECK(fixture.send("GET", "/v1/servers?selector=a%20in").status == 400);
    CHECK(fixture.send("GET", "/v1/servers?limit=0").status == 400);
    CHECK(fixture.send("DELETE", "/v1/servers/").status == 400);
    CHECK(fixture.send("GET", "/v2/servers").status == 404);
    CHECK(fixture.send("DELETE", "/v1/servers/s", "", { { "If-Match", "W/\"1\"" } }).status == 400);
    CHECK(fixture.store.submissions == 0);
}

// Guards against pages that skip or repeat objects.
TEST_CASE("lists are filtered and paged")
{
    admin_fixture fixture;
    for (const char* body : { R"({"id":"a","labels":{"z":"1"}})", R"({"id":"b"})", R"({"id":"c","labels":{"z":"1"}})",
             R"({"id":"d","labels":{"z":"2"}})", R"({"id":"e","labels":{"z":"1"}})" })
        REQUIRE(fixture.send("POST", "/v1/data-centres", body).status == 201);
    const auto first = admin_fixture::json(fixture.send("GET", "/v1/data-centres?selector=z%3D1&limit=2"));
    CHECK(first["items"].size() == 2);
    CHECK(first["next"] == "c");
    const auto second = admin_fixture::json(fixture.send("GET", "/v1/data-centres?selector=z%3D1&limit=2&after=c"));
    CHECK(second["items"].size() == 1);
    CHECK(second["items"][0]["id"] == "e");
    CHECK_FALSE(second.contains("next"));
    fixture.routers.push_back({ vm_id("vm1"), incarnation(2), data_centre_id("a"), "fresh", revision(6), 40ms });
    const auto routers = admin_fixture::json(fixture.send("GET", "/v1/routers"));
    CHECK(routers["items"][0]["basisAgeMs"] == 40);
}

// Guards against exceptions and missing responses on arbitrary input.
TEST_CASE("mutated requests get exactly one response each")
{
    admin_fixture fixture;
    REQUIRE(fixture.send("POST", "/v1/data-centres", sampleDataCentre).status == 201);
    REQUIRE(fixture.send("POST", "/v1/pools", R"({"id":"p","kind":"model","pathPrefix":"/p"})").status == 201);
    const std::vector<std::array<std::string, 3>> samples {
        { "POST", "/v1/servers", R"({"id":"s","pool":"p","dataCentre":"dc1","address":"::1","port":80,"floor":1})" },
        { "PUT", "/v1/data-centres/dc1?dryRun=true", R"({"id":"dc1","labels":{"a":"b"},"revision":2})" },
        { "PATCH", "/v1/pools/p/labels", R"({"a":"b","c":null})" },
        { "POST", "/v1/access-rules?dryRun=true", R"json({"id":"r","workspaces":"a in (b,c)","servers":"!d"})json" },
        { "GET", "/v1/servers?selector=a%3Db&limit=10&after=s", "" },
        { "GET", "/v1/history?before=12", "" },
    };
    random_source random(20261206);
    const std::string alphabet = "\"{}[]:,/?&=%09-azA.\x80\x01 ";
    for (int round = 0; round < 6000; ++round) {
        auto [method, target, body] = samples[random.index(samples.size())];
        for (std::size_t edit = 0; edit <= random.index(3); ++edit) {
            std::string& text = random.index(3) == 0 ? target : body;
            const std::size_t at = random.index(text.size() + 1);
            if (random.index(2) == 0)
                text.insert(at, 1, alphabet[random.index(alphabet.size())]);
            else
                text.erase(at, 1 + random.index(3));
        }
        const auto responses = fixture.start(method, target, body, { { "If-Match", "*" } });
        fixture.service.onAccepted(fixture.store.at);
        REQUIRE(responses->size() == 1);
        CHECK(responses->front().status != 500);
    }
    CHECK(validateDocument(fixture.store.replica()).empty());
}
