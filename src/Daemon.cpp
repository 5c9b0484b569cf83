/// Main program of bilberryd: one process of bilberrybarrow that runs as an entry or as an endpoint.

#include "Flags.h"
#include "Process.h"

#include <csignal>
#include <cstdio>
#include <malloc.h>

using namespace bilberry;

namespace {

// Size from which a block of memory is the system's own mapping.
constexpr int returnedBlockBytes = 128 << 10;
constexpr int maxHeaps = 2;

std::atomic<bool> stopRequested { false };

// Lets larger blocks go back to the system as soon as they are freed, and small ones come from few heaps: with a heap for each
// thread, each keeps what a burst took from it.
void returnFreedMemory()
{
    ::mallopt(M_MMAP_THRESHOLD, returnedBlockBytes);
    ::mallopt(M_ARENA_MAX, maxHeaps);
}

void requestStop(int)
{
    stopRequested = true;
}

} // namespace

int main(int argc, char** argv)
{
    auto line = readCommandLine(argc, argv);
    if (line.wantsHelp) {
        std::printf("bilberryd: one process of bilberrybarrow\n\nEach setting is also read from the environment variable FLAGS_<name>; the command line takes precedence.\n\n%s\nexit codes: 0 stopped with no request cut off, 2 invalid settings, 3 can't listen, 4 stopped with requests cut off\n", describeSettings().c_str());
        return exitOk;
    }
    if (line.wantsVersion) {
        std::printf("bilberryd %s\n", BILBERRY_VERSION);
        return exitOk;
    }
    for (const auto& word : line.positional)
        line.faults.push_back("\"" + word + "\": no such argument");
    auto settings = makeSettings(line.faults);
    if (!settings.ok()) {
        std::fprintf(stderr, "bilberryd: invalid settings:\n%s\n", std::string(settings.status().message()).c_str());
        return exitWrongSettings;
    }
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
    std::signal(SIGPIPE, SIG_IGN);
    if (settings->requestMemoryBytes > 0)
        returnFreedMemory();
    return runProcess(*settings, stopRequested);
}
