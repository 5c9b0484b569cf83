/// The commands `status` and `burn` for entries and agents on the users' platform, which are read through their metrics.
#pragma once

#include <gflags/gflags_declare.h>

DECLARE_string(metrics);

namespace bilberry {

/// Runs `status --metrics`. Returns the program's exit code.
int runNodeStatus();
/// Runs `burn --metrics`. Returns the program's exit code.
int runNodeBurn();

} // namespace bilberry
