/// \file
/// A whole router that decides alone, from its settings.

#pragma once

#include <cstdint>
#include <memory>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Daemon/IngressCodec.h"
#include "pimentoladder/Dispatch/FleetCodec.h"
#include "pimentoladder/Net/EventLoop.h"
#include "pimentoladder/Platform/RowStore.h"
#include "pimentoladder/Settings/Settings.h"
#include "pimentoladder/Telemetry/Log.h"

namespace pimentoladder {

/// What a platform provides to the process.
struct platform_ports {
    row_store& rows;
    const fleet_codec& fleet;
    ingress_codec& ingress;
};

/// Builds every part of a router and connects them.
/// Not thread-safe; call on the loop's thread.
class dispatch_process {
public:
    /// The references outlive the process. \p start grows from start to start
    /// of the VM; \p seed seeds the process's random numbers.
    dispatch_process(event_loop& loop, logger& log, const settings& configured, platform_ports ports, incarnation start, std::uint64_t seed);
    ~dispatch_process();
    dispatch_process(const dispatch_process&) = delete;
    dispatch_process& operator=(const dispatch_process&) = delete;

    /// Starts to listen and to read the store. Errors: `unavailable` if an
    /// address cannot be bound.
    result<void> start();

    /// Reports unready, then ends after the requests in progress, or at the
    /// deadline of the settings. Stops the loop.
    void shutDown();

    /// Takes over what may change while the process runs: the log level.
    void reload(const settings& changed);

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

}
