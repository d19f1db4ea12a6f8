/// \file
/// Metrics in the Prometheus text format.

#pragma once

#include <memory>
#include <string>
#include <vector>

#include "pimentoladder/Base/Time.h"

namespace prometheus {
class Registry;
}

namespace pimentoladder {

/// One label of a metric.
struct metric_label {
    std::string name;
    std::string value;
};

/// Registry of the process's metrics. Not thread-safe; call on the loop's
/// thread. A metric is created by its first use; the same name must always be
/// used with the same kind.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Adds \p amount to a counter. Precondition: it is not negative.
    void count(const std::string& name, const std::vector<metric_label>& labels, double amount = 1);

    /// Sets a gauge.
    void set(const std::string& name, const std::vector<metric_label>& labels, double value);

    /// Records a duration, in seconds, in a histogram.
    void observe(const std::string& name, const std::vector<metric_label>& labels, duration value);

    /// Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
};

}
