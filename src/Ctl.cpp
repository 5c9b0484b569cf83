/// bilberryctl: the operators' command line.

#include "Configuration.h"
#include "DocumentFiles.h"
#include "Flags.h"
#include "Placement.h"

#include <cstdio>
#include <fmt/format.h>

using namespace bilberry;

namespace {

constexpr int exitOk = 0;
constexpr int exitFaulty = 1; ///< The documents are faulty, or what was asked for can't be met.
constexpr int exitUsage = 2;
constexpr int exitNotBuilt = 3;

constexpr char usage[] = R"(bilberryctl: operators' commands of bilberrybarrow

  bilberryctl check FILE...   check inventory and rules before they are published
  bilberryctl plan FILE...    show which models go on which VMs
  bilberryctl status          (not built yet)
  bilberryctl explain         (not built yet)
  bilberryctl burn            (not built yet)

exit codes: 0 ok, 1 faulty documents or a plan that can't be met, 2 wrong usage, 3 not built yet
)";

absl::StatusOr<Configuration> readFiles(const std::vector<std::string>& paths)
{
    auto text = joinDocumentFiles(paths);
    if (!text.ok())
        return text.status();
    return parseConfiguration(*text, 1);
}

void printFaults(const absl::Status& status)
{
    std::fprintf(stderr, "%s\n", std::string(status.message()).c_str());
}

int check(const std::vector<std::string>& paths)
{
    auto configuration = readFiles(paths);
    if (!configuration.ok()) {
        printFaults(configuration.status());
        return exitFaulty;
    }
    for (const auto& warning : configuration->warnings)
        std::fprintf(stderr, "warning: %s\n", warning.c_str());
    std::printf("ok: %zu VMs, %zu services, %zu models, %zu client accounts\n", configuration->inventory.vms.size(), configuration->inventory.services.size(), configuration->inventory.models.size(), configuration->inventory.callers.size());
    return exitOk;
}

int plan(const std::vector<std::string>& paths)
{
    auto configuration = readFiles(paths);
    if (!configuration.ok()) {
        printFaults(configuration.status());
        return exitFaulty;
    }
    auto placement = placeModels(*configuration, nullptr, std::chrono::system_clock::now());
    for (const auto& row : placement.rows)
        std::printf("%s on %s\n", configuration->inventory.models[row.model].name.c_str(), configuration->inventory.vms[row.vm].name.c_str());
    for (const auto& shortfall : placement.shortfalls)
        std::printf("short: %s wants %u, has %u: %s\n", configuration->inventory.models[shortfall.model].name.c_str(), shortfall.wanted, shortfall.placed, shortfall.reason.c_str());
    return placement.shortfalls.empty() ? exitOk : exitFaulty;
}

} // namespace

int main(int argc, char** argv)
{
    auto line = readCommandLine(argc, argv);
    if (line.wantsHelp) {
        std::fputs(usage, stdout);
        return exitOk;
    }
    if (line.wantsVersion) {
        std::printf("bilberryctl %s\n", BILBERRY_VERSION);
        return exitOk;
    }
    for (const auto& fault : line.faults)
        std::fprintf(stderr, "%s\n", fault.c_str());
    if (!line.faults.empty() || line.positional.empty()) {
        std::fputs(usage, stderr);
        return exitUsage;
    }
    std::string verb = line.positional.front();
    std::vector<std::string> rest(line.positional.begin() + 1, line.positional.end());
    if ((verb == "check" || verb == "plan") && rest.empty()) {
        std::fprintf(stderr, "bilberryctl %s: names no file\n", verb.c_str());
        return exitUsage;
    }
    if (verb == "check")
        return check(rest);
    if (verb == "plan")
        return plan(rest);
    if (verb == "status" || verb == "explain" || verb == "burn") {
        std::fprintf(stderr, "bilberryctl %s: not built yet\n", verb.c_str());
        return exitNotBuilt;
    }
    std::fprintf(stderr, "bilberryctl: no command \"%s\"\n%s", verb.c_str(), usage);
    return exitUsage;
}
