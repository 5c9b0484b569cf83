/// Reads gflags settings from the command line, a flag file and the environment, and reports every fault at once.
#pragma once

#include <string>
#include <vector>

namespace bilberry {

/// The parts of a command line that are not settings, and the faults found in it.
struct CommandLine {
    std::vector<std::string> positional;
    std::vector<std::string> faults; ///< One line per invalid setting, with its name, its value and the reason.
    std::string flagFile; ///< Path of the flag file that was read; empty when there was none.
    bool wantsHelp = false;
    bool wantsVersion = false;
};

/// Sets each gflags flag from the environment variable FLAGS_<name>, then from the command line, which takes precedence
/// (`--name=value`, `--name value`, `--name`, `--noname`). Invalid or unknown settings become faults and never exit the
/// process.
/// Not thread safe: call once at start.
CommandLine readCommandLine(int argc, char** argv);

/// Sets the flags that a file lists, one `--name=value` per line; lines that are empty or begin with `#` are ignored.
/// `--flagfile=PATH` on the command line does the same. Not thread safe.
void readFlagFile(const std::string& path, CommandLine&);

/// Describes the settings that one source file defines, with types and defaults, for --help. The file is given by the end
/// of its path.
std::string describeFlags(const std::string& sourceFileSuffix);

} // namespace bilberry
