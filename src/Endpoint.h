/// The process beside one endpoint: the last check of every request, and the owner of what is true of the endpoint.
#pragma once

#include "AdmissionController.h"
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
    HttpResponse handleForwardedRequest(const HttpRequest&);
    /// Handles a peer's or the engine's read of weights.
    HttpResponse handleWeightRequest(const HttpRequest& request) const { return this->weightAgent.answer(request); }
    /// Answers the JSON-RPC method `crash` of other endpoints' processes.
    std::string handleCrashCall(const std::string& parameters) { return this->crashGuard.handleCrashMessage(parameters); }
    /// Requests at the back end, and in the queue for it.
    uint32_t inProgress() const;

private:
    HttpResponse refuse(const HttpRequest&, RefusalReason);
    RefusalReason checkState(const HttpRequest&, const Configuration&, RowIndex own) const;
    std::string describeLoad() const;
    HttpResponse relayResponse(const HttpRequest&, const HttpReply& head, const std::shared_ptr<BackEndRun>&);
    HttpResponse runAtBackEnd(const HttpRequest&, const Vm&, const Configuration&);

    Node& node;
    WeightAgent weightAgent;
    CrashGuard crashGuard;
    AdmissionController admissionGate;
};

} // namespace bilberry
