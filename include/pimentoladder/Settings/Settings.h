/// \file
/// Settings of one router process, read from a YAML file and validated
/// completely before startup.

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Config/Document.h"

namespace pimentoladder {

/// Addresses on which the router listens.
struct listen_settings {
    endpoint callers; ///< Requests of workspaces.
    endpoint admin; ///< Administration API, metrics and health.
    endpoint metrics; ///< An additional address for metrics; port 0: none.
    endpoint peers; ///< Frames from other routers.
    endpoint peersAdvertised; ///< Address that other routers connect to; defaults to `peers`.
};

/// Addresses of the platform's services: either `rows`, or the other three.
struct platform_settings {
    endpoint rows; ///< Row store to which operators and backend servers publish; port 0: not used.
    endpoint table;
    endpoint objects;
    endpoint vms;
};

/// A router to contact at startup, before the document is known.
struct seed_settings {
    vm_id vm;
    endpoint location;
};

/// An operator of the administration API.
struct operator_settings {
    std::string name;
    std::string tokenDigest; ///< Lower-case hexadecimal SHA-256 of the token.
};

/// Limits on requests and connections.
struct limit_settings {
    std::uint64_t headBytes = 32UL * 1024;
    std::uint64_t bodyBytes = 8UL * 1024 * 1024;
    std::uint64_t connections = 4096;
    std::uint64_t memoryBytes = 512UL * 1024 * 1024; ///< Memory that this process may use.
    double linkBitsPerSecond = 0; ///< Rate of this VM's network link in each direction; zero: not known.
    std::uint64_t bufferBytes = 256UL * 1024; ///< Unsent response bytes per request above which reading from the server pauses.
};

struct timeout_settings {
    std::chrono::nanoseconds head = std::chrono::seconds(10);
    std::chrono::nanoseconds body = std::chrono::seconds(30);
    std::chrono::nanoseconds queue = std::chrono::seconds(30);
    std::chrono::nanoseconds connect = std::chrono::seconds(1);
    std::chrono::nanoseconds firstByte = std::chrono::seconds(60);
    std::chrono::nanoseconds idle = std::chrono::seconds(30);
    std::chrono::nanoseconds serverRest = std::chrono::seconds(30); ///< Longest time for which a server that turned a request away is left alone.
};

struct shutdown_settings {
    std::chrono::nanoseconds grace = std::chrono::seconds(5); ///< How long the router reports unready before it refuses new requests.
    std::chrono::nanoseconds deadline = std::chrono::seconds(60); ///< After this time, requests in progress are aborted.
};

/// Upper bounds, set by the platform, on acting upon stale rows.
struct freshness_bounds {
    std::chrono::nanoseconds keys = std::chrono::seconds(5); ///< Time until a revoked key is refused everywhere.
    std::chrono::nanoseconds configuration = std::chrono::seconds(2); ///< Time until a configuration is in force everywhere.
    std::chrono::nanoseconds drain = std::chrono::seconds(2); ///< Time until a leaving server receives no new requests.
    std::chrono::nanoseconds restoredHold = std::chrono::minutes(1); ///< How long rows stay in force that a store restored from a copy lacks.
};

/// Bounds of the platform on roll-outs of a software version.
struct rollout_bounds {
    double exposureShare = 0.1; ///< Part of a pool's requests that a faulty version may get.
    double exposureExtra = 50; ///< Requests that it may get besides; the platform may derive a fraction.
    std::chrono::nanoseconds rollback = std::chrono::seconds(5); ///< Time from its 50th bad response after which it gets none.
};

/// Retry budget that the platform allows all routers together, in 10 s.
struct retry_bounds {
    double share = 0.1; ///< Retries allowed for each request.
    double extra = 36; ///< Retries allowed at any request rate; the platform may derive a fraction.
};

/// Limits on the placement of models; must be the same on all routers.
struct placement_limits {
    std::uint64_t loadsPerMinute = 60; ///< Model loads that the weight store sustains for the whole fleet.
    std::uint64_t modelsPerServer = 4; ///< Models that one engine holds at once.
};

/// All settings of one router process.
struct settings {
    vm_id vm;
    data_centre_id dataCentre;
    listen_settings listen;
    platform_settings platform;
    std::string fleetKey; ///< Secret shared by all routers of the fleet.
    std::vector<seed_settings> seeds;
    std::vector<operator_settings> operators;
    limit_settings limits;
    timeout_settings timeouts;
    shutdown_settings shutdown;
    placement_limits placement;
    freshness_bounds freshness;
    retry_bounds retries;
    rollout_bounds rollouts;
    std::string serverSpeed = "usual"; ///< `usual` or `learnt`: on which speed of backend servers estimates rest.
    double cores = 1; ///< CPU cores available to this VM; may be a fraction.
    std::string logLevel = "info";
};

/// A value that replaces one in the file. Later overrides take precedence.
struct setting_override {
    std::string key; ///< Path in the file, for example `listen.callers`.
    std::string value;
    std::string origin; ///< Source of the override, for messages: `flag --set` or the environment variable.
};

/// A diagnostic for one error in the settings.
struct setting_diagnostic {
    std::string file;
    int line = 0; ///< 1-based; 0 if the error has no location in the file.
    int column = 0; ///< 1-based.
    std::string message; ///< What was expected, and the remedy.
};

/// Returns `file:line:column: message`. Thread-safe.
std::string formatDiagnostic(const setting_diagnostic& diagnostic);

/// Parses and validates the YAML text of a settings file with its overrides.
/// Returns the settings, or a diagnostic for every error found. Thread-safe.
tl::expected<settings, std::vector<setting_diagnostic>> parseSettings(std::string_view text, const std::string& fileName,
    const std::vector<setting_override>& overrides);

/// Converts environment variables named `PIMENTOLADDER_SECTION__KEY`,
/// `PIMENTOLADDER_VM` and `PIMENTOLADDER_DATA_CENTRE` into overrides and ignores
/// all others. \p environment is a null-terminated list of `NAME=value`.
/// Thread-safe.
std::vector<setting_override> overridesFromEnvironment(const char* const* environment);

/// Parses the `key=value` argument of the flag `--set`. Errors: `invalidArgument`.
/// Thread-safe.
result<setting_override> overrideFromFlag(std::string_view text);

}
