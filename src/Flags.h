/// Reading of gflags settings from the command line and the environment, with every fault reported at once.
#pragma once

#include <string>
#include <vector>

namespace bilberry {

/// What a command line held besides settings.
struct CommandLine {
    std::vector<std::string> positional;
    std::vector<std::string> faults; ///< One line a wrong setting: its name, its value and the reason.
    bool wantsHelp = false;
    bool wantsVersion = false;
};

/// Sets each gflags flag first from the environment variable FLAGS_<name>, then from the command line
/// (`--name=value`, `--name value`, `--name`, `--noname`). Wrong or unknown settings become faults, never an exit.
/// Not thread safe: call once at start.
CommandLine readCommandLine(int argc, char** argv);

/// The settings that one source file defines, with defaults and descriptions, for --help.
std::string describeFlags(const std::string& sourceFileSuffix);

} // namespace bilberry
