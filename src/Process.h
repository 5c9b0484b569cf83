/// Runs one bilberryd process: starts its parts and threads, and drains requests before it stops.
#pragma once

#include "HttpServer.h"
#include "JsonRpcBridge.h"
#include "Node.h"
#include "ServiceLevel.h"

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace bilberry {

class Endpoint;
class Entry;

/// The parts of one process. The role decides whether `entry` or `endpoint` exists.
struct Process {
    explicit Process(const Settings&);
    ~Process();

    Node node;
    JsonRpcDispatcher rpc;
    std::unique_ptr<Entry> entry;
    std::unique_ptr<Endpoint> endpoint;
    DataCentreOutageMetrics dataCentreMetrics; ///< Used only by the thread that does the periodic work.
    HttpServer server;
    std::vector<std::thread> threads;
    std::atomic<bool> hasAskedPeers { false }; ///< Whether the first exchange with every bootstrap peer has ended, with or without success.
    std::atomic<bool> hasAskedService { false }; ///< Whether the first read of the configuration service has ended, with or without success.
};

/// Runs until `stopRequested` is set, then drains requests in progress. Returns the exit code (see --help).
int runProcess(const Settings&, const std::atomic<bool>& stopRequested);

constexpr int exitOk = 0;
constexpr int exitWrongSettings = 2;
constexpr int exitCannotListen = 3;
constexpr int exitDrainTimeout = 4;

} // namespace bilberry
