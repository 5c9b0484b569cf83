/// The verbs of bilberryctl, one source file each. Each returns the program's exit code, writes its answer to standard
/// output and what went wrong to standard error. They read the flags, so that they are called once, from main().
#pragma once

#include "Types.h"

#include <absl/status/statusor.h>
#include <gflags/gflags_declare.h>
#include <string>
#include <vector>

DECLARE_string(process);
DECLARE_bool(json);
DECLARE_string(at);

namespace bilberry {

constexpr int exitOk = 0;
constexpr int exitProblemFound = 1; ///< Faulty documents, a plan that can't be met, a refusal explained, a budget that burns.
constexpr int exitUsage = 2;
constexpr int exitUnreachable = 3; ///< A process was not reached, so that the answer is missing or partial.

using CtlArguments = std::vector<std::string>;

int runCheck(const CtlArguments&);
int runPlan(const CtlArguments&);
int runStatus(const CtlArguments&);
int runExplain(const CtlArguments&);
int runBurn(const CtlArguments&);

extern const char checkUsage[];
extern const char planUsage[];
extern const char statusUsage[];
extern const char explainUsage[];
extern const char burnUsage[];

/// Writes the message to standard error, each line with the verb before it.
int reportCommandError(const char* verb, const std::string& message, int exitCode);
int reportCommandError(const char* verb, const absl::Status&, int exitCode);

/// The addresses of --process; an error names each that is no IP:port, or says that there is none.
absl::StatusOr<std::vector<std::string>> parseProcessFlag();

/// The day of --at, today when it is empty. The error says what a date looks like.
absl::StatusOr<WallTime> parseAtFlag();

} // namespace bilberry
