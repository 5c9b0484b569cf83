#include "EndpointRecord.h"

#include <tuple>

namespace bilberry {

static auto comparedFields(const EndpointRecord& record)
{
    return std::tie(record.id, record.address.host, record.address.port, record.service, record.dataCentre, record.slots, record.isDraining, record.startedAt, record.loadedLayers, record.loadedLayersVersion);
}

bool differs(const EndpointRecord& first, const EndpointRecord& second)
{
    if (comparedFields(first) != comparedFields(second) || first.models.size() != second.models.size())
        return true;
    for (size_t i = 0; i < first.models.size(); ++i) {
        if (first.models[i].name != second.models[i].name || first.models[i].version != second.models[i].version)
            return true;
    }
    return false;
}

uint32_t servedVersion(const EndpointRecord& record, const std::string& model, uint32_t layers)
{
    if (record.notifiedVersion != 0)
        return record.notifiedVersion;
    for (const auto& loaded : record.models) {
        if (loaded.name != model)
            continue;
        bool isWhole = layers == 0 || (record.loadedLayers >= layers && record.loadedLayersVersion == loaded.version);
        return isWhole ? loaded.version : 0;
    }
    return 0;
}

} // namespace bilberry
