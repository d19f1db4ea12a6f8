/// \file
/// Entry point and subcommands of pimentoladder.

#include <array>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <malloc.h>
#include <unistd.h>

#include "AdminCommand.h"
#include "ConfigurationCheck.h"
#include "pimentoladder/Daemon/DispatchProcess.h"
#include "pimentoladder/Daemon/RouterProcess.h"
#include "pimentoladder/Net/EventLoop.h"
#include "pimentoladder/Settings/Settings.h"
#include "pimentoladder/Telemetry/Log.h"
#include "platform/FleetRows.h"
#include "platform/RequestHeaders.h"
#include "platform/StoreClient.h"

ABSL_FLAG(std::string, config, "", "settings file");
ABSL_FLAG(std::vector<std::string>, set, {}, "settings that override the file and the environment: section.key=value,...");

ABSL_FLAG(std::string, configuration, "", "check: operators' configuration, as the store holds it; - for standard input");
ABSL_FLAG(std::string, against, "", "check: configuration in force, to compare with");
ABSL_FLAG(std::string, format, "text", "check of a configuration: text or json");
ABSL_FLAG(std::uint32_t, router_memory, 120, "check of a configuration: memory of the smallest router, in MiB");

namespace pimentoladder {

namespace {

    constexpr int exitOk = 0;
    constexpr int exitFailed = 1;
    constexpr int exitUsage = 2;

    // Long enough to batch the lines of several requests into one write, short
    // enough that lines appear soon after their events.
    constexpr duration logFlushInterval = std::chrono::milliseconds(10);

    // Larger blocks are returned to the system when they are freed. Otherwise the allocator raises
    // the threshold after the first large body, and keeps the memory of later ones.
    constexpr int mappedBlockBytes = 128 * 1024;

    constexpr const char* usage = "usage: pimentoladder COMMAND [FLAGS]\n"
                                  "\n"
                                  "  run --config=FILE     run a router\n"
                                  "  check --config=FILE   check a settings file and report every error\n"
                                  "  check --configuration=FILE [--against=FILE] [--format=json] [--router_memory=MIB]\n"
                                  "                        check an operators' configuration (- for standard input): errors,\n"
                                  "                        entries that can never match, limits that contradict each other,\n"
                                  "                        and what differs from the version in force. Starts nothing.\n"
                                  "                        Exit code 0: sound, 1: findings, 2: cannot be read\n"
                                  "  admin ...             administer a running router; see `admin help`\n"
                                  "  version               print the version\n"
                                  "\n"
                                  "Settings are taken from --set, then the environment (PIMENTOLADDER_SECTION__KEY),\n"
                                  "then the file, then the defaults.\n";

    result<std::string> readFile(const std::string& path)
    {
        std::ifstream file(path, std::ios::binary);
        if (!file)
            return makeError(error_kind::notFound, "settings file \"" + path + "\" cannot be read; check the path given with --config");
        return std::string(std::istreambuf_iterator<char>(file), {});
    }

    result<std::vector<setting_override>> collectOverrides()
    {
        std::vector<setting_override> overrides = overridesFromEnvironment(environ);
        for (const std::string& text : absl::GetFlag(FLAGS_set)) {
            auto parsed = overrideFromFlag(text);
            if (!parsed)
                return tl::unexpected(parsed.error());
            overrides.push_back(std::move(*parsed));
        }
        return overrides;
    }

    std::optional<settings> loadSettings()
    {
        const std::string path = absl::GetFlag(FLAGS_config);
        const auto text = readFile(path);
        const auto overrides = collectOverrides();
        if (!text || !overrides) {
            std::cerr << (text ? overrides.error().message : text.error().message) << "\n";
            return std::nullopt;
        }
        auto parsed = parseSettings(*text, path, *overrides);
        if (parsed)
            return std::move(*parsed);
        for (const setting_diagnostic& fault : parsed.error())
            std::cerr << formatDiagnostic(fault) << "\n";
        return std::nullopt;
    }

    int check()
    {
        constexpr std::uint64_t mebibyte = std::uint64_t { 1024 } * 1024;
        if (const std::string path = absl::GetFlag(FLAGS_configuration); !path.empty()) {
            const configuration_check_request request { path, absl::GetFlag(FLAGS_against), absl::GetFlag(FLAGS_format), absl::GetFlag(FLAGS_router_memory) * mebibyte };
            return checkConfiguration(request, std::cin, std::cout, std::cerr);
        }
        if (!loadSettings())
            return exitUsage;
        std::cout << "settings are valid\n";
        return exitOk;
    }

