/// \file
/// Log lines for the core's decisions.

#pragma once

#include "pimentoladder/Router/Actions.h"
#include "pimentoladder/Telemetry/Log.h"

namespace pimentoladder {

/// Writes one line for each decision. Not thread-safe; call on the loop's thread.
class decision_log {
public:
    /// \p log outlives the object.
    explicit decision_log(logger& log)
        : m_log(log)
    {
    }

    void perform(const route_decision& decided);
    void perform(const ownership_decision& decided);
    void perform(const grant_issued& issued);
    void perform(const limit_decision& decided);
    void perform(const placement_decision& decided);
    void perform(const document_applied& applied);
    void perform(const change_incarnation& changed);
    void perform(const report_fault& reported);

private:
    logger& m_log;
};

}
