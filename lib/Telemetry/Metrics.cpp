#include "pimentoladder/Telemetry/Metrics.h"

#include <map>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace pimentoladder {

namespace {

    std::map<std::string, std::string> toLabels(const std::vector<metric_label>& labels)
    {
        std::map<std::string, std::string> converted;
        for (const metric_label& label : labels)
            converted[label.name] = label.value;
        return converted;
    }

    const prometheus::Histogram::BucketBoundaries& latencyBuckets()
    {
        static const prometheus::Histogram::BucketBoundaries boundaries {
            0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30, 100
        };
        return boundaries;
    }

}

metrics::metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
{
}

metrics::~metrics() = default;

void metrics::count(const std::string& name, const std::vector<metric_label>& labels, double amount)
{
    prometheus::BuildCounter().Name(name).Register(*m_registry).Add(toLabels(labels)).Increment(amount);
}

void metrics::set(const std::string& name, const std::vector<metric_label>& labels, double value)
{
    prometheus::BuildGauge().Name(name).Register(*m_registry).Add(toLabels(labels)).Set(value);
}

void metrics::observe(const std::string& name, const std::vector<metric_label>& labels, duration value)
{
    prometheus::BuildHistogram().Name(name).Register(*m_registry).Add(toLabels(labels), latencyBuckets()).Observe(std::chrono::duration<double>(value).count());
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

}
