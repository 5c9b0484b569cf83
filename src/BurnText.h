/// Formats the burn report for a person (text) and for a program (JSON).
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace bilberry {

struct BurnReport;

/// Formats the report as lines of text for a person. Thread safe.
std::string formatBurnReport(const BurnReport&);
/// Converts the report to JSON. Thread safe.
nlohmann::json toJson(const BurnReport&);

} // namespace bilberry
