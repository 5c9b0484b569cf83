/// Fetches the wanted versions of weights to this VM, serves their chunks to peers, and orders the engine to load them.
#pragma once

#include "ChunkStore.h"
#include "VmStatus.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bilberry {

struct HttpRequest;
struct HttpResponse;
struct Node;
struct WeightState;

/// Manages the weights of one VM on threads of its own. Thread safe.
class WeightAgent {
public:
    /// Precondition: the node outlives the agent.
    explicit WeightAgent(Node&);
    ~WeightAgent();
    WeightAgent(const WeightAgent&) = delete;
    WeightAgent& operator=(const WeightAgent&) = delete;

    /// Sets the function that returns the number of live requests in progress, for which uploads to peers are slowed
    /// down. The function must be thread safe. Precondition: start() was not called yet.
    void setLiveRequestCounter(std::function<uint32_t()>);
    /// Starts the threads. Call once.
    void start();
    /// Stops the threads. Waits for fetches and orders in progress to end; queued fetches are dropped.
    void stop();

    /// The digest of the version that requests may be admitted to, or nothing while it is not certain what the engine serves
    /// (see findServedDigest()).
    std::optional<std::string> servedDigest(const std::string& model) const;
    /// Fills the parts of the status report that concern weights.
    void fillStatus(VmStatus&) const;
    /// Handles requests for `/chunks/sha256:…`, `/manifests/sha256:…` and `/holdings/<model>` from peers and for
    /// `/weights/sha256:…` from the engine.
    HttpResponse handleRequest(const HttpRequest&) const;

private:
    std::unique_ptr<WeightState> state;
};

} // namespace bilberry
