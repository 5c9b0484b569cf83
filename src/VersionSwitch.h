/// Decides when each engine of a service switches to a newly named version. A version switch is the time in which an engine loads
/// other weights. The decision is made for a load that needs most engines at any time: the engines switch one after the other,
/// spread over the allowed time, so that only a part of them is unavailable at once. Agents and entries compute the same times
/// from the published list of endpoints. Pure functions without I/O.
#pragma once

#include "Types.h"

#include <map>
#include <string>
#include <vector>

namespace bilberry {

struct ServiceEngine;

/// The versions of a model's weights that operators have ordered by name, with the time at which each was learned.
using NamedVersions = std::map<uint32_t, TimePoint>;

/// Returns the time from the naming of a version until the engine at `host` is ordered to load it. `bound` is the time within
/// which all engines must have switched; with a bound of zero, which means none, the result is zero. `hosts` are those of the
/// service's engines in one data centre, in any order. Thread safe.
Milliseconds switchDelay(const std::string& host, std::vector<std::string> hosts, Milliseconds bound);

/// Returns when the first version newer than `held` was named, from which the switch delay of an engine with version `held`
/// counts; TimePoint::max() when there is no newer version. Thread safe.
TimePoint supersededAt(const NamedVersions&, uint32_t held);

/// Returns the oldest version on which a request may still begin at `now`; zero means any version. Thread safe.
uint32_t oldestAllowedVersion(const NamedVersions&, Milliseconds bound, TimePoint now);

/// Returns the hosts of the engines in a data centre. Thread safe.
std::vector<std::string> engineHostsIn(const std::vector<ServiceEngine>&, const std::string& dataCentre);

} // namespace bilberry
