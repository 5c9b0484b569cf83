/// Wishes in a valid configuration that contradict each other or can't be met; for people, before it is published.
#pragma once

#include "Configuration.h"
#include "Types.h"

#include <string>
#include <vector>

namespace bilberry {

/// One line a finding, each with the path inside the document, the value and the reason. A daemon adopts a
/// configuration with findings, since a refusal of it would also keep back what is right in it, such as a data centre
/// to be taken out. `day` is the one that calendar rules are looked up from. Thread safe.
std::vector<std::string> reviewConfiguration(const Configuration&, WallTime day);

} // namespace bilberry
