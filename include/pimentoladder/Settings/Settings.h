/// \file
/// Settings of one router process, read from a YAML file and checked as a
/// whole before anything starts.

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

struct listen_settings {
    endpoint callers; ///< Requests of workspaces.
    endpoint admin; ///< Administration API, metrics and health.
    endpoint metrics; ///< A second address for metrics; port 0: none.
    endpoint peers; ///< Frames from other routers.
    endpoint peersAdvertised; ///< Where other routers connect to for `peers`; the same unless it is set.
};

/// Either `rows`, or the other three.
struct platform_settings {
    endpoint rows; ///< Store of rows to which operators and backend servers publish; port 0: not used.
    endpoint table;
    endpoint objects;
    endpoint vms;
};

/// A router to connect to before the document is known.
struct seed_settings {
    vm_id vm;
    endpoint location;
};

/// An operator of the administration API.
struct operator_settings {
    std::string name;
    std::string tokenDigest; ///< Lower-case hexadecimal SHA-256 of the token.
};

struct limit_settings {
    std::uint64_t headBytes = 32UL * 1024;
    std::uint64_t bodyBytes = 8UL * 1024 * 1024;
    std::uint64_t connections = 4096;
    std::uint64_t bufferBytes = 256UL * 1024; ///< Unsent answer bytes for each request before reading pauses.
};

struct timeout_settings {
    std::chrono::nanoseconds head = std::chrono::seconds(10);
    std::chrono::nanoseconds body = std::chrono::seconds(30);
    std::chrono::nanoseconds queue = std::chrono::seconds(30);
    std::chrono::nanoseconds connect = std::chrono::seconds(1);
    std::chrono::nanoseconds firstByte = std::chrono::seconds(60);
    std::chrono::nanoseconds idle = std::chrono::seconds(30);
};

struct shutdown_settings {
    std::chrono::nanoseconds grace = std::chrono::seconds(5); ///< Unready before new work is refused.
    std::chrono::nanoseconds deadline = std::chrono::seconds(60); ///< Work in progress is cut after this.
};

/// Bounds that the platform sets on acting upon old rows.
struct freshness_bounds {
    std::chrono::nanoseconds keys = std::chrono::seconds(5); ///< Until a withdrawn key is refused everywhere.
    std::chrono::nanoseconds configuration = std::chrono::seconds(2); ///< Until a configuration is in force everywhere.
    std::chrono::nanoseconds drain = std::chrono::seconds(2); ///< Until a leaving server gets no new work.
};

/// Retries that the platform bears from all routers together, in 10 s.
struct retry_bounds {
    double share = 0.1; ///< For each request.
    std::uint64_t extra = 36; ///< At any rate of requests.
};

/// Placement of models; must be the same on all routers.
struct placement_limits {
    std::uint64_t loadsPerMinute = 60; ///< That the weight store bears from the whole fleet.
    std::uint64_t modelsPerServer = 4; ///< That one engine holds at once.
};

struct settings {
    vm_id vm;
    data_centre_id dataCentre;
    listen_settings listen;
    platform_settings platform;
    std::string fleetKey; ///< Shared secret of the routers.
    std::vector<seed_settings> seeds;
    std::vector<operator_settings> operators;
    limit_settings limits;
    timeout_settings timeouts;
    shutdown_settings shutdown;
    placement_limits placement;
    freshness_bounds freshness;
    retry_bounds retries;
    double cores = 1; ///< Processor share of this VM.
    std::string logLevel = "info";
};

/// A value that takes the place of one in the file. Later overrides win.
struct setting_override {
    std::string key; ///< Path in the file, for example `listen.callers`.
    std::string value;
    std::string origin; ///< For messages: `flag --set` or the variable's name.
};

/// One fault in the settings.
struct setting_fault {
    std::string file;
    int line = 0; ///< From 1; 0 if the fault has no place in the file.
    int column = 0; ///< From 1.
    std::string message; ///< What was expected, and the remedy.
};

/// Returns `file:line:column: message`. Thread-safe.
std::string describeFault(const setting_fault& fault);

/// Parses and checks the YAML text of a settings file with its overrides.
/// Returns the settings, or every fault found. Thread-safe.
tl::expected<settings, std::vector<setting_fault>> parseSettings(std::string_view text, const std::string& fileName,
    const std::vector<setting_override>& overrides);

/// Turns environment variables named `PIMENTOLADDER_SECTION__KEY`,
/// `PIMENTOLADDER_VM` and `PIMENTOLADDER_DATA_CENTRE` into overrides; others are
/// left alone. \p environment is a null-terminated list of `NAME=value`.
/// Thread-safe.
std::vector<setting_override> overridesFromEnvironment(const char* const* environment);

/// Parses one `key=value` of the flag `--set`. Errors: `invalidArgument`.
/// Thread-safe.
result<setting_override> overrideFromFlag(std::string_view text);

}
