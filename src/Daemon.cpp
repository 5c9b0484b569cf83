/// bilberryd: one process of the system, in one of its roles.

#include "DocumentWatcher.h"
#include "Endpoint.h"
#include "Entry.h"
#include "Flags.h"
#include "Gossip.h"
#include "HttpServer.h"
#include "JsonRpcBridge.h"
#include "Log.h"
#include "Node.h"

#include <csignal>
#include <cstdio>
#include <thread>

using namespace bilberry;

namespace {

constexpr int exitOk = 0;
constexpr int exitWrongSettings = 2;
constexpr int exitCannotListen = 3;
constexpr int exitDrainTimeout = 4;

// Largest request body taken from a caller, in bytes.
constexpr size_t maxBodyBytes = 16 << 20;
constexpr Milliseconds watchWait { 2000 };
constexpr Milliseconds watchPause { 200 };

std::atomic<bool> stopRequested { false };

void requestStop(int)
{
    stopRequested = true;
}

// All parts of one process; which ones run depends on the role.
struct Process {
    explicit Process(const Settings& settings)
        : node(settings)
        , server(settings.listen, settings.httpThreads, maxBodyBytes)
    {
    }

    Node node;
    JsonRpcDispatcher rpc;
    std::unique_ptr<Entry> entry;
    std::unique_ptr<Endpoint> endpoint;
    HttpServer server;
    std::vector<std::thread> threads;
};

bool isReady(const Process& process)
{
    return process.node.published.configuration() != nullptr && !process.node.isLeaving;
}

// Paths that both roles answer; status 0 when the path is none of them.
HttpResponse answerCommon(Process& process, const HttpRequest& request)
{
    if (request.path == "/rpc")
        return jsonResponse(200, process.rpc.dispatch(request.body));
    if (request.path == "/metrics") {
        HttpResponse response;
        response.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
        response.body = process.node.metrics.serialize();
        return response;
    }
    if (request.path == "/healthz")
        return jsonResponse(200, R"({"healthy":true})");
    if (request.path == "/readyz")
        return isReady(process) ? jsonResponse(200, R"({"ready":true})") : jsonResponse(503, R"({"ready":false})");
    HttpResponse none;
    none.status = 0;
    return none;
}

HttpResponse answerEndpoint(Process& process, const HttpRequest& request)
{
    if (request.path.rfind("/forward/", 0) == 0)
        return process.endpoint->forward(request);
    if (request.path == "/key-query")
        return process.endpoint->answerKeyQuery(request);
    return process.endpoint->answerWeights(request);
}

HttpResponse answer(Process& process, const HttpRequest& request)
{
    HttpResponse common = answerCommon(process, request);
    if (common.status != 0)
        return common;
    return process.entry ? process.entry->handle(request) : answerEndpoint(process, request);
}

void runWatcher(Node& node, DocumentKind kind)
{
    while (!stopRequested) {
        if (!isWatcher(node) || !watchDocument(node, kind, watchWait))
            std::this_thread::sleep_for(watchPause);
    }
}

void runGossip(Node& node)
{
    for (uint64_t round = 0; !stopRequested; ++round) {
        tickGossip(node, round);
        std::this_thread::sleep_for(node.settings.gossipInterval);
    }
}

void tick(Process& process)
{
    auto now = Clock::now();
    if (process.entry) {
        publishOwnStatus(process.node, {});
        process.entry->tick(now);
    }
    if (process.endpoint)
        process.endpoint->tick(now);
}

uint32_t requestsInProgress(const Process& process)
{
    return process.entry ? process.entry->inProgress() : process.endpoint->inProgress();
}

// Serves on until no request is in progress, then ends. Returns the exit code.
int drain(Process& process)
{
    process.node.isLeaving = true;
    auto giveUpAt = Clock::now() + process.node.settings.drainTimeout;
    logEvent(LogLevel::Info, "leaving", "in_progress={}", requestsInProgress(process));
    tick(process);
    tickGossip(process.node, 0);
    while (requestsInProgress(process) > 0 && Clock::now() < giveUpAt) {
        tick(process);
        std::this_thread::sleep_for(process.node.settings.tickInterval);
    }
    uint32_t left = requestsInProgress(process);
    process.server.stop();
    logEvent(LogLevel::Info, "stopped", "cut_off={}", left);
    return left == 0 ? exitOk : exitDrainTimeout;
}

int run(const Settings& settings)
{
    Process process(settings);
    process.node.incarnation = static_cast<uint64_t>(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    auto status = process.server.bind();
    if (!status.ok()) {
        logEvent(LogLevel::Error, "cannot_listen", "error=\"{}\"", std::string(status.message()));
        return exitCannotListen;
    }
    addGossipMethods(process.rpc, process.node);
    if (settings.role == Role::Entry)
        process.entry = std::make_unique<Entry>(process.node);
    else
        process.endpoint = std::make_unique<Endpoint>(process.node);
    if (process.endpoint)
        process.rpc.addMethod("key_lease", [&process](const std::string& parameters) { return process.endpoint->answerKeyLease(parameters); });
    process.server.start([&process](const HttpRequest& request) { return answer(process, request); });
    std::printf("listening %s:%d\n", settings.listen.host.c_str(), process.server.port());
    std::fflush(stdout);
    if (process.endpoint)
        process.endpoint->start();
    process.threads.emplace_back(runWatcher, std::ref(process.node), DocumentKind::Configuration);
    process.threads.emplace_back(runWatcher, std::ref(process.node), DocumentKind::LiveList);
    process.threads.emplace_back(runGossip, std::ref(process.node));
    while (!stopRequested) {
        tick(process);
        std::this_thread::sleep_for(settings.tickInterval);
    }
    int code = drain(process);
    if (process.endpoint)
        process.endpoint->stop();
    for (auto& thread : process.threads)
        thread.join();
    return code;
}

} // namespace

int main(int argc, char** argv)
{
    auto line = readCommandLine(argc, argv);
    if (line.wantsHelp) {
        std::printf("bilberryd: one process of bilberrybarrow\n\nEach setting is also read from the environment variable FLAGS_<name>; the command line goes first.\n\n%s\nexit codes: 0 stopped with no request cut off, 2 wrong settings, 3 can't listen, 4 stopped with requests cut off\n", describeSettings().c_str());
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
        std::fprintf(stderr, "bilberryd: wrong settings:\n%s\n", std::string(settings.status().message()).c_str());
        return exitWrongSettings;
    }
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
    std::signal(SIGPIPE, SIG_IGN);
    return run(*settings);
}
