/// Reports the placement of models on VMs for one day and the burst rules behind it, so that operators see before a burst
/// whether its replicas will be in place. Pure functions over plain structs.
#pragma once

#include "Placement.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace bilberry {

/// The times of one burst, as midnights UTC of civil days.
struct BurstWindow {
    WallTime inPlaceFrom; ///< Start of the lead time, moved earlier by the tolerance of the calendar.
    WallTime begin; ///< Start of the burst's first day.
    WallTime end; ///< End of the burst's last day (exclusive).
    WallTime inPlaceUntil; ///< The end, moved later by the tolerance of the calendar.
};

/// One burst rule, evaluated for the day of the plan.
struct PlannedBurst {
    size_t ruleIndex = 0; ///< The index of the rule in the configuration's burst rules.
    std::optional<BurstWindow> window; ///< The current burst, or else the next one; empty when the calendar has no such day in its search range.
    bool isActive = false; ///< Whether the day lies between `inPlaceFrom` and `inPlaceUntil`.
};

/// The placement for one day with the evaluated burst rules.
struct PlanReport {
    WallTime day;
    Placement placement;
    std::vector<PlannedBurst> bursts;
};

/// Parses a civil date `YYYY-MM-DD` as its midnight UTC. Returns nothing for other text or a day that doesn't exist. Thread safe.
std::optional<WallTime> parseCivilDate(const std::string&);
/// Formats the civil date in UTC as `YYYY-MM-DD`.
std::string formatCivilDate(WallTime);

/// Computes the placement and evaluates the burst rules for the day. The live list may be null.
PlanReport makePlanReport(const Configuration&, const LiveList*, WallTime day);

/// Formats the plan as lines of text for a person. Thread safe.
std::string formatPlan(const Configuration&, const PlanReport&);
/// Converts the plan to JSON for a program.
nlohmann::json toJson(const Configuration&, const PlanReport&);

} // namespace bilberry
