#include "ConfigurationReview.h"
#include "CtlCommands.h"
#include "DocumentFiles.h"

#include <cstdio>
#include <gflags/gflags.h>

DEFINE_bool(strict, false, "check: treat warnings as errors");

namespace bilberry {

const char checkUsage[] = R"(bilberryctl check [--strict] FILE...
  Checks inventory and rules before they are published, with the parser that the daemons use. All faults are listed at
  once, each with its path in the document, the value and the reason. Unknown fields, and rules that contradict each
  other or can't be met, are warnings.
  exit codes: 0 no fault, 1 faults (with --strict also warnings), 2 wrong usage
)";

int runCheck(const CtlArguments& paths)
{
    if (paths.empty())
        return reportCommandError("check", "needs at least one file", exitUsage);
    auto text = joinDocumentFiles(paths);
    if (!text.ok())
        return reportCommandError("check", text.status(), exitProblemFound);
    auto configuration = parseConfiguration(*text, 1);
    if (!configuration.ok())
        return reportCommandError("check", configuration.status(), exitProblemFound);
    auto warnings = configuration->warnings;
    auto findings = reviewConfiguration(*configuration, std::chrono::system_clock::now());
    warnings.insert(warnings.end(), findings.begin(), findings.end());
    for (const auto& warning : warnings)
        std::fprintf(stderr, "warning: %s\n", warning.c_str());
    if (FLAGS_strict && !warnings.empty())
        return exitProblemFound;
    const Inventory& inventory = configuration->inventory;
    std::printf("ok: %zu VMs, %zu services, %zu models, %zu client accounts\n", inventory.vms.size(), inventory.services.size(), inventory.models.size(), inventory.callers.size());
    return exitOk;
}

} // namespace bilberry
