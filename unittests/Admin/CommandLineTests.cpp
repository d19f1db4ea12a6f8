#include "pimentoladder/Admin/CommandLine.h"

#include <doctest/doctest.h>

#include "AdminFixture.h"

using namespace pimentoladder;

namespace {

// Passes requests to a service, or returns a preset failure or response.
class service_transport : public admin_transport {
public:
    result<admin_response> send(const admin_request& request) override
    {
        sent.push_back(request);
        if (failure)
            return tl::unexpected(*failure);
        if (scripted)
            return *scripted;
        const std::string query = request.query.empty() ? "" : '?' + request.query;
        fixture.token = std::nullopt;
        return fixture.send(request.method, request.path + query, request.body, request.headers);
    }

    admin_fixture fixture;
    std::optional<error> failure;
    std::optional<admin_response> scripted;
    std::vector<admin_request> sent;
};

class command_fixture {
public:
    admin_command_result run(std::vector<std::string> arguments)
    {
        const admin_client_inputs environment { "secret", "change-" + std::to_string(++m_count) + "-of-test",
            [](const std::string& path) -> result<std::string> {
                if (path == "west.json")
                    return std::string(R"({"labels":{"site":"west"}})");
                return makeError(error_kind::notFound, "file " + path + " cannot be read; check the path");
            } };
        return runAdminCommand(arguments, environment, transport);
    }
    admin_exit_code exitOf(std::vector<std::string> arguments) { return run(std::move(arguments)).exit; }

    service_transport transport;

private:
    int m_count = 0;
};

}

// Guards against commands that send a different request than documented.
TEST_CASE("commands change and show objects")
{
    command_fixture fixture;
    const admin_command_result created = fixture.run({ "create", "data-centres", "dc1", "--file=west.json", "labels.zone=a" });
    CHECK(created.output == "accepted at revision 2 (change change-1-of-test)\n");
    CHECK(fixture.exitOf({ "label", "data-centres", "dc1", "zone-", "tier=gold" }) == admin_exit_code::ok);
    CHECK(fixture.run({ "list", "data-centres", "--selector=tier in (gold)" }).output
        == "id   labels               revision\ndc1  site=west,tier=gold  3\n");
    REQUIRE(fixture.exitOf({ "create", "pools", "p", "kind=model", "pathPrefix=/p" }) == admin_exit_code::ok);
    REQUIRE(fixture.exitOf({ "create", "servers", "s", "pool=p", "dataCentre=dc1", "address=::1", "port=80" }) == admin_exit_code::ok);
    CHECK(fixture.exitOf({ "update", "servers", "s", "isLeaving=true", "ceiling=4" }) == admin_exit_code::ok);
    const document current = fixture.transport.fixture.store.replica();
    CHECK(current.servers.at(server_id("s")).isLeaving);
    CHECK(current.servers.at(server_id("s")).ceiling == 4);
    const admin_command_result preview = fixture.run({ "create", "service-rules", "out", "dataCentresOut=site=west", "--dry-run" });
    CHECK(preview.output.find("take out of service data centre dc1") != std::string::npos);
    CHECK(fixture.transport.fixture.store.replica().serviceRules.empty());
    CHECK(fixture.run({ "get", "servers", "s", "--output=json" }).output.find("\"ceiling\":4") != std::string::npos);
    CHECK(fixture.run({ "history", "--limit=1" }).output.find("config/server/s") != std::string::npos);
    CHECK(fixture.run({ "change", "change-1-of-test" }).output.find("outcome: accepted") != std::string::npos);
    CHECK(fixture.exitOf({ "routers" }) == admin_exit_code::ok);
    CHECK(fixture.exitOf({ "delete", "servers", "s" }) == admin_exit_code::ok);
}

