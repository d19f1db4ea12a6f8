/// \file
/// A router process that decides without a shard owner, built from its settings.

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

/// Adapters through which the process uses a platform.
struct platform_ports {
    row_store& rows;
    const fleet_codec& fleet;
    ingress_codec& ingress;
};

/// Builds every part of a router and connects them.
/// Not thread-safe; call on the loop's thread.
class dispatch_process {
public:
    /// The references outlive the process. \p start exceeds that of any earlier
    /// start on this VM; \p seed seeds the process's random numbers.
    dispatch_process(event_loop& loop, logger& log, const settings& configured, platform_ports ports, incarnation start, std::uint64_t seed);
    ~dispatch_process();
    dispatch_process(const dispatch_process&) = delete;
    dispatch_process& operator=(const dispatch_process&) = delete;

    /// Opens the listeners and starts to read the store. Errors: `unavailable` if an
    /// address cannot be bound.
    result<void> start();

    /// Reports unready and closes connections after their responses, then drains, and stops
    /// the loop once no request is in progress. At the deadline of the settings it aborts the
    /// remaining requests, and stops when all pending responses are written or shortly after.
    /// The times of the settings count from \p receivedAt, when the signal came. Further
    /// calls change nothing.
    void shutDown(time_point receivedAt);

    /// Shuts down, or ends the shutdown that is in progress at once.
    void interrupt(time_point receivedAt);

    /// Applies the settings that may change at run time: the log level.
    void reload(const settings& changed);

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

}
