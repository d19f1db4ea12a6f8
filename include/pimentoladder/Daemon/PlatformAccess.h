/// \file
/// Builds the clients of the platform's services over HTTP.

#pragma once

#include <cstdint>
#include <memory>

#include "pimentoladder/Daemon/PlatformGateway.h"
#include "pimentoladder/Net/EventLoop.h"
#include "pimentoladder/Settings/Settings.h"

namespace pimentoladder {

/// Owns the transports, runners and clients. Not thread-safe; call on the
/// loop's thread.
class platform_access {
public:
    /// \p loop outlives the object. \p seed drives the jitter of retries.
    platform_access(event_loop& loop, const platform_settings& locations, std::uint64_t seed);
    ~platform_access();
    platform_access(const platform_access&) = delete;
    platform_access& operator=(const platform_access&) = delete;

    platform_clients clients();

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

}
