/// The verbs status and burn over the metrics of entries and agents.
#pragma once

#include <gflags/gflags_declare.h>

DECLARE_string(metrics);

namespace bilberry {

/// `status --metrics`. Returns the program's exit code.
int runNodeStatus();
/// `burn --metrics`. Returns the program's exit code.
int runNodeBurn();

} // namespace bilberry
