/// One running process of the system: its parts, its threads and its stop.
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

/// All parts of one process; which ones run depends on the role.
struct Process {
    explicit Process(const Settings&);
    ~Process();

    Node node;
    JsonRpcDispatcher rpc;
    std::unique_ptr<Entry> entry;
    std::unique_ptr<Endpoint> endpoint;
    DataCentreOutageMetrics dataCentreMetrics; ///< Used by the thread that ticks.
    HttpServer server;
    std::vector<std::thread> threads;
    std::atomic<bool> hasAskedPeers { false };
    std::atomic<bool> hasAskedService { false };
};

/// Runs until `stopRequested`, then drains. Returns the exit code (see --help).
int runProcess(const Settings&, const std::atomic<bool>& stopRequested);

constexpr int exitOk = 0;
constexpr int exitWrongSettings = 2;
constexpr int exitCannotListen = 3;
constexpr int exitDrainTimeout = 4;

} // namespace bilberry
