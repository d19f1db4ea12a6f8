#include "pimentoladder/Settings/Settings.h"

#include <fstream>
#include <map>
#include <random>
#include <sstream>

#include <doctest/doctest.h>

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

std::string textOf(const char* path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string exampleText()
{
    return textOf(PIMENTOLADDER_EXAMPLE_FILE);
}

using template_values = std::map<std::string, std::string>;

/// Renders the template of the settings as the platform does: a section is left out if its
/// field has no value or is false.
std::string renderTemplate(const template_values& values)
{
    std::istringstream lines(textOf(PIMENTOLADDER_TEMPLATE_FILE));
    std::string rendered;
    std::string omitted;
    for (std::string line; std::getline(lines, line);) {
        const bool opensSection = line.starts_with("{{#");
        if (opensSection || line.starts_with("{{/")) {
            const std::string name = line.substr(3, line.find('}') - 3);
            const auto value = values.find(name);
            const bool isOmitted = value == values.end() || value->second == "false";
            omitted = opensSection && isOmitted ? name : "";
            continue;
        }
        if (!omitted.empty())
            continue;
        for (std::size_t at = line.find("{{"); at != std::string::npos; at = line.find("{{")) {
            const std::size_t end = line.find("}}", at);
            line.replace(at, end + 2 - at, values.at(line.substr(at + 2, end - at - 2)));
        }
        rendered += line + '\n';
    }
    return rendered;
}

template_values platformValues()
{
    return { { "node_name", "entry-1" }, { "zone", "north" }, { "limits.cpu_share", "0.12" }, { "listen.frontend", "127.0.0.1:8783" },
        { "listen.ready", "127.0.0.1:8780" }, { "ip", "127.0.0.1" }, { "internal_ports.0", "7400" }, { "platform.address", "127.0.0.1:8781" },
        { "bounds.revoke_ms", "5000" }, { "bounds.config_apply_ms", "2000" }, { "bounds.drain_ms", "2000" },
        { "bounds.retry_budget_extra", "56" }, { "bounds.retry_budget_ratio", "0.2" },
        { "bounds.rollback_ms", "5000" }, { "bounds.exposure_share", "0.1" }, { "bounds.exposure_tolerance", "50" } };
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
        { "head: 32KiB", "link: 10", "with unit kbit" },
        { "head: 32KiB", "link: -1Mbit", "with unit kbit" },
        { "head: 32KiB", "link: 1001Gbit", "to 1000Gbit" },
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

// Guards against routers that do not start because the platform scales a figure to a fraction.
TEST_CASE("the platform's template accepts fractions and absent figures")
{
    struct figure_case {
        const char* field;
        const char* value;
    };
    const figure_case cases[] = {
        { "bounds.retry_budget_extra", "33.1578947368421" },
        { "bounds.retry_budget_extra", "1e+03" },
        { "bounds.retry_budget_extra", "false" },
        { "bounds.retry_budget_ratio", "0.0526315789473684" },
        { "bounds.revoke_ms", "5000.0" },
        { "bounds.revoke_ms", "false" },
        { "bounds.config_apply_ms", "2666.6666666666665" },
        { "bounds.drain_ms", "1.5e3" },
        { "bounds.rollback_ms", "5000.0" },
        { "bounds.rollback_ms", "false" },
        { "bounds.exposure_share", "0.0526315789473684" },
        { "bounds.exposure_tolerance", "33.1578947368421" },
        { "limits.cpu_share", "1" },
        { "limits.link_mbps", "0" },
        { "limits.link_mbps", "false" },
        { "limits.link_mbps", "33.1578947368421" },
    };
    for (const figure_case& each : cases) {
        CAPTURE(each.field);
        CAPTURE(each.value);
        template_values values = platformValues();
        values[each.field] = each.value;
        for (const setting_diagnostic& diagnostic : diagnosticsOf(renderTemplate(values)))
            FAIL_CHECK(formatDiagnostic(diagnostic));
    }
    template_values values = platformValues();
    values["bounds.config_apply_ms"] = "2666.6666666666665";
    values["bounds.retry_budget_extra"] = "33.1578947368421";
    values["limits.link_mbps"] = "10.0";
    values["bounds.exposure_tolerance"] = "12.5";
    const auto parsed = parseSettings(renderTemplate(values), "router.yaml", {});
    REQUIRE(parsed);
    CHECK(parsed->freshness.configuration == 2'666'666'666ns);
    CHECK(parsed->retries.extra == doctest::Approx(33.158));
    CHECK(parsed->limits.linkBitsPerSecond == doctest::Approx(10e6));
    CHECK(parsed->rollouts.exposureExtra == doctest::Approx(12.5));
    CHECK(parsed->rollouts.exposureShare == doctest::Approx(0.1));
    CHECK(parsed->rollouts.rollback == 5s);
}

// Guards against a figure that cannot be used and is replaced silently by a default.
TEST_CASE("a figure of the platform that cannot be used is reported with its key and line")
{
    for (const char* value : { "true", "-1", "nan", "1e400", "0x10" }) {
        CAPTURE(value);
        template_values values = platformValues();
        values["bounds.config_apply_ms"] = value;
        values["bounds.retry_budget_extra"] = value;
        const auto diagnostics = diagnosticsOf(renderTemplate(values));
        REQUIRE(diagnostics.size() == 2);
        CHECK(diagnostics[0].line > 0);
        CHECK(diagnostics[0].message.find("freshness.configuration is") != std::string::npos);
        CHECK(diagnostics[1].line > 0);
        CHECK(diagnostics[1].message.find("retries.extra is") != std::string::npos);
    }
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
