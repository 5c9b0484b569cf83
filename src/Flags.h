/// Reading of gflags settings from the command line and the environment, with every fault reported at once.
#pragma once

#include <string>
#include <vector>

namespace bilberry {

/// What a command line held besides settings.
struct CommandLine {
    std::vector<std::string> positional;
    std::vector<std::string> faults; ///< One line a wrong setting: its name, its value and the reason.
    std::string flagFile; ///< Path of the flag file that was read; empty: none.
    bool wantsHelp = false;
    bool wantsVersion = false;
};

/// Sets each gflags flag first from the environment variable FLAGS_<name>, then from the command line
/// (`--name=value`, `--name value`, `--name`, `--noname`). Wrong or unknown settings become faults, never an exit.
/// Not thread safe: call once at start.
CommandLine readCommandLine(int argc, char** argv);

/// Sets the flags that a file lists, one `--name=value` a line; lines that are empty or begin with `#` are passed over.
/// `--flagfile=PATH` on the command line does the same. Not thread safe.
void readFlagFile(const std::string& path, CommandLine&);

/// The settings that one source file defines, with defaults and descriptions, for --help.
std::string describeFlags(const std::string& sourceFileSuffix);

} // namespace bilberry
