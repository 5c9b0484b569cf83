/// The placement of a day with the rules behind it, laid out for operators. Pure functions over plain structs.
#pragma once

#include "Placement.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace bilberry {

/// The civil days of one burst, UTC.
struct BurstWindow {
    WallTime inPlaceFrom; ///< Start of the lead time, the calendar's tolerance before it included.
    WallTime begin;
    WallTime end; ///< Exclusive.
    WallTime inPlaceUntil; ///< The end with the calendar's tolerance.
};

/// One burst rule on the plan's day.
struct PlannedBurst {
    size_t ruleIndex = 0; ///< Position in the rules.
    std::optional<BurstWindow> window; ///< The one under way, else the next; nothing when the calendar has no such day.
    bool isActive = false; ///< The day is in the window or its lead time.
};

struct PlanReport {
    WallTime day;
    Placement placement;
    std::vector<PlannedBurst> bursts;
};

/// Reads a civil date `YYYY-MM-DD` as its midnight UTC. Thread safe.
std::optional<WallTime> parseCivilDate(const std::string&);
std::string formatCivilDate(WallTime);

PlanReport makePlanReport(const Configuration&, const LiveList*, WallTime day);

/// Lines for a person. Thread safe.
std::string formatPlan(const Configuration&, const PlanReport&);
nlohmann::json toJson(const Configuration&, const PlanReport&);

} // namespace bilberry
