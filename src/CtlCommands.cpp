#include "CtlCommands.h"

#include "Address.h"
#include "PlanReport.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_string(process, "", "comma-separated IP:port of the processes to query");
DEFINE_bool(json, false, "print the answer as JSON, for a program");
DEFINE_string(at, "", "civil date YYYY-MM-DD of a plan or an explanation; empty means today (UTC)");

namespace bilberry {

int reportCommandError(const char* command, const std::string& message, int exitCode)
{
    std::vector<std::string> lines = absl::StrSplit(message, '\n', absl::SkipEmpty());
    for (const auto& line : lines)
        std::fprintf(stderr, "bilberryctl %s: %s\n", command, line.c_str());
    return exitCode;
}

int reportCommandError(const char* command, const absl::Status& status, int exitCode)
{
    return reportCommandError(command, std::string(status.message()), exitCode);
}

absl::StatusOr<std::vector<std::string>> parseProcessFlag()
{
    std::vector<std::string> addresses = absl::StrSplit(FLAGS_process, ',', absl::SkipEmpty());
    std::vector<std::string> faults;
    for (const auto& address : addresses) {
        auto parsed = parseAddress(address);
        if (!parsed.ok())
            faults.push_back(absl::StrCat("--process: ", std::string(parsed.status().message())));
    }
    if (addresses.empty())
        faults.emplace_back("--process: must be set");
    if (!faults.empty())
        return absl::InvalidArgumentError(absl::StrJoin(faults, "\n"));
    return addresses;
}

absl::StatusOr<WallTime> parseAtFlag()
{
    if (FLAGS_at.empty())
        return std::chrono::system_clock::now();
    auto day = parseCivilDate(FLAGS_at);
    if (!day)
        return absl::InvalidArgumentError(absl::StrCat("--at: \"", FLAGS_at, "\" is not a date YYYY-MM-DD"));
    return *day;
}

} // namespace bilberry
