#include "pimentoladder/Settings/Settings.h"

#include <fstream>
#include <random>
#include <sstream>

#include <doctest/doctest.h>

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

std::string exampleText()
{
    std::ifstream file(PIMENTOLADDER_EXAMPLE_FILE);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::vector<setting_diagnostic> diagnosticsOf(const std::string& text, const std::vector<setting_override>& overrides = {})
{
    const auto parsed = parseSettings(text, "router.yaml", overrides);
    return parsed ? std::vector<setting_diagnostic> {} : parsed.error();
}

struct invalid_input {
    const char* from;
    const char* to;
    const char* expected;
};

}

// Guards against an example file that the program rejects.
TEST_CASE("the example file is valid")
{
    const auto parsed = parseSettings(exampleText(), "router.yaml", {});
    REQUIRE(parsed);
    CHECK(parsed->vm == vm_id("entry-1"));
    CHECK(parsed->listen.callers == endpoint { "127.0.0.1", 8080 });
    CHECK(parsed->timeouts.connect == 1s);
    CHECK(parsed->limits.headBytes == 32 * 1024);
    CHECK(parsed->seeds.size() == 1);
}

// Guards against advertising an address that peers cannot reach.
TEST_CASE("peers_advertised is advertised if set, otherwise the listening address")
{
    const std::string peers = "  peers: 127.0.0.1:8082";
    const auto plain = parseSettings(exampleText(), "router.yaml", {});
    REQUIRE(plain);
    CHECK(plain->listen.peersAdvertised == endpoint { "127.0.0.1", 8082 });
    const auto relayed = parseSettings(replaced(exampleText(), peers, "  peers_advertised: 127.0.0.1:9082\n" + peers), "router.yaml", {});
    REQUIRE(relayed);
    CHECK(relayed->listen.peers == endpoint { "127.0.0.1", 8082 });
    CHECK(relayed->listen.peersAdvertised == endpoint { "127.0.0.1", 9082 });
}

// Guards against a router that starts with settings the operator did not intend.
TEST_CASE("each error is reported with its location and remedy")
{
    const invalid_input cases[] = {
        { "vm: entry-1", "vmm: entry-1", "unknown key vmm" },
        { "vm: entry-1", "# none", "missing key vm" },
        { "  callers: 127.0.0.1:8080", "  callers: localhost:8080", "expected an IP address by number" },
        { "  callers: 127.0.0.1:8080", "  callers: 127.0.0.1:99999", "expected an IP address by number" },
        { "  callers: 127.0.0.1:8080", "  callers: 127.0.0.1:8081", "the same address" },
        { "connect: 1s", "connect: 1", "with unit" },
        { "connect: 1s", "connect: -1s", "with unit" },
        { "connect: 1s", "connect: 99999999999999999999s", "with unit" },
        { "connect: 1s", "connect: 900min", "from 1ms" },
        { "connect: 1s", "connect: [1s]", "must be a time" },
        { "head: 32KiB", "head: 32", "with unit B" },
        { "connections: 4096", "connections: many", "expected a whole number" },
        { "level: info", "level: loud", "expected one of debug" },
        { "grace: 5s", "grace: 120s", "shorter than shutdown.grace" },
        { "key: replace-this-with-a-long-random-key", "key: short", "fewer than 16" },
        { "token_sha256: ", "token_sha256: zz", "SHA-256 digest" },
        { "listen:  ", "listen: 3 #", "not valid YAML" },
    };
    for (const invalid_input& each : cases) {
        CAPTURE(each.to);
        const auto diagnostics = diagnosticsOf(replaced(exampleText(), each.from, each.to));
        REQUIRE_FALSE(diagnostics.empty());
        bool isReported = false;
        for (const setting_diagnostic& diagnostic : diagnostics) {
            CHECK(diagnostic.line > 0);
            isReported = isReported || formatDiagnostic(diagnostic).find(each.expected) != std::string::npos;
        }
        CHECK(isReported);
    }
}

// Guards against validation that stops at the first error.
TEST_CASE("all errors are reported together")
{
    auto text = replaced(exampleText(), "vm: entry-1", "vmm: x");
    text = replaced(text, "level: info", "level: loud");
    CHECK(diagnosticsOf(text).size() == 3);
}

// Guards against an override that is ignored or overridden by the file.
TEST_CASE("flags take precedence over the environment, and both over the file")
{
    const char* environment[] = { "PIMENTOLADDER_LISTEN__CALLERS=127.0.0.1:7000", "PIMENTOLADDER_LOG__LEVEL=debug", "OTHER=1",
        // Set by the platform for its own file; if not ignored, startup fails with an
        // unknown key.
        "PIMENTOLADDER_NODE_FILE=/etc/local.yaml", nullptr };
    auto overrides = overridesFromEnvironment(environment);
    REQUIRE(overrides.size() == 2);
    overrides.push_back(*overrideFromFlag("listen.callers=127.0.0.1:7001"));
    const auto parsed = parseSettings(exampleText(), "router.yaml", overrides);
    REQUIRE(parsed);
    CHECK(parsed->listen.callers.port == 7001);
    CHECK(parsed->logLevel == "debug");
    CHECK_FALSE(overrideFromFlag("nothing"));
    CHECK_FALSE(diagnosticsOf(exampleText(), { { "vm.name", "x", "flag --set" } }).empty());
    CHECK_FALSE(diagnosticsOf(exampleText(), { { "listen.unknown", "x", "flag --set" } }).empty());
}

// Guards against input that crashes the process instead of being reported.
TEST_CASE("mutated files are parsed or rejected without a crash")
{
    std::mt19937 engine(20261204);
    const std::string original = exampleText();
    for (int round = 0; round < 1500; ++round) {
        std::string text = original;
        for (int change = 0; change < 4; ++change) {
            const std::size_t at = engine() % text.size();
            if (engine() % 3 == 0)
                text.erase(at, engine() % 8);
            else
                text[at] = static_cast<char>(engine());
        }
        parseSettings(text, "router.yaml", {});
    }
}
