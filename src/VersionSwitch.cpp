#include "VersionSwitch.h"

#include <algorithm>

namespace bilberry {

static constexpr size_t waveCount = 3;
// Parts of the bound at which the first and the last wave begin: pieces need the time before the first one, and what waits
// at an engine needs some after the last one.
static constexpr double firstWave = 0.38;
static constexpr double lastWave = 0.76;
static constexpr double lastOldStartShare = 0.84;

static Milliseconds partOf(Milliseconds bound, double share)
{
    return Milliseconds(static_cast<int64_t>(share * static_cast<double>(bound.count())));
}

Milliseconds switchTime(const std::string& host, std::vector<std::string> hosts, Milliseconds bound)
{
    std::sort(hosts.begin(), hosts.end());
    auto position = static_cast<size_t>(std::lower_bound(hosts.begin(), hosts.end(), host) - hosts.begin());
    auto wave = static_cast<double>(position % waveCount);
    return partOf(bound, firstWave + wave * (lastWave - firstWave) / (waveCount - 1));
}

Milliseconds lastOldStart(Milliseconds bound)
{
    return partOf(bound, lastOldStartShare);
}

std::vector<std::string> hostsOf(const std::vector<EndpointRecord>& records, const std::string& service, const std::string& dataCentre)
{
    std::vector<std::string> hosts;
    for (const auto& record : records) {
        if (record.service == service && record.dataCentre == dataCentre)
            hosts.push_back(record.address.host);
    }
    return hosts;
}

} // namespace bilberry
