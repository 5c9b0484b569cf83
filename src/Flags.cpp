#include "Flags.h"

#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>

namespace bilberry {

// Returns whether the project defines the flag. gflags defines flags of its own, which are not settings of the project.
static bool isProjectFlag(const gflags::CommandLineFlagInfo& flag)
{
    return flag.filename.find("gflags") == std::string::npos;
}

static void setFlag(const std::string& name, const std::string& value, const std::string& source, CommandLine& line)
{
    gflags::CommandLineFlagInfo flag;
    if (!gflags::GetCommandLineFlagInfo(name.c_str(), &flag) || !isProjectFlag(flag)) {
        line.faults.push_back(fmt::format("{}{}: no such setting", source, name));
        return;
    }
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
        line.faults.push_back(fmt::format("{}{}: \"{}\" is not a valid {}", source, name, value, flag.type));
}

static void readEnvironment(CommandLine& line)
{
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    for (const auto& flag : flags) {
        const char* value = isProjectFlag(flag) ? std::getenv(("FLAGS_" + flag.name).c_str()) : nullptr;
        if (value)
            setFlag(flag.name, value, "FLAGS_", line);
    }
}

static bool isBoolFlag(const std::string& name)
{
    gflags::CommandLineFlagInfo flag;
    return gflags::GetCommandLineFlagInfo(name.c_str(), &flag) && flag.type == "bool";
}

void readFlagFile(const std::string& path, CommandLine& line)
{
    std::ifstream file(path);
    if (!file) {
        line.faults.push_back(fmt::format("--flagfile: can't read \"{}\"", path));
        return;
    }
    line.flagFile = path;
    std::string text;
    for (int number = 1; std::getline(file, text); ++number) {
        if (text.empty() || text.front() == '#')
            continue;
        auto equals = text.find('=');
        if (text.rfind("--", 0) != 0 || equals == std::string::npos) {
            line.faults.push_back(fmt::format("{} line {}: is not of the form --name=value", path, number));
            continue;
        }
        setFlag(text.substr(2, equals - 2), text.substr(equals + 1), "--", line);
    }
}

CommandLine readCommandLine(int argc, char** argv)
{
    CommandLine line;
    readEnvironment(line);
    for (int i = 1; i < argc; ++i) {
        std::string word = argv[i];
        if (word.rfind("--", 0) != 0) {
            line.positional.push_back(word);
            continue;
        }
        std::string name = word.substr(2);
        auto equals = name.find('=');
        if (name == "help")
            line.wantsHelp = true;
        else if (name == "version")
            line.wantsVersion = true;
        else if (name.rfind("flagfile=", 0) == 0)
            readFlagFile(name.substr(equals + 1), line);
        else if (equals != std::string::npos)
            setFlag(name.substr(0, equals), name.substr(equals + 1), "--", line);
        else if (isBoolFlag(name))
            setFlag(name, "true", "--", line);
        else if (name.rfind("no", 0) == 0 && isBoolFlag(name.substr(2)))
            setFlag(name.substr(2), "false", "--", line);
        else if (i + 1 < argc)
            setFlag(name, argv[++i], "--", line);
        else
            line.faults.push_back(fmt::format("--{}: has no value", name));
    }
    return line;
}

std::string describeFlags(const std::string& sourceFileSuffix)
{
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    std::string text;
    for (const auto& flag : flags) {
        bool isWanted = flag.filename.size() >= sourceFileSuffix.size() && flag.filename.compare(flag.filename.size() - sourceFileSuffix.size(), std::string::npos, sourceFileSuffix) == 0;
        if (isWanted)
            text += fmt::format("  --{} ({}, default \"{}\"): {}\n", flag.name, flag.type, flag.default_value, flag.description);
    }
    return text;
}

} // namespace bilberry
