/// The process that runs next to one endpoint. It makes the last check of every request before the back end gets it, and is
/// the authoritative source of the endpoint's state and load, which it reports to all other processes.
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

/// Admits, forwards and reports on the requests of one endpoint. Thread safe.
class Endpoint {
public:
    /// Precondition: the node outlives the endpoint.
    explicit Endpoint(Node&);

    void start();
    void stop();
    /// Does the periodic work: updates the cold state, publishes this VM's own report and sets the gauges.
    void tick(TimePoint now);
    /// Checks, admits and runs a request that an entry forwarded. Blocks until it is refused or the back end's response
    /// head arrives; the body is streamed afterwards.
    HttpResponse handleForwardedRequest(const HttpRequest&);
    /// Serves a read of weights by a peer or by the engine.
    HttpResponse handleWeightRequest(const HttpRequest& request) const { return this->weightAgent.handleRequest(request); }
    /// Handles the JSON-RPC method `crash`, which the processes of other endpoints call.
    std::string handleCrashCall(const std::string& parameters) { return this->crashGuard.handleCrashMessage(parameters); }
    /// Returns the number of requests that are in flight at the back end or queued for it.
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
    AdmissionController admissionController;
};

} // namespace bilberry
