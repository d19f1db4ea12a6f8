/// \file
/// The body of the `/metrics` endpoint.

#pragma once

#include <string>

#include "pimentoladder/Daemon/CoreDriver.h"
#include "pimentoladder/Daemon/PeerMesh.h"
#include "pimentoladder/Telemetry/Log.h"
#include "pimentoladder/Telemetry/Metrics.h"

namespace pimentoladder {

/// Collects the figures of all components on each request for the metrics. Not
/// thread-safe; call on the loop's thread.
class metrics_report {
public:
    /// The references outlive the report.
    metrics_report(core_driver& driver, metrics& values, const peer_mesh& mesh, const logger& log);

    std::string text();

private:
    void collectRouter();
    void collectShards();
    void collectPlacement();
    void collectLinks();

    core_driver& m_driver;
    metrics& m_metrics;
    const peer_mesh& m_mesh;
    const logger& m_log;
};

}
