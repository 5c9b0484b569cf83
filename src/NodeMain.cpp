/// Main program of bilberrynode: one process that runs an entry or an agent on the event loop.

#include "AgentNode.h"
#include "EntryNode.h"
#include "NodeSettings.h"
#include "PlatformAdapter.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <malloc.h>

using namespace bilberry;

namespace {

constexpr int exitOk = 0;
// Size from which a block of memory is the system's own mapping.
constexpr int returnedBlockBytes = 256 << 10;
constexpr int exitWrongSettings = 2;
constexpr int exitCannotListen = 3;

/// Calls by which the process controls the role that it runs.
struct RoleCallbacks {
    std::function<absl::Status()> start;
    std::function<void(const ReloadableSettings&)> reloadRole;
    std::function<void()> beginStop;
};

void reloadRole(const RoleCallbacks& role, EventLog& log)
{
    auto settings = reloadSettings(flagFilePath());
    if (!settings.ok()) {
        log.write(LogLevel::Error, "reload_refused", { { "fault", std::string(settings.status().message()) } });
        return;
    }
    role.reloadRole(*settings);
    log.write(LogLevel::Info, "reloaded", {});
}

void waitForSignal(boost::asio::signal_set& signals, const RoleCallbacks& role, EventLog& log)
{
    signals.async_wait([&](const boost::system::error_code& error, int number) {
        if (error)
            return;
        if (number == SIGHUP)
            reloadRole(role, log);
        else
            role.beginStop();
        waitForSignal(signals, role, log);
    });
}

int runRole(EventLoop& loop, const NodeSettings& settings, const RoleCallbacks& role, EventLog& log)
{
    auto status = role.start();
    if (!status.ok()) {
        log.write(LogLevel::Error, "cannot_listen", { { "fault", std::string(status.message()) } });
        std::fprintf(stderr, "bilberrynode: can't listen: %s\n", std::string(status.message()).c_str());
        return exitCannotListen;
    }
    boost::asio::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
    waitForSignal(signals, role, log);
    log.write(LogLevel::Info, "started", { { "role", settings.role == NodeRole::Entry ? "entry" : "agent" }, { "version", BILBERRY_VERSION } });
    loop.run();
    log.write(LogLevel::Info, "ended", {});
    log.close();
    // Operations still pending on the loop are dropped by exiting without destructors.
    std::quick_exit(exitOk);
}

} // namespace

int main(int argc, char** argv)
{
    for (int i = 1; i < argc; ++i) {
        if (std::strcmp(argv[i], "--help") != 0)
            continue;
        std::printf("bilberrynode: one process of bilberrybarrow on the event loop\n\n--flagfile=PATH reads flags from a file; each is also read from the environment variable FLAGS_<name>.\n\n%s\nexit codes: 0 stopped, 2 invalid settings, 3 can't listen\n", describeNodeSettings().c_str());
        return exitOk;
    }
    auto settings = readNodeSettings(argc, argv);
    if (!settings.ok()) {
        std::fprintf(stderr, "bilberrynode: invalid settings:\n%s\n", std::string(settings.status().message()).c_str());
        return exitWrongSettings;
    }
    std::signal(SIGPIPE, SIG_IGN);
    // Larger blocks go back to the system as soon as they are freed. Without this, the library keeps ever larger ones.
    if (settings->vmMemoryBytes > 0)
        ::mallopt(M_MMAP_THRESHOLD, returnedBlockBytes);
    EventLoop loop(1);
    EventLog log(settings->vm, settings->logLinesPerSecond);
    if (settings->role == NodeRole::Entry) {
        EntryNode node(loop, *settings, platformAdapter(), log);
        return runRole(loop, *settings, { [&] { return node.start(); }, [&](const ReloadableSettings& reloaded) { node.reload(reloaded); }, [&] { node.beginStop(); } }, log);
    }
    AgentNode node(loop, *settings, platformAdapter(), log);
    return runRole(loop, *settings, { [&] { return node.start(); }, [&](const ReloadableSettings& reloaded) { node.reload(reloaded); }, [&] { node.beginStop(); } }, log);
}
