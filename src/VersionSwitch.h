/// When each engine of a service turns to newly named weights. Answers a load that needs most engines at any time: they turn
/// one after the other, spread over the time that is allowed, so that only a part of them is away at once. Agents and entries compute
/// the same times from the published list of endpoints. Pure decisions.
#pragma once

#include "Types.h"

#include <map>
#include <string>
#include <vector>

namespace bilberry {

struct ServiceEngine;

/// Versions of a model's weights that operators have named, with the time at which each was learned.
using NamedVersions = std::map<uint32_t, TimePoint>;

/// Time from the naming of a version until the engine at that host is ordered to turn to it; zero when there is no bound on
/// the switch. `hosts` are those of the service's engines in one data centre, in any order. Thread safe.
Milliseconds switchDelay(const std::string& host, std::vector<std::string> hosts, Milliseconds bound);

/// When an engine that holds version `held` must have left it: counted from the first version named after it. The latest time
/// when none was. Thread safe.
TimePoint supersededAt(const NamedVersions&, uint32_t held);

/// The oldest version on which a request may begin; zero: any. Thread safe.
uint32_t oldestAllowedVersion(const NamedVersions&, Milliseconds bound, TimePoint now);

/// Hosts of the engines in a data centre. Thread safe.
std::vector<std::string> engineHostsIn(const std::vector<ServiceEngine>&, const std::string& dataCentre);

} // namespace bilberry
