/// When each engine of a service turns to newly named weights. Answers a load that needs most engines at any time: they turn
/// in waves, spread over the time that is allowed, so that only a part of them is away at once. Agents and entries compute
/// the same times from the published list of endpoints. Pure decisions.
#pragma once

#include "EndpointRecord.h"
#include "Types.h"

#include <string>
#include <vector>

namespace bilberry {

/// Time from the naming of a version until the engine at that host is ordered to turn to it; zero when there is no bound on
/// the switch. `hosts` are those of the service's engines in one data centre, in any order. Thread safe.
Milliseconds switchTime(const std::string& host, std::vector<std::string> hosts, Milliseconds bound);

/// Time after which only engines with the new weights may begin requests. Thread safe.
Milliseconds lastOldStart(Milliseconds bound);

/// Hosts of a service's endpoints in a data centre. Thread safe.
std::vector<std::string> hostsOf(const std::vector<EndpointRecord>&, const std::string& service, const std::string& dataCentre);

} // namespace bilberry
