/// Brings the wanted versions to this VM, passes their chunks on, and orders the engine to load them.
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

/// Runs on threads of its own. Thread safe.
class WeightAgent {
public:
    /// Precondition: the node outlives the agent.
    explicit WeightAgent(Node&);
    ~WeightAgent();
    WeightAgent(const WeightAgent&) = delete;
    WeightAgent& operator=(const WeightAgent&) = delete;

    /// Sets where the number of live requests in progress is read, which chunks sent to peers give way to. The function is
    /// thread safe. Precondition: not started yet.
    void setLiveRequestCounter(std::function<uint32_t()>);
    /// Starts the threads. Call once.
    void start();
    /// Ends them; fetches in progress are given up.
    void stop();

    /// The version of the model that the engine was last seen to serve, or nothing while that is not certain.
    std::optional<std::string> servedDigest(const std::string& model) const;
    /// Fills the parts of the report that concern weights.
    void fillStatus(VmStatus&) const;
    /// Answers `/chunks/sha256:…`, `/manifests/sha256:…` and `/holdings/<model>` for peers, `/weights/sha256:…` for the
    /// engine.
    HttpResponse handleRequest(const HttpRequest&) const;

private:
    std::unique_ptr<WeightState> state;
};

} // namespace bilberry
