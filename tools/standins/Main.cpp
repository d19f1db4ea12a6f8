/// \file
/// Program `pimentoladder-standins`; docs/standins.md describes it.

#include <cstdio>
#include <functional>
#include <iostream>
#include <memory>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/time/time.h>

#include "standins/EngineService.h"
#include "standins/PlatformService.h"
#include "standins/PortalService.h"
#include "standins/Relay.h"
#include "standins/platform/BackendService.h"
#include "standins/platform/StoreService.h"

ABSL_FLAG(std::string, role, "", "engine, portal, platform, relay, store or backend");
ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to serve HTTP on; port 0 takes a free port");
ABSL_FLAG(std::string, name, "", "name in histories; default: the role");
ABSL_FLAG(std::string, history, "", "file for the history; default: standard output");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of all random numbers");
ABSL_FLAG(std::string, data_centre, "", "data centre, for histories");
ABSL_FLAG(absl::Duration, load_lag, absl::Milliseconds(500), "age of load reports");

ABSL_FLAG(std::uint32_t, limit, 8, "engine, portal: requests in flight at full speed");
ABSL_FLAG(std::uint32_t, cold_limit, 2, "engine: requests in flight without overload when cold");
ABSL_FLAG(std::uint32_t, warm_after, 8, "engine: requests that finish before it is warm");
ABSL_FLAG(absl::Duration, step_time, absl::Milliseconds(5), "engine: duration of one step, which generates one token of every stream");
ABSL_FLAG(std::uint32_t, mean_tokens, 100, "engine: mean output tokens of a request without hiddenTokens");
ABSL_FLAG(std::uint32_t, cache_blocks, 4096, "engine: blocks in the prefix cache");
ABSL_FLAG(absl::Duration, cache_event_lag, absl::Seconds(1), "engine: age of cache events");
ABSL_FLAG(double, cache_event_loss, 0.05, "engine: share of cache events that are never published");
ABSL_FLAG(absl::Duration, load_time, absl::Seconds(2), "engine: time to load a model");
ABSL_FLAG(absl::Duration, resume_window, absl::Seconds(10), "engine: how long a stream without a caller can be resumed");
ABSL_FLAG(bool, fenced, true, "engine: refuse orders with an old fencing token");
ABSL_FLAG(std::string, crash_marker, "crash-marker", "engine: text in a request body that crashes the process");
ABSL_FLAG(std::string, model, "base", "engine: model loaded at startup");

ABSL_FLAG(absl::Duration, service_time, absl::Milliseconds(2), "portal: time of one request");

ABSL_FLAG(absl::Duration, vm_list_lag, absl::Seconds(2), "platform: age of the VM list");
ABSL_FLAG(std::uint32_t, reads_per_second, 0, "platform: reads above this rate get 429; 0: unlimited");
ABSL_FLAG(std::uint32_t, writes_per_second, 0, "platform: writes above this rate get 429; 0: unlimited");

ABSL_FLAG(absl::Duration, registration_lifetime, absl::Seconds(3), "store: a registration that is not renewed for this long is removed");

ABSL_FLAG(std::string, store, "", "backend: IP:port of the store to register in; default: none");
ABSL_FLAG(std::string, advertised, "", "backend: IP:port under which routers reach it; default: the one of --listen");
ABSL_FLAG(std::string, pool, "", "backend: pool of backend servers that it joins");
ABSL_FLAG(std::uint32_t, slots, 8, "backend: limit of requests in progress; further ones are refused without running");
ABSL_FLAG(absl::Duration, heartbeat, absl::Seconds(1), "backend: time between two registrations");
ABSL_FLAG(std::string, crash_part, "", "backend: prompt part, in hexadecimal, that ends the process when a response on it begins; default: none");
ABSL_FLAG(std::string, software_version, "1", "backend: software version that it registers");
ABSL_FLAG(absl::Duration, cold_start, absl::ZeroDuration(), "backend: how long it reports itself as cold after its start");

ABSL_FLAG(std::string, links, "", "relay: name=IP:port>IP:port, separated by commas");

namespace pimentoladder::standins {
namespace {

    duration flagTime(const absl::Flag<absl::Duration>& flag)
    {
        return absl::ToChronoNanoseconds(absl::GetFlag(flag));
    }

