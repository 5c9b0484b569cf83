#include "ServiceLevel.h"

#include "HttpMessage.h"

namespace bilberry {

void trackServiceLevel(Metrics& metrics, HttpResponse& response, const MetricLabels& labels, Duration timeToFirstByte, Milliseconds objective)
{
    if (timeToFirstByte > objective)
        metrics.addToCounter(metric::slowAnswers, labels);
    if (!response.stream)
        return;
    response.stream = [&metrics, labels, stream = std::move(response.stream)](std::string& piece) {
        auto step = stream(piece);
        if (step == BodyReadResult::Truncated)
            metrics.addToCounter(metric::brokenStreams, labels);
        return step;
    };
}

void DataCentreOutageMetrics::updateMetrics(Metrics& metrics, const Configuration& configuration)
{
    if (configuration.generation == this->generation)
        return;
    this->generation = configuration.generation;
    const auto& dataCentres = configuration.inventory.dataCentres;
    for (RowIndex index = 0; index < dataCentres.size(); ++index) {
        const std::string& name = dataCentres[index].name;
        bool isOutNow = isDataCentreOutOfService(configuration, index);
        auto [position, isNew] = this->isOutByDataCentre.try_emplace(name, isOutNow);
        metrics.setGauge(metric::dataCentreOut, isOutNow ? 1 : 0, { { "data_centre", name } });
        if (!isNew && position->second != isOutNow)
            metrics.addToCounter(metric::dataCentreChanges, { { "data_centre", name } });
        position->second = isOutNow;
    }
}

} // namespace bilberry
