#include "pimentoladder/Config/Validation.h"

#include <functional>

#include <doctest/doctest.h>

using namespace pimentoladder;

namespace {

document validDocument()
{
    document sample;
    sample.dataCentres[data_centre_id("dc1")] = { data_centre_id("dc1"), {} };
    sample.pools[pool_id("p1")] = { pool_id("p1"), {}, pool_kind::service, "/a", 1 };
    sample.pools[pool_id("p2")] = { pool_id("p2"), {}, pool_kind::service, "/a/b/", 1 };
    for (const char* name : { "s1", "s2" }) {
        backend_server server;
        server.id = server_id(name);
        server.pool = pool_id("p1");
        server.dataCentre = data_centre_id("dc1");
        server.location = { "127.0.0.1", static_cast<std::uint16_t>(name[1]) };
        sample.servers[server.id] = server;
    }
    for (char name : { 'a', 'b' }) {
        workspace entry;
        entry.id = workspace_id(std::string(1, name));
        entry.keyDigest = std::string(64, name);
        sample.workspaces[entry.id] = entry;
    }
    return sample;
}

}

// Guards against documents that routers cannot serve, and against messages that
// do not name the error.
TEST_CASE("each violation is reported")
{
    REQUIRE(validateDocument(validDocument()).empty());
    struct violation_case {
        const char* expected;
        std::function<void(document&)> applyTo;
    };
    const auto serverS1 = [](document& d) -> backend_server& { return d.servers[server_id("s1")]; };
    const auto workspaceA = [](document& d) -> workspace& { return d.workspaces[workspace_id("a")]; };
    const auto poolP1 = [](document& d) -> pool& { return d.pools[pool_id("p1")]; };
    const violation_case cases[] = {
        { "pool \"px\" does not exist", [&](auto& d) { serverS1(d).pool = pool_id("px"); } },
        { "data centre \"\" does not exist", [&](auto& d) { serverS1(d).dataCentre = {}; } },
        { "numeric", [&](auto& d) { serverS1(d).location.address = "localhost"; } },
        { "port", [&](auto& d) { serverS1(d).location.port = 0; } },
        { "also that of", [&](auto& d) { serverS1(d).location = d.servers[server_id("s2")].location; } },
        { "floor 9 is above ceiling 8", [&](auto& d) { serverS1(d).floor = 9; } },
        { "floor must be", [&](auto& d) { serverS1(d).floor = 0; } },
        { "vm must", [&](auto& d) { serverS1(d).vm = vm_id("a/b"); } },
        { "weight must be", [&](auto& d) { workspaceA(d).weight = 0; } },
        { "weight must be", [&](auto& d) { workspaceA(d).weight = 1e9; } },
        { "queueLimit must be", [&](auto& d) { workspaceA(d).queueLimit = 0; } },
        { "64 lower-case", [&](auto& d) { workspaceA(d).keyDigest = std::string(64, 'A'); } },
        { "keyDigest is also that of", [&](auto& d) { workspaceA(d).keyDigest = std::string(64, 'b'); } },
        { "label key", [&](auto& d) { workspaceA(d).labels["-a"] = ""; } },
        { "value of label", [&](auto& d) { workspaceA(d).labels["a"] = "b c"; } },
        { "pathPrefix must begin", [&](auto& d) { poolP1(d).pathPrefix = "a"; } },
        { "pathPrefix must begin", [&](auto& d) { poolP1(d).pathPrefix = "/a/../b"; } },
        { "pathPrefix must begin", [&](auto& d) { poolP1(d).pathPrefix = "//"; } },
        { "at most 256 bytes", [&](auto& d) { poolP1(d).pathPrefix = '/' + std::string(300, 'a'); } },
        { "pathPrefix is also that of", [&](auto& d) { poolP1(d).pathPrefix = "/a/b"; } },
        { "defaultCost must be", [&](auto& d) { poolP1(d).defaultCost = -1; } },
        { "id must have", [&](auto& d) { d.dataCentres[data_centre_id("D/1")].id = data_centre_id("D/1"); } },
        { "which no label can be",
            [&](auto& d) { d.accessRules[rule_id("r")] = { rule_id("r"), selector::parse("a/b/c").value(), {} }; } },
        { "which no label can have",
            [&](auto& d) { d.serviceRules[rule_id("r")] = { rule_id("r"), selector::parse("a=b/c").value() }; } },
    };
    for (const auto& violation : cases) {
        document sample = validDocument();
        violation.applyTo(sample);
        const auto errors = validateDocument(sample);
        REQUIRE_MESSAGE(errors.size() == 1, violation.expected);
        CHECK_MESSAGE(errors[0].problem.message.find(violation.expected) != std::string::npos, errors[0].problem.message);
        CHECK_FALSE(errors[0].key.empty());
    }
    document_limits few;
    few.servers = 1;
    REQUIRE(validateDocument(validDocument(), few).size() == 1);
    CHECK(validateDocument(validDocument(), few)[0].problem.kind == error_kind::resourceExhausted);
}

// Guards against names and addresses that a router would interpret differently.
TEST_CASE("syntax of labels, ids and addresses")
{
    for (const char* key : { "a", "A_b.c-1", "example.com/tier", "a.b/c" })
        CHECK_MESSAGE(isLabelKey(key), key);
    for (const char* key : { "", "/a", "a/", "a/b/c", ".a", "a-", "Example.com/a", "a..b/c", "a b" })
        CHECK_FALSE_MESSAGE(isLabelKey(key), key);
    CHECK_FALSE(isLabelKey(std::string(64, 'a')));
    for (const char* id : { "", "A", "a/b", "-a", "a.", "a#0" })
        CHECK_FALSE_MESSAGE(isObjectId(id), id);
    for (const char* address : { "127.0.0.1", "0.0.0.0", "::", "::1", "1::", "2001:db8::7:A", "1:2:3:4:5:6:7:8" })
        CHECK_MESSAGE(isNumericAddress(address), address);
    for (const char* address : { "", "1.2.3", "1.2.3.4.5", "256.1.1.1", "01.2.3.4", "1..2.3", ":", ":::", "1::2::3",
             "1:2:3:4:5:6:7", "1:2:3:4:5:6:7:8:9", "1::2:3:4:5:6:7:8", "12345::", "g::", "[::1]", "localhost" })
        CHECK_FALSE_MESSAGE(isNumericAddress(address), address);
}
