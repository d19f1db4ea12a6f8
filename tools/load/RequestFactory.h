/// \file
/// Generates the requests of a workspace and the intervals between them, without
/// input or output.

#pragma once

#include <random>
#include <string>

#include "load/Plan.h"

namespace pimentoladder::load {

/// One request, which may be submitted several times.
struct planned_request {
    std::string id; ///< Unique among clients of distinct names.
    std::string idempotencyKey; ///< Empty if the plan specifies none.
    std::string body;
    std::uint32_t submissions = 0; ///< How often it has been submitted.

    /// Returns the id of the current submission, as recorded in histories.
    std::string submissionId() const;
};

/// Not thread-safe; call on the loop's thread.
class request_factory {
public:
    /// \p client distinguishes the ids of several load clients.
    request_factory(workspace_load settings, std::string client, std::uint64_t seed);

    const workspace_load& settings() const { return m_settings; }

    planned_request next();

    /// Decides at random whether an answered request is submitted a second time.
    bool drawDuplicate();

    /// Returns a random interval from one arrival to the next in open loop.
    duration nextGap();

private:
    std::string prompt(const std::string& id) const;

    workspace_load m_settings;
    std::string m_client;
    std::mt19937_64 m_random;
    std::uint64_t m_lastNumber = 0;
};

}
