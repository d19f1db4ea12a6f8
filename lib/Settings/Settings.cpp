#include "pimentoladder/Settings/Settings.h"

#include <algorithm>
#include <cctype>
#include <set>

#include <yaml-cpp/yaml.h>

#include "SettingsReader.h"

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    constexpr std::string_view environmentPrefix = "PIMENTOLADDER_";

    // Whatever starts the process may set other variables with the prefix; they
    // are not settings.
    bool isSettingName(std::string_view name)
    {
        return name.find("__") != std::string_view::npos || name == "VM" || name == "DATA_CENTRE";
    }

    template <typename T>
    void assignIfSet(T& target, const std::optional<T>& value)
    {
        if (value)
            target = *value;
    }

    void readListen(mapping_reader reader, listen_settings& target)
    {
        assignIfSet(target.callers, reader.address("callers", true));
        assignIfSet(target.admin, reader.address("admin", true));
        assignIfSet(target.metrics, reader.address("metrics", false));
        assignIfSet(target.peers, reader.address("peers", true));
        target.peersAdvertised = target.peers;
        assignIfSet(target.peersAdvertised, reader.address("peers_advertised", false));
        reader.finish();
    }

    void readPlatform(mapping_reader reader, platform_settings& target)
    {
        assignIfSet(target.rows, reader.address("rows", false));
        const bool isTableNeeded = target.rows.port == 0;
        assignIfSet(target.table, reader.address("table", isTableNeeded));
        assignIfSet(target.objects, reader.address("objects", isTableNeeded));
        assignIfSet(target.vms, reader.address("vms", isTableNeeded));
        reader.finish();
    }

    void readSeed(mapping_reader reader, std::vector<seed_settings>& target)
    {
        const auto vm = reader.text("vm", true);
        const auto location = reader.address("address", true);
        reader.finish();
        if (vm && location)
            target.push_back({ vm_id(*vm), *location });
    }

    void readFleet(mapping_reader reader, settings& target, diagnostic_list& diagnostics)
    {
        constexpr std::size_t minKeyLength = 16;
        if (const auto key = reader.text("key", true)) {
            target.fleetKey = *key;
            if (key->size() < minKeyLength)
                diagnostics.add(reader.markOf("key"), "fleet.key has fewer than 16 characters; use a longer random key");
        }
        for (mapping_reader& seed : reader.list("seeds"))
            readSeed(std::move(seed), target.seeds);
        reader.finish();
    }

    void readOperators(std::vector<mapping_reader> readers, settings& target, diagnostic_list& diagnostics)
    {
        std::set<std::string> names;
        for (mapping_reader& reader : readers) {
            const auto name = reader.text("name", true);
            const auto digest = reader.digest("token_sha256");
            reader.finish();
            if (name && !names.insert(*name).second)
                diagnostics.add(reader.markOf("name"), reader.pathOf("name") + " repeats operator \"" + *name + "\"; give each operator one entry");
            if (name && digest)
                target.operators.push_back({ *name, *digest });
        }
    }

    void readLimits(mapping_reader reader, limit_settings& target)
    {
        constexpr std::uint64_t kibibyte = 1024;
        constexpr std::uint64_t mebibyte = 1024 * kibibyte;
        constexpr std::uint64_t tebibyte = mebibyte * mebibyte;
        constexpr double terabit = 1e12;
        assignIfSet(target.headBytes, reader.bytes("head", { kibibyte, mebibyte }));
        assignIfSet(target.bodyBytes, reader.bytes("body", { 0, 256 * mebibyte }));
        assignIfSet(target.memoryBytes, reader.bytes("memory", { 64 * mebibyte, tebibyte }));
        assignIfSet(target.linkBitsPerSecond, reader.bitRate("link", { 0, terabit }));
        assignIfSet(target.bufferBytes, reader.bytes("buffer", { 16 * kibibyte, 64 * mebibyte }));
        assignIfSet(target.connections, reader.number("connections", { 1, 1'000'000 }));
        reader.finish();
    }

    void readTimeouts(mapping_reader reader, timeout_settings& target)
    {
        const value_range<std::chrono::nanoseconds> range { 1ms, 60min };
        assignIfSet(target.head, reader.time("head", range));
        assignIfSet(target.body, reader.time("body", range));
        assignIfSet(target.queue, reader.time("queue", range));
        assignIfSet(target.connect, reader.time("connect", range));
        assignIfSet(target.firstByte, reader.time("first_byte", range));
        assignIfSet(target.idle, reader.time("idle", range));
        assignIfSet(target.serverRest, reader.time("server_rest", range));
        reader.finish();
    }

    void readShutdown(mapping_reader reader, shutdown_settings& target, diagnostic_list& diagnostics)
    {
        assignIfSet(target.grace, reader.time("grace", { 0ms, 10min }));
        assignIfSet(target.deadline, reader.time("deadline", { 0ms, 60min }));
        reader.finish();
        if (target.deadline < target.grace)
            diagnostics.add(reader.markOf("deadline"), "shutdown.deadline is shorter than shutdown.grace; make it at least as long");
    }

    void readPlacement(mapping_reader reader, placement_limits& target)
    {
        assignIfSet(target.loadsPerMinute, reader.number("loads_per_minute", { 1, 100'000 }));
        assignIfSet(target.modelsPerServer, reader.number("models_per_server", { 1, 1000 }));
        reader.finish();
    }

    void readFreshness(mapping_reader reader, freshness_bounds& target)
    {
        // With a bound below 1 s, the read interval alone would exceed it.
        const value_range<std::chrono::nanoseconds> range { 1s, 10min };
        assignIfSet(target.keys, reader.time("keys", range));
        assignIfSet(target.configuration, reader.time("configuration", range));
        assignIfSet(target.drain, reader.time("drain", range));
        assignIfSet(target.restoredHold, reader.time("restored_hold", { 2s, 10min }));
        reader.finish();
    }

    void readRetries(mapping_reader reader, retry_bounds& target)
    {
        assignIfSet(target.share, reader.decimal("share", { 0, 1 }));
        assignIfSet(target.extra, reader.decimal("extra", { 0, 1e6 }));
        reader.finish();
    }

    void readRollouts(mapping_reader reader, rollout_bounds& target)
    {
        assignIfSet(target.exposureShare, reader.decimal("exposure_share", { 0, 1 }));
        assignIfSet(target.exposureExtra, reader.decimal("exposure_extra", { 0, 1e6 }));
        assignIfSet(target.rollback, reader.time("rollback", { 1s, 10min }));
        reader.finish();
    }

    void readLog(mapping_reader reader, settings& target)
    {
        assignIfSet(target.logLevel, reader.choice("level", { "debug", "info", "warning", "error" }));
        reader.finish();
    }

    void checkAddresses(const listen_settings& listen, mapping_reader& root, diagnostic_list& diagnostics)
    {
        const YAML::Mark mark = root.markOf("listen");
        if (listen.callers.port != 0 && listen.callers == listen.admin)
            diagnostics.add(mark, "listen.callers and listen.admin are the same address; give each its own port");
        if (listen.callers.port != 0 && listen.callers == listen.peers)
            diagnostics.add(mark, "listen.callers and listen.peers are the same address; give each its own port");
        if (listen.admin.port != 0 && listen.admin == listen.peers)
            diagnostics.add(mark, "listen.admin and listen.peers are the same address; give each its own port");
    }

    void applyOverride(const YAML::Node& root, const setting_override& change, diagnostic_list& diagnostics)
    {
        YAML::Node node = root;
        std::size_t begin = 0;
        while (true) {
            const std::size_t dot = change.key.find('.', begin);
            const std::string part = change.key.substr(begin, dot - begin);
            if (part.empty() || (node.IsDefined() && !node.IsMap() && !node.IsNull())) {
                diagnostics.addWithoutLocation(change.origin + " names \"" + change.key + "\", which is not a setting; use section.key as in the settings file");
                return;
            }
            if (dot == std::string::npos) {
                node[part] = change.value;
                return;
            }
            if (!node[part])
                node[part] = YAML::Node(YAML::NodeType::Map);
            node.reset(YAML::Node(node[part]));
            begin = dot + 1;
        }
    }

    settings readRoot(const YAML::Node& tree, diagnostic_list& diagnostics)
    {
        settings target;
        mapping_reader root(tree, "", diagnostics);
        if (const auto vm = root.text("vm", true))
            target.vm = vm_id(*vm);
        if (const auto dataCentre = root.text("data_centre", true))
            target.dataCentre = data_centre_id(*dataCentre);
        readPlatform(root.section("platform", true), target.platform);
        // Routers that follow the row store get their peers and key from it.
        const bool hasFleetSection = target.platform.rows.port == 0;
        readListen(root.section("listen", true), target.listen);
        if (hasFleetSection)
            readFleet(root.section("fleet", true), target, diagnostics);
        readOperators(root.list("operators"), target, diagnostics);
        readLimits(root.section("limits", false), target.limits);
        readTimeouts(root.section("timeouts", false), target.timeouts);
        readShutdown(root.section("shutdown", false), target.shutdown, diagnostics);
        readPlacement(root.section("placement", false), target.placement);
        readFreshness(root.section("freshness", false), target.freshness);
        readRetries(root.section("retries", false), target.retries);
        readRollouts(root.section("rollouts", false), target.rollouts);
        assignIfSet(target.serverSpeed, root.choice("server_speed", { "usual", "learnt" }));
        assignIfSet(target.cores, root.decimal("cores", { 0.01, 1024 }));
        readLog(root.section("log", false), target);
        root.finish();
        checkAddresses(target.listen, root, diagnostics);
        return target;
    }

}

std::string formatDiagnostic(const setting_diagnostic& diagnostic)
{
    if (diagnostic.line == 0)
        return diagnostic.file + ": " + diagnostic.message;
    return diagnostic.file + ":" + std::to_string(diagnostic.line) + ":" + std::to_string(diagnostic.column) + ": " + diagnostic.message;
}

tl::expected<settings, std::vector<setting_diagnostic>> parseSettings(std::string_view text, const std::string& fileName,
    const std::vector<setting_override>& overrides)
{
    diagnostic_list diagnostics(fileName);
    settings parsed;
    try {
        YAML::Node tree = YAML::Load(std::string(text));
        if (tree.IsNull())
            tree = YAML::Node(YAML::NodeType::Map);
        for (const setting_override& change : overrides)
            applyOverride(tree, change, diagnostics);
        parsed = readRoot(tree, diagnostics);
    } catch (const YAML::Exception& exception) {
        diagnostics.add(exception.mark, "not valid YAML: " + exception.msg + "; correct the syntax");
    }
    if (!diagnostics.all().empty())
        return tl::unexpected(diagnostics.all());
    return parsed;
}

std::vector<setting_override> overridesFromEnvironment(const char* const* environment)
{
    std::vector<setting_override> overrides;
    for (; environment && *environment; ++environment) {
        const std::string_view entry(*environment);
        const std::size_t equals = entry.find('=');
        if (!entry.starts_with(environmentPrefix) || equals == std::string_view::npos)
            continue;
        const std::string name(entry.substr(0, equals));
        if (!isSettingName(std::string_view(name).substr(environmentPrefix.size())))
            continue;
        std::string key;
        for (std::size_t i = environmentPrefix.size(); i < name.size(); ++i) {
            const bool isSeparator = name.compare(i, 2, "__") == 0;
            key += isSeparator ? '.' : static_cast<char>(std::tolower(static_cast<unsigned char>(name[i])));
            i += isSeparator ? 1 : 0;
        }
        overrides.push_back({ key, std::string(entry.substr(equals + 1)), "environment variable " + name });
    }
    return overrides;
}

result<setting_override> overrideFromFlag(std::string_view text)
{
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos || equals == 0)
        return makeError(error_kind::invalidArgument, "flag --set has \"" + std::string(text) + "\"; write --set=section.key=value");
    return setting_override { std::string(text.substr(0, equals)), std::string(text.substr(equals + 1)), "flag --set" };
}

}
