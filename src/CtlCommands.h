/// The commands of bilberryctl, one source file each. A command returns the program's exit code and writes its answer to standard
/// output and its errors to standard error. Commands read the global flags; main() calls one of them, once.
#pragma once

#include "Process.h"
#include "Types.h"

#include <absl/status/statusor.h>
#include <gflags/gflags_declare.h>
#include <string>
#include <vector>

DECLARE_string(process);
DECLARE_bool(json);
DECLARE_string(at);

namespace bilberry {

constexpr int exitProblemFound = 1; ///< The command found a problem: invalid documents, an unmet plan, a refused request or a burning error budget.
constexpr int exitUsage = 2;
constexpr int exitUnreachable = 3; ///< A process could not be reached, so that the answer is missing or partial.

/// The positional arguments after the command's name.
using CtlArguments = std::vector<std::string>;

int runCheck(const CtlArguments&);
int runPlan(const CtlArguments&);
int runStatus(const CtlArguments&);
int runExplain(const CtlArguments&);
int runBurn(const CtlArguments&);
int runRoute(const CtlArguments&);

extern const char checkUsage[];
extern const char planUsage[];
extern const char statusUsage[];
extern const char explainUsage[];
extern const char burnUsage[];
extern const char routeUsage[];

/// Writes each line of the message to standard error after the command's name. Returns `exitCode`.
int reportCommandError(const char* command, const std::string& message, int exitCode);
int reportCommandError(const char* command, const absl::Status&, int exitCode);

/// Parses the addresses of --process. The error names each address that is not IP:port, or says that the flag is empty.
absl::StatusOr<std::vector<std::string>> parseProcessFlag();

/// Parses the day of --at; an empty flag means the present time. The error names the expected date format.
absl::StatusOr<WallTime> parseAtFlag();

} // namespace bilberry
