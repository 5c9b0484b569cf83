/// Plans the switch of a service's engines to other weights while engines leave the service and come to it. It is designed for loads
/// under which nearly all engines are needed, so that those which drain and those which switch are missed at the same time. Agents and
/// entries compute the same plan from the published list of engines, without a message. Pure functions without I/O.
#pragma once

#include "Types.h"
#include "VersionSwitch.h"

#include <optional>
#include <string>
#include <vector>

namespace bilberry {

struct ServiceEngine;

/// The order in which the engines of one data centre switch. Each list is sorted, and each host occurs once.
struct SwitchOrder {
    std::vector<std::string> listed; ///< Hosts of all engines.
    std::vector<std::string> staying; ///< Hosts of those that don't leave.
};

/// `engines` are those of ServiceSummary::engines. Thread safe.
SwitchOrder switchOrderOf(const std::vector<ServiceEngine>& engines, const std::string& dataCentre);

/// Returns the time from the naming of a version until the engine at `host` is ordered to load it; std::nullopt if the engine leaves,
/// which then doesn't switch at all. The engines that stay divide the time for the switch among themselves. `bound` and the use of
/// superseded weights are those of switchDelay(). With SupersededUse::UntilBound, a `host` that isn't listed yet gets the
/// place that it has once it is listed; elsewhere it gets that of switchDelay(). Thread safe.
std::optional<Milliseconds> plannedDelay(const SwitchOrder&, const std::string& host, Milliseconds bound, SupersededUse);

/// When an agent orders its engine to load complete weights.
enum class LoadTurn : uint8_t {
    AtOnce, ///< The engine serves nothing now: each moment that it waits, it is missing.
    InOrder, ///< At the time of plannedDelay().
    Never, ///< It serves, and will have left before it is needed with other weights.
};

/// `isServing` tells whether the engine serves a version now. An engine that serves none loads out of turn, whoever else is away.
/// Thread safe.
LoadTurn loadTurn(const SwitchOrder&, const std::string& host, bool isServing);

} // namespace bilberry
