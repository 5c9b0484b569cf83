#include "VersionSwitch.h"

#include "ServiceSummary.h"

#include <algorithm>

namespace bilberry {

// Shares of the bound after which the first and the last engine switch. The time before the first switch is needed to fetch the
// pieces, and the time after the last one to finish the requests that wait at an engine.
static constexpr double firstSwitchShare = 0.40;
static constexpr double lastSwitchShare = 0.80;
// Time before the end of the bound from which no request is sent to an engine with the older version, and from which one that
// hasn't begun there is taken back.
static constexpr Milliseconds lastSendMargin { 1300 };
static constexpr Milliseconds takeBackMargin { 600 };

// Factor by which a request may take longer to begin than the slowest of the recent ones.
static constexpr int delaySafetyFactor = 2;

static Milliseconds scaleDuration(Milliseconds bound, double share)
{
    return Milliseconds(static_cast<int64_t>(share * static_cast<double>(bound.count())));
}

Milliseconds switchDelay(const std::string& host, std::vector<std::string> hosts, Milliseconds bound)
{
    std::sort(hosts.begin(), hosts.end());
    auto position = static_cast<size_t>(std::lower_bound(hosts.begin(), hosts.end(), host) - hosts.begin());
    auto steps = static_cast<double>(std::max<size_t>(hosts.size(), 2) - 1);
    return scaleDuration(bound, firstSwitchShare + static_cast<double>(std::min(position, hosts.size())) * (lastSwitchShare - firstSwitchShare) / steps);
}

BootTimePoint supersededAt(const NamedVersions& named, uint32_t held)
{
    auto next = named.upper_bound(held);
    return next == named.end() ? BootTimePoint::max() : next->second;
}

uint32_t oldestAllowedVersion(const NamedVersions& named, Milliseconds bound, BootTimePoint now)
{
    uint32_t oldest = 0;
    if (bound == Milliseconds(0))
        return oldest;
    for (const auto& [version, namedAt] : named) {
        if (now - namedAt >= bound - lastSendMargin)
            oldest = version;
    }
    return oldest;
}

bool canBeginInTime(const NamedVersions& named, uint32_t held, Milliseconds bound, Milliseconds delay, BootTimePoint now)
{
    auto latestBegin = mustBeginBy(named, held, bound);
    return latestBegin == BootTimePoint::max() || now + delaySafetyFactor * delay <= latestBegin;
}

BootTimePoint mustBeginBy(const NamedVersions& named, uint32_t held, Milliseconds bound)
{
    auto supersession = supersededAt(named, held);
    if (bound == Milliseconds(0) || supersession == BootTimePoint::max())
        return BootTimePoint::max();
    return supersession + bound - takeBackMargin;
}

std::optional<uint32_t> versionToRequire(const NamedVersions& named, uint32_t held)
{
    bool isNewest = !named.empty() && named.rbegin()->first == held;
    return isNewest ? std::optional<uint32_t>(held) : std::nullopt;
}

bool shouldFinishVersion(size_t staged, size_t total)
{
    return total > 0 && 2 * staged >= total;
}

std::vector<std::string> engineHostsIn(const std::vector<ServiceEngine>& engines, const std::string& dataCentre)
{
    std::vector<std::string> hosts;
    for (const auto& engine : engines) {
        if (engine.dataCentre == dataCentre)
            hosts.push_back(engine.host);
    }
    return hosts;
}

} // namespace bilberry