// Guards against exit codes that let a script take a failed change for a
// successful one.
TEST_CASE("exit codes tell the outcomes apart")
{
    command_fixture fixture;
    REQUIRE(fixture.exitOf({ "create", "data-centres", "dc1" }) == admin_exit_code::ok);
    CHECK(fixture.exitOf({ "create", "data-centres", "dc1" }) == admin_exit_code::refused);
    CHECK(fixture.exitOf({ "get", "data-centres", "dc2" }) == admin_exit_code::refused);
    CHECK(fixture.exitOf({ "update", "data-centres", "dc2", "labels.a=b" }) == admin_exit_code::refused);
    CHECK(fixture.exitOf({ "replace", "data-centres", "dc1", "--if-revision=1" }) == admin_exit_code::conflict);
    fixture.transport.fixture.store.nextFault = table_fault::lostRequest;
    CHECK(fixture.exitOf({ "delete", "data-centres", "dc1" }) == admin_exit_code::unknownOutcome);

    fixture.transport.failure = error { error_kind::outcomeUnknown, "the connection broke" };
    const admin_command_result lost = fixture.run({ "delete", "data-centres", "dc1", "--change-id=my-change" });
    CHECK(lost.exit == admin_exit_code::unknownOutcome);
    CHECK(lost.errors.find("admin change my-change") != std::string::npos);
    CHECK(fixture.exitOf({ "delete", "data-centres", "dc1", "--dry-run" }) == admin_exit_code::unreachable);
    CHECK(fixture.exitOf({ "list", "pools" }) == admin_exit_code::unreachable);
    fixture.transport.failure = error { error_kind::unavailable, "no connection" };
    CHECK(fixture.exitOf({ "delete", "data-centres", "dc1" }) == admin_exit_code::unreachable);

    fixture.transport.failure.reset();
    for (const char* body : { "", "<html>", "[]", "{}", R"({"kind":1,"message":2})" }) {
        fixture.transport.scripted = admin_response { 502, {}, body };
        CHECK(fixture.exitOf({ "delete", "data-centres", "dc1" }) == admin_exit_code::unknownOutcome);
        CHECK(fixture.exitOf({ "list", "pools" }) == admin_exit_code::unreachable);
    }
    for (const char* body : { "{}", R"({"items":3,"next":4})", R"({"items":[1,null,{"id":{}}]})", R"({"objects":[1],"reach":[{}]})" }) {
        fixture.transport.scripted = admin_response { 200, {}, body };
        CHECK(fixture.exitOf({ "list", "pools" }) == admin_exit_code::ok);
        CHECK(fixture.exitOf({ "delete", "pools", "p", "--dry-run" }) == admin_exit_code::ok);
    }
}

// Guards against misspelt commands and options that are executed.
TEST_CASE("invalid usage sends no request")
{
    command_fixture fixture;
    const std::vector<std::vector<std::string>> wrong { {}, { "--dry-run" }, { "destroy" }, { "list" }, { "list", "things" },
        { "list", "pools", "extra" }, { "list", "pools", "--dry-run" }, { "delete", "pools", "p", "--dryrun" },
        { "delete", "pools", "p", "--dry-run=false" }, { "delete", "pools", "p", "--if-revision=x" },
        { "delete", "pools", "p", "--change-id" }, { "list", "pools", "--limit=1", "--limit=2" },
        { "create", "pools", "p", "--file=missing.json" }, { "create", "pools", "p", "colour=red" },
        { "create", "pools", "p", "defaultCost=much" }, { "create", "pools", "p", "labels=x" },
        { "create", "pools", "p", "kind" }, { "replace", "pools", "p", "kind=model" }, { "label", "pools", "p", "x" },
        { "list", "pools", "--output=xml" }, { "routers", "now" }, { "change" } };
    for (const auto& arguments : wrong)
        CHECK(fixture.exitOf(arguments) == admin_exit_code::usage);
    CHECK(fixture.transport.sent.empty());
    CHECK(fixture.run({ "help" }).output == adminUsage());
}
