/// Reviews a valid configuration for rules that contradict each other or can't be satisfied, so that operators see them
/// before they publish it.
#pragma once

#include "Configuration.h"
#include "Types.h"

#include <string>
#include <vector>

namespace bilberry {

/// Returns one line per finding, each with the path inside the document, the value and the reason. A daemon adopts a
/// configuration despite findings, because rejecting it would also hold back its correct parts, such as taking a data
/// centre out of service. `day` is the date from which the next days of calendar rules are looked up. Thread safe.
std::vector<std::string> reviewConfiguration(const Configuration&, WallTime day);

} // namespace bilberry
