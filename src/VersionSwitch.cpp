#include "VersionSwitch.h"

#include <algorithm>
#include <cassert>

namespace bilberry {

// Shares of the bound after which the first and the last engine switch. The time before the first switch is needed to fetch the
// pieces, and the time after the last one to finish the requests that wait at an engine.
static constexpr double firstSwitchShare = 0.40;
static constexpr double lastSwitchShare = 0.80;
// The same where superseded versions are used until the bound. Pieces then arrive along trees, so that all have them sooner.
static constexpr double earlyFirstSwitchShare = 0.36;
static constexpr double lateLastSwitchShare = 0.88;
// Time before the end of the bound from which no request is sent to an engine with the older version, and from which one that
// hasn't begun there is taken back.
static constexpr Milliseconds lastSendMargin { 1300 };
static constexpr Milliseconds takeBackMargin { 600 };
// The first of these margins while superseded versions are used until the bound: time for a request to begin before it is taken back.
static constexpr Milliseconds shortLastSendMargin { 800 };

// Time for which an older version waits for the newest one's manifest.
static constexpr Milliseconds manifestWait { 1000 };

// Factor by which a request may take longer to begin than the slowest of the recent ones.
static constexpr int delaySafetyFactor = 2;

static Milliseconds scaleDuration(Milliseconds bound, double share)
{
    return Milliseconds(static_cast<int64_t>(share * static_cast<double>(bound.count())));
}

Milliseconds switchDelay(const std::string& host, std::vector<std::string> hosts, Milliseconds bound, SupersededUse use)
{
    std::sort(hosts.begin(), hosts.end());
    auto position = static_cast<size_t>(std::lower_bound(hosts.begin(), hosts.end(), host) - hosts.begin());
    return switchDelayAt(position, hosts.size(), bound, use);
}

Milliseconds switchDelayAt(size_t position, size_t hosts, Milliseconds bound, SupersededUse use)
{
    bool isLong = use == SupersededUse::UntilBound;
    double first = isLong ? earlyFirstSwitchShare : firstSwitchShare;
    double last = isLong ? lateLastSwitchShare : lastSwitchShare;
    auto steps = static_cast<double>(std::max<size_t>(hosts, 2) - 1);
    return scaleDuration(bound, first + static_cast<double>(std::min(position, hosts)) * (last - first) / steps);
}

NamingTime closerNamingTime(const NamingTime& first, const NamingTime& second)
{
    if (first.isAssumed != second.isAssumed)
        return first.isAssumed ? second : first;
    bool isFirstLater = first.namedAfter >= second.namedAfter;
    bool isLaterCloser = !first.isAssumed;
    return isFirstLater == isLaterCloser ? first : second;
}

BootTimePoint supersededAt(const NamedVersions& named, uint32_t held)
{
    auto next = named.upper_bound(held);
    return next == named.end() ? BootTimePoint::max() : next->second;
}

uint32_t oldestAllowedVersion(const NamedVersions& named, Milliseconds bound, BootTimePoint now, SupersededUse use)
{
    uint32_t oldest = 0;
    if (bound == Milliseconds(0))
        return oldest;
    auto margin = use == SupersededUse::UntilBound ? shortLastSendMargin : lastSendMargin;
    for (const auto& [version, namedAt] : named) {
        if (now - namedAt >= bound - margin)
            oldest = version;
    }
    return oldest;
}

bool canBeginInTime(const NamedVersions& named, uint32_t held, Milliseconds bound, Milliseconds delay, BootTimePoint now, SupersededUse use)
{
    auto latestBegin = mustBeginBy(named, held, bound);
    if (latestBegin == BootTimePoint::max())
        return true;
    auto allowance = delaySafetyFactor * delay;
    // A request that takes longer than `delay` is taken back, and the take-back has this margin.
    if (use == SupersededUse::UntilBound)
        allowance = std::max(delay, allowance - takeBackMargin);
    return now + allowance <= latestBegin;
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

static Milliseconds inMilliseconds(BootClock::duration time)
{
    return std::chrono::duration_cast<Milliseconds>(time);
}

Milliseconds timeToFetch(const FetchProgress& progress, size_t pieces)
{
    if (pieces == 0)
        return Milliseconds(0);
    auto count = static_cast<double>(pieces);
    double seconds = 0;
    bool isRateKnown = progress.staged > 1;
    if (isRateKnown)
        seconds = count / static_cast<double>(progress.staged - 1) * std::chrono::duration<double>(progress.sinceFirstStaged).count();
    if (progress.bytesPerSecond > 0)
        seconds = std::max(seconds, count * static_cast<double>(progress.pieceBytes) / progress.bytesPerSecond);
    else if (!isRateKnown)
        return Milliseconds::max();
    return std::chrono::ceil<Milliseconds>(std::chrono::duration<double>(seconds));
}

// Adds the newest version if no entry has told when it was named. It may have been named right after the last version whose naming
// is known, or before all of this bound.
static NamedVersions withNewest(NamedVersions named, uint32_t newest, Milliseconds bound, BootTimePoint now)
{
    if (named.empty())
        named.emplace(newest, now - bound);
    else if (named.rbegin()->first < newest)
        named.emplace(newest, named.rbegin()->second);
    return named;
}

// Returns the time for which requests may still be sent to an engine with version `held`; zero if it has none.
static Milliseconds servingTimeLeft(const NamedVersions& named, uint32_t held, Milliseconds bound, BootTimePoint now)
{
    if (held == 0)
        return Milliseconds(0);
    auto supersession = supersededAt(named, held);
    if (supersession == BootTimePoint::max())
        return Milliseconds::max();
    return std::max(Milliseconds(0), inMilliseconds(supersession + bound - lastSendMargin - now));
}

// The two functions below return the time in which the engine serves no version, from now until it serves the newest.
static Milliseconds idleTimeIfSkipped(const OlderVersion& older, Milliseconds heldTimeLeft)
{
    auto servedFor = std::min(older.timeToFetchNewest, heldTimeLeft);
    return older.timeToFetchNewest + older.loadTime - servedFor;
}

static Milliseconds idleTimeIfFinished(const OlderVersion& older, Milliseconds heldTimeLeft, Milliseconds olderTimeLeft)
{
    auto heldServedFor = std::min(older.timeToFetchRest, heldTimeLeft);
    auto olderServesFrom = older.timeToFetchRest + older.loadTime;
    // The newest version is fetched once the older one is ordered.
    auto newestOrderedAt = std::max(olderServesFrom, older.timeToFetchRest + older.timeToFetchNewest);
    auto olderServedFor = std::max(Milliseconds(0), std::min(olderTimeLeft, newestOrderedAt) - olderServesFrom);
    return newestOrderedAt + older.loadTime - heldServedFor - olderServedFor;
}

bool shouldFinishVersion(const NamedVersions& named, const OlderVersion& older, Milliseconds bound, BootTimePoint now)
{
    if (bound == Milliseconds(0))
        return older.total > 0 && 2 * older.staged >= older.total;
    assert(older.loadTime > Milliseconds(0));
    if (older.held >= older.version)
        return false;
    auto known = withNewest(named, older.newest, bound, now);
    // An estimate may be unlimited. One above this decides no more than this.
    auto longest = 2 * bound;
    auto bounded = older;
    bounded.timeToFetchRest = std::min(older.timeToFetchRest, longest);
    bounded.timeToFetchNewest = std::min(older.timeToFetchNewest, longest) + std::min(older.newestMissingFor, longest);
    auto heldTimeLeft = servingTimeLeft(known, older.held, bound, now);
    auto idleIfFinished = idleTimeIfFinished(bounded, heldTimeLeft, servingTimeLeft(known, older.version, bound, now));
    // The estimates are uncertain, so the gain must exceed one load.
    return idleIfFinished + older.loadTime <= idleTimeIfSkipped(bounded, heldTimeLeft);
}

bool shouldFetchOlderVersion(const NamedVersions& named, const OlderVersion& older, Milliseconds bound, BootTimePoint now)
{
    if (bound == Milliseconds(0) || shouldFinishVersion(named, older, bound, now))
        return true;
    auto timeLeft = servingTimeLeft(withNewest(named, older.newest, bound, now), older.version, bound, now);
    bool canServe = std::min(older.timeToFetchRest, timeLeft) + older.loadTime < timeLeft;
    return canServe && older.newestMissingFor >= manifestWait;
}

} // namespace bilberry
