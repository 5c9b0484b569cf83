#include "Process.h"

#include "DocumentPropagation.h"
#include "DocumentWatcher.h"
#include "Endpoint.h"
#include "Entry.h"
#include "Gossip.h"
#include "Log.h"
#include "PeerCall.h"
#include "ProcessPaths.h"
#include "Rendezvous.h"
#include "StartGate.h"
#include "StatusMethod.h"

#include <cstdio>

namespace bilberry {

// Size limit of a request body, in bytes.
static constexpr size_t maxBodyBytes = 16 << 20;
// Upper limit of a single sleep, so that a thread notices a stop request soon.
static constexpr Milliseconds stopPollInterval { 100 };

using StopFlag = std::atomic<bool>;

Process::Process(const Settings& settings)
    : node(settings)
    , server(settings.listenAddress, settings.httpThreads, maxBodyBytes, settings.requestMemoryBytes)
{
}

Process::~Process() = default;

static void sleepUnlessStopped(Milliseconds time, const StopFlag& stopRequested)
{
    auto until = Clock::now() + time;
    while (!stopRequested && Clock::now() < until)
        std::this_thread::sleep_for(std::min<Duration>(stopPollInterval, until - Clock::now()));
}

// Reads both documents for the first time. When there are peers to learn from, the read waits a random part of
// firstReadJitter, so that processes that start together don't read at the same moment.
static void readInitialDocuments(Process& process, const StopFlag& stopRequested)
{
    Node& node = process.node;
    if (!node.settings.bootstrapPeers.empty()) {
        auto random = hashText(node.settings.vm, node.incarnation);
        sleepUnlessStopped(Milliseconds(random % static_cast<uint64_t>(firstReadJitter.count())), stopRequested);
    }
    readDocument(node, DocumentKind::Configuration, Milliseconds(0));
    process.hasAskedService = true;
    readDocument(node, DocumentKind::LiveList, Milliseconds(0));
}

static void runWatcher(Process& process, DocumentKind kind, const StopFlag& stopRequested)
{
    if (kind == DocumentKind::Configuration)
        readInitialDocuments(process, stopRequested);
    WatchState state;
    while (!stopRequested) {
        if (!process.hasAskedService)
            sleepUnlessStopped(stopPollInterval, stopRequested);
        else
            sleepUnlessStopped(runWatchStep(process.node, kind, state), stopRequested);
    }
}

static void runGossip(Process& process, const StopFlag& stopRequested)
{
    for (const auto& address : process.node.settings.bootstrapPeers)
        exchangeWithPeer(process.node, address, {});
    // The exchanges have queued the documents of which a peer has a newer generation; this fetches them.
    processPropagationQueue(process.node, Milliseconds(0));
    process.hasAskedPeers = true;
    for (uint64_t round = 0; !stopRequested; ++round) {
        runGossipRound(process.node, round);
        sleepUnlessStopped(process.node.settings.gossipInterval, stopRequested);
    }
}

static void runDocumentSpread(Process& process, const StopFlag& stopRequested)
{
    while (!stopRequested) {
        if (process.hasAskedPeers)
            processPropagationQueue(process.node, stopPollInterval);
        else
            sleepUnlessStopped(stopPollInterval, stopRequested);
    }
}

static void activateWhenReady(Process& process, TimePoint startedAt, TimePoint now)
{
    auto& state = process.node.publishedState;
    if (state.isActivated())
        return;
    StartProgress progress { startedAt, state.heldConfiguration() != nullptr, process.hasAskedPeers, process.hasAskedService };
    if (!mayStart(progress, now))
        return;
    state.activate();
    logEvent(LogLevel::Info, "started", "generation={} asked_peers={} asked_service={}", state.generation(DocumentKind::Configuration), progress.arePeersDone, progress.isServiceDone);
}

static void runPeriodicWork(Process& process)
{
    auto now = Clock::now();
    if (process.node.pauseGuard.tick(now)) {
        process.node.metrics.addToCounter("bilberry_process_pauses_total");
        logEvent(LogLevel::Warning, "paused", "limit_ms={}", pauseThreshold.count());
    }
    if (auto configuration = process.node.publishedState.configuration())
        process.dataCentreMetrics.updateMetrics(process.node.metrics, *configuration);
    if (process.entry) {
        publishOwnStatus(process.node, {});
        process.entry->tick(now);
    }
    if (process.endpoint)
        process.endpoint->tick(now);
}

static uint32_t countRequestsInProgress(const Process& process)
{
    return process.entry ? process.entry->inProgress() : process.endpoint->inProgress();
}

// Serves requests until none is in progress or the drain timeout has passed, then stops the server. Returns the exit
// code.
static int drainRequests(Process& process)
{
    process.node.isLeaving = true;
    auto deadline = Clock::now() + process.node.settings.drainTimeout;
    logEvent(LogLevel::Info, "leaving", "in_progress={}", countRequestsInProgress(process));
    runPeriodicWork(process);
    runGossipRound(process.node, 0);
    while (countRequestsInProgress(process) > 0 && Clock::now() < deadline) {
        runPeriodicWork(process);
        std::this_thread::sleep_for(process.node.settings.tickInterval);
    }
    uint32_t remaining = countRequestsInProgress(process);
    process.server.stop();
    logEvent(LogLevel::Info, "stopped", "cut_off={}", remaining);
    return remaining == 0 ? exitOk : exitDrainTimeout;
}

static void startThreads(Process& process, const StopFlag& stopRequested)
{
    if (process.endpoint)
        process.endpoint->start();
    for (auto kind : { DocumentKind::Configuration, DocumentKind::LiveList })
        process.threads.emplace_back([&process, kind, &stopRequested] { runWatcher(process, kind, stopRequested); });
    process.threads.emplace_back([&process, &stopRequested] { runGossip(process, stopRequested); });
    process.threads.emplace_back([&process, &stopRequested] { runDocumentSpread(process, stopRequested); });
}

int runProcess(const Settings& settings, const StopFlag& stopRequested)
{
    Process process(settings);
    process.node.incarnation = static_cast<uint64_t>(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    auto status = process.server.bind();
    if (!status.ok()) {
        logEvent(LogLevel::Error, "cannot_listen", "error=\"{}\"", std::string(status.message()));
        return exitCannotListen;
    }
    if (settings.authenticationKeys.signingKey.empty())
        logEvent(LogLevel::Warning, "authentication_off", "setting=authentication_key");
    addGossipMethods(process.rpc, process.node);
    if (settings.role == Role::Entry)
        process.entry = std::make_unique<Entry>(process.node);
    else
        process.endpoint = std::make_unique<Endpoint>(process.node);
    process.rpc.addMethod("crash", [&process](const std::string& parameters) {
        return process.entry ? process.entry->handleCrashMessage(parameters) : process.endpoint->handleCrashCall(parameters);
    });
    addStatusMethod(process.rpc, process.node, [&process] { return countRequestsInProgress(process); });
    process.server.start([&process](const HttpRequest& request) { return answerRequest(process, request); });
    std::printf("listening %s:%d\n", settings.listenAddress.host.c_str(), process.server.port());
    std::fflush(stdout);
    auto startedAt = Clock::now();
    startThreads(process, stopRequested);
    while (!stopRequested) {
        activateWhenReady(process, startedAt, Clock::now());
        runPeriodicWork(process);
        std::this_thread::sleep_for(settings.tickInterval);
    }
    int exitCode = drainRequests(process);
    if (process.endpoint)
        process.endpoint->stop();
    for (auto& thread : process.threads)
        thread.join();
    return exitCode;
}

} // namespace bilberry
