/// The main program of bilberryctl, the operators' command line.

#include "CtlCommands.h"
#include "Flags.h"

#include <array>
#include <cstdio>
#include <string_view>

using namespace bilberry;

namespace {

struct Command {
    std::string_view name;
    int (*run)(const CtlArguments&);
    const char* usage;
};

constexpr std::array<Command, 6> commands { {
    { "check", runCheck, checkUsage },
    { "plan", runPlan, planUsage },
    { "status", runStatus, statusUsage },
    { "explain", runExplain, explainUsage },
    { "burn", runBurn, burnUsage },
    { "route", runRoute, routeUsage },
} };

constexpr char usagePreamble[] = "bilberryctl: operators' commands of bilberrybarrow\n\n"
                                 "Each flag can also be set by the environment variable FLAGS_<name>; the command line takes precedence.\n\n";

const Command* findCommand(std::string_view name)
{
    for (const auto& command : commands) {
        if (command.name == name)
            return &command;
    }
    return nullptr;
}

void printUsage(std::FILE* target)
{
    std::fputs(usagePreamble, target);
    for (const auto& command : commands)
        std::fputs(command.usage, target);
}

} // namespace

int main(int argc, char** argv)
{
    auto line = readCommandLine(argc, argv);
    const Command* command = line.positional.empty() ? nullptr : findCommand(line.positional.front());
    if (line.wantsHelp) {
        if (command)
            std::fputs(command->usage, stdout);
        else
            printUsage(stdout);
        return exitOk;
    }
    if (line.wantsVersion) {
        std::printf("bilberryctl %s\n", BILBERRY_VERSION);
        return exitOk;
    }
    if (!command && !line.positional.empty())
        line.faults.push_back("\"" + line.positional.front() + "\": no such command");
    for (const auto& fault : line.faults)
        std::fprintf(stderr, "bilberryctl: %s\n", fault.c_str());
    if (!command || !line.faults.empty()) {
        std::fputs("usage: bilberryctl check|plan|status|explain|burn|route ...; --help shows each\n", stderr);
        return exitUsage;
    }
    return command->run(CtlArguments(line.positional.begin() + 1, line.positional.end()));
}
