/// Counters, gauges and latency histograms, shown on /metrics in the Prometheus text format.
#pragma once

#include "Types.h"

#include <map>
#include <memory>
#include <string>

namespace bilberry {

using MetricLabels = std::map<std::string, std::string>;

/// Registry of one process. All methods are thread safe. Label values must come from bounded sets (configured names,
/// enumerations), never from request content.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    /// Adds to a counter, made on first use. Precondition: `amount` is not negative; the name ends in `_total`.
    void addToCounter(const std::string& name, const MetricLabels& labels = {}, double amount = 1);
    /// Sets a gauge, made on first use.
    void setGauge(const std::string& name, double value, const MetricLabels& labels = {});
    /// Adds one observation to a histogram in seconds. Precondition: the name ends in `_seconds`.
    void observeDuration(const std::string& name, Duration, const MetricLabels& labels = {});

    /// Everything in the Prometheus text format.
    std::string serialize() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace bilberry