    // Returns the incarnation of this process: the wall-clock time in milliseconds.
    // It increases with every start, even if the VM has been replaced, which resets
    // a monotonic clock.
    incarnation incarnationFromWallClock()
    {
        const auto wallTime = std::chrono::system_clock::now().time_since_epoch();
        return incarnation(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(wallTime).count()));
    }

    // Runs a router that coordinates grants with its peers through the table.
    int runWithPeers(event_loop& loop, logger& log, const settings& configured)
    {
        router_process router(loop, log, configured, incarnationFromWallClock(), std::random_device {}());
        signal_listener onTerminate(loop, SIGTERM, [&router](time_point receivedAt) { router.shutDown(receivedAt); });
        signal_listener onInterrupt(loop, SIGINT, [&router](time_point receivedAt) { router.interrupt(receivedAt); });
        if (const auto started = router.start(); !started) {
            std::cerr << started.error().message << "\n";
            return exitFailed;
        }
        loop.run();
        return exitOk;
    }

    // Runs a router that reads published rows and decides without its peers.
    int runWithRows(event_loop& loop, logger& log, const settings& configured)
    {
        platform::store_client rows(loop, configured.platform.rows);
        platform::fleet_rows fleet;
        platform::request_headers ingress;
        dispatch_process router(loop, log, configured, { rows, fleet, ingress }, incarnationFromWallClock(), std::random_device {}());
        signal_listener onTerminate(loop, SIGTERM, [&router](time_point receivedAt) { router.shutDown(receivedAt); });
        signal_listener onInterrupt(loop, SIGINT, [&router](time_point receivedAt) { router.interrupt(receivedAt); });
        signal_listener onHangUp(loop, SIGHUP, [&router](time_point) {
            // If the new settings are invalid, loadSettings() prints the errors and the
            // current settings remain in force.
            if (const auto changed = loadSettings())
                router.reload(*changed);
        });
        if (const auto started = router.start(); !started) {
            std::cerr << started.error().message << "\n";
            return exitFailed;
        }
        loop.run();
        return exitOk;
    }

    int run()
    {
        const auto configured = loadSettings();
        if (!configured)
            return exitUsage;
        std::signal(SIGPIPE, SIG_IGN);
        mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
        event_loop loop;
        // Log lines are buffered until the flush timer expires, and longer while
        // standard output does not accept them.
        log_line_buffer* lines = nullptr;
        loop_timer flushTimer(loop, [&lines] { lines->flush(); });
        log_line_buffer batch(STDOUT_FILENO, [&flushTimer] { flushTimer.arm(logFlushInterval); });
        lines = &batch;
        logger log(
            parseLogLevel(configured->logLevel), [&batch](std::string_view line) { return batch.add(line); }, [&loop] { return loop.now(); });
        const bool followsRows = configured->platform.rows.port != 0;
        const int code = followsRows ? runWithRows(loop, log, *configured) : runWithPeers(loop, log, *configured);
        batch.flush();
        return code;
    }

    int printVersion()
    {
        std::cout << "pimentoladder " << PIMENTOLADDER_VERSION << "\n";
        return exitOk;
    }

    int printUsage()
    {
        std::cout << usage;
        return exitOk;
    }

    struct command {
        std::string_view name;
        int (*execute)();
    };

    constexpr std::array<command, 4> commands { {
        { "run", run },
        { "check", check },
        { "version", printVersion },
        { "help", printUsage },
    } };

}

int execute(int argc, char** argv)
{
    const std::string name = argc > 1 ? argv[1] : "help";
    if (name == "admin")
        return runAdmin({ argv + 2, argv + argc });
    absl::SetProgramUsageMessage(usage);
    absl::ParseCommandLine(argc, argv);
    for (const command& candidate : commands) {
        if (candidate.name == name)
            return candidate.execute();
    }
    std::cerr << "unknown command \"" << name << "\"\n"
              << usage;
    return exitUsage;
}

}

int main(int argc, char** argv)
{
    return pimentoladder::execute(argc, argv);
}
