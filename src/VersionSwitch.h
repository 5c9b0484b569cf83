/// Decides when each engine of a service switches to a newly named version. A version switch is the time in which an engine
/// loads other weights. It is designed for loads under which most engines are needed at all times: the engines switch one
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

struct ServiceEngine;

/// The named versions of a model's weights, which are those whose number operators have published as the version to load.
/// The key is the version; the value is the earliest time at which it may have been named (see earliestNamingTime()). The clock
/// includes the time in which the VM was suspended, since the bound on the switch does.
using NamedVersions = std::map<uint32_t, BootTimePoint>;

/// Returns the time from the naming of a version until the engine at `host` is ordered to load it. `bound` is the time
/// within which all engines must have switched; with a bound of zero, which means none, the result is zero. `hosts` are
/// those of the service's engines in one data centre, in any order. A `host` that isn't among them gets the delay of the
/// host that follows it in sorted order, or one step more than the last host. Thread safe.
Milliseconds switchDelay(const std::string& host, std::vector<std::string> hosts, Milliseconds bound);

/// Returns the time at which the first version newer than `held` was named; the switch delay of an engine with version `held`
/// counts from then. Returns BootTimePoint::max() when there is no newer version. Thread safe.
BootTimePoint supersededAt(const NamedVersions&, uint32_t held);

/// Returns the oldest version on which a request may still begin at `now`; zero means any version. `bound` is that of
/// switchDelay(); when it is zero, any version is allowed. Thread safe.
uint32_t oldestAllowedVersion(const NamedVersions&, Milliseconds bound, BootTimePoint now);

/// Whether a request that is sent at `now` to an engine with version `held` can be expected to begin there before the bound on
/// the switch ends. `delay` is the longest time that requests lately took to begin there. `bound` is that of switchDelay().
/// Thread safe.
bool canBeginInTime(const NamedVersions&, uint32_t held, Milliseconds bound, Milliseconds delay, BootTimePoint now);

/// Returns the time by which a request that was sent to an engine with version `held` must have begun there; a request that
/// hasn't may wait at the engine, or on the way to it, past the bound, and must be taken back. BootTimePoint::max() when no newer
/// version is named or `bound` is zero. Thread safe.
BootTimePoint mustBeginBy(const NamedVersions&, uint32_t held, Milliseconds bound);

/// Returns the version that a request to an engine must state as its condition, so that the engine refuses it if it serves older
/// weights than the record says. Returns std::nullopt while an older version may still begin on the engine. Thread safe.
std::optional<uint32_t> versionToRequire(const NamedVersions&, uint32_t held);

/// Whether an agent goes on with an older version of which it has `staged` of `total` pieces although a newer one was named.
/// Thread safe.
bool shouldFinishVersion(size_t staged, size_t total);

/// Returns the hosts of the engines in a data centre. Thread safe.
std::vector<std::string> engineHostsIn(const std::vector<ServiceEngine>&, const std::string& dataCentre);

} // namespace bilberry
