/// Counters, gauges and latency histograms, served at /metrics in the Prometheus text format.
#pragma once

#include "Types.h"

#include <map>
#include <memory>
#include <string>

namespace bilberry {

using MetricLabels = std::map<std::string, std::string>;

/// Metrics registry of one process. All methods are thread safe. Label values must come from bounded sets (configured
/// names, enumerations), never from request content.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    /// Adds to a counter, which is created on first use. Preconditions: `amount` is not negative; the name ends in `_total`.
    void addToCounter(const std::string& name, const MetricLabels& labels = {}, double amount = 1);
    /// Sets a gauge, which is created on first use.
    void setGauge(const std::string& name, double value, const MetricLabels& labels = {});
    /// Adds one observation to a histogram in seconds, which is created on first use. Precondition: the name ends in
    /// `_seconds`.
    void observeDuration(const std::string& name, Duration, const MetricLabels& labels = {});

    /// Returns all metrics in the Prometheus text format.
    std::string serialize() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace bilberry
