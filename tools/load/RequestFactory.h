/// \file
/// Draws the requests of a workspace and the gaps between them, without input
/// or output.

#pragma once

#include <random>
#include <string>

#include "load/Plan.h"

namespace pimentoladder::load {

/// One request to be sent.
struct planned_request {
    std::string id; ///< Unique in all runs with distinct client names.
    std::string idempotencyKey; ///< Empty if the plan wants none.
    std::string body;
};

/// Not thread-safe; call on the loop's thread.
class request_factory {
public:
    /// \p client distinguishes the ids of several load clients.
    request_factory(workspace_load settings, std::string client, std::uint64_t seed);

    const workspace_load& settings() const { return m_settings; }

    planned_request next();

    /// Returns the time from one arrival to the next in open loop.
    duration nextGap();

private:
    std::string prompt(const std::string& id) const;

    workspace_load m_settings;
    std::string m_client;
    std::mt19937_64 m_random;
    std::uint64_t m_lastNumber = 0;
};

}
