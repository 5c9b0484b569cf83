/// The metrics that the burn report reads: how answers ended, and which data centres are out of service.
#pragma once

#include "Configuration.h"
#include "Metrics.h"
#include "Types.h"

#include <map>
#include <string>

namespace bilberry {

struct HttpResponse;

/// Names of the metrics that the burn report reads, each with its labels.
namespace metric {
constexpr char answeredRequests[] = "bilberry_requests_answered_total"; ///< service, caller
constexpr char refusals[] = "bilberry_refusals_total"; ///< service, caller, reason, outcome
constexpr char slowAnswers[] = "bilberry_slow_answers_total"; ///< service, caller
constexpr char brokenStreams[] = "bilberry_streams_cut_total"; ///< service, caller
constexpr char dataCentreOut[] = "bilberry_data_centre_out"; ///< data_centre; 1 while it is out
constexpr char dataCentreChanges[] = "bilberry_data_centre_changes_total"; ///< data_centre
constexpr char chunkBytes[] = "bilberry_chunk_bytes_total"; ///< source
constexpr char loadOrders[] = "bilberry_load_orders_total"; ///< result
} // namespace metric

/// Counts an answer as slow if its first byte came later than the objective, and wraps the stream of a streamed answer so that it
/// is counted as broken if it fails before its end. Precondition: the metrics outlive the response. Thread safe.
void trackServiceLevel(Metrics&, HttpResponse&, const MetricLabels&, Duration timeToFirstByte, Milliseconds objective);

/// Publishes which data centres are out of service, and counts each change after the first configuration.
/// Not thread safe: one thread calls it each tick.
class DataCentreOutageMetrics {
public:
    void updateMetrics(Metrics&, const Configuration&);

private:
    Generation generation = 0; ///< The configuration generation of the last update.
    std::map<std::string, bool> isOutByDataCentre; ///< The key is the name of the data centre.
};

} // namespace bilberry
