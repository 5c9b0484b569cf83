/// The process beside one endpoint: the last check of every request, and the owner of what is true of the endpoint.
#pragma once

#include "AdmissionGate.h"
#include "CrashGuard.h"
#include "HttpMessage.h"
#include "WeightAgent.h"

namespace bilberry {

struct BackEndRun;
struct Configuration;
struct HttpReply;
struct Node;
struct Vm;

/// Thread safe.
class Endpoint {
public:
    /// Precondition: the node outlives the endpoint.
    explicit Endpoint(Node&);

    void start();
    void stop();
    /// Periodic work: own report, cold state.
    void tick(TimePoint now);
    /// Handles a forwarded request.
    HttpResponse forward(const HttpRequest&);
    /// Handles a peer's or the engine's read of weights.
    HttpResponse answerWeights(const HttpRequest& request) const { return this->weights.answer(request); }
    /// Answers the JSON-RPC method `crash` of other endpoints' processes.
    std::string answerCrash(const std::string& parameters) { return this->crashes.answer(parameters); }
    /// Requests at the back end, and in the queue for it.
    uint32_t inProgress() const;

private:
    HttpResponse refuse(const HttpRequest&, RefusalReason);
    RefusalReason checkState(const HttpRequest&, const Configuration&, RowIndex own) const;
    std::string describeLoad() const;
    HttpResponse passOn(const HttpRequest&, const HttpReply& head, const std::shared_ptr<BackEndRun>&);
    HttpResponse runAtBackEnd(const HttpRequest&, const Vm&, const Configuration&);

    Node& node;
    WeightAgent weights;
    CrashGuard crashes;
    AdmissionGate gate;
};

} // namespace bilberry