    engine_service_settings engineSettings()
    {
        engine_service_settings settings;
        settings.model.limit = absl::GetFlag(FLAGS_limit);
        settings.model.coldLimit = absl::GetFlag(FLAGS_cold_limit);
        settings.model.warmAfter = absl::GetFlag(FLAGS_warm_after);
        settings.model.stepTime = flagTime(FLAGS_step_time);
        settings.model.meanTokens = absl::GetFlag(FLAGS_mean_tokens);
        settings.model.cacheBlocks = absl::GetFlag(FLAGS_cache_blocks);
        settings.loadLag = flagTime(FLAGS_load_lag);
        settings.cacheEventLag = flagTime(FLAGS_cache_event_lag);
        settings.cacheEventLoss = absl::GetFlag(FLAGS_cache_event_loss);
        settings.loadTime = flagTime(FLAGS_load_time);
        settings.resumeWindow = flagTime(FLAGS_resume_window);
        settings.isFenced = absl::GetFlag(FLAGS_fenced);
        settings.crashMarker = absl::GetFlag(FLAGS_crash_marker);
        settings.initialModel = absl::GetFlag(FLAGS_model);
        settings.dataCentre = absl::GetFlag(FLAGS_data_centre);
        return settings;
    }

    portal_settings portalSettings()
    {
        return { flagTime(FLAGS_service_time), absl::GetFlag(FLAGS_limit), flagTime(FLAGS_load_lag), absl::GetFlag(FLAGS_data_centre) };
    }

    platform_settings platformSettings()
    {
        return { flagTime(FLAGS_vm_list_lag), absl::GetFlag(FLAGS_reads_per_second), absl::GetFlag(FLAGS_writes_per_second) };
    }

    store_settings storeSettings()
    {
        return { flagTime(FLAGS_registration_lifetime) };
    }

    backend_settings backendSettings()
    {
        backend_settings settings;
        settings.model = engineSettings().model;
        settings.pool = absl::GetFlag(FLAGS_pool);
        settings.dataCentre = absl::GetFlag(FLAGS_data_centre);
        settings.advertised = absl::GetFlag(FLAGS_advertised).empty() ? absl::GetFlag(FLAGS_listen) : absl::GetFlag(FLAGS_advertised);
        settings.slots = absl::GetFlag(FLAGS_slots);
        settings.serviceTime = flagTime(FLAGS_service_time);
        if (!absl::GetFlag(FLAGS_store).empty())
            settings.store = tools::parseAddress(absl::GetFlag(FLAGS_store));
        settings.heartbeat = flagTime(FLAGS_heartbeat);
        settings.crashPart = absl::GetFlag(FLAGS_crash_part);
        settings.version = absl::GetFlag(FLAGS_software_version);
        settings.coldStart = flagTime(FLAGS_cold_start);
        return settings;
    }

    template <typename Service>
    tools::http_server::handler handlerOf(std::shared_ptr<Service> service)
    {
        return [service = std::move(service)](const exchange_ptr& exchange) { service->handle(exchange); };
    }

    struct role {
        std::string_view name;
        tools::http_server::handler (*make)(service_context context);
    };

    constexpr std::array<role, 6> roles { {
        { "engine", [](service_context context) { return handlerOf(std::make_shared<engine_service>(std::move(context), engineSettings())); } },
        { "portal", [](service_context context) { return handlerOf(std::make_shared<portal_service>(std::move(context), portalSettings())); } },
        { "platform", [](service_context context) { return handlerOf(std::make_shared<platform_service>(std::move(context), platformSettings())); } },
        { "store", [](service_context context) { return handlerOf(std::make_shared<store_service>(std::move(context), storeSettings())); } },
        { "backend", [](service_context context) { return handlerOf(std::make_shared<backend_service>(std::move(context), backendSettings())); } },
        { "relay", [](service_context context) {
             auto service = std::make_shared<relay_service>(std::move(context), parseLinks(absl::GetFlag(FLAGS_links)));
             for (const auto& link : service->links())
                 std::cout << nlohmann::json { { "link", link->name() }, { "port", link->port() } }.dump() << '\n';
             return handlerOf(std::move(service));
         } },
    } };

    int run()
    {
        const std::string name = absl::GetFlag(FLAGS_role);
        const auto* chosen = std::ranges::find(roles, name, &role::name);
        if (chosen == roles.end()) {
            std::cerr << "unknown role \"" << name << "\"; use --role=engine, portal, platform, relay, store or backend\n";
            return 2;
        }
        const std::string shownName = absl::GetFlag(FLAGS_name).empty() ? name : absl::GetFlag(FLAGS_name);
        tools::loop events;
        events.stopOnSignals();
        tools::history_writer history(absl::GetFlag(FLAGS_history), shownName);
        tools::http_server server(events, absl::GetFlag(FLAGS_listen),
            chosen->make({ events, history, shownName, absl::GetFlag(FLAGS_seed) }));
        std::cout << nlohmann::json { { "listening", name }, { "port", server.port() } }.dump() << std::endl;
        events.run();
        return 0;
    }

}
}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Stand-ins for a model engine, a portal, the platform and a network link; see docs/standins.md.");
    absl::ParseCommandLine(argc, argv);
    try {
        return pimentoladder::standins::run();
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n';
        return 1;
    }
}
