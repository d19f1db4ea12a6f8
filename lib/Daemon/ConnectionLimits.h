/// \file
/// Connection limits derived from the settings.

#pragma once

#include "pimentoladder/Net/HttpClient.h"
#include "pimentoladder/Net/HttpServer.h"
#include "pimentoladder/Settings/Settings.h"

namespace pimentoladder {

/// Returns the limits of connections to backend servers. Thread-safe.
http_client_limits backendLimits(const settings& configured);

/// Returns the limits of callers' connections. Thread-safe.
http_server_limits callerLimits(const settings& configured);

}
