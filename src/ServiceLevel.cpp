#include "ServiceLevel.h"

#include "HttpMessage.h"

namespace bilberry {

void watchAnswer(Metrics& metrics, HttpResponse& response, const MetricLabels& labels, Duration firstByte, Milliseconds objective)
{
    if (firstByte > objective)
        metrics.count(metric::slow, labels);
    if (!response.stream)
        return;
    response.stream = [&metrics, labels, stream = std::move(response.stream)](std::string& piece) {
        auto step = stream(piece);
        if (step == BodyStep::Broken)
            metrics.count(metric::cut, labels);
        return step;
    };
}

void DataCentreMarks::update(Metrics& metrics, const Configuration& configuration)
{
    if (configuration.generation == this->generation)
        return;
    this->generation = configuration.generation;
    const auto& dataCentres = configuration.inventory.dataCentres;
    for (RowIndex index = 0; index < dataCentres.size(); ++index) {
        const std::string& name = dataCentres[index].name;
        bool isOutNow = isDataCentreOut(configuration, index);
        auto [position, isNew] = this->isOut.try_emplace(name, isOutNow);
        metrics.set(metric::dataCentreOut, isOutNow ? 1 : 0, { { "data_centre", name } });
        if (!isNew && position->second != isOutNow)
            metrics.count(metric::dataCentreChanges, { { "data_centre", name } });
        position->second = isOutNow;
    }
}

} // namespace bilberry
