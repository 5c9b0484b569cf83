/// The burn report laid out for a person and for a program.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace bilberry {

struct BurnReport;

/// Lines for a person. Thread safe.
std::string formatBurnReport(const BurnReport&);
/// The same as JSON. Thread safe.
nlohmann::json toJson(const BurnReport&);

} // namespace bilberry
