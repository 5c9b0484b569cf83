#include "Metrics.h"

#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace bilberry {

// Upper bounds of the latency buckets, in seconds. 0.05 and 0.83 are included because latency objectives use them.
static const prometheus::Histogram::BucketBoundaries latencyBuckets { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.83, 1.5, 3, 6, 12, 30, 60, 120 };

struct Metrics::State {
    prometheus::Registry registry;
    std::mutex mutex; ///< Guards the three maps; the families are thread safe themselves.
    std::map<std::string, prometheus::Family<prometheus::Counter>*> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram>*> histograms;
};

// Returns the metric family with this name; builds and registers it on first use.
template <typename Metric, typename Builder>
static prometheus::Family<Metric>& findOrAddFamily(std::map<std::string, prometheus::Family<Metric>*>& families, std::mutex& mutex, prometheus::Registry& registry, const std::string& name, Builder build)
{
    std::lock_guard<std::mutex> lock(mutex);
    auto& family = families[name];
    if (!family)
        family = &build().Name(name).Register(registry);
    return *family;
}

Metrics::Metrics()
    : state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::addToCounter(const std::string& name, const MetricLabels& labels, double amount)
{
    findOrAddFamily(this->state->counters, this->state->mutex, this->state->registry, name, prometheus::BuildCounter).Add(labels).Increment(amount);
}

void Metrics::setGauge(const std::string& name, double value, const MetricLabels& labels)
{
    findOrAddFamily(this->state->gauges, this->state->mutex, this->state->registry, name, prometheus::BuildGauge).Add(labels).Set(value);
}

void Metrics::observeDuration(const std::string& name, Duration duration, const MetricLabels& labels)
{
    auto& family = findOrAddFamily(this->state->histograms, this->state->mutex, this->state->registry, name, prometheus::BuildHistogram);
    family.Add(labels, latencyBuckets).Observe(std::chrono::duration<double>(duration).count());
}

std::string Metrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(this->state->registry.Collect());
}

} // namespace bilberry
