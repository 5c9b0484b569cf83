/// Decides when each engine of a service switches to a newly named version, and whether it takes one that is superseded already.
/// A version switch is the time in which an engine loads other weights. It is designed for loads under which most engines are needed at all times: the engines switch one
/// after the other, spread over the allowed time, so that only a part of them is unavailable at once. Agents and entries
/// compute the same times from the published list of endpoints. Pure functions without I/O.
#pragma once

#include "BootClock.h"
#include "Types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bilberry {

/// The named versions of a model's weights, which are those whose number operators have published as the version to load.
/// The key is the version; the value is the earliest time at which it may have been named (see earliestNamingTime()) or, for an assumed one (NamingTime), a
/// time that may be after the naming. The clock
/// includes the time in which the VM was suspended, since the bound on the switch does.
using NamedVersions = std::map<uint32_t, BootTimePoint>;

/// A time at which a version had not been named yet, as one process knows it.
struct NamingTime {
    BootTimePoint namedAfter {};
    bool isAssumed = false; ///< Whether the process only assumes it: it has started since, or the store has lost changes.
};

/// Returns the statement that is closer to the naming of a version: one that is known rather than one that is assumed, the later of two
/// that are known, the earlier of two that are assumed. Thread safe.
NamingTime closerNamingTime(const NamingTime&, const NamingTime&);

/// For how long entries send requests to engines with a superseded version.
enum class SupersededUse : uint8_t {
    Usual,
    /// For as long as the requests are expected to begin in time. It is for services whose engines are needed at all times: while
    /// they switch, each tenth of a second without any usable engine means that all requests of that time are refused.
    UntilBound,
};

/// Returns that use for a service. Thread safe.
constexpr SupersededUse supersededUse(bool sharesEngines)
{
    return sharesEngines ? SupersededUse::UntilBound : SupersededUse::Usual;
}

/// Returns the time from the naming of a version until the engine at `host` is ordered to load it. `bound` is the time
/// within which all engines must have switched; with a bound of zero, which means none, the result is zero. `hosts` are
/// those of the service's engines in one data centre, in any order. A `host` that isn't among them gets the delay of the
/// host that follows it in sorted order, or one step more than the last host. Engines that are used until the bound switch over a
/// longer part of it, so that fewer are unavailable at once. Thread safe.
Milliseconds switchDelay(const std::string& host, std::vector<std::string> hosts, Milliseconds bound, SupersededUse = SupersededUse::Usual);

/// The same for the engine that has `position`, counted from zero, among `hosts` hosts in sorted order. Thread safe.
Milliseconds switchDelayAt(size_t position, size_t hosts, Milliseconds bound, SupersededUse);

/// Returns the time at which the first version newer than `held` was named; the switch delay of an engine with version `held`
/// counts from then. Returns BootTimePoint::max() when there is no newer version. Thread safe.
BootTimePoint supersededAt(const NamedVersions&, uint32_t held);

/// Returns the oldest version on which a request may still begin at `now`; zero means any version. `bound` is that of
/// switchDelay(); when it is zero, any version is allowed. Thread safe.
uint32_t oldestAllowedVersion(const NamedVersions&, Milliseconds bound, BootTimePoint now, SupersededUse = SupersededUse::Usual);

/// Whether a request that is sent at `now` to an engine with version `held` can be expected to begin there in time. `delay` is the longest
/// time that requests lately took to begin there. With SupersededUse::Usual, twice the delay must end by mustBeginBy(). With
/// SupersededUse::UntilBound, the delay must, and twice the delay must end by the bound. `bound` is that of switchDelay(). Thread safe.
bool canBeginInTime(const NamedVersions&, uint32_t held, Milliseconds bound, Milliseconds delay, BootTimePoint now, SupersededUse = SupersededUse::Usual);

/// Returns the time by which a request that was sent to an engine with version `held` must have begun there; a request that
/// hasn't may wait at the engine, or on the way to it, past the bound, and must be taken back. BootTimePoint::max() when no newer
/// version is named or `bound` is zero. Thread safe.
BootTimePoint mustBeginBy(const NamedVersions&, uint32_t held, Milliseconds bound);

/// Returns the version that a request to an engine must state as its condition, so that the engine refuses it if it serves older
/// weights than the record says. Returns std::nullopt while an older version may still begin on the engine. Thread safe.
std::optional<uint32_t> versionToRequire(const NamedVersions&, uint32_t held);

/// An older version than the newest one, which an agent has begun to bring to its engine, and what either course would take.
struct OlderVersion {
    uint32_t version = 0;
    uint32_t newest = 0; ///< The newest version that is known; it may not have been named yet, as far as the agent knows.
    uint32_t held = 0; ///< The version that the engine serves; zero: none.
    size_t staged = 0;
    size_t total = 0;
    Milliseconds timeToFetchRest { 0 }; ///< Time until all pieces of the older version are staged; zero: they are.
    Milliseconds timeToFetchNewest { 0 }; ///< Time from its manifest's arrival until all pieces of the newest version are staged.
    Milliseconds newestMissingFor { 0 }; ///< Time for which its manifest couldn't be had; it may take as long again.
    Milliseconds loadTime { 0 }; ///< Time from a load order until requests begin on its version. More than zero.
};

/// Progress of an agent with the pieces of one version.
struct FetchProgress {
    size_t staged = 0;
    size_t total = 0;
    size_t pieceBytes = 0;
    Milliseconds sinceFirstStaged { 0 }; ///< Time since the first of the pieces was staged.
    double bytesPerSecond = 0; ///< Rate of the VM's link; zero if unknown.
};

/// Returns the estimated time in which `pieces` more pieces are staged: at the mean rate since the first one, and no faster than the
/// link allows. Milliseconds::max() when there are such pieces and neither rate is known. Thread safe.
Milliseconds timeToFetch(const FetchProgress&, size_t pieces);

/// Whether an agent goes on with an older version although a newer one was named, and orders its load once it is complete. It does
/// if the engine then serves requests for longer before the newest version is there than if the agent fetched that at once; an engine
/// that serves no version or may soon serve none gains from it while requests may begin on the older one. When `bound`, that of
/// switchDelay(), is zero, the agent goes on if half of the pieces are staged. Thread safe.
bool shouldFinishVersion(const NamedVersions&, const OlderVersion&, Milliseconds bound, BootTimePoint now);

/// Whether the pieces of an older version are fetched now. Those of one that isn't finished give way to the newest version's manifest
/// and pieces. If the manifest can't be had for a second, they are fetched as long as requests may begin on the version once its rest
/// is fetched and loaded. True when `bound` is zero. Thread safe.
bool shouldFetchOlderVersion(const NamedVersions&, const OlderVersion&, Milliseconds bound, BootTimePoint now);

} // namespace bilberry
